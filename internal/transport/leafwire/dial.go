package leafwire

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// unackedTimeout is the time after which a connection with unacknowledged bytes is
	// closed.
	unackedTimeout = 2 * time.Second
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux.
	tcpUserTimeout = 18
)

// dialTCP opens a connection to a leaf.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var sockErr error
		err := raw.Control(func(fd uintptr) {
			sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
		})
		return errors.Join(err, sockErr)
	}}
	return dialer.DialContext(ctx, "tcp", address)
}
