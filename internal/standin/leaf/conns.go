package leaf

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// connections tracks the open connections of a leaf, limits their number and
// can reset or pause all of them.
type connections struct {
	limit int

	mu        sync.Mutex
	open      map[*conn]struct{}
	peak      int
	opened    int
	refused   int
	downUntil time.Time
	paused    chan struct{} // nil while not paused; closed by resume
}

func newConnections(limit int) *connections {
	return &connections{limit: limit, open: make(map[*conn]struct{})}
}

// admit registers a raw connection, or returns nil if the limit is reached or
// the leaf is down.
func (c *connections) admit(raw net.Conn) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	atLimit := c.limit > 0 && len(c.open) >= c.limit
	if atLimit || time.Now().Before(c.downUntil) {
		c.refused++
		return nil
	}
	admitted := &conn{Conn: raw, tracker: c, closed: make(chan struct{})}
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
	c.downUntil = t
}

// reset closes all connections with a TCP reset.
func (c *connections) reset() {
	c.mu.Lock()
	all := make([]*conn, 0, len(c.open))
	for open := range c.open {
		all = append(all, open)
	}
	c.mu.Unlock()
	for _, open := range all {
		closeWithReset(open.Conn)
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

// resumed returns a channel that is closed when the pause ends, nil while the
// connections are not paused.
func (c *connections) resumed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.paused
}

// closeWithReset closes a connection, with a reset if it is a TCP connection.
func closeWithReset(raw net.Conn) {
	if tcp, ok := raw.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = raw.Close()
}

// cappedListener returns only admitted connections.
type cappedListener struct {
	net.Listener
	conns *connections
}

// Accept returns the next admitted connection and resets the others. A paused
// leaf admits connections, but their reads and writes block.
func (l *cappedListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := l.conns.admit(raw); admitted != nil {
			return admitted, nil
		}
		closeWithReset(raw)
	}
}

// conn is an admitted connection. Reads and writes block while the leaf is
// paused.
type conn struct {
	net.Conn
	tracker *connections
	used    atomic.Bool // set by the first request, which ConnectCost delays
	once    sync.Once
	closed  chan struct{}
}

// Read reads data and returns it once the leaf is not paused.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.waitWhilePaused()
	return n, err
}

// Write writes once the leaf is not paused.
func (c *conn) Write(p []byte) (int, error) {
	c.waitWhilePaused()
	return c.Conn.Write(p)
}

// Close closes the connection, which then no longer counts against the cap.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.tracker.remove(c)
	})
	return c.Conn.Close()
}

func (c *conn) waitWhilePaused() {
	resumed := c.tracker.resumed()
	if resumed == nil {
		return
	}
	select {
	case <-resumed:
	case <-c.closed:
	}
}

// Connections returns the number of open connections.
func (l *Leaf) Connections() int {
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	return len(l.conns.open)
}

// PeakConnections returns the highest number of connections open at once.
func (l *Leaf) PeakConnections() int {
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	return l.conns.peak
}

// ConnectionsOpened returns the number of connections admitted so far.
func (l *Leaf) ConnectionsOpened() int {
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	return l.conns.opened
}

// ConnectionsRefused returns the number of connections reset at accept.
func (l *Leaf) ConnectionsRefused() int {
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	return l.conns.refused
}

type connKey struct{}

func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// isFirstRequest reports whether ctx belongs to the first request of its
// connection. It returns true at most once per connection.
func isFirstRequest(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && c.used.CompareAndSwap(false, true)
}
