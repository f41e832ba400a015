// Package backoff decides how long a client waits before it calls again, so
// that many clients that lost the same server come back spread over time.
package backoff

import "time"

// Policy bounds the waits.
type Policy struct {
	// First is the upper bound of the first wait.
	First time.Duration
	// Most is the upper bound of every wait.
	Most time.Duration
	// Settled is the time that a call has to last to count as a success, so that
	// a server that accepts and drops at once is not called in a tight loop.
	Settled time.Duration
}

// PlatformReturn spreads the return of all nodes after an outage of the platform.
var PlatformReturn = Policy{
	First:   1 * time.Second,
	Most:    5 * time.Second,
	Settled: 10 * time.Second,
}

// Backoff is the state of one client. It is not safe for concurrent use.
type Backoff struct {
	policy Policy
	bound  time.Duration
}

// New returns a Backoff before its first failure.
func New(policy Policy) *Backoff {
	return &Backoff{policy: policy, bound: policy.First}
}

// Next returns the wait after a call that failed after lasting a while. draw is
// a random number in [0, 1). The first wait is uniform up to a bound, which then
// doubles with each failure; later waits are uniform over its upper half, which
// keeps the rate of calls of many clients lower than the whole range would.
func (b *Backoff) Next(lasted time.Duration, draw float64) time.Duration {
	if lasted >= b.policy.Settled {
		b.bound = b.policy.First
	}
	least := b.bound / 2
	if b.bound == b.policy.First {
		least = 0
	}
	wait := least + time.Duration(draw*float64(b.bound-least))
	b.bound = min(2*b.bound, b.policy.Most)
	return wait
}

// PlatformFollow is for the few connections by which a gateway follows the
// platform's lists, which must be current soon after an outage.
var PlatformFollow = Policy{
	First:   200 * time.Millisecond,
	Most:    1 * time.Second,
	Settled: 5 * time.Second,
}
