package quarantine

import "time"

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
