package leafwire

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// pool holds the connections to one leaf and the calls that wait for one.
type pool struct {
	client *Client
	vm     platform.VM

	mu      sync.Mutex
	idle    []*conn // the most recently used one is last
	waiting []*Call
	sent    map[*Call]struct{} // calls that have a connection
	// open counts the connections, including dialling, those being dialled.
	open     int
	dialling int
	// failedAt is when a dial failed or a connection was lost last.
	failedAt time.Time
	removed  bool
	// reducedLimit bounds open until reducedUntil, after the leaf has reset a fresh
	// connection.
	reducedLimit int
	reducedUntil time.Time
	// refusedUntil is the end of refusalPeriod.
	refusedUntil time.Time
	// echoes are the kinds of replies in which the leaf has stated the request.
	echoes echoes
	// dialAfter is the time before which no connection is dialled after a failed dial,
	// unless no connection is open.
	dialAfter time.Time
}

// takeIdle removes and returns the most recently used idle connection for a call, or nil. It
// closes those that cannot carry the call. The caller must hold mu.
func (p *pool) takeIdle(call *Call) *conn {
	for len(p.idle) > 0 {
		last := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		fresh := last.idleUntil.IsZero() || call.StartedAt.Before(last.idleUntil)
		if fresh && last.canCarry(call) {
			return last
		}
		_ = last.netConn.Close() // readLoop updates the connection count
	}
	return nil
}

// enqueue appends a call to the queue and opens a connection if the limit allows it.
// The caller must hold mu.
func (p *pool) enqueue(call *Call) {
	p.waiting = append(p.waiting, call)
	if p.open < p.connectionLimit(call.StartedAt) && call.StartedAt.After(p.dialAfter) || p.open == 0 {
		p.startDial()
	}
}

// startDial opens a connection in the background. The caller must hold mu.
func (p *pool) startDial() {
	p.open++
	p.dialling++
	go p.dial()
}

// closeIdle closes the idle connections; their readLoop updates the connection count.
func (p *pool) closeIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, conn := range idle {
		_ = conn.netConn.Close()
	}
}

// connectionLimit returns the maximum number of connections. The caller must hold mu.
func (p *pool) connectionLimit(now time.Time) int {
	limit := max(p.client.cfg.MaxConnections(p.vm.Group), 1)
	if now.Before(p.reducedUntil) {
		limit = min(limit, p.reducedLimit)
	}
	return limit
}

// dequeue removes a call from the queue. The caller must hold mu.
func (p *pool) dequeue(call *Call) {
	if i := slices.Index(p.waiting, call); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	}
}

// dial opens a connection, assigns it to the first waiting call and reads from it
// until it is closed.
func (p *pool) dial() {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	raw, err := p.client.cfg.Dial(ctx, p.vm.Address)
	cancel()
	p.client.recordDial(p.vm.Group, err)
	if err != nil {
		p.dialFailed(fault.Wrap(err, fault.StepConnect, p.vm.Address, "connect to leaf %s", p.vm.ID))
		p.reportFailure(dialCause(err))
		return
	}
	defer p.client.cfg.OnConnect()()
	c := newConn(p, raw)
	p.mu.Lock()
	p.dialling--
	first := p.assignNextOrIdle(c)
	p.mu.Unlock()
	if first != nil {
		c.write(first)
	}
	c.readLoop()
}

// dialFailed records a failed dial. If no connection is left, it ends the waiting calls.
func (p *pool) dialFailed(err error) {
	now := time.Now()
	p.mu.Lock()
	p.open--
	p.dialling--
	p.failedAt = now
	p.dialAfter = now.Add(redialDelay)
	var failed []*Call
	if p.open == 0 {
		failed = p.takeWaiting()
	}
	p.mu.Unlock()
	deliverUnsent(failed, err)
}

// failUnsent delivers calls that were taken from the queue without being sent.
func (p *pool) failUnsent(calls []*Call, cause error) {
	deliverUnsent(calls, fault.Wrap(cause, fault.StepConnect, p.vm.Address, "leaf %s", p.vm.ID))
}

func deliverUnsent(calls []*Call, err error) {
	for _, call := range calls {
		call.Reply = Reply{Result: subrequest.Unsent, Err: err}
		call.Done <- call
	}
}

// takeWaiting empties the queue and returns its calls, which the caller then delivers. The
// caller must hold mu.
func (p *pool) takeWaiting() []*Call {
	calls := p.waiting
	p.waiting = nil
	for _, call := range calls {
		call.ended = true
	}
	return calls
}

// assignNextOrIdle assigns a connection to the first waiting call, which the caller then
// writes, or returns nil and adds the connection to the idle ones. A connection of a
// removed leaf is closed instead. The caller must hold mu.
func (p *pool) assignNextOrIdle(c *conn) *Call {
	switch {
	case len(p.waiting) > 0 && !c.canCarry(p.waiting[0]):
		_ = c.netConn.Close() // readLoop opens another one for the call
	case len(p.waiting) > 0:
		call := p.waiting[0]
		p.waiting = p.waiting[1:]
		c.assign(call)
		return call
	case p.removed:
		_ = c.netConn.Close() // readLoop updates the connection count
	default:
		p.idle = append(p.idle, c)
	}
	return nil
}

// activeCall returns the call of a connection that is readable or closed. A connection
// without a call is removed from the idle ones, so that no call is assigned to it.
func (p *pool) activeCall(c *conn) *Call {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.call == nil {
		p.removeIdle(c)
	}
	return c.call
}

// removeIdle removes a connection from the idle ones. The caller must hold mu.
func (p *pool) removeIdle(c *conn) {
	if i := slices.Index(p.idle, c); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
	}
}

// connClosed removes a closed connection and opens another one if calls wait. fresh
// means that the leaf reset it before it had sent a reply.
func (p *pool) connClosed(c *conn, fresh bool) {
	now := time.Now()
	p.mu.Lock()
	p.open--
	p.removeIdle(c)
	firstRefusal := fresh && !now.Before(p.reducedUntil)
	if fresh {
		p.recordRefusal(now)
	}
	open := p.open
	if len(p.waiting) > 0 && p.open < p.connectionLimit(now) {
		p.startDial()
	}
	p.mu.Unlock()
	if firstRefusal {
		p.client.cfg.OnRefused(p.vm, open)
	}
}

// recordRefusal reduces the connection limit after the leaf has reset a fresh
// connection. The caller must hold mu.
func (p *pool) recordRefusal(now time.Time) {
	p.reducedLimit = max(p.open, 1)
	p.reducedUntil = now.Add(reducedLimitPeriod)
	if p.open == 0 {
		p.refusedUntil = now.Add(refusalPeriod)
	}
}
