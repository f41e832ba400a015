package quarantine

import "time"

// maxLosses bounds the verified fingerprints whose last loss is remembered.
const maxLosses = 1 << 12

// markVerified records that a leaf answered a request with this fingerprint, and
// clears its attributions unless it is in quarantine.
func (l *Ledger) markVerified(now time.Time, f Fingerprint) {
	if s := l.suspects[f]; s != nil && s.quarantinedAt.IsZero() {
		delete(l.suspects, f)
		l.emit(Event{Kind: EventCleared, Fingerprint: f})
	}
	delete(l.losses, f)
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

// verdict is what the loss of a leaf says about a verified fingerprint that ran there.
type verdict int

const (
	// lostTogether means that the attempt ran when the last leaf was lost: there may be a
	// common cause.
	lostTogether verdict = iota
	// lostOnce means that it is the first loss since the last answer. The fingerprint stays
	// verified, since it may have run beside one that crashes leafs.
	lostOnce
	// refuted means that it is not verified any more: its attempts were lost twice, one after
	// the other, without an answer in between.
	refuted
)

// countLoss counts the loss of a leaf under an attempt of a verified fingerprint, which started
// at startedAt.
func (l *Ledger) countLoss(now, startedAt time.Time, f Fingerprint) verdict {
	last, lost := l.losses[f]
	if !lost || now.Sub(last) > verifiedTTL {
		if len(l.losses) >= maxLosses {
			clear(l.losses)
		}
		l.losses[f] = now
		return lostOnce
	}
	if !startedAt.After(last) {
		return lostTogether
	}
	delete(l.losses, f)
	delete(l.verified, f)
	delete(l.previouslyVerified, f)
	l.emit(Event{Kind: EventRefuted, Fingerprint: f})
	return refuted
}

// countReportedLoss counts a loss that another node has reported, and reports whether the
// fingerprint is refuted. Losses within crashWindow count as lost together.
func (l *Ledger) countReportedLoss(now time.Time, f Fingerprint) bool {
	return l.countLoss(now, now.Add(-crashWindow), f) == refuted
}

// isDoubted reports whether a leaf was lost under a verified fingerprint since its last answer.
func (l *Ledger) isDoubted(now time.Time, f Fingerprint) bool {
	last, lost := l.losses[f]
	return lost && now.Sub(last) <= verifiedTTL && l.isVerified(now, f)
}
