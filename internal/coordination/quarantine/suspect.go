package quarantine

import (
	"slices"
	"time"
)

// suspect is a fingerprint with charges.
type suspect struct {
	charges     []charge
	last        time.Time // of the last charge
	own         time.Time // of the last charge by this node
	convicted   time.Time // zero: not convicted
	until       time.Time // end of the conviction
	convictions int
}

// charge is one loss of a leaf.
type charge struct {
	leaf string
	at   time.Time
}

// release ends a conviction. One charge stays, so that the next loss convicts
// again.
func (s *suspect) release(now time.Time) {
	s.convicted = time.Time{}
	latest := s.charges[len(s.charges)-1]
	s.charges = []charge{{latest.leaf, now}}
	s.last = now
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

// lose charges a fingerprint with the loss of a leaf and reports whether it
// did. There is no charge when the leaf was lost before the attempt began, when
// another fingerprint explains the loss, and for what ran beside the attempt of
// this node's last charge: leafs lost together may have a cause in common.
func (l *Ledger) lose(now time.Time, a Attempt) bool {
	wasDown := l.isDown(now, a)
	l.markDown(now, a.Leaf)
	if wasDown || l.isProven(now, a.Fingerprint) || l.isExplained(now, a) {
		return false
	}
	if s := l.suspect(now, a.Fingerprint); s != nil && !a.StartedAt.After(s.own) {
		return false
	}
	charged := l.charge(now, a.Fingerprint, a.Leaf)
	if s := l.suspects[a.Fingerprint]; s != nil {
		s.own = now
	}
	return charged
}

// isExplained reports whether another fingerprint with a charge for another
// crash ran on the lost leaf. It explains no loss of a suspect's own trial,
// which runs beside no other suspect.
func (l *Ledger) isExplained(now time.Time, a Attempt) bool {
	own := l.suspect(now, a.Fingerprint)
	if own != nil && own.hasOther(now, a.Leaf) && a.StartedAt.After(own.last) {
		return false
	}
	if t, ok := l.trials[a.Leaf]; ok && t.fingerprint != a.Fingerprint && now.Before(t.until) {
		return true
	}
	for f := range l.suspects {
		s := l.suspect(now, f)
		if f == a.Fingerprint || s == nil || !s.hasOther(now, a.Leaf) {
			continue
		}
		if l.runsOn(f, a.Leaf) || s.isCharged(now, a.Leaf) {
			return true
		}
	}
	return false
}

// isDown reports whether the leaf was lost before the attempt began.
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

// isCharged reports whether there is a charge for the crash of a leaf at now.
func (s *suspect) isCharged(now time.Time, leaf string) bool {
	for _, c := range s.charges {
		if c.leaf == leaf && now.Sub(c.at) < sameCrash {
			return true
		}
	}
	return false
}

// hasOther reports whether there is a charge for another crash than that of a
// leaf at now.
func (s *suspect) hasOther(now time.Time, leaf string) bool {
	for _, c := range s.charges {
		if c.leaf != leaf || now.Sub(c.at) >= sameCrash {
			return true
		}
	}
	return false
}

// charge adds a charge and reports whether it was new.
func (l *Ledger) charge(now time.Time, f Fingerprint, leaf string) bool {
	s := l.suspect(now, f)
	if s == nil {
		if len(l.suspects) >= maxSuspects {
			l.forgetOldest()
		}
		s = &suspect{}
		l.suspects[f] = s
	}
	if s.isCharged(now, leaf) {
		return false
	}
	s.charges = append(s.charges, charge{leaf, now})
	s.last = now
	if len(s.charges) >= maxCrashes && s.convicted.IsZero() {
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
		if other != s {
			other.drop(s.charges)
		}
		if len(other.charges) == 0 {
			delete(l.suspects, f)
		}
	}
}

// drop takes away the charges for crashes that are explained, and the first
// conviction when too few are left for it.
func (s *suspect) drop(explained []charge) {
	s.charges = slices.DeleteFunc(s.charges, func(own charge) bool {
		return slices.ContainsFunc(explained, func(c charge) bool {
			return c.leaf == own.leaf && own.at.Sub(c.at).Abs() < sameCrash
		})
	})
	if len(s.charges) < maxCrashes && s.convictions <= 1 {
		s.convicted = time.Time{}
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
