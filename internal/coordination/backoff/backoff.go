// Package backoff computes the delay before a client retries, with jitter, so that
// many clients that lost the connection to the same server do not reconnect at once.
package backoff

import "time"

// Policy holds the parameters of a backoff.
type Policy struct {
	// Initial is the upper bound of the first delay.
	Initial time.Duration
	// Max is the upper bound of every delay.
	Max time.Duration
	// ResetAfter is the minimum duration of a call that resets the backoff. It prevents
	// a tight loop of calls to a server that accepts connections and closes them at
	// once.
	ResetAfter time.Duration
}

// PlatformReconnect spreads the reconnects of all nodes after an outage of the platform.
var PlatformReconnect = Policy{
	Initial:    1 * time.Second,
	Max:        5 * time.Second,
	ResetAfter: 10 * time.Second,
}

// Backoff is the state of one client. It is not safe for concurrent use.
type Backoff struct {
	policy Policy
	bound  time.Duration
}

// New returns a Backoff before its first failure.
func New(policy Policy) *Backoff {
	return &Backoff{policy: policy, bound: policy.Initial}
}

// Next returns the delay after a call that failed after the given duration. random is
// a random number in [0, 1). The first delay is uniform between 0 and a bound, which then
// doubles with each failure. Later delays are uniform over the upper half of the range,
// which keeps the call rate of many clients lower than the whole range would.
func (b *Backoff) Next(duration time.Duration, random float64) time.Duration {
	if duration >= b.policy.ResetAfter {
		b.bound = b.policy.Initial
	}
	minDelay := b.bound / 2
	if b.bound == b.policy.Initial {
		minDelay = 0
	}
	delay := minDelay + time.Duration(random*float64(b.bound-minDelay))
	b.bound = min(2*b.bound, b.policy.Max)
	return delay
}

// PlatformFollow is for the few connections through which a gateway watches the
// platform's lists, which must be up to date soon after an outage.
var PlatformFollow = Policy{
	Initial:    200 * time.Millisecond,
	Max:        1 * time.Second,
	ResetAfter: 5 * time.Second,
}
