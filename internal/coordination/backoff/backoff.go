// Package backoff decides how long a client waits before it calls again, so
// that many clients that lost the same server come back spread over time.
package backoff

import "time"

// Policy bounds the waits.
type Policy struct {
	// Initial is the upper bound of the first wait.
	Initial time.Duration
	// Max is the upper bound of every wait.
	Max time.Duration
	// ResetAfter is the time that a call has to last to count as a success, so that
	// a server that accepts and drops at once is not called in a tight loop.
	ResetAfter time.Duration
}

// PlatformReconnect spreads the return of all nodes after an outage of the platform.
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

// Next returns the wait after a call that failed after lasting a while. draw is
// a random number in [0, 1). The first wait is uniform up to a bound, which then
// doubles with each failure; later waits are uniform over its upper half, which
// keeps the rate of calls of many clients lower than the whole range would.
func (b *Backoff) Next(lasted time.Duration, draw float64) time.Duration {
	if lasted >= b.policy.ResetAfter {
		b.bound = b.policy.Initial
	}
	least := b.bound / 2
	if b.bound == b.policy.Initial {
		least = 0
	}
	wait := least + time.Duration(draw*float64(b.bound-least))
	b.bound = min(2*b.bound, b.policy.Max)
	return wait
}

// PlatformFollow is for the few connections by which a gateway follows the
// platform's lists, which must be current soon after an outage.
var PlatformFollow = Policy{
	Initial:    200 * time.Millisecond,
	Max:        1 * time.Second,
	ResetAfter: 5 * time.Second,
}
