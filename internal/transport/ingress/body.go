package ingress

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/eviction"
	"github.com/hickorydock/hickorydock/internal/state/memory"
)

// RetryAfter is when the client of a request that was refused for lack of memory may return.
const RetryAfter = time.Second

// ErrNoMemory is returned when reading a body for which there is no memory, or whose connection
// has to make room for others. The request has not run.
var ErrNoMemory = errors.New("no memory for the request")

// body is the body of a request, whose memory is taken as it is read.
type body struct {
	io.ReadCloser
	request *http.Request
	conn    *Conn
	hold    *memory.Hold
}

// Read reads the next part of the body. At its end it clears the read deadline: from then on the
// server reads only to detect that the client has left. Trailers, which cost more than their bytes
// and which no handler reads, are dropped.
func (b *body) Read(p []byte) (int, error) {
	b.conn.enterStalledOnce()
	n, err := b.ReadCloser.Read(p)
	if n > 0 && !b.hold.Grow(int64(n)*b.conn.endpoint.cfg.BodyFactor) {
		b.conn.limiter.closed(b.conn.endpoint, reasonMemory)
		return 0, ErrNoMemory
	}
	switch {
	case err == io.EOF:
		b.request.Trailer = nil
		b.conn.enter(eviction.Working)
		_ = b.conn.SetReadDeadline(time.Time{})
	case err != nil && b.conn.isEvicted():
		return n, ErrNoMemory
	}
	return n, err
}

// SetBodyDeadline sets until when the body of a request has to be complete.
func SetBodyDeadline(r *http.Request, at time.Time) {
	if c := connOf(r.Context()); c != nil {
		_ = c.SetReadDeadline(at)
	}
}
