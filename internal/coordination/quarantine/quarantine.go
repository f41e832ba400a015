// Package quarantine keeps a request that crashes leafs from crashing more of
// them. A Ledger follows which fingerprints run where and charges those whose
// leaf lost its connection abruptly. It takes events with their time, does no
// input or output and is used under the lock of its owner.
//
// A fingerprint is unproven until a leaf answered it. A charged one is a
// suspect: it runs on one leaf at a time and never beside another suspect, so
// that the next loss has one explanation. Losses of maxLeafs leafs convict it.
package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxLeafs is the number of lost leafs that convicts a fingerprint.
	maxLeafs = 2
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
	// downTTL is how long a lost leaf explains the losses of attempts begun after.
	downTTL = 10 * time.Second
	// maxDown bounds the remembered lost leafs.
	maxDown = 1 << 12
	// maxSuspects bounds the fingerprints with charges.
	maxSuspects = 1 << 12
)

// Fingerprint identifies a request by its service and body.
type Fingerprint uint64

// Of returns the fingerprint of a request.
func Of(service string, body []byte) Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(service) // never fails
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// Report is what one node tells the others: a fingerprint was charged with the
// loss of a leaf.
type Report struct {
	Fingerprint Fingerprint
	Leaf        string
}

// Peers passes reports on to the other nodes. Tell does not block.
type Peers interface {
	Tell(r Report)
}

// Verdict says whether an attempt may be sent.
type Verdict int

// Verdicts.
const (
	// Allow means that the attempt may be sent; End must follow.
	Allow Verdict = iota
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
	// Begun is when the attempt asked to be sent.
	Begun time.Time
}

// End says how an attempt ended.
type End int

// Ends of an attempt.
const (
	// Answered means that the leaf outlived the attempt.
	Answered End = iota
	// Lost means that the connection broke after a byte was sent.
	Lost
	// Unknown means that the attempt says nothing, as when it was cancelled.
	Unknown
)

// Ledger is the state of the quarantine on one node.
type Ledger struct {
	running  map[Fingerprint]map[Attempt]struct{}
	suspects map[Fingerprint]*suspect
	proven   map[Fingerprint]struct{} // of the current period
	older    map[Fingerprint]struct{} // of the period before
	turned   time.Time                // when the current period began
	down     map[string]time.Time     // first loss of leafs that have not answered since
}

// suspect is a fingerprint with charges.
type suspect struct {
	charges     map[string]time.Time // by leaf
	last        time.Time            // of the last charge
	convicted   time.Time            // zero: not convicted
	until       time.Time            // end of the conviction
	convictions int
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		running:  make(map[Fingerprint]map[Attempt]struct{}),
		suspects: make(map[Fingerprint]*suspect),
		proven:   make(map[Fingerprint]struct{}),
		down:     make(map[string]time.Time),
	}
}

// Refused reports whether a fingerprint is in quarantine at now, and for how long.
func (l *Ledger) Refused(now time.Time, f Fingerprint) (time.Duration, bool) {
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

// release ends a conviction. One charge stays, so that the next loss convicts
// again.
func (s *suspect) release(now time.Time) {
	s.convicted = time.Time{}
	latest := ""
	for leaf, at := range s.charges {
		if latest == "" || at.After(s.charges[latest]) || at.Equal(s.charges[latest]) && leaf < latest {
			latest = leaf
		}
	}
	s.charges = map[string]time.Time{latest: now}
	s.last = now
}

// Size is the number of fingerprints in quarantine at now.
func (l *Ledger) Size(now time.Time) int {
	n := 0
	for _, s := range l.suspects {
		if !s.convicted.IsZero() && now.Before(s.until) {
			n++
		}
	}
	return n
}

// Begin decides over an attempt.
func (l *Ledger) Begin(now time.Time, a Attempt) Verdict {
	if _, refused := l.Refused(now, a.Fingerprint); refused {
		return Refuse
	}
	s := l.suspect(now, a.Fingerprint)
	if s == nil && l.isProven(now, a.Fingerprint) {
		return Allow // proven attempts are not followed
	}
	if !l.mayRun(now, a, s) {
		return Hold
	}
	attempts := l.running[a.Fingerprint]
	if attempts == nil {
		attempts = make(map[Attempt]struct{})
		l.running[a.Fingerprint] = attempts
	}
	attempts[a] = struct{}{}
	return Allow
}

// mayRun applies the rule for unproven fingerprints and suspects.
func (l *Ledger) mayRun(now time.Time, a Attempt, s *suspect) bool {
	attempts := l.running[a.Fingerprint]
	if s != nil {
		return len(attempts) == 0 && now.Sub(s.last) >= reportDelay && !l.hasSuspect(now, a.Leaf)
	}
	same := 0
	for other := range attempts {
		if a.Canary || other.Shard == a.Shard {
			same++
		}
	}
	if a.Hedge {
		return same <= 1
	}
	return same == 0
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

func (l *Ledger) runsOn(f Fingerprint, leaf string) bool {
	for a := range l.running[f] {
		if a.Leaf == leaf {
			return true
		}
	}
	return false
}

// suspect returns the charges of a fingerprint, or nil when there are none or
// they are too old.
func (l *Ledger) suspect(now time.Time, f Fingerprint) *suspect {
	s, ok := l.suspects[f]
	if !ok {
		return nil
	}
	if s.convicted.IsZero() && now.Sub(s.last) > chargeTTL {
		delete(l.suspects, f)
		return nil
	}
	return s
}

// End takes the end of an allowed attempt and returns the reports for peers.
func (l *Ledger) End(now time.Time, a Attempt, end End) []Report {
	var reports []Report
	switch end {
	case Answered:
		l.prove(now, a.Fingerprint)
		delete(l.down, a.Leaf)
	case Lost:
		reports = l.lose(now, a)
	case Unknown:
	}
	l.leave(a)
	return reports
}

func (l *Ledger) leave(a Attempt) {
	attempts := l.running[a.Fingerprint]
	delete(attempts, a)
	if len(attempts) == 0 {
		delete(l.running, a.Fingerprint)
	}
}

// prove clears a fingerprint that a leaf outlived.
func (l *Ledger) prove(now time.Time, f Fingerprint) {
	if s := l.suspects[f]; s != nil && s.convicted.IsZero() {
		delete(l.suspects, f)
	}
	if l.isProven(now, f) {
		return
	}
	if len(l.proven) >= maxProven || now.Sub(l.turned) > provenTTL {
		l.older = l.proven
		l.proven = make(map[Fingerprint]struct{})
		l.turned = now
	}
	l.proven[f] = struct{}{}
}

func (l *Ledger) isProven(now time.Time, f Fingerprint) bool {
	if now.Sub(l.turned) > 2*provenTTL {
		return false
	}
	if _, ok := l.proven[f]; ok {
		return true
	}
	_, ok := l.older[f]
	return ok
}

// lose charges a fingerprint with the loss of a leaf, unless the leaf was lost
// before the attempt began or another fingerprint explains the loss.
func (l *Ledger) lose(now time.Time, a Attempt) []Report {
	wasDown := l.isDown(now, a)
	l.markDown(now, a.Leaf)
	if wasDown || l.isProven(now, a.Fingerprint) || l.isExplained(now, a) {
		return nil
	}
	if !l.charge(now, a.Fingerprint, a.Leaf) {
		return nil
	}
	return []Report{{Fingerprint: a.Fingerprint, Leaf: a.Leaf}}
}

// isDown reports whether the leaf was lost before the attempt began.
func (l *Ledger) isDown(now time.Time, a Attempt) bool {
	since, ok := l.down[a.Leaf]
	return ok && now.Sub(since) < downTTL && a.Begun.After(since)
}

func (l *Ledger) markDown(now time.Time, leaf string) {
	since, ok := l.down[leaf]
	if ok && now.Sub(since) < downTTL {
		return
	}
	if len(l.down) >= maxDown {
		clear(l.down)
	}
	l.down[leaf] = now
}

// isExplained reports whether another fingerprint with an earlier charge for
// another leaf ran on the lost leaf, and this one has none.
func (l *Ledger) isExplained(now time.Time, a Attempt) bool {
	if s := l.suspect(now, a.Fingerprint); s != nil && s.hasOther(a.Leaf) {
		return false
	}
	for f := range l.suspects {
		s := l.suspect(now, f)
		if f == a.Fingerprint || s == nil || !s.hasOther(a.Leaf) {
			continue
		}
		at, charged := s.charges[a.Leaf]
		if l.runsOn(f, a.Leaf) || charged && now.Sub(at) < sameCrash {
			return true
		}
	}
	return false
}

// hasOther reports whether there is a charge for another leaf.
func (s *suspect) hasOther(leaf string) bool {
	_, own := s.charges[leaf]
	return len(s.charges) > 1 || len(s.charges) == 1 && !own
}

// charge adds a charge and reports whether it was new.
func (l *Ledger) charge(now time.Time, f Fingerprint, leaf string) bool {
	s := l.suspect(now, f)
	if s == nil {
		if len(l.suspects) >= maxSuspects {
			l.forgetOldest()
		}
		s = &suspect{charges: make(map[string]time.Time)}
		l.suspects[f] = s
	}
	if at, ok := s.charges[leaf]; ok && now.Sub(at) < sameCrash {
		return false
	}
	s.charges[leaf] = now
	s.last = now
	if len(s.charges) >= maxLeafs && s.convicted.IsZero() {
		l.convict(now, s)
	}
	return true
}

// convict quarantines a fingerprint and drops the charges of others for the
// leafs whose loss it explains.
func (l *Ledger) convict(now time.Time, s *suspect) {
	ttl := min(convictionTTL<<min(s.convictions, 8), maxConvictionTTL)
	s.convictions++
	s.convicted = now
	s.until = now.Add(ttl)
	for f, other := range l.suspects {
		if other == s || !other.convicted.IsZero() {
			continue
		}
		for leaf, at := range s.charges {
			if theirs, ok := other.charges[leaf]; ok && theirs.Sub(at).Abs() < sameCrash {
				delete(other.charges, leaf)
			}
		}
		if len(other.charges) == 0 {
			delete(l.suspects, f)
		}
	}
}

func (l *Ledger) forgetOldest() {
	var oldest Fingerprint
	var at time.Time
	for f, s := range l.suspects {
		if at.IsZero() || s.last.Before(at) {
			oldest = f
			at = s.last
		}
	}
	delete(l.suspects, oldest)
}

// Hear takes a report of another node.
func (l *Ledger) Hear(now time.Time, r Report) {
	if l.isProven(now, r.Fingerprint) {
		return
	}
	l.charge(now, r.Fingerprint, r.Leaf)
}

// ReportDelay is the longest time after which a held attempt is worth asking
// for again without another event.
func ReportDelay() time.Duration { return reportDelay }
