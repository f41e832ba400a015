package quarantine

import (
	"slices"
	"time"
)

// suspect is a fingerprint with attributed crashes.
type suspect struct {
	attributions     []attribution
	lastAttributed   time.Time // by any node
	lastLocal        time.Time // last attribution by this node
	quarantinedAt    time.Time // zero: not quarantined
	quarantinedUntil time.Time
	quarantineCount  int
}

// attribution is one crash of a leaf that is attributed to a fingerprint.
type attribution struct {
	leaf string
	at   time.Time
}

// endQuarantine lifts the quarantine. One attribution stays, so that the next crash
// quarantines the fingerprint again.
func (s *suspect) endQuarantine(now time.Time) {
	s.quarantinedAt = time.Time{}
	latest := s.attributions[len(s.attributions)-1]
	s.attributions = []attribution{{latest.leaf, now}}
	s.lastAttributed = now
}

// suspect returns the record of a suspect, or nil when no crash is attributed to the
// fingerprint or the attributions have expired.
func (l *Ledger) suspect(now time.Time, f Fingerprint) *suspect {
	s, ok := l.suspects[f]
	if !ok {
		return nil
	}
	if s.quarantinedAt.IsZero() && now.Sub(s.lastAttributed) > attributionTTL {
		delete(l.suspects, f)
		return nil
	}
	return s
}

// recordLoss records the loss of a leaf under an attempt and returns what to report. The loss is
// not attributed to the fingerprint when the leaf was lost before the attempt started, when
// another fingerprint accounts for it, or when the fingerprint stays verified. Neither is it when
// the attempt ran at the time of this node's last attribution to the fingerprint: leafs lost
// together may have a common cause.
func (l *Ledger) recordLoss(now time.Time, a Attempt) Kind {
	wasDown := l.isDown(now, a)
	l.markDown(now, a.Leaf)
	if wasDown || l.hasOtherCause(now, a) {
		return TrialEnded
	}
	if l.isVerified(now, a.Fingerprint) {
		switch l.countLoss(now, a.StartedAt, a.Fingerprint) {
		case lostTogether:
			return TrialEnded
		case lostOnce:
			return VerifiedLost
		case refuted:
		}
	}
	if s := l.suspect(now, a.Fingerprint); s != nil && !a.StartedAt.After(s.lastLocal) {
		return TrialEnded
	}
	attributed := l.attribute(now, a.Fingerprint, a.Leaf)
	if s := l.suspects[a.Fingerprint]; s != nil {
		s.lastLocal = now
	}
	if !attributed {
		return TrialEnded
	}
	l.rememberLocal(now, a.Fingerprint, a.Leaf)
	return CrashAttributed
}

// hasOtherCause reports whether another fingerprint, to which a different crash is
// attributed, ran on the lost leaf. The loss during a suspect's own trial has no other
// cause, since a trial never runs beside another suspect.
func (l *Ledger) hasOtherCause(now time.Time, a Attempt) bool {
	current := l.suspect(now, a.Fingerprint)
	if current != nil && current.hasOtherCrash(now, a.Leaf) && a.StartedAt.After(current.lastAttributed) {
		return false
	}
	if t, ok := l.peerTrials[a.Leaf]; ok && t.fingerprint != a.Fingerprint && now.Before(t.until) {
		return true
	}
	for f := range l.suspects {
		s := l.suspect(now, f)
		if f == a.Fingerprint || s == nil || !s.hasOtherCrash(now, a.Leaf) {
			continue
		}
		if l.runsOn(f, a.Leaf) || s.hasAttribution(now, a.Leaf) {
			return true
		}
	}
	return false
}

// isDown reports whether the leaf was lost before the attempt started.
func (l *Ledger) isDown(now time.Time, a Attempt) bool {
	since, ok := l.down[a.Leaf]
	return ok && now.Sub(since) < downTTL && a.StartedAt.After(since)
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

// hasAttribution reports whether the crash of a leaf at now is attributed already.
func (s *suspect) hasAttribution(now time.Time, leaf string) bool {
	for _, a := range s.attributions {
		if a.leaf == leaf && now.Sub(a.at) < crashWindow {
			return true
		}
	}
	return false
}

// hasOtherCrash reports whether a crash other than that of a leaf at now is
// attributed.
func (s *suspect) hasOtherCrash(now time.Time, leaf string) bool {
	for _, a := range s.attributions {
		if a.leaf != leaf || now.Sub(a.at) >= crashWindow {
			return true
		}
	}
	return false
}

// attribute adds an attribution and reports whether it was new.
func (l *Ledger) attribute(now time.Time, f Fingerprint, leaf string) bool {
	s := l.suspect(now, f)
	if s == nil {
		if len(l.suspects) >= maxSuspects {
			l.evictOldest()
		}
		s = &suspect{}
		l.suspects[f] = s
	}
	if s.hasAttribution(now, leaf) {
		return false
	}
	s.attributions = append(s.attributions, attribution{leaf, now})
	s.lastAttributed = now
	l.emit(Event{Kind: EventAttributed, Fingerprint: f, Leaf: leaf, Attributions: len(s.attributions)})
	if len(s.attributions) >= crashThreshold && s.quarantinedAt.IsZero() {
		l.quarantine(now, s)
		l.emit(Event{Kind: EventQuarantined, Fingerprint: f, Attributions: len(s.attributions)})
	}
	return true
}

// quarantine puts a fingerprint into quarantine and removes the attributions of the
// same crashes to other fingerprints, but for the last.
func (l *Ledger) quarantine(now time.Time, s *suspect) {
	ttl := min(quarantineTTL<<min(s.quarantineCount, 8), maxQuarantineTTL)
	s.quarantineCount++
	s.quarantinedAt = now
	s.quarantinedUntil = now.Add(ttl)
	for otherF, other := range l.suspects {
		if other != s && other.removeExplained(s.attributions) {
			l.emit(Event{Kind: EventExplained, Fingerprint: otherF, Attributions: len(other.attributions)})
		}
	}
}

// removeExplained removes the attributions of crashes that another fingerprint may
// explain, and reports whether that changed anything. It also lifts a first quarantine if too
// few attributions remain. The latest attribution always remains: either fingerprint may be the
// one that crashes leafs, and a suspect runs on one leaf at a time until it is answered.
func (s *suspect) removeExplained(explained []attribution) bool {
	latest := s.attributions[len(s.attributions)-1]
	before, wasQuarantined := len(s.attributions), !s.quarantinedAt.IsZero()
	s.attributions = slices.DeleteFunc(s.attributions, func(candidate attribution) bool {
		return slices.ContainsFunc(explained, func(a attribution) bool {
			return a.leaf == candidate.leaf && candidate.at.Sub(a.at).Abs() < crashWindow
		})
	})
	if len(s.attributions) == 0 {
		s.attributions = append(s.attributions, latest)
	}
	if len(s.attributions) < crashThreshold && s.quarantineCount <= 1 {
		s.quarantinedAt = time.Time{}
	}
	return len(s.attributions) < before || wasQuarantined && s.quarantinedAt.IsZero()
}

func (l *Ledger) evictOldest() {
	var oldest Fingerprint
	var at time.Time
	for f, s := range l.suspects {
		if at.IsZero() || s.lastAttributed.Before(at) {
			oldest = f
			at = s.lastAttributed
		}
	}
	delete(l.suspects, oldest)
}
