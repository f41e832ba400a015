// Package admission is an admission controller: it decides which work begins, which
// waits and which is refused. A Gate bounds the work in flight by a total limit and by
// one limit per class (a service), keeps short queues that respect deadlines, is fair
// between classes and orders each class by priority. Its methods take the current time
// as an argument and do no I/O; the caller must serialise them with a lock.
package admission

import (
	"fmt"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/limit"
)

const (
	// minQueue is the queue length that each class is always allowed.
	minQueue = 4
	// latencyReserve is the multiple of the median latency that a ticket must have
	// left before its deadline after waiting, because half of all work takes longer
	// than the median.
	latencyReserve = 2
	// minRetryAfter and maxRetryAfter bound Ticket.RetryAfter.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Decision is the gate's decision on a ticket.
type Decision int

// Decisions.
const (
	// Wait means that the ticket is queued and is decided on by a later event.
	Wait Decision = iota
	// Admit means that the work may begin; the caller must call Done when it ends.
	Admit
	// RefuseFull means that the queue is full.
	RefuseFull
	// RefuseLate means that the work is not expected to end before its deadline.
	RefuseLate
)

// Ticket is a request to begin one unit of work. The gate owns it until it is
// admitted, refused or abandoned.
type Ticket struct {
	// Class is the service that the work belongs to.
	Class string
	// Priority orders the tickets of a class; higher values go first.
	Priority int
	// Deadline is the time by which the work has to end.
	Deadline time.Time
	// Decision is set by the gate.
	Decision Decision
	// RetryAfter is the advised delay before the caller of refused work retries.
	RetryAfter time.Duration
}

// class is the state of one service.
type class struct {
	name      string
	limiter   *limit.Limiter // nil: bounded by the gate only
	inFlight  int
	queue     []*Ticket // by priority, then by arrival
	lastGrant uint64    // sequence number of the last grant, to break ties
}

func (c *class) hasCapacity() bool { return c.limiter == nil || c.inFlight < c.limiter.Limit() }

// Gate admits, queues and refuses work. It is not safe for concurrent use.
type Gate struct {
	Config

	classes  map[string]*class
	waiting  []*class // classes with tickets in their queue
	inFlight int
	queued   int
	grants   uint64
}

// Config bounds a gate.
type Config struct {
	// Total limits the work in flight of all classes together.
	Total *limit.Limiter
	// NewClass returns the limiter for a new class; nil means that classes have none.
	NewClass func() *limit.Limiter
	// MaxQueue bounds all queues together.
	MaxQueue int
	// QueuePerLimit bounds the queue of each class as a multiple of its limit; with 0,
	// MaxQueue is the only bound.
	QueuePerLimit int
}

// New returns a gate without work.
func New(cfg Config) *Gate { return &Gate{Config: cfg, classes: make(map[string]*class)} }

// SetCeiling changes the ceiling of the total limit.
func (g *Gate) SetCeiling(ceiling int) { g.Total.SetCeiling(ceiling) }

// InFlight returns the number of admitted units of work that have not ended.
func (g *Gate) InFlight() int { return g.inFlight }

// Queued returns the number of waiting tickets.
func (g *Gate) Queued() int { return g.queued }

// Limit returns the effective limit of a class.
func (g *Gate) Limit(className string) int {
	c := g.class(className)
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

// Enter decides on a new ticket. It returns other tickets that were refused to free
// a place in the queue for it.
func (g *Gate) Enter(now time.Time, t *Ticket) []*Ticket {
	c := g.class(t.Class)
	if !now.Before(t.Deadline) {
		g.refuse(c, t, RefuseLate)
		return nil
	}
	if len(c.queue) == 0 && c.hasCapacity() && g.inFlight < g.Total.Limit() {
		g.grant(c, t)
		return nil
	}
	placesAhead := c.placesAhead(t.Priority)
	if now.Add(g.expectedWait(c, placesAhead+1) + latencyReserve*g.latency(c)).After(t.Deadline) {
		g.refuse(c, t, RefuseLate)
		return nil
	}
	evicted, ok := g.freePlace(c, t)
	if !ok {
		g.refuse(c, t, RefuseFull)
		return nil
	}
	g.enqueue(c, t)
	return evicted
}

// latency returns how long a unit of work of a class is expected to take.
func (g *Gate) latency(c *class) time.Duration {
	if c.limiter == nil {
		return g.Total.Latency()
	}
	return c.limiter.Latency()
}

// expectedWait returns the expected wait of the ticket at a place of the queue,
// counted from 1.
func (g *Gate) expectedWait(c *class, place int) time.Duration {
	return time.Duration(float64(g.latency(c)) * float64(place) / float64(max(g.Limit(c.name), 1)))
}

// placesAhead returns the number of queued tickets that go before a new one of the
// given priority.
func (c *class) placesAhead(priority int) int {
	n := 0
	for n < len(c.queue) && c.queue[n].Priority >= priority {
		n++
	}
	return n
}

// freePlace finds a place in the queue for t: a free one, that of a ticket of
// lower priority of its class, or that of a ticket of a class with a longer queue. It
// returns the tickets that it refused and reports false if there is no place.
func (g *Gate) freePlace(c *class, t *Ticket) ([]*Ticket, bool) {
	classMax := g.MaxQueue
	if g.QueuePerLimit > 0 {
		classMax = max(minQueue, g.QueuePerLimit*g.Limit(c.name))
	}
	if len(c.queue) < classMax && g.queued < g.MaxQueue {
		return nil, true
	}
	if last := len(c.queue) - 1; last >= 0 && c.queue[last].Priority < t.Priority {
		return []*Ticket{g.evictLast(c)}, true
	}
	if len(c.queue) >= classMax {
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

// evictLast refuses the newest ticket of the lowest priority of a class.
func (g *Gate) evictLast(c *class) *Ticket {
	t := c.queue[len(c.queue)-1]
	g.remove(c, len(c.queue)-1)
	g.refuse(c, t, RefuseFull)
	return t
}

func (g *Gate) enqueue(c *class, t *Ticket) {
	t.Decision = Wait
	i := c.placesAhead(t.Priority)
	c.queue = append(c.queue, nil)
	copy(c.queue[i+1:], c.queue[i:])
	c.queue[i] = t
	g.queued++
	if len(c.queue) == 1 {
		g.waiting = append(g.waiting, c)
	}
}

// remove removes the ticket at index i from a queue.
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
	c.lastGrant = g.grants
}

func (g *Gate) refuse(c *class, t *Ticket, d Decision) {
	t.Decision = d
	t.RetryAfter = min(max(g.expectedWait(c, len(c.queue)+c.inFlight), minRetryAfter), maxRetryAfter)
}

// Abandon removes a waiting ticket from its queue, for example when its caller
// disconnected. It reports false when the ticket is no longer waiting.
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

// Done records the end of admitted work of a class and returns the tickets that
// were decided on as a result. An error means that Done was called without admitted
// work; the gate stays usable.
func (g *Gate) Done(now time.Time, className string, s limit.Sample) ([]*Ticket, error) {
	c := g.class(className)
	if c.inFlight == 0 || g.inFlight == 0 {
		return nil, fmt.Errorf("end of work of class %s without work in flight", className)
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

// expire refuses every waiting ticket that became late, so that its caller receives
// the refusal immediately and not when the ticket reaches the head of the queue.
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

// dispatch admits tickets while there is capacity and refuses those that are late.
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

// isLate reports whether the work of a ticket that waited is not expected to end before
// its deadline. Work of a class that has none in flight is admitted even when the expected
// latency is too long, so that a temporarily inflated estimate is measured again.
func (g *Gate) isLate(now time.Time, c *class, t *Ticket) bool {
	if !now.Before(t.Deadline) {
		return true
	}
	if c.inFlight == 0 {
		return false
	}
	return !now.Add(latencyReserve * g.latency(c)).Before(t.Deadline)
}

// next returns the waiting class with spare capacity that has the least work in flight;
// ties go to the class whose last grant is the oldest. It returns nil if there is none.
func (g *Gate) next() *class {
	var best *class
	for _, c := range g.waiting {
		if !c.hasCapacity() {
			continue
		}
		fewer := best == nil || c.inFlight < best.inFlight
		if fewer || c.inFlight == best.inFlight && c.lastGrant < best.lastGrant {
			best = c
		}
	}
	return best
}
