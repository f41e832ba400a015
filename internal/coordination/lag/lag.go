// Package lag estimates how much later than scheduled a node acts because its
// processor is busy or slow, so that deadlines can allow for the delay.
package lag

import (
	"sync"
	"time"
)

const (
	// decay multiplies the estimate at each observation below it.
	decay = 0.97
	// maxObservation bounds one observation, such as one after a pause of the process.
	maxObservation = 20 * time.Millisecond
)

// Lag is the delay estimate of one node. The zero value has no observations. It is
// safe for concurrent use.
type Lag struct {
	mu       sync.Mutex
	estimate time.Duration
}

// Observe records how much later than scheduled an action ran.
func (l *Lag) Observe(late time.Duration) {
	late = min(max(late, 0), maxObservation)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.estimate = max(late, time.Duration(decay*float64(l.estimate)))
}

// Expected is the delay to allow for: about the largest recent one.
func (l *Lag) Expected() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.estimate
}
