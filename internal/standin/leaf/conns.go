package leaf

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// connections tracks the open connections of a leaf, caps them and can reset
// or pause them all.
type connections struct {
	limit int

	mu      sync.Mutex
	open    map[*conn]struct{}
	peak    int
	opened  int
	refused int
	downTil time.Time
	paused  chan struct{} // nil: not paused; closed by resume
}

func newConnections(limit int) *connections {
	return &connections{limit: limit, open: make(map[*conn]struct{})}
}

// admit registers a raw connection, or returns nil when it must be refused.
func (c *connections) admit(raw net.Conn) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	full := c.limit > 0 && len(c.open) >= c.limit
	if full || time.Now().Before(c.downTil) {
		c.refused++
		return nil
	}
	admitted := &conn{Conn: raw, owner: c, closed: make(chan struct{})}
	c.open[admitted] = struct{}{}
	c.opened++
	c.peak = max(c.peak, len(c.open))
	return admitted
}

func (c *connections) remove(closed *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, closed)
}

func (c *connections) refuseUntil(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.downTil = t
}

// reset closes all connections without the usual exchange of TCP.
func (c *connections) reset() {
	c.mu.Lock()
	all := make([]*conn, 0, len(c.open))
	for open := range c.open {
		all = append(all, open)
	}
	c.mu.Unlock()
	for _, open := range all {
		discard(open.Conn)
		_ = open.Close()
	}
}

func (c *connections) pause() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.paused == nil {
		c.paused = make(chan struct{})
	}
}

func (c *connections) resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.paused != nil {
		close(c.paused)
		c.paused = nil
	}
}

// gate returns a channel that is closed when the pause ends; nil when there is none.
func (c *connections) gate() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.paused
}

// discard closes a TCP connection with a reset.
func discard(raw net.Conn) {
	if tcp, ok := raw.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = raw.Close()
}

// cappedListener hands out admitted connections only.
type cappedListener struct {
	net.Listener
	conns *connections
}

// Accept resets refused connections and returns the first one admitted. A
// paused leaf still admits connections, but neither reads nor writes them.
func (l *cappedListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := l.conns.admit(raw); admitted != nil {
			return admitted, nil
		}
		discard(raw)
	}
}

// conn is an admitted connection. Reads and writes wait while its leaf is paused.
type conn struct {
	net.Conn
	owner  *connections
	used   atomic.Bool // the cost of connecting has been charged
	once   sync.Once
	closed chan struct{}
}

// Read returns data only when the leaf is not paused.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.wait()
	return n, err
}

// Write writes once the leaf is not paused.
func (c *conn) Write(p []byte) (int, error) {
	c.wait()
	return c.Conn.Write(p)
}

// Close frees the connection's place under the cap.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.owner.remove(c)
	})
	return c.Conn.Close()
}

func (c *conn) wait() {
	gate := c.owner.gate()
	if gate == nil {
		return
	}
	select {
	case <-gate:
	case <-c.closed:
	}
}

// Connections is the number of open connections.
func (l *Leaf) Connections() int {
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	return len(l.conns.open)
}

// PeakConnections is the highest number of connections open at once.
func (l *Leaf) PeakConnections() int {
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	return l.conns.peak
}

// ConnectionsOpened counts the connections admitted so far.
func (l *Leaf) ConnectionsOpened() int {
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	return l.conns.opened
}

// ConnectionsRefused counts the connections closed at accept.
func (l *Leaf) ConnectionsRefused() int {
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	return l.conns.refused
}

type connKey struct{}

func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// isFirstRequest reports, once, whether ctx belongs to a connection that has
// served no request yet.
func isFirstRequest(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && c.used.CompareAndSwap(false, true)
}
