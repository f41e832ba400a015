// Package throttle lets goroutines wait at an admission gate.
package throttle

import (
	"context"
	"sync"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/admission"
	"github.com/hickorydock/hickorydock/internal/coordination/limit"
)

// Throttle is a gate with its lock and its waiting goroutines. It is safe for
// concurrent use.
type Throttle struct {
	mu      sync.Mutex
	gate    *admission.Gate
	waiting map[*admission.Ticket]chan struct{}
}

// New returns a throttle at a gate, which it owns from now on.
func New(gate *admission.Gate) *Throttle {
	return &Throttle{gate: gate, waiting: make(map[*admission.Ticket]chan struct{})}
}

// SetCeiling changes the ceiling of the gate's limit.
func (t *Throttle) SetCeiling(ceiling int) {
	t.mu.Lock()
	t.gate.SetCeiling(ceiling)
	t.mu.Unlock()
}

// Load is the work in flight, the work that waits and the limit of a class.
func (t *Throttle) Load(class string) (inFlight, queued, limit int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gate.InFlight(), t.gate.Queued(), t.gate.Limit(class)
}

// Enter waits until the ticket is decided or ctx ends, which returns its error.
// After a nil error the ticket's Decision is final; Done must follow Admit.
func (t *Throttle) Enter(ctx context.Context, ticket *admission.Ticket) error {
	decided := t.enter(ticket)
	if decided == nil {
		return nil
	}
	select {
	case <-decided:
		return nil
	case <-ctx.Done():
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.gate.Abandon(ticket) {
		delete(t.waiting, ticket)
		return ctx.Err()
	}
	return nil
}

// enter returns a channel that closes with the decision, or nil when it is made.
func (t *Throttle) enter(ticket *admission.Ticket) chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wake(t.gate.Enter(time.Now(), ticket))
	if ticket.Decision != admission.Wait {
		return nil
	}
	decided := make(chan struct{})
	t.waiting[ticket] = decided
	return decided
}

// Done ends admitted work of a class. The error names a broken invariant.
func (t *Throttle) Done(class string, s limit.Sample) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	decided, err := t.gate.Done(time.Now(), class, s)
	t.wake(decided)
	return err
}

func (t *Throttle) wake(decided []*admission.Ticket) {
	for _, ticket := range decided {
		close(t.waiting[ticket])
		delete(t.waiting, ticket)
	}
}
