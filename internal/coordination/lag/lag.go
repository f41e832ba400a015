// Package lag learns how much later than planned a node acts, as a busy or slow
// processor makes it, so that plans can allow for it.
package lag

import (
	"sync"
	"time"
)

const (
	// decay multiplies what is known with each observation that is smaller.
	decay = 0.97
	// longest bounds one observation, such as one after a pause of the process.
	longest = 20 * time.Millisecond
)

// Lag is the state of one node. The zero value has seen no delay. It is safe for
// concurrent use.
type Lag struct {
	mu    sync.Mutex
	known time.Duration
}

// Observe takes how much later than planned something was done.
func (l *Lag) Observe(late time.Duration) {
	late = min(max(late, 0), longest)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known = max(late, time.Duration(decay*float64(l.known)))
}

// Expected is the delay to allow for: about the largest of late.
func (l *Lag) Expected() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known
}
