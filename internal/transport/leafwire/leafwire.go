// Package leafwire sends opaque HTTP/1.1 requests to leafs over connections that
// are kept open. Sending does not block: a call's end is delivered on the channel
// that it names. Each connection has one goroutine, which reads replies and
// notices at once when the leaf closes the connection or sends what nobody asked
// for; such a connection is not used again.
package leafwire

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/quarantine"
	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/route"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
)

const (
	// dialTimeout bounds opening a connection.
	dialTimeout = time.Second
	// unackedTimeout is the time after which a connection whose bytes are not
	// acknowledged is broken.
	unackedTimeout = 2 * time.Second
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux.
	tcpUserTimeout = 18
	// maxReplyBytes bounds the body of a reply.
	maxReplyBytes = 8 << 20
	// shrinkFor is how long a leaf that reset a fresh connection gets fewer.
	shrinkFor = 5 * time.Second
	// refusedPause is the wait before another connection after a failed one.
	refusedPause = 100 * time.Millisecond
)

// Errors of calls.
var (
	// ErrCancelled means that the call was given up by its owner.
	ErrCancelled = errors.New("call cancelled")
	// ErrRequestIDMismatch means that a reply carries the ID of another request.
	ErrRequestIDMismatch = errors.New("reply names another request")
)

// Reply is the end of a call.
type Reply struct {
	Result subrequest.Result
	// Sent is true when a byte may have reached the leaf and it did not declare
	// that it ran nothing.
	Sent   bool
	Status int
	Header http.Header
	Body   []byte
	// Receipt is the leaf's proof of the run; empty when there is none.
	Receipt string
	// Misdirected is true when another leaf has the address.
	Misdirected bool
	// WillClose is true when the leaf closes the connection after this reply.
	WillClose bool
	Err       error
}

// Message is a request that is sent to one or more leafs. It is not changed
// after its first call.
type Message struct {
	Method string
	// Head is the encoded request line and headers without those that differ from
	// leaf to leaf, each line with its end.
	Head []byte
	Body []byte
	// ID is what replies must echo.
	ID       string
	Deadline time.Time
}

// isLong reports whether the message is written in the background.
func (m *Message) isLong() bool { return len(m.Head)+len(m.Body) >= longWrite }

// Call is one attempt to run a message on a leaf.
type Call struct {
	Message *Message
	Leaf    platform.VM
	// Shard and Record, what is measured of the leaf, are for the owner.
	Shard  int
	Record *leaf.Record
	// Trial is what the quarantine knows of the attempt; it is for the owner.
	Trial quarantine.Attempt
	// Span is the trace of the attempt; it is for the owner.
	Span tracing.Span
	// StartedAt is when the call was passed to Start.
	StartedAt time.Time
	// Done receives the call at its end; it must have room.
	Done  chan<- *Call
	Reply Reply

	peer      *peer
	conn      *conn
	over      bool
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
}

// Client sends calls. It is safe for concurrent use.
type Client struct {
	cfg   Config
	peers sync.Map // leaf identifier -> *peer
}

// New returns a client without connections.
func New(cfg Config) *Client {
	if cfg.Dial == nil {
		cfg.Dial = dialTCP
	}
	if cfg.OnConnect == nil {
		cfg.OnConnect = func() func() { return func() {} }
	}
	return &Client{cfg: cfg}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
		})
		return errors.Join(err, failed)
	}}
	return dialer.DialContext(ctx, "tcp", address)
}

func (c *Client) peer(vm platform.VM) *peer {
	if p, ok := c.peers.Load(vm.ID); ok {
		return p.(*peer)
	}
	p, _ := c.peers.LoadOrStore(vm.ID, &peer{client: c, vm: vm})
	return p.(*peer)
}

// Start sends a call or queues it until a connection is free.
func (c *Client) Start(call *Call) {
	p := c.peer(call.Leaf)
	call.peer = p
	p.mu.Lock()
	idle := p.takeIdle(call.StartedAt)
	if idle == nil {
		p.enqueue(call)
		p.mu.Unlock()
		return
	}
	idle.assign(call)
	p.mu.Unlock()
	idle.write(call)
}

// Cancel gives a call up. One that was sent breaks its connection, which tells
// the leaf to stop. A call that is over is left alone.
func (c *Client) Cancel(call *Call) {
	p := call.peer
	p.mu.Lock()
	if call.over {
		p.mu.Unlock()
		return
	}
	call.cancelled = true
	if call.conn != nil {
		broken := call.conn
		broken.doomed = true
		p.mu.Unlock()
		_ = broken.net.Close() // its reader ends the call
		return
	}
	p.unqueue(call)
	call.over = true
	p.mu.Unlock()
	call.Reply = Reply{Result: subrequest.Unsent, Err: ErrCancelled}
	call.Done <- call
}

// Withdraw takes back a call that still waits for a connection and reports whether it
// did; the call then does not end.
func (c *Client) Withdraw(call *Call) bool {
	p := call.peer
	p.mu.Lock()
	defer p.mu.Unlock()
	if call.over || call.conn != nil {
		return false
	}
	p.unqueue(call)
	call.over = true
	return true
}

// Warm opens a connection to a leaf that has none.
func (c *Client) Warm(vm platform.VM) {
	p := c.peer(vm)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open == 0 {
		p.open++
		go p.dial()
	}
}

// Release closes the idle connections to a leaf that other nodes send to now, so
// that they find room at it. The leaf can still be called.
func (c *Client) Release(id string) {
	found, ok := c.peers.Load(id)
	if !ok {
		return
	}
	p := found.(*peer)
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, one := range idle {
		_ = one.net.Close() // its reader counts it out
	}
}

// Remove closes the idle connections to a leaf that was removed. Calls in progress
// are not interrupted.
func (c *Client) Remove(id string) {
	found, ok := c.peers.LoadAndDelete(id)
	if !ok {
		return
	}
	p := found.(*peer)
	p.mu.Lock()
	p.gone = true
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, one := range idle {
		_ = one.net.Close()
	}
}

// appendRequest encodes a call for its leaf.
func (c *Client) appendRequest(b []byte, call *Call, now time.Time) []byte {
	left := max(call.Message.Deadline.Sub(now).Milliseconds(), 1)
	b = append(b, call.Message.Head...)
	b = append(b, c.cfg.Names.TimeLeft...)
	b = append(b, ": "...)
	b = strconv.AppendInt(b, left, 10)
	b = append(b, "\r\n"...)
	b = append(b, c.cfg.Names.Target...)
	b = append(b, ": "...)
	b = append(b, call.Leaf.ID...)
	b = append(b, "\r\n\r\n"...)
	return append(b, call.Message.Body...)
}

// IsCancelled reports whether the call ended because its owner gave it up. It is
// valid after the end.
func (call *Call) IsCancelled() bool { return errors.Is(call.Reply.Err, ErrCancelled) }
