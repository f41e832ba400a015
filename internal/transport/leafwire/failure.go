package leafwire

import (
	"errors"
	"io"
	"syscall"

	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// Cause is why a connection to a leaf failed.
type Cause string

// Causes of failed connections.
const (
	// CauseDialTimeout means that the leaf's host did not answer a dial.
	CauseDialTimeout Cause = "dial_timeout"
	// CauseDialRefused means that the leaf's host refused a dial.
	CauseDialRefused Cause = "dial_refused"
	// CauseDialFailed means that a dial failed in another way.
	CauseDialFailed Cause = "dial_failed"
	// CauseTimeout means that the leaf's host did not acknowledge what was sent.
	CauseTimeout Cause = "timeout"
	// CauseReset means that the connection was reset.
	CauseReset Cause = "reset"
	// CauseClosed means that the leaf closed the connection while a request waited.
	CauseClosed Cause = "closed"
	// CauseMalformed means that the leaf sent bytes that are no answer.
	CauseMalformed Cause = "malformed"
)

// dialCause returns the cause of a failed dial.
func dialCause(err error) Cause {
	switch {
	case fault.IsTimeout(err):
		return CauseDialTimeout
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return CauseDialRefused
	default:
		return CauseDialFailed
	}
}

// lossCause returns the cause of the loss of an open connection.
func lossCause(err error) Cause {
	switch {
	case fault.IsTimeout(err):
		return CauseTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return CauseClosed
	case errors.Is(err, ErrMalformed):
		return CauseMalformed
	default:
		return CauseReset
	}
}

// reportFailure calls OnFailure with the number of connections that are left.
func (p *pool) reportFailure(cause Cause) {
	p.mu.Lock()
	open := p.open
	p.mu.Unlock()
	p.client.cfg.OnFailure(p.vm, cause, open)
}

// noFailureHandler is the OnFailure of a client without one.
func noFailureHandler(platform.VM, Cause, int) {}
