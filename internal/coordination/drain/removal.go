package drain

import "time"

const (
	// reregistrationTime is how long after an outage the platform's list may lack live
	// leafs, since their registrations expired during the outage.
	reregistrationTime = 2 * time.Second
	// outageGracePeriod is how long after the last failed call a removal from the list
	// may be due to an expired registration.
	outageGracePeriod = 4 * time.Second
)

// Outage is the last outage of the platform, as calls show it. The zero value is none.
type Outage struct {
	// failedAt is when a call failed last, and backAt when the platform has confirmed
	// something after that first; zero if it has not yet.
	failedAt, backAt time.Time
}

// Failed records that a call failed at now.
func (o *Outage) Failed(now time.Time) { *o = Outage{failedAt: now} }

// Confirmed records that the platform confirmed at a time what this node has, perhaps
// through another node.
func (o *Outage) Confirmed(at time.Time) {
	if o.backAt.IsZero() && at.After(o.failedAt) {
		o.backAt = at
	}
}

// RemovalGracePeriod returns how long from now on a leaf that was removed from the platform's
// list still counts as listed: 0 without a recent outage, else until leafs whose registrations
// expired during it have registered again.
func (o *Outage) RemovalGracePeriod(now time.Time) time.Duration {
	switch {
	case o.failedAt.IsZero(), now.Sub(o.failedAt) > outageGracePeriod:
		return 0
	case o.backAt.IsZero():
		return reregistrationTime
	default:
		return max(o.backAt.Add(reregistrationTime).Sub(now), 0)
	}
}
