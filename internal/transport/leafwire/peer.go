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

// peer is the connections to one leaf and the calls that wait for one.
type peer struct {
	client *Client
	vm     platform.VM

	mu      sync.Mutex
	idle    []*conn // the last one was used last
	waiting []*Call
	// open counts connections, those being opened included.
	open int
	gone bool
	// shrunk bounds open until shrunkUntil, after the leaf reset a fresh one.
	shrunk      int
	shrunkUntil time.Time
	// dialAfter is when a connection may be opened after a failure.
	dialAfter time.Time
}

// takeIdle returns the idle connection that was used last, or nil. It requires mu.
func (p *peer) takeIdle(now time.Time) *conn {
	for len(p.idle) > 0 {
		last := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if last.idleUntil.IsZero() || now.Before(last.idleUntil) {
			return last
		}
		_ = last.net.Close() // its reader counts it out
	}
	return nil
}

// enqueue makes a call wait and opens a connection when there is room. It
// requires mu.
func (p *peer) enqueue(call *Call) {
	p.waiting = append(p.waiting, call)
	if p.open < p.limit(call.StartedAt) && call.StartedAt.After(p.dialAfter) || p.open == 0 {
		p.open++
		go p.dial()
	}
}

// limit requires mu.
func (p *peer) limit(now time.Time) int {
	most := max(p.client.cfg.MaxConnections(p.vm.Group), 1)
	if now.Before(p.shrunkUntil) {
		most = min(most, p.shrunk)
	}
	return most
}

// unqueue requires mu.
func (p *peer) unqueue(call *Call) {
	if i := slices.Index(p.waiting, call); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	}
}

// dial opens a connection, hands it to the first call that waits and reads from
// it until it breaks.
func (p *peer) dial() {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	raw, err := p.client.cfg.Dial(ctx, p.vm.Address)
	cancel()
	if err != nil {
		p.refused(fault.Wrap(err, fault.StepConnect, p.vm.Address, "connect to leaf %s", p.vm.ID))
		return
	}
	defer p.client.cfg.OnConnect()()
	c := newConn(p, raw)
	p.free(c)
	c.read()
}

// refused ends the calls that wait when no connection is left for them.
func (p *peer) refused(err error) {
	p.mu.Lock()
	p.open--
	p.dialAfter = time.Now().Add(refusedPause)
	var failed []*Call
	if p.open == 0 {
		failed = p.waiting
		p.waiting = nil
	}
	for _, call := range failed {
		call.over = true
	}
	p.mu.Unlock()
	for _, call := range failed {
		call.Reply = Reply{Result: subrequest.Unsent, Err: err}
		call.Done <- call
	}
}

// free hands a connection to the first call that waits, or keeps it.
func (p *peer) free(c *conn) {
	p.mu.Lock()
	if len(p.waiting) == 0 {
		gone := p.gone
		if !gone {
			p.idle = append(p.idle, c)
		}
		p.mu.Unlock()
		if gone {
			_ = c.net.Close() // its reader counts it out
		}
		return
	}
	call := p.waiting[0]
	p.waiting = p.waiting[1:]
	c.assign(call)
	p.mu.Unlock()
	c.write(call)
}

// retire returns the call of a connection on which something happened. One that has
// none is not given to calls any more.
func (p *peer) retire(c *conn) *Call {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.call == nil {
		p.unidle(c)
	}
	return c.call
}

// unidle requires mu.
func (p *peer) unidle(c *conn) {
	if i := slices.Index(p.idle, c); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
	}
}

// lost counts a broken connection out and opens another when calls wait.
func (p *peer) lost(c *conn, fresh bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.unidle(c)
	if fresh {
		p.shrunk = max(p.open, 1)
		p.shrunkUntil = now.Add(shrinkFor)
	}
	if len(p.waiting) > 0 && p.open < p.limit(now) {
		p.open++
		go p.dial()
	}
}
