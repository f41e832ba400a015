package quarantine

import (
	"slices"
	"time"
)

const (
	// withdrawTTL is how long an attribution can be withdrawn.
	withdrawTTL = 30 * time.Second
	// maxLocal bounds the attributions of this node that can be withdrawn.
	maxLocal = 1 << 12
)

// localAttribution is an attribution that this node has made.
type localAttribution struct {
	fingerprint Fingerprint
	attribution
}

// rememberLocal keeps an attribution of this node, so that it can be withdrawn.
func (l *Ledger) rememberLocal(now time.Time, f Fingerprint, leaf string) {
	l.local = slices.DeleteFunc(l.local, func(a localAttribution) bool { return now.Sub(a.at) >= withdrawTTL })
	if len(l.local) >= maxLocal {
		l.local = slices.Delete(l.local, 0, 1)
	}
	l.local = append(l.local, localAttribution{f, attribution{leaf, now}})
}

// Withdraw withdraws what this node has concluded from lost connections since a time, because
// its own links had failed. It returns the reports for peers.
func (l *Ledger) Withdraw(now, since time.Time) []Report {
	var reports []Report
	l.local = slices.DeleteFunc(l.local, func(a localAttribution) bool {
		if a.at.Before(since) || now.Sub(a.at) >= withdrawTTL {
			return false
		}
		l.withdraw(now, a.fingerprint, a.leaf)
		reports = append(reports, Report{Kind: Withdrawn, Fingerprint: a.fingerprint, Leaf: a.leaf})
		return true
	})
	for f, at := range l.losses {
		if !at.Before(since) {
			delete(l.losses, f)
		}
	}
	for leaf, at := range l.down {
		if !at.Before(since) {
			delete(l.down, leaf)
		}
	}
	return reports
}

// withdraw removes the attributions of a leaf's recent crashes to a fingerprint, and lifts its
// quarantine if too few remain.
func (l *Ledger) withdraw(now time.Time, f Fingerprint, leaf string) {
	s := l.suspect(now, f)
	if s == nil {
		return
	}
	before := len(s.attributions)
	s.attributions = slices.DeleteFunc(s.attributions, func(a attribution) bool { return a.leaf == leaf && now.Sub(a.at) < withdrawTTL })
	if len(s.attributions) == before {
		return
	}
	l.emit(Event{Kind: EventWithdrawn, Fingerprint: f, Leaf: leaf, Attributions: len(s.attributions)})
	if len(s.attributions) < crashThreshold && !s.quarantinedAt.IsZero() {
		s.quarantinedAt = time.Time{}
		s.quarantineCount--
	}
	if len(s.attributions) == 0 {
		delete(l.suspects, f)
	}
}
