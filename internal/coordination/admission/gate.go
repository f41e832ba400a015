// Package admission decides which work begins, which waits and which is
// refused. A Gate bounds the work in flight by a limit of its own and by one a
// class (a service), keeps short queues that respect deadlines, is fair between
// classes and orders each class by priority. It takes events with their time,
// does no input or output and is used under the lock of its owner.
package admission

import (
	"fmt"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/limit"
)

const (
	// minQueue is the length of a class's queue that is always allowed.
	minQueue = 4
	// latencyReserve is how many times the median time of work a ticket that
	// waited must have left, for work takes longer than its median half the time.
	latencyReserve = 2
	// minRetryAfter and maxRetryAfter bound the advice to refused callers.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Decision is what becomes of a ticket.
type Decision int

// Decisions.
const (
	// Wait means that a later event decides.
	Wait Decision = iota
	// Admit means that the work may begin; Done must follow.
	Admit
	// RefuseFull means that the queue is full.
	RefuseFull
	// RefuseLate means that the work would not end before its deadline.
	RefuseLate
)

// Ticket is one unit of work that asks to begin. The gate owns it until it is
// admitted, refused or abandoned.
type Ticket struct {
	// Class is the service that the work belongs to.
	Class string
	// Priority orders tickets of a class; higher goes first.
	Priority int
	// Deadline is when the work has to be over.
	Deadline time.Time
	// Decision is the gate's answer.
	Decision Decision
	// RetryAfter advises the caller of refused work.
	RetryAfter time.Duration
}

// class is the state of one service.
type class struct {
	name     string
	limiter  *limit.Limiter // nil: bounded by the gate only
	inFlight int
	queue    []*Ticket // by priority, then by arrival
	served   uint64    // number of the last grant, for ties
}

func (c *class) hasRoom() bool { return c.limiter == nil || c.inFlight < c.limiter.Limit() }

// Gate is the state of one gate.
type Gate struct {
	Config

	classes  map[string]*class
	waiting  []*class // those with tickets in their queue
	inFlight int
	queued   int
	grants   uint64
}

// Config bounds a gate.
type Config struct {
	// Total is the limit of all classes together.
	Total *limit.Limiter
	// NewClass makes the limit of each class; nil means that classes have none.
	NewClass func() *limit.Limiter
	// MaxQueue bounds all queues together.
	MaxQueue int
	// QueuePerLimit bounds the queue of each class, in units of its limit; 0
	// leaves MaxQueue as the only bound.
	QueuePerLimit int
}

// New returns a gate without work.
func New(cfg Config) *Gate { return &Gate{Config: cfg, classes: make(map[string]*class)} }

// SetCeiling changes the ceiling of the gate's limit.
func (g *Gate) SetCeiling(ceiling int) { g.Total.SetCeiling(ceiling) }

// InFlight is the number of admitted units of work.
func (g *Gate) InFlight() int { return g.inFlight }

// Queued is the number of tickets that wait.
func (g *Gate) Queued() int { return g.queued }

// Limit is the limit in force for a class.
func (g *Gate) Limit(name string) int {
	c := g.class(name)
	if c.limiter == nil {
		return g.Total.Limit()
	}
	return min(g.Total.Limit(), c.limiter.Limit())
}

func (g *Gate) class(name string) *class {
	c, ok := g.classes[name]
	if !ok {
		c = &class{name: name}
		if g.NewClass != nil {
			c.limiter = g.NewClass()
		}
		g.classes[name] = c
	}
	return c
}

// Enter decides over a new ticket. The tickets returned are others that were
// refused to make room for it.
func (g *Gate) Enter(now time.Time, t *Ticket) []*Ticket {
	c := g.class(t.Class)
	if !now.Before(t.Deadline) {
		g.refuse(c, t, RefuseLate)
		return nil
	}
	if len(c.queue) == 0 && c.hasRoom() && g.inFlight < g.Total.Limit() {
		g.grant(c, t)
		return nil
	}
	ahead := c.ahead(t.Priority)
	if now.Add(g.wait(c, ahead+1) + latencyReserve*g.latency(c)).After(t.Deadline) {
		g.refuse(c, t, RefuseLate)
		return nil
	}
	evicted, ok := g.makeRoom(c, t)
	if !ok {
		g.refuse(c, t, RefuseFull)
		return nil
	}
	g.enqueue(c, t)
	return evicted
}

// latency is how long a unit of work of a class is expected to take.
func (g *Gate) latency(c *class) time.Duration {
	if c.limiter == nil {
		return g.Total.Latency()
	}
	return c.limiter.Latency()
}

// wait is the expected wait of the ticket at a place of the queue, from 1.
func (g *Gate) wait(c *class, place int) time.Duration {
	return time.Duration(float64(g.latency(c)) * float64(place) / float64(max(g.Limit(c.name), 1)))
}

// ahead counts the tickets of the queue that go before a new one.
func (c *class) ahead(priority int) int {
	n := 0
	for n < len(c.queue) && c.queue[n].Priority >= priority {
		n++
	}
	return n
}

// makeRoom finds a place in the queue for t: a free one, that of a ticket of
// lower priority of its class, or that of a class with a longer queue.
func (g *Gate) makeRoom(c *class, t *Ticket) ([]*Ticket, bool) {
	own := g.MaxQueue
	if g.QueuePerLimit > 0 {
		own = max(minQueue, g.QueuePerLimit*g.Limit(c.name))
	}
	if len(c.queue) < own && g.queued < g.MaxQueue {
		return nil, true
	}
	if last := len(c.queue) - 1; last >= 0 && c.queue[last].Priority < t.Priority {
		return []*Ticket{g.evictLast(c)}, true
	}
	if len(c.queue) >= own {
		return nil, false
	}
	longest := c
	for _, other := range g.waiting {
		if len(other.queue) > len(longest.queue) {
			longest = other
		}
	}
	if len(longest.queue) <= len(c.queue)+1 {
		return nil, false
	}
	return []*Ticket{g.evictLast(longest)}, true
}

// evictLast refuses the youngest ticket of the lowest priority of a class.
func (g *Gate) evictLast(c *class) *Ticket {
	t := c.queue[len(c.queue)-1]
	g.remove(c, len(c.queue)-1)
	g.refuse(c, t, RefuseFull)
	return t
}

func (g *Gate) enqueue(c *class, t *Ticket) {
	t.Decision = Wait
	i := c.ahead(t.Priority)
	c.queue = append(c.queue, nil)
	copy(c.queue[i+1:], c.queue[i:])
	c.queue[i] = t
	g.queued++
	if len(c.queue) == 1 {
		g.waiting = append(g.waiting, c)
	}
}

// remove takes the ticket at i out of a queue.
func (g *Gate) remove(c *class, i int) {
	c.queue = append(c.queue[:i], c.queue[i+1:]...)
	g.queued--
	if len(c.queue) > 0 {
		return
	}
	for k, other := range g.waiting {
		if other == c {
			g.waiting = append(g.waiting[:k], g.waiting[k+1:]...)
			return
		}
	}
}

func (g *Gate) grant(c *class, t *Ticket) {
	t.Decision = Admit
	c.inFlight++
	g.inFlight++
	g.grants++
	c.served = g.grants
}

func (g *Gate) refuse(c *class, t *Ticket, d Decision) {
	t.Decision = d
	t.RetryAfter = min(max(g.wait(c, len(c.queue)+c.inFlight), minRetryAfter), maxRetryAfter)
}

// Abandon takes a waiting ticket out of its queue, as when its caller left. It
// reports false when the ticket does not wait any more.
func (g *Gate) Abandon(t *Ticket) bool {
	c := g.class(t.Class)
	for i, queued := range c.queue {
		if queued == t {
			g.remove(c, i)
			return true
		}
	}
	return false
}

// Done takes the end of admitted work of a class and returns the tickets that
// it decided over. The error names a broken invariant; the gate stays usable.
func (g *Gate) Done(now time.Time, name string, s limit.Sample) ([]*Ticket, error) {
	c := g.class(name)
	if c.inFlight == 0 || g.inFlight == 0 {
		return nil, fmt.Errorf("work of class %s ended that did not begin", name)
	}
	g.Total.Observe(now, g.inFlight, s)
	if c.limiter != nil {
		c.limiter.Observe(now, c.inFlight, s)
	}
	c.inFlight--
	g.inFlight--
	decided := g.dispatch(now)
	return append(decided, g.expire(now)...), nil
}

// expire refuses every waiting ticket that became late, so that its caller
// learns it at once and not when its turn comes.
func (g *Gate) expire(now time.Time) []*Ticket {
	var late []*Ticket
	for k := len(g.waiting) - 1; k >= 0; k-- {
		c := g.waiting[k]
		for i := len(c.queue) - 1; i >= 0; i-- {
			t := c.queue[i]
			if !g.isLate(now, c, t) {
				continue
			}
			g.remove(c, i)
			g.refuse(c, t, RefuseLate)
			late = append(late, t)
		}
	}
	return late
}

// dispatch grants tickets while there is room and refuses those that are late.
func (g *Gate) dispatch(now time.Time) []*Ticket {
	var decided []*Ticket
	for g.inFlight < g.Total.Limit() {
		c := g.next()
		if c == nil {
			break
		}
		t := c.queue[0]
		g.remove(c, 0)
		if g.isLate(now, c, t) {
			g.refuse(c, t, RefuseLate)
		} else {
			g.grant(c, t)
		}
		decided = append(decided, t)
	}
	return decided
}

// isLate reports whether a ticket that waited is not worth beginning. A class
// without work in flight begins it even when the expected time is too long, so
// that an estimate from a bad moment is measured again.
func (g *Gate) isLate(now time.Time, c *class, t *Ticket) bool {
	if !now.Before(t.Deadline) {
		return true
	}
	if c.inFlight == 0 {
		return false
	}
	return !now.Add(latencyReserve * g.latency(c)).Before(t.Deadline)
}

// next is the waiting class with room that has the least work in flight, and
// among those the one served longest ago.
func (g *Gate) next() *class {
	var best *class
	for _, c := range g.waiting {
		if !c.hasRoom() {
			continue
		}
		less := best == nil || c.inFlight < best.inFlight
		if less || c.inFlight == best.inFlight && c.served < best.served {
			best = c
		}
	}
	return best
}
