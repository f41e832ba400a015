package credentials

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"
)

// handshakeTimeout bounds the handshake of a connection from a node.
const handshakeTimeout = 5 * time.Second

// nodeListener serves TLS with a bounded handshake. The handshake runs on the
// first read or write, so that a slow peer does not block Accept.
type nodeListener struct {
	net.Listener
	config *tls.Config
}

// Accept returns the next connection without waiting for its handshake.
func (l *nodeListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &nodeConn{Conn: tls.Server(raw, l.config)}, nil
}

// nodeConn runs its handshake once, within handshakeTimeout.
type nodeConn struct {
	*tls.Conn
	handshakeOnce sync.Once
	handshakeErr  error
}

func (c *nodeConn) handshake() error {
	c.handshakeOnce.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
		defer cancel()
		c.handshakeErr = c.Conn.HandshakeContext(ctx)
	})
	return c.handshakeErr
}

// Read reads data after the handshake.
func (c *nodeConn) Read(p []byte) (int, error) {
	if err := c.handshake(); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write writes data after the handshake.
func (c *nodeConn) Write(p []byte) (int, error) {
	if err := c.handshake(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
