package ingress

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/eviction"
	"github.com/hickorydock/hickorydock/internal/state/memory"
)

// Limits bound what a client may send and how long it may take.
type Limits struct {
	// HeadBytes is the size of the head of a request, from the request line to the empty line.
	HeadBytes int64
	// HeadTimeout is the longest time from the first byte of a head to its last.
	HeadTimeout time.Duration
	// IdleTimeout is the longest time without a request, and without progress of an answer.
	IdleTimeout time.Duration
	// BodyTimeout is the longest time to send a body, unless a handler sets another one.
	BodyTimeout time.Duration
}

// Defaults of Limits, which take the place of zero fields.
var defaultLimits = Limits{HeadBytes: 1 << 20, HeadTimeout: 30 * time.Second, IdleTimeout: 10 * time.Minute, BodyTimeout: 30 * time.Second}

// OperatorLimits are the limits of addresses for readiness, metrics and operators.
var OperatorLimits = Limits{HeadBytes: 16 << 10, HeadTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second, BodyTimeout: 5 * time.Second}

// orDefaults returns the limits with defaults in place of zero fields.
func (l Limits) orDefaults() Limits {
	if l.HeadBytes <= 0 {
		l.HeadBytes = defaultLimits.HeadBytes
	}
	if l.HeadTimeout <= 0 {
		l.HeadTimeout = defaultLimits.HeadTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultLimits.IdleTimeout
	}
	if l.BodyTimeout <= 0 {
		l.BodyTimeout = defaultLimits.BodyTimeout
	}
	return l
}

// Config configures an Endpoint.
type Config struct {
	// Name is the name of the address in logs and metrics.
	Name string
	// MaxConnections is the number of connections at a time. An eighth more may be open while
	// others are being closed.
	MaxConnections int
	// Limits returns the limits that hold now.
	Limits func() Limits
	// BodyFactor is the ratio of what a body costs in memory to its size.
	BodyFactor int64
}

// Endpoint is one address that the process listens on.
type Endpoint struct {
	limiter *Limiter
	cfg     Config
	// open counts the connections, closing those of them that were chosen to be closed.
	open, closing atomic.Int64
	// nothingUntil is used by Accept only: until when there is nothing to close.
	nothingUntil time.Time
}

// NewEndpoint returns an address of the process.
func (l *Limiter) NewEndpoint(cfg Config) *Endpoint { return &Endpoint{limiter: l, cfg: cfg} }

func (e *Endpoint) limits() Limits { return e.cfg.Limits().orDefaults() }

func (e *Endpoint) unreadTimeout() time.Duration { return e.limits().IdleTimeout }

const (
	// overshootShare is the share of MaxConnections that may be open beyond it.
	overshootShare = 1.0 / 8
	// evictShare is the share of MaxConnections that is closed at a time.
	evictShare = 1.0 / 32
)

// admit counts a new connection. If there are too many it closes others, and returns false if
// there are none that may be closed. It is called by one goroutine.
func (e *Endpoint) admit() bool {
	open := int(e.open.Add(1))
	if open <= e.cfg.MaxConnections || e.makeRoom(open) {
		return true
	}
	e.open.Add(-1)
	e.limiter.closed(e, reasonTooMany)
	return false
}

// makeRoom closes connections of the endpoint, of which too many are open, unless enough are being
// closed already. It reports whether a new one may stay meanwhile.
func (e *Endpoint) makeRoom(open int) bool {
	limit := e.cfg.MaxConnections
	if open > limit+max(int(overshootShare*float64(limit)), 1) {
		return false
	}
	if open-int(e.closing.Load()) <= limit {
		return true
	}
	now := time.Now()
	if now.Before(e.nothingUntil) {
		return false
	}
	if e.limiter.evict(e, 0, 1+int(evictShare*float64(limit))) == 0 {
		e.nothingUntil = now.Add(searchPause)
		return false
	}
	return true
}

const (
	// receiveBuffer and sendBuffer are the sizes of the buffers of a connection in the kernel,
	// which hold what is received and not read and what is sent and not received.
	receiveBuffer = 32 << 10
	sendBuffer    = 64 << 10
	// unackedTimeout is the time after which a connection is closed whose client takes none of
	// what was sent.
	unackedTimeout = 30 * time.Second
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux.
	tcpUserTimeout = 18
)

// Listen listens on a TCP address. The connections have bounded buffers.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// Without these options connections have the sizes and times of the system, which
			// serve as well but are larger.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBuffer)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
		})
	}}
	return config.Listen(context.Background(), "tcp", address)
}

// listener accepts connections at an endpoint.
type listener struct {
	net.Listener
	endpoint *Endpoint
	wrap     func(net.Conn, *Endpoint) net.Conn
}

// Accept returns the next connection that the endpoint admits.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.endpoint.admit() {
			return l.wrap(raw, l.endpoint), nil
		}
		_ = raw.Close()
	}
}

// Serve serves HTTP on a listener until a server, which Prepare was called with, is shut down. The
// limits of the endpoint take the place of the server's timeouts. A nil endpoint sets no bounds.
func (e *Endpoint) Serve(server *http.Server, l net.Listener) error {
	if e == nil {
		return server.Serve(l)
	}
	return server.Serve(&listener{Listener: l, endpoint: e, wrap: newConn})
}

func newConn(raw net.Conn, endpoint *Endpoint) net.Conn {
	c := &Conn{}
	c.init(raw, endpoint)
	return c
}

// connKey is the context key of the Conn of a request.
type connKey struct{}

// Prepare makes a server work with the connections of the endpoint. It is called before Serve, once.
func (e *Endpoint) Prepare(server *http.Server) {
	server.Handler = e.handler(server.Handler)
	server.MaxHeaderBytes = maxHeadBytes
	connContext, connState := server.ConnContext, server.ConnState
	server.ConnContext = func(ctx context.Context, raw net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, raw)
		}
		return context.WithValue(ctx, connKey{}, raw)
	}
	server.ConnState = func(raw net.Conn, state http.ConnState) {
		if c, ok := raw.(*Conn); ok {
			c.stateChanged(state)
		}
		if connState != nil {
			connState(raw, state)
		}
	}
}

// maxHeadBytes bounds the heads that net/http parses. The limits of endpoints are lower.
const maxHeadBytes = 16 << 20

// connOf returns the connection of a request, or nil if it came over none of an endpoint.
func connOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// HoldOf returns the memory of the request that a context belongs to, or nil.
func HoldOf(ctx context.Context) *memory.Hold {
	if c := connOf(ctx); c != nil {
		return c.request.Load()
	}
	return nil
}

// handler accounts for the bodies of requests.
func (e *Endpoint) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if r.Body != nil && r.Body != http.NoBody {
			c.beginBody(r.ContentLength)
			r.Body = &body{ReadCloser: r.Body, request: r, conn: c, hold: c.request.Load()}
			_ = c.SetReadDeadline(time.Now().Add(e.limits().BodyTimeout))
		}
		next.ServeHTTP(w, r)
	})
}

// Refuse bounds what the server still reads of the body of a request that is being refused.
func Refuse(r *http.Request) {
	if c := connOf(r.Context()); c != nil {
		_ = c.SetReadDeadline(time.Now().Add(refuseTimeout))
		c.enter(eviction.Working)
	}
}
