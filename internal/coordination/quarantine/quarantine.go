// Package quarantine keeps a request that crashes leafs from crashing more of
// them. A Ledger tracks which fingerprints run on which leafs. When the connection
// to a leaf breaks abruptly, it attributes the crash to fingerprints that ran there.
// It takes events with their time, does no I/O and relies on the lock of its owner.
//
// A fingerprint is unverified until a leaf answers it, and again when leafs are lost under it
// twice without an answer in between. One with an attributed crash is a suspect: it runs on one
// leaf at a time and never beside another suspect, so that the next loss has only one possible
// cause. After crashThreshold attributed crashes it is quarantined.
package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// crashThreshold is the number of leaf crashes after which a fingerprint is
	// quarantined.
	crashThreshold = 2
	// reportDelay is how long a new suspect waits for reports of peers before it
	// may run again.
	reportDelay = 30 * time.Millisecond
	// crashWindow is the time within which losses of one leaf count as one crash.
	crashWindow = time.Second
	// attributionTTL is how long the attributions of a fingerprint that is not
	// quarantined are kept after the last one.
	attributionTTL = 2 * time.Minute
	// quarantineTTL is the length of the first quarantine; each further one is
	// twice as long, up to maxQuarantineTTL.
	quarantineTTL    = 10 * time.Minute
	maxQuarantineTTL = 2 * time.Hour
	// verifiedTTL is the minimum time for which an answered fingerprint stays verified.
	verifiedTTL = time.Minute
	// maxVerified bounds the verified fingerprints of one period.
	maxVerified = 1 << 16
	// trialTTL is how long a peer's trial is assumed to run if its end is not reported.
	trialTTL = 2 * time.Second
	// downTTL is how long the loss of a leaf accounts for the losses of attempts
	// that started after it.
	downTTL = 5 * time.Second
	// maxDown bounds the lost leafs that are tracked.
	maxDown = 1 << 12
	// maxSuspects bounds the fingerprints with attributed crashes.
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

// Ledger is the quarantine state of one node.
type Ledger struct {
	active             map[Fingerprint]*activeAttempts
	suspects           map[Fingerprint]*suspect
	verified           map[Fingerprint]struct{}  // in the current period
	previouslyVerified map[Fingerprint]struct{}  // in the period before
	periodStart        time.Time                 // of the current period
	losses             map[Fingerprint]time.Time // last loss under verified fingerprints, until an answer
	down               map[string]time.Time      // first loss of leafs that have not answered since
	peerTrials         map[string]trial          // by leaf
	local              []localAttribution        // by time
	observe            func(Event)               // may be nil
}

// trial is the run of a suspect that a peer reported.
type trial struct {
	fingerprint Fingerprint
	until       time.Time
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		active:     make(map[Fingerprint]*activeAttempts),
		suspects:   make(map[Fingerprint]*suspect),
		verified:   make(map[Fingerprint]struct{}),
		losses:     make(map[Fingerprint]time.Time),
		down:       make(map[string]time.Time),
		peerTrials: make(map[string]trial),
	}
}

// Quarantined reports whether a fingerprint is in quarantine at now, and for how
// much longer.
func (l *Ledger) Quarantined(now time.Time, f Fingerprint) (time.Duration, bool) {
	s, ok := l.suspects[f]
	if !ok || s.quarantinedAt.IsZero() {
		return 0, false
	}
	if remaining := s.quarantinedUntil.Sub(now); remaining > 0 {
		return remaining, true
	}
	s.endQuarantine(now)
	return 0, false
}

// RunsAlone reports whether attempts of a fingerprint run one at a time at now: crashes are
// attributed to it, or it is verified and the last leaf that ran it was lost.
func (l *Ledger) RunsAlone(now time.Time, f Fingerprint) bool {
	return l.IsSuspect(now, f) || l.isDoubted(now, f)
}

// IsSuspect reports whether crashes are attributed to a fingerprint at now.
func (l *Ledger) IsSuspect(now time.Time, f Fingerprint) bool { return l.suspect(now, f) != nil }

// QuarantinedCount is the number of fingerprints in quarantine at now.
func (l *Ledger) QuarantinedCount(now time.Time) int {
	n := 0
	for _, s := range l.suspects {
		if !s.quarantinedAt.IsZero() && now.Before(s.quarantinedUntil) {
			n++
		}
	}
	return n
}

// Begin decides whether an attempt may be sent and returns the reports for peers,
// which have to be broadcast before the attempt is sent.
func (l *Ledger) Begin(now time.Time, a Attempt) (Decision, []Report) {
	if _, quarantined := l.Quarantined(now, a.Fingerprint); quarantined {
		return Refuse, nil
	}
	s := l.suspect(now, a.Fingerprint)
	if s == nil && l.isVerified(now, a.Fingerprint) && !l.isDoubted(now, a.Fingerprint) {
		return Allow, nil // attempts of verified fingerprints are not tracked
	}
	if !l.mayRun(now, a, s) {
		return Hold, nil
	}
	active := l.active[a.Fingerprint]
	if active == nil {
		active = &activeAttempts{attempts: make(map[Attempt]struct{}), shards: make(map[int]int)}
		l.active[a.Fingerprint] = active
	}
	active.attempts[a] = struct{}{}
	active.shards[a.Shard]++
	if s == nil {
		return Allow, nil
	}
	return Allow, []Report{{Kind: TrialStarted, Fingerprint: a.Fingerprint, Leaf: a.Leaf}}
}

// mayRun applies the rules for unverified fingerprints, suspects and verified fingerprints under
// which a leaf was lost.
func (l *Ledger) mayRun(now time.Time, a Attempt, s *suspect) bool {
	active := l.active[a.Fingerprint]
	if s != nil {
		return active == nil && now.Sub(s.lastAttributed) >= reportDelay && !l.hasSuspect(now, a.Leaf) && !l.hasPeerTrial(now, a)
	}
	if active == nil {
		return true
	}
	if l.isDoubted(now, a.Fingerprint) {
		return false
	}
	onShard := active.shards[a.Shard]
	if a.Hedge {
		// Duplicates come from many callers. A request with duplicates gets no
		// hedge, so that it crashes at most one leaf per caller.
		return onShard <= 1 && !active.duplicateHeld
	}
	if onShard > 0 {
		active.duplicateHeld = true
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

// hasPeerTrial reports whether a peer runs any suspect on the leaf of the attempt, or
// the fingerprint of the attempt on any leaf.
func (l *Ledger) hasPeerTrial(now time.Time, a Attempt) bool {
	for leaf, t := range l.peerTrials {
		if now.After(t.until) {
			delete(l.peerTrials, leaf)
			continue
		}
		if leaf == a.Leaf || t.fingerprint == a.Fingerprint {
			return true
		}
	}
	return false
}

// End records the outcome of an allowed attempt and returns the reports for peers.
func (l *Ledger) End(now time.Time, a Attempt, outcome Outcome) []Report {
	doubted := l.suspect(now, a.Fingerprint) != nil
	kind := TrialEnded
	switch outcome {
	case Answered:
		kind = Cleared
		doubted = doubted || l.isDoubted(now, a.Fingerprint)
		l.markVerified(now, a.Fingerprint)
		delete(l.down, a.Leaf)
	case ConnectionLost:
		kind = l.recordLoss(now, a)
	case Inconclusive:
	}
	l.removeActive(a)
	if !doubted && kind != CrashAttributed && kind != VerifiedLost {
		return nil
	}
	return []Report{{Kind: kind, Fingerprint: a.Fingerprint, Leaf: a.Leaf}}
}

// ReportDelay is the delay after which the caller should call Begin again for a held
// attempt if no other event occurred before.
func ReportDelay() time.Duration { return reportDelay }

// CrashWindow is the time within which losses of one leaf count as one crash.
func CrashWindow() time.Duration { return crashWindow }
