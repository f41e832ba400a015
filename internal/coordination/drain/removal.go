package drain

import "time"

const (
	// reregistrationTime is how long after an outage the platform's list may lack live
	// leafs, since their registrations expired during the outage.
	reregistrationTime = 2 * time.Second
	// failureTTL is how long a failed read of this node counts while the platform confirms
	// the copies of other nodes.
	failureTTL = 4 * time.Second
)

// Outage distinguishes outages of the platform, in which registrations may expire, from single
// reads that failed. A node that loses its own way to the platform has an outage of its own, since leafs near
// it may have lost theirs too. The zero value has seen none.
type Outage struct {
	// since is from when on reads of this node have failed, zero if the last one succeeded;
	// failedAt is when one failed last, and othersServed is true if the platform has served
	// other nodes since.
	since, failedAt time.Time
	othersServed    bool
	// sourceSince is from when on reads of the node have failed that this one follows, zero if
	// its copy was confirmed later.
	sourceSince time.Time
	// ended is when the last outage ended for this node, and platformEnded when the last one of
	// the platform itself did.
	ended, platformEnded time.Time
}

// Failed records at now that a read failed, which the platform may not have served since a
// time before.
func (o *Outage) Failed(since, now time.Time) {
	if o.since.IsZero() || now.Sub(o.failedAt) > failureTTL {
		o.since, o.othersServed = since, false
	}
	o.failedAt = now
}

// Served records that the platform served a read of this node at a time. It returns how long
// the outage lasted that ends with it, or 0. Reads that fail for less than the time between two
// heartbeats of a leaf are no outage: a leaf misses one heartbeat at most, and its registration
// does not expire.
func (o *Outage) Served(at time.Time, heartbeat time.Duration) time.Duration {
	since := o.sourceSince
	if !o.since.IsZero() && at.Sub(o.failedAt) <= failureTTL {
		since = o.since
	}
	o.since, o.sourceSince = time.Time{}, time.Time{}
	if since.IsZero() || at.Sub(since) < heartbeat {
		return 0
	}
	o.ended = at
	if !o.othersServed {
		o.platformEnded = at
	}
	return at.Sub(since)
}

// Confirmed records that the platform confirmed at a time the copy that this node got from another
// one. Its own reads may still fail.
func (o *Outage) Confirmed(at time.Time, heartbeat time.Duration) {
	if at.After(o.sourceSince) {
		o.sourceSince = time.Time{}
	}
	if o.since.IsZero() || !at.After(o.since) {
		return
	}
	o.othersServed = true
	if at.Sub(o.failedAt) <= failureTTL && at.Sub(o.since) >= heartbeat {
		o.ended = at
	}
}

// SourceFailed records that the node that this one follows has had no read served since a time.
func (o *Outage) SourceFailed(since time.Time) {
	if o.sourceSince.IsZero() {
		o.sourceSince = since
	}
}

// FailingSince returns from when on the reads of this node or of its source have failed, if that
// was after its copy was confirmed; else it returns zero.
func (o *Outage) FailingSince(confirmed time.Time) time.Time {
	for _, since := range []time.Time{o.since, o.sourceSince} {
		if since.After(confirmed) {
			return since
		}
	}
	return time.Time{}
}

// EndedAt records when an outage of the platform ended that another node has seen.
func (o *Outage) EndedAt(at time.Time) {
	if at.After(o.platformEnded) {
		o.platformEnded = at
	}
	if at.After(o.ended) {
		o.ended = at
	}
}

// Ended returns when the last outage ended for this node, zero if there was none.
func (o *Outage) Ended() time.Time { return o.ended }

// PlatformEnded returns when the last outage of the platform itself ended, zero if there was none.
func (o *Outage) PlatformEnded() time.Time { return o.platformEnded }

// RemovalGracePeriod returns how long from now on a leaf that was removed from the platform's
// list still counts as listed: until leafs whose registrations expired during an outage have
// registered again. It is 0 if the last outage ended long ago, and for a zero time.
func RemovalGracePeriod(ended, now time.Time) time.Duration {
	return max(ended.Add(reregistrationTime).Sub(now), 0)
}
