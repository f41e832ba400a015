// Package leafwire sends opaque HTTP/1.1 requests to leafs over persistent
// connections. Sending does not block: a finished call is delivered on its Done
// channel. Each connection has one goroutine, which reads replies and detects
// immediately that the leaf closed the connection or sent unsolicited bytes; such a
// connection is not reused.
package leafwire

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/quarantine"
	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/route"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
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

// Errors of calls.
var (
	// ErrCancelled means that the call was cancelled by its caller.
	ErrCancelled = errors.New("call cancelled")
	// ErrRefused means that the leaf has just reset a fresh connection.
	ErrRefused = errors.New("leaf accepts no connection")
	// ErrStayAway means that the leaf leaves, is not listed any more or has asked for a pause.
	ErrStayAway = errors.New("leaf takes no new requests")
	// ErrMalformed means that the leaf has sent bytes that are no answer, or too many.
	ErrMalformed = errors.New("no answer in the protocol")
	// ErrRequestIDMismatch means that a reply carries the ID of another request, or none
	// although the leaf states it in other replies.
	ErrRequestIDMismatch = errors.New("reply belongs to another request")
	// ErrRepeatedReply means that a leaf which states no IDs has sent a reply once more.
	ErrRepeatedReply = errors.New("reply was received before")
)

// Reply is the result of a call.
type Reply struct {
	Result subrequest.Result
	// Sent is true when a byte may have reached the leaf and the leaf did not declare
	// that it ran nothing.
	Sent   bool
	Status int
	Header http.Header
	Body   []byte
	// Receipt is the leaf's proof of the run; empty when there is none.
	Receipt string
	// Misdirected is true when the address belongs to another leaf.
	Misdirected bool
	// WillClose is true when the leaf closes the connection after this reply.
	WillClose bool
	Err       error
}

// Message is a request that is sent to one or more leafs. It must not be modified
// after its first call has started.
type Message struct {
	Method string
	// Head is the encoded request line and headers, each line with its line break,
	// without the headers that differ between leafs.
	Head []byte
	Body []byte
	// ID is the request ID. A reply that carries a different one is rejected.
	ID       string
	Deadline time.Time
}

// isLong reports whether the message is written in the background.
func (m *Message) isLong() bool { return len(m.Head)+len(m.Body) >= longRequest }

// Call is one attempt to run a message on a leaf.
type Call struct {
	Message *Message
	Leaf    platform.VM
	// Shard and Record, the statistics of the leaf, are for the caller's use only.
	Shard  int
	Record *leaf.Record
	// QuarantineAttempt describes the attempt to the quarantine; it is for the
	// caller's use only.
	QuarantineAttempt quarantine.Attempt
	// Span is the trace span of the attempt; it is for the caller's use only.
	Span tracing.Span
	// StartedAt is when the call was passed to Start.
	StartedAt time.Time
	// Patience is the time after which the reply is overdue; 0 means never.
	Patience time.Duration
	// Done receives the call when it has ended. It must be buffered: the send must not
	// block.
	Done  chan<- *Call
	Reply Reply

	pool      *pool
	conn      *conn
	ended     bool
	cancelled bool
}

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

// AddLeaf lists a leaf, so that it can be called until RemoveLeaf. A leaf that is listed at
// another address must be removed first.
func (c *Client) AddLeaf(vm platform.VM) {
	c.listedMu.Lock()
	c.listed[vm.ID] = vm.Address
	c.listedMu.Unlock()
}

// pool returns the pool of a leaf, or nil if the leaf is not listed at its address: the caller
// may know an earlier run of it.
func (c *Client) pool(vm platform.VM) *pool {
	p, ok := c.findPool(vm.ID)
	if !ok {
		return c.addPool(vm)
	}
	if p.vm.Address != vm.Address {
		return nil
	}
	return p
}

func (c *Client) addPool(vm platform.VM) *pool {
	c.listedMu.Lock()
	defer c.listedMu.Unlock()
	if address, ok := c.listed[vm.ID]; !ok || address != vm.Address {
		return nil
	}
	p, _ := c.pools.LoadOrStore(vm.ID, &pool{client: c, vm: vm, sent: make(map[*Call]struct{})})
	return p.(*pool)
}

func (c *Client) findPool(id string) (*pool, bool) {
	found, ok := c.pools.Load(id)
	if !ok {
		return nil, false
	}
	return found.(*pool), true
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

// endUnsent delivers a call that is in no pool.
func (call *Call) endUnsent(cause error) {
	call.pool = nil
	call.Reply = Reply{Result: subrequest.Unsent, Err: fault.Wrap(cause, fault.StepConnect, call.Leaf.Address, "leaf %s", call.Leaf.ID)}
	call.Done <- call
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

// RemoveLeaf closes the idle connections to a leaf that was removed and ends the calls that wait
// for a connection to it as unsent. Calls that were sent are not interrupted.
func (c *Client) RemoveLeaf(id string) {
	c.listedMu.Lock()
	delete(c.listed, id)
	found, ok := c.pools.LoadAndDelete(id)
	c.listedMu.Unlock()
	if !ok {
		return
	}
	p := found.(*pool)
	p.mu.Lock()
	p.removed = true
	failed := p.takeWaiting()
	p.mu.Unlock()
	p.failUnsent(failed, ErrStayAway)
	p.closeIdle()
}

// appendRequest encodes a call for its leaf.
func (c *Client) appendRequest(b []byte, call *Call, now time.Time) []byte {
	remaining := max(call.Message.Deadline.Sub(now).Milliseconds(), 1)
	b = append(b, call.Message.Head...)
	b = append(b, c.cfg.Names.TimeLeft...)
	b = append(b, ": "...)
	b = strconv.AppendInt(b, remaining, 10)
	b = append(b, "\r\n"...)
	b = append(b, c.cfg.Names.Target...)
	b = append(b, ": "...)
	b = append(b, call.Leaf.ID...)
	b = append(b, "\r\n\r\n"...)
	return append(b, call.Message.Body...)
}

// IsCancelled reports whether the call ended because it was cancelled. It is valid
// once the call has ended.
func (call *Call) IsCancelled() bool { return errors.Is(call.Reply.Err, ErrCancelled) }
