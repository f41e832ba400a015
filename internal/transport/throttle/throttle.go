// Package throttle blocks goroutines until an admission gate decides on their requests.
package throttle

import (
	"context"
	"sync"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/admission"
	"github.com/hickorydock/hickorydock/internal/coordination/limit"
)

// Throttle guards an admission gate with a lock and wakes the goroutines that wait
// for its decisions. It is safe for concurrent use.
type Throttle struct {
	mu      sync.Mutex
	gate    *admission.Gate
	waiting map[*admission.Ticket]chan struct{}
}

// New returns a throttle for gate. The caller must not use gate afterwards.
func New(gate *admission.Gate) *Throttle {
	return &Throttle{gate: gate, waiting: make(map[*admission.Ticket]chan struct{})}
}

// SetCeiling changes the ceiling of the gate's limit.
func (t *Throttle) SetCeiling(ceiling int) {
	t.mu.Lock()
	t.gate.SetCeiling(ceiling)
	t.mu.Unlock()
}

// Load returns the number of requests in flight, the number in the queue and the
// limit of a class.
func (t *Throttle) Load(class string) (inFlight, queued, limit int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gate.InFlight(), t.gate.Queued(), t.gate.Limit(class)
}

// Enter waits until the gate decides on the ticket. If ctx ends before, it returns
// the error of ctx. After a nil error the ticket's Decision is final; if it is
// Admit, Done must follow.
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

// enter returns a channel that is closed when the gate decides on the ticket, or
// nil if it decided at once.
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

// Done records the end of an admitted request of a class. An error reports an
// invariant violation.
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
