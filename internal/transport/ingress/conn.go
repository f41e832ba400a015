package ingress

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/eviction"
)

const (
	// headSlack is how much longer than the limit a head may be before it is refused.
	headSlack = 1 << 10
	// headTimeSlack is how much longer than the limit a head may take.
	headTimeSlack = 500 * time.Millisecond
	// firstBuffer is the size of the buffer of a typical head, which belongs to the cost of a
	// connection.
	firstBuffer = 2 << 10
	// chunkedStep bounds what is read at a time of a body without a length: net/http may take as
	// much of the next head with it, which is not accounted for.
	chunkedStep = 256
	// tlsBytes is what TLS costs on a connection: its buffers, certificates and keys.
	tlsBytes = 48 << 10
	// refuseTimeout bounds the end of a connection whose request is refused.
	refuseTimeout = 500 * time.Millisecond
)

// Conn is a connection of an HTTP client. Reads and changes of its phase come from one goroutine
// at a time.
type Conn struct {
	tracked
	head headScan
	// buf[off:] is what was received and not handed on. buf[:ready] is the part of a complete
	// head.
	buf        []byte
	off, ready int
	// inRequest is true from the end of a head until the response is written.
	inRequest bool
	// bodyLeft is what is left of the body of the request; -1 if it has no length.
	bodyLeft int64
	// lent is true if the byte before off belongs to the next head: net/http reads one byte
	// during a request to detect that the client leaves.
	lent bool
	// begun is true once the connection was paid for.
	begun bool
}

// Read implements net.Conn for net/http.
func (c *Conn) Read(p []byte) (int, error) {
	if c.inRequest {
		return c.readInRequest(p)
	}
	if c.off >= c.ready {
		if err := c.receiveHead(); err != nil {
			return 0, err
		}
	}
	n := copy(p, c.buf[c.off:c.ready])
	c.off += n
	return n, nil
}

// readInRequest reads what is left of the body, or one byte after it.
func (c *Conn) readInRequest(p []byte) (int, error) {
	afterBody := c.bodyLeft == 0
	switch {
	case afterBody:
		p = p[:min(len(p), 1)]
	case c.bodyLeft > 0:
		p = p[:min(int64(len(p)), c.bodyLeft)]
	default:
		p = p[:min(len(p), chunkedStep)]
	}
	n, err := c.receive(p)
	switch {
	case afterBody:
		c.lend(p[:n])
	case c.bodyLeft > 0:
		c.bodyLeft -= int64(n)
	}
	return n, err
}

// receive reads what was received before, or from the connection.
func (c *Conn) receive(p []byte) (int, error) {
	if c.off < len(c.buf) {
		n := copy(p, c.buf[c.off:])
		c.off += n
		return n, nil
	}
	c.dropBuffer()
	return c.Conn.Read(p)
}

// lend remembers a byte that was handed on ahead of the head that it belongs to.
func (c *Conn) lend(p []byte) {
	if len(p) == 0 {
		return
	}
	c.lent = true
	if c.off == 0 { // it came from the connection
		c.buf = append(c.buf, p[0])
		c.off = 1
	}
}

// dropBuffer empties the buffer, all of which was handed on.
func (c *Conn) dropBuffer() {
	c.off, c.ready = 0, 0
	if cap(c.buf) > firstBuffer {
		c.hold.Shrink(int64(cap(c.buf) - firstBuffer))
		c.buf = nil
	}
	c.buf = c.buf[:0]
}

// SetReadDeadline sets the deadline of reads during a request. Between requests the limits of the
// endpoint hold.
func (c *Conn) SetReadDeadline(at time.Time) error {
	if !c.inRequest {
		return nil
	}
	return c.setReadDeadline(at)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(at time.Time) error {
	return errors.Join(c.SetReadDeadline(at), c.SetWriteDeadline(at))
}

// stateChanged follows the server, which serves one request after the other.
func (c *Conn) stateChanged(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.inRequest = true
		c.bodyLeft = 0
		c.lent = false // net/http had the whole head, and with it what was lent
		c.enter(eviction.Working)
		_ = c.setReadDeadline(time.Time{})
	case http.StateIdle:
		c.inRequest = false
		c.setRequest(nil)
		c.enter(eviction.Kept)
	}
}

// beginBody begins the body of a request of n bytes; -1 means that it has no length.
func (c *Conn) beginBody(n int64) {
	c.bodyLeft = n
	c.enter(eviction.Stalled)
}

// enterStalledOnce lets the connection count as stalled while its body is being read.
func (c *Conn) enterStalledOnce() {
	if c.currentState() == eviction.Working {
		c.enter(eviction.Stalled)
	}
}

// receiveHead receives the next head. When it returns nil, buf[off:ready] is the rest of a
// complete head, which was paid for.
func (c *Conn) receiveHead() error {
	limits := c.endpoint.limits()
	if err := c.begin(limits); err != nil {
		return err
	}
	c.compact()
	c.head = headScan{}
	started := false
	if len(c.buf) == 0 {
		_ = c.setReadDeadline(time.Now().Add(limits.IdleTimeout))
	}
	for {
		end, complete := c.head.scan(c.buf)
		if complete {
			return c.payHead(end)
		}
		if int64(len(c.buf)) > limits.HeadBytes+headSlack {
			return c.refuse(http.StatusRequestHeaderFieldsTooLarge, reasonLongHead)
		}
		if len(c.buf) > 0 && !started {
			started = true
			c.enter(eviction.Stalled)
			_ = c.setReadDeadline(time.Now().Add(limits.HeadTimeout + headTimeSlack))
		}
		if !c.makeRoom(limits.HeadBytes) {
			return c.refuse(http.StatusServiceUnavailable, reasonMemory)
		}
		n, err := c.Conn.Read(c.buf[len(c.buf):cap(c.buf)])
		c.buf = c.buf[:len(c.buf)+n]
		if err != nil && n == 0 {
			return c.headFailed(err)
		}
	}
}

// begin pays for the connection, and for the handshake of one with TLS.
func (c *Conn) begin(limits Limits) error {
	if c.begun {
		return nil
	}
	c.begun = true
	cost := int64(connectionBytes)
	secure, isSecure := c.Conn.(*tls.Conn)
	if isSecure {
		cost += tlsBytes
	}
	if !c.hold.Grow(cost) {
		return c.refuse(http.StatusServiceUnavailable, reasonMemory)
	}
	if !isSecure {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), limits.HeadTimeout)
	defer cancel()
	return secure.HandshakeContext(ctx)
}

// compact moves what belongs to the next head to the start of the buffer.
func (c *Conn) compact() {
	from := c.off
	if c.lent {
		from--
	}
	if from == len(c.buf) {
		c.dropBuffer()
		return
	}
	c.buf = c.buf[:copy(c.buf, c.buf[from:])]
	c.off -= from
	c.ready = c.off
	c.lent = false
}

// makeRoom makes sure that the buffer has room and that what it grows by is paid for.
func (c *Conn) makeRoom(headBytes int64) bool {
	if len(c.buf) < cap(c.buf) {
		return true
	}
	size := firstBuffer
	if cap(c.buf) > 0 {
		size = int(min(2*int64(cap(c.buf)), headBytes+2*headSlack))
		size = max(size, cap(c.buf)+headSlack)
		if !c.hold.Grow(int64(size - cap(c.buf))) {
			return false
		}
	}
	grown := make([]byte, len(c.buf), size)
	copy(grown, c.buf)
	c.buf = grown
	return true
}

// payHead takes the memory of a request whose head is complete at end.
func (c *Conn) payHead(end int) error {
	hold := c.limiter.pool.NewHold()
	if !hold.Grow(c.head.cost(end)) {
		hold.Release()
		return c.refuse(http.StatusServiceUnavailable, reasonMemory)
	}
	c.setRequest(hold)
	c.ready = end
	return nil
}

// headFailed ends a connection whose head cannot be received.
func (c *Conn) headFailed(err error) error {
	started := len(c.buf) > c.off || c.lent || c.off > 0
	switch {
	case c.isEvicted() && started:
		return c.refuse(http.StatusServiceUnavailable, reasonEvicted)
	case errors.Is(err, os.ErrDeadlineExceeded) && !c.isEvicted() && started:
		return c.refuse(http.StatusRequestTimeout, reasonSlowHead)
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed):
		return io.EOF
	}
	return err
}

// refuse answers a request of which nothing was handed on, and ends the connection.
func (c *Conn) refuse(status int, reason string) error {
	if reason != reasonEvicted {
		c.limiter.closed(c.endpoint, reason)
	}
	var retryAfter string
	if status == http.StatusServiceUnavailable {
		retryAfter = "Retry-After: " + strconv.FormatFloat(RetryAfter.Seconds(), 'f', -1, 64) + "\r\n"
	}
	_ = c.Conn.SetDeadline(time.Now().Add(refuseTimeout))
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status), retryAfter)
	if err == nil {
		c.discard()
	}
	return io.EOF
}

// discard reads for a moment what the client still sends, since closing a connection with unread
// bytes resets it and the client may lose the response.
func (c *Conn) discard() {
	if c.CloseWrite() != nil {
		return
	}
	scratch := c.buf[:cap(c.buf)]
	if len(scratch) == 0 {
		return
	}
	for {
		if _, err := c.Conn.Read(scratch); err != nil {
			return
		}
	}
}
