package fault

import (
	"errors"
	"net"
	"os"
	"syscall"
)

// IsTimeout reports whether an error of a connection means that nothing came from the other
// host, which has neither closed the connection nor refused it.
func IsTimeout(err error) bool {
	var network net.Error
	return errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &network) && network.Timeout()
}
