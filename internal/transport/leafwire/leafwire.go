// Package leafwire sends opaque HTTP/1.1 requests to leafs over persistent
// connections. Sending does not block: a finished call is delivered on its Done
// channel. Each connection has one goroutine, which reads replies and detects
// immediately that the leaf closed the connection or sent unsolicited bytes; such a
// connection is not reused.
package leafwire

import (
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/route"
)

const (
	// dialTimeout bounds opening a connection.
	dialTimeout = time.Second
	// reducedLimitPeriod is how long the connection limit of a leaf stays reduced after
	// the leaf has reset a fresh connection.
	reducedLimitPeriod = 5 * time.Second
	// redialDelay is the delay before the next dial after a failed one.
	redialDelay = 100 * time.Millisecond
	// refusalPeriod is the time after a leaf without open connections has reset a fresh one
	// in which calls to it fail unsent, since it would reset the next one too.
	refusalPeriod = 250 * time.Millisecond
)

// Config configures a Client.
type Config struct {
	Names route.HeaderNames
	// MaxConnections returns the maximum number of connections to a leaf of a group.
	// Values below 1 count as 1.
	MaxConnections func(group string) int
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnConnect is called for each opened connection; the function that it returns is
	// called when the connection is closed. It may be nil.
	OnConnect func() (closed func())
	// OnRefused is called when a leaf resets a fresh connection, once in
	// reducedLimitPeriod for each leaf, with the number of the other connections to it. It
	// may be nil.
	OnRefused func(vm platform.VM, open int)
	// OnFailure is called when a dial fails and when a connection is lost that was neither
	// idle nor cancelled, with the number of the other connections to the leaf. It may be nil.
	OnFailure func(vm platform.VM, cause Cause, open int)
}

// Client sends calls. It is safe for concurrent use.
type Client struct {
	cfg       Config
	pools     sync.Map // leaf identifier -> *pool, of leafs that are listed
	bodies    bodyBudget
	startedAt time.Time
	// lastReply is the time from startedAt to the last reply of any leaf, in nanoseconds.
	lastReply atomic.Int64

	listedMu sync.Mutex // guards listed, and pools while pools are added or removed
	// listed holds the address of each listed leaf by its identifier.
	listed map[string]string

	failedMu sync.Mutex
	// failedGroups are the groups to whose leafs a dial has failed since the last one that
	// succeeded.
	failedGroups map[string]struct{}
}

// New returns a client without connections.
func New(cfg Config) *Client {
	if cfg.Dial == nil {
		cfg.Dial = dialTCP
	}
	if cfg.OnConnect == nil {
		cfg.OnConnect = func() func() { return func() {} }
	}
	if cfg.OnRefused == nil {
		cfg.OnRefused = func(platform.VM, int) {}
	}
	if cfg.OnFailure == nil {
		cfg.OnFailure = noFailureHandler
	}
	return &Client{cfg: cfg, startedAt: time.Now(), listed: make(map[string]string), failedGroups: make(map[string]struct{})}
}

// Start sends a call or queues it until a connection is free. A call to a leaf that is not
// listed ends unsent.
func (c *Client) Start(call *Call) {
	p := c.pool(call.Leaf)
	if p == nil {
		call.endUnsent(ErrStayAway)
		return
	}
	call.pool = p
	p.mu.Lock()
	idle := p.takeIdle(call)
	switch {
	case p.removed:
		p.mu.Unlock()
		call.endUnsent(ErrStayAway)
	case idle != nil:
		idle.assign(call)
		p.mu.Unlock()
		idle.write(call)
	case p.open == 0 && call.StartedAt.Before(p.refusedUntil):
		p.mu.Unlock()
		call.endUnsent(ErrRefused)
	default:
		p.enqueue(call)
		p.mu.Unlock()
	}
}

// Cancel cancels a call. If the call was sent, Cancel closes its connection, which
// signals the leaf to stop. A call that has ended is not changed.
func (c *Client) Cancel(call *Call) {
	p := call.pool
	if p == nil {
		return // it has ended
	}
	p.mu.Lock()
	if call.ended {
		p.mu.Unlock()
		return
	}
	call.cancelled = true
	if call.conn != nil {
		sent := call.conn
		sent.closing = true
		p.mu.Unlock()
		_ = sent.netConn.Close() // readLoop ends the call
		return
	}
	p.dequeue(call)
	call.ended = true
	p.mu.Unlock()
	call.Reply = Reply{Result: subrequest.Unsent, Err: ErrCancelled}
	call.Done <- call
}

// Withdraw removes a call from the queue if it still waits for a connection and
// reports whether it did. A withdrawn call is not delivered on Done.
func (c *Client) Withdraw(call *Call) bool {
	p := call.pool
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if call.ended || call.conn != nil {
		return false
	}
	p.dequeue(call)
	call.ended = true
	return true
}

// FailWaiting ends the calls to a leaf that still wait for a connection as unsent.
func (c *Client) FailWaiting(id string) {
	p, ok := c.findPool(id)
	if !ok {
		return
	}
	p.mu.Lock()
	failed := p.takeWaiting()
	p.mu.Unlock()
	p.failUnsent(failed, ErrStayAway)
}

// Warm opens a connection to a listed leaf if there is none.
func (c *Client) Warm(vm platform.VM) {
	p := c.pool(vm)
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open == 0 && !p.removed {
		p.startDial()
	}
}

// Release closes the idle connections to a leaf that other nodes send to now, to free
// connection capacity at the leaf for them. The leaf can still be called.
func (c *Client) Release(id string) {
	if p, ok := c.findPool(id); ok {
		p.closeIdle()
	}
}

// appendHead encodes the head of a call for its leaf.
func (c *Client) appendHead(b []byte, call *Call, now time.Time) []byte {
	remaining := max(call.Message.Deadline.Sub(now).Milliseconds(), 1)
	b = append(b, call.Message.Head...)
	b = append(b, c.cfg.Names.TimeLeft...)
	b = append(b, ": "...)
	b = strconv.AppendInt(b, remaining, 10)
	b = append(b, "\r\n"...)
	b = append(b, c.cfg.Names.Target...)
	b = append(b, ": "...)
	b = append(b, call.Leaf.ID...)
	return append(b, "\r\n\r\n"...)
}
