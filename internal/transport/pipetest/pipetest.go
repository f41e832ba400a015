// Package pipetest has a listener over in-memory connections, with which tests run servers in a
// synctest bubble.
package pipetest

import "net"

// Listener accepts the server ends of in-memory connections.
type Listener struct {
	conns  chan net.Conn
	closed chan struct{}
}

// NewListener returns an open listener.
func NewListener() *Listener {
	return &Listener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Dial opens a connection and returns its client end.
func (l *Listener) Dial() net.Conn {
	client, server := net.Pipe()
	l.conns <- server
	return client
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. It must be called once.
func (l *Listener) Close() error {
	close(l.closed)
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return &net.TCPAddr{} }
