package ingress

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcctx"

	"github.com/hickorydock/hickorydock/internal/coordination/eviction"
)

const (
	// unknownTimeout is the time within which another node has to introduce itself on a connection.
	unknownTimeout = 5 * time.Second
	// unknownBytes bounds what is read of a connection before.
	unknownBytes = 64 << 10
	// peerBufferFactor is the ratio of what a message of another node costs while it is read to
	// the size of the buffer that it is read into: the buffer, and the message made of it.
	peerBufferFactor = 2
)

var errUnknownPeer = errors.New("connection without an introduction of a node")

// PeerConn is a connection from another node. Its reads come from one goroutine.
type PeerConn struct {
	tracked
	begun bool
	// buffer is the size of the largest buffer read into, which was paid for.
	buffer int
	// writableUntil is the deadline of writes, in Unix nanoseconds.
	writableUntil atomic.Int64
	// introduced is true once the node has introduced itself, unknown what may be read before.
	introduced atomic.Bool
	unknown    int
}

// PeerListener returns a listener for connections from other nodes.
func (e *Endpoint) PeerListener(l net.Listener) net.Listener {
	return &listener{Listener: l, endpoint: e, wrap: func(raw net.Conn, endpoint *Endpoint) net.Conn {
		c := &PeerConn{unknown: unknownBytes}
		c.init(raw, endpoint)
		_ = c.setReadDeadline(time.Now().Add(unknownTimeout))
		return c
	}}
}

// Introduced records that the node at the other end of the connection that a call came over has
// introduced itself. It is then not closed in favour of others.
func Introduced(ctx context.Context) {
	transport, _ := drpcctx.Transport(ctx)
	c, ok := transport.(*PeerConn)
	if !ok || c.introduced.Swap(true) {
		return
	}
	c.enter(eviction.Working)
	_ = c.setReadDeadline(time.Time{})
}

// Read takes memory for the buffer that it reads into.
func (c *PeerConn) Read(p []byte) (int, error) {
	if !c.pay(len(p)) {
		c.limiter.closed(c.endpoint, reasonMemory)
		return 0, ErrNoMemory
	}
	known := c.introduced.Load()
	if !known {
		if c.unknown == 0 {
			c.limiter.closed(c.endpoint, reasonUnknown)
			return 0, errUnknownPeer
		}
		p = p[:min(len(p), c.unknown)]
	}
	n, err := c.Conn.Read(p)
	if !known {
		c.unknown -= n
	}
	return n, err
}

// Write writes with a deadline, which moves on only now and then, since nodes write often.
func (c *PeerConn) Write(p []byte) (int, error) {
	now := time.Now()
	timeout := c.endpoint.unreadTimeout()
	if until := now.Add(timeout); c.writableUntil.Load() < until.Add(-timeout/2).UnixNano() {
		c.writableUntil.Store(until.UnixNano())
		_ = c.Conn.SetWriteDeadline(until)
	}
	return c.Conn.Write(p)
}

// pay takes memory for a buffer of a size, and for the connection.
func (c *PeerConn) pay(size int) bool {
	if !c.begun {
		c.begun = true
		if !c.hold.Grow(connectionBytes) {
			return false
		}
	}
	if size <= c.buffer {
		return true
	}
	if !c.hold.Grow(int64(peerBufferFactor * (size - c.buffer))) {
		return false
	}
	c.buffer = size
	return true
}
