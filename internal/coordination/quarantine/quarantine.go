// Package quarantine keeps a request that crashes leafs from crashing more of
// them. A Ledger follows which fingerprints run where and charges those whose
// leaf lost its connection abruptly. It takes events with their time, does no
// input or output and is used under the lock of its owner.
//
// A fingerprint is unproven until a leaf answered it. A charged one is a
// suspect: it runs on one leaf at a time and never beside another suspect, so
// that the next loss has one explanation. Losses in maxCrashes crashes convict it.
package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxCrashes is the number of crashes of leafs that convicts a fingerprint.
	maxCrashes = 2
	// reportDelay is how long a fresh suspect waits for what peers know.
	reportDelay = 30 * time.Millisecond
	// sameCrash is the time between two losses of one leaf that count as one.
	sameCrash = time.Second
	// chargeTTL is how long a charge without conviction is remembered.
	chargeTTL = 2 * time.Minute
	// convictionTTL is the length of the first conviction; each further one is
	// twice as long, up to maxConvictionTTL.
	convictionTTL    = 10 * time.Minute
	maxConvictionTTL = 2 * time.Hour
	// provenTTL is how long an answered fingerprint stays proven, at least.
	provenTTL = time.Minute
	// maxProven bounds the fingerprints remembered as proven in one period.
	maxProven = 1 << 16
	// trialTTL is how long a peer's trial is believed to last without its end.
	trialTTL = 2 * time.Second
	// downTTL is how long a lost leaf explains the losses of attempts begun after.
	downTTL = 5 * time.Second
	// maxDown bounds the remembered lost leafs.
	maxDown = 1 << 12
	// maxSuspects bounds the fingerprints with charges.
	maxSuspects = 1 << 12
)

// Fingerprint identifies a request by its service and body.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(service string, body []byte) Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(service) // never fails
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// Kind says what a report is about.
type Kind int

// Kinds of reports.
const (
	// CrashAttributed means that the fingerprint was charged with the loss of the leaf.
	CrashAttributed Kind = iota
	// TrialStarted means that a suspect is about to run on the leaf.
	TrialStarted
	// TrialEnded means that the run of a suspect on the leaf is over.
	TrialEnded
	// Cleared means that the leaf outlived a run of a suspect.
	Cleared
)

// Report is what one node tells the others about a suspect.
type Report struct {
	Kind        Kind
	Fingerprint Fingerprint
	Leaf        string
}

// Peers sends reports to the other nodes. Broadcast does not block.
type Peers interface {
	Broadcast(r Report)
}

// Decision says whether an attempt may be sent.
type Decision int

// Decisions on an attempt.
const (
	// Allow means that the attempt may be sent; End must follow.
	Allow Decision = iota
	// Hold means to ask again after the next event or delay.
	Hold
	// Refuse means that the fingerprint is in quarantine.
	Refuse
)

// Attempt is one subrequest that wants to be sent to a leaf.
type Attempt struct {
	Fingerprint Fingerprint
	Shard       int
	Leaf        string
	// Hedge is true when the same subrequest is already pending elsewhere.
	Hedge bool
	// Canary makes an unproven fingerprint run on one shard first.
	Canary bool
	// StartedAt is when the attempt asked to be sent.
	StartedAt time.Time
}

// Outcome says how an attempt ended.
type Outcome int

// Outcomes of an attempt.
const (
	// Answered means that the leaf outlived the attempt.
	Answered Outcome = iota
	// ConnectionLost means that the connection broke after a byte was sent.
	ConnectionLost
	// Inconclusive means that the attempt says nothing, as when it was cancelled.
	Inconclusive
)

// Ledger is the state of the quarantine on one node.
type Ledger struct {
	running  map[Fingerprint]*runs
	suspects map[Fingerprint]*suspect
	proven   map[Fingerprint]struct{} // of the current period
	older    map[Fingerprint]struct{} // of the period before
	turned   time.Time                // when the current period began
	down     map[string]time.Time     // first loss of leafs that have not answered since
	trials   map[string]trial         // of peers, by leaf
}

// runs holds the attempts of one fingerprint that run.
type runs struct {
	attempts map[Attempt]struct{}
	shards   map[int]int // number of attempts by shard
	copied   bool        // a copy was held
}

// trial is the run of a suspect by a peer.
type trial struct {
	fingerprint Fingerprint
	until       time.Time
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		running:  make(map[Fingerprint]*runs),
		suspects: make(map[Fingerprint]*suspect),
		proven:   make(map[Fingerprint]struct{}),
		down:     make(map[string]time.Time),
		trials:   make(map[string]trial),
	}
}

// Quarantined reports whether a fingerprint is in quarantine at now, and for how long.
func (l *Ledger) Quarantined(now time.Time, f Fingerprint) (time.Duration, bool) {
	s, ok := l.suspects[f]
	if !ok || s.convicted.IsZero() {
		return 0, false
	}
	if left := s.until.Sub(now); left > 0 {
		return left, true
	}
	s.release(now)
	return 0, false
}

// IsSuspect reports whether a fingerprint has charges at now.
func (l *Ledger) IsSuspect(now time.Time, f Fingerprint) bool { return l.suspect(now, f) != nil }

// QuarantinedCount is the number of fingerprints in quarantine at now.
func (l *Ledger) QuarantinedCount(now time.Time) int {
	n := 0
	for _, s := range l.suspects {
		if !s.convicted.IsZero() && now.Before(s.until) {
			n++
		}
	}
	return n
}

// Begin decides over an attempt and returns the reports for peers, which have
// to be told before the attempt is sent.
func (l *Ledger) Begin(now time.Time, a Attempt) (Decision, []Report) {
	if _, refused := l.Quarantined(now, a.Fingerprint); refused {
		return Refuse, nil
	}
	s := l.suspect(now, a.Fingerprint)
	if s == nil && l.isProven(now, a.Fingerprint) {
		return Allow, nil // proven attempts are not followed
	}
	if !l.mayRun(now, a, s) {
		return Hold, nil
	}
	running := l.running[a.Fingerprint]
	if running == nil {
		running = &runs{attempts: make(map[Attempt]struct{}), shards: make(map[int]int)}
		l.running[a.Fingerprint] = running
	}
	running.attempts[a] = struct{}{}
	running.shards[a.Shard]++
	if s == nil {
		return Allow, nil
	}
	return Allow, []Report{{Kind: TrialStarted, Fingerprint: a.Fingerprint, Leaf: a.Leaf}}
}

// mayRun applies the rule for unproven fingerprints and suspects.
func (l *Ledger) mayRun(now time.Time, a Attempt, s *suspect) bool {
	running := l.running[a.Fingerprint]
	if s != nil {
		return running == nil && now.Sub(s.last) >= reportDelay && !l.hasSuspect(now, a.Leaf) && !l.hasTrial(now, a)
	}
	if running == nil {
		return true
	}
	same := running.shards[a.Shard]
	if a.Hedge {
		// The callers of copies are many; one leaf each is what they may cost.
		return same <= 1 && !running.copied
	}
	if same > 0 {
		running.copied = true
		return false
	}
	return !a.Canary
}

// hasSuspect reports whether a suspect runs on a leaf.
func (l *Ledger) hasSuspect(now time.Time, leaf string) bool {
	for f := range l.suspects {
		if l.suspect(now, f) != nil && l.runsOn(f, leaf) {
			return true
		}
	}
	return false
}

// hasTrial reports whether a peer tries a suspect on the leaf, or this one anywhere.
func (l *Ledger) hasTrial(now time.Time, a Attempt) bool {
	for leaf, t := range l.trials {
		if now.After(t.until) {
			delete(l.trials, leaf)
			continue
		}
		if leaf == a.Leaf || t.fingerprint == a.Fingerprint {
			return true
		}
	}
	return false
}

func (l *Ledger) runsOn(f Fingerprint, leaf string) bool {
	running := l.running[f]
	if running == nil {
		return false
	}
	for a := range running.attempts {
		if a.Leaf == leaf {
			return true
		}
	}
	return false
}

// End takes the end of an allowed attempt and returns the reports for peers.
func (l *Ledger) End(now time.Time, a Attempt, end Outcome) []Report {
	tried := l.suspect(now, a.Fingerprint) != nil
	kind := TrialEnded
	switch end {
	case Answered:
		kind = Cleared
		l.prove(now, a.Fingerprint)
		delete(l.down, a.Leaf)
	case ConnectionLost:
		if l.lose(now, a) {
			kind = CrashAttributed
		}
	case Inconclusive:
	}
	l.leave(a)
	if !tried && kind != CrashAttributed {
		return nil
	}
	return []Report{{Kind: kind, Fingerprint: a.Fingerprint, Leaf: a.Leaf}}
}

func (l *Ledger) leave(a Attempt) {
	running := l.running[a.Fingerprint]
	if running == nil {
		return
	}
	if _, followed := running.attempts[a]; !followed {
		return
	}
	delete(running.attempts, a)
	running.shards[a.Shard]--
	if len(running.attempts) == 0 {
		delete(l.running, a.Fingerprint)
	}
}

// Receive takes a report of another node.
func (l *Ledger) Receive(now time.Time, r Report) {
	if t, ok := l.trials[r.Leaf]; ok && t.fingerprint == r.Fingerprint {
		delete(l.trials, r.Leaf)
	}
	switch r.Kind {
	case CrashAttributed:
		if !l.isProven(now, r.Fingerprint) {
			l.charge(now, r.Fingerprint, r.Leaf)
		}
	case TrialStarted:
		l.trials[r.Leaf] = trial{r.Fingerprint, now.Add(trialTTL)}
	case Cleared:
		l.prove(now, r.Fingerprint)
	case TrialEnded:
	}
}

// ReportDelay is the longest time after which a held attempt is worth asking
// for again without another event.
func ReportDelay() time.Duration { return reportDelay }
