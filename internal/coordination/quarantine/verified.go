package quarantine

import "time"

// markVerified records that a leaf answered a request with this fingerprint, and
// clears its attributions unless it is in quarantine.
func (l *Ledger) markVerified(now time.Time, f Fingerprint) {
	if s := l.suspects[f]; s != nil && s.quarantinedAt.IsZero() {
		delete(l.suspects, f)
		l.emit(Event{Kind: EventCleared, Fingerprint: f})
	}
	if l.isVerified(now, f) {
		return
	}
	if len(l.verified) >= maxVerified || now.Sub(l.periodStart) > verifiedTTL {
		l.previouslyVerified = l.verified
		l.verified = make(map[Fingerprint]struct{})
		l.periodStart = now
	}
	l.verified[f] = struct{}{}
}

func (l *Ledger) isVerified(now time.Time, f Fingerprint) bool {
	if now.Sub(l.periodStart) > 2*verifiedTTL {
		return false
	}
	if _, ok := l.verified[f]; ok {
		return true
	}
	_, ok := l.previouslyVerified[f]
	return ok
}
