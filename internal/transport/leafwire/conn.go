package leafwire

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/protocol/fault"
)

const (
	// readBufferSize fits the header and body of a typical reply, in bytes.
	readBufferSize = 4 << 10
	// longRequest is the size, in bytes, from which a request is written by a separate
	// goroutine, since the leaf may not read it at once.
	longRequest = 16 << 10
	// idleMargin is subtracted from a leaf's idle timeout, so that a request is not
	// sent while the leaf closes the connection.
	idleMargin = 500 * time.Millisecond
)

// conn is one connection to a leaf. The fields up to rejected are guarded by the
// pool's lock. The others are used by the reading goroutine only.
type conn struct {
	pool    *pool
	netConn net.Conn
	call    *Call
	// writing is true until a long request is fully written. A short one may be written after
	// its reply has arrived; the write of the next one then waits for it.
	writing bool
	// closing is true once the call was cancelled; the connection is then closed.
	closing   bool
	idleUntil time.Time
	// rejected is the ID of the last request if the leaf has rejected it.
	rejected string

	// bounded is what reader reads from.
	bounded  *boundedReader
	reader   *bufio.Reader
	hadReply bool // a complete reply was read
	receipts receiptSet
}

func newConn(p *pool, raw net.Conn) *conn {
	bounded := &boundedReader{r: raw}
	return &conn{pool: p, netConn: raw, bounded: bounded, reader: bufio.NewReaderSize(bounded, readBufferSize)}
}

// canCarry reports whether the connection may carry a call. A request that the leaf has rejected
// needs another one, since a copy of the rejection would be taken for the reply. The caller must
// hold the pool's lock.
func (c *conn) canCarry(call *Call) bool {
	return c.rejected == "" || c.rejected != call.Message.ID
}

// assign assigns the connection to a call. The caller must hold the pool's lock.
func (c *conn) assign(call *Call) {
	c.call = call
	c.writing = call.Message.isLong()
	call.conn = c
	c.pool.sent[call] = struct{}{}
}

// write sends the request of the assigned call. On a failure it closes the
// connection, and readLoop then ends the call.
func (c *conn) write(call *Call) {
	if call.Message.isLong() {
		go c.sendLong(net.Buffers{c.pool.client.appendHead(nil, call, time.Now()), call.Message.Body})
		return
	}
	buffer := requestBuffers.Get().(*[]byte)
	*buffer = c.pool.client.appendHead((*buffer)[:0], call, time.Now())
	*buffer = append(*buffer, call.Message.Body...)
	c.send(net.Buffers{*buffer})
	requestBuffers.Put(buffer)
}

// requestBuffers holds buffers for short requests. Each belongs to one write, since a connection
// may serve the next call before the write of the last one has returned.
var requestBuffers = sync.Pool{New: func() any { return new([]byte) }}

func (c *conn) send(out net.Buffers) {
	if _, err := out.WriteTo(c.netConn); err != nil {
		_ = c.netConn.Close()
	}
}

// sendLong sends a request that the leaf may answer before it has read all of it. The body is not
// copied for each attempt.
func (c *conn) sendLong(out net.Buffers) {
	c.send(out)
	c.pool.mu.Lock()
	c.writing = false
	c.pool.mu.Unlock()
}

// readLoop reads replies until the connection breaks or must not be reused.
func (c *conn) readLoop() {
	for {
		c.bounded.allow(maxHeadBytes)
		_, err := c.reader.Peek(1)
		call := c.pool.activeCall(c)
		if call == nil {
			c.closeWithoutReply(nil)
			return
		}
		if err != nil {
			c.closeWithoutReply(fault.Wrap(err, fault.StepReply, c.pool.vm.Address, "connection to leaf %s", c.pool.vm.ID))
			return
		}
		c.pool.client.lastReply.Store(int64(time.Since(c.pool.client.startedAt)))
		reply, reusable := c.readReply(call)
		complete := reply.Result != subrequest.ConnectionLost && reply.Result != subrequest.BadReply
		c.hadReply = c.hadReply || complete
		if !c.endCall(call, reply, reusable && complete) {
			c.close()
			if reply.Result == subrequest.ConnectionLost {
				c.reportLoss(call, reply.Err)
			}
			return
		}
	}
}

// closeWithoutReply closes a connection that broke before a reply began and ends its
// call. A nil err means that the connection has no call. The pool counts the connection as
// closed before the call ends, so that what follows the call does not wait for it.
func (c *conn) closeWithoutReply(err error) {
	if err == nil {
		c.close()
		return
	}
	c.pool.mu.Lock()
	call := c.call
	fresh := !c.hadReply && !call.cancelled
	c.pool.mu.Unlock()
	c.pool.connClosed(c, fresh)
	c.reportLoss(call, err)
	c.endCall(call, Reply{Result: subrequest.ConnectionLost, Sent: true, Err: err}, false)
	_ = c.netConn.Close()
}

// reportLoss reports the loss of a connection, unless it was closed to cancel its call.
func (c *conn) reportLoss(call *Call, err error) {
	c.pool.mu.Lock()
	cancelled := call.cancelled
	if !cancelled {
		c.pool.failedAt = time.Now()
	}
	c.pool.mu.Unlock()
	if !cancelled {
		c.pool.reportFailure(lossCause(err))
	}
}

func (c *conn) close() {
	_ = c.netConn.Close()
	c.pool.connClosed(c, false)
}

// endCall delivers a call and reports whether the connection serves further ones: it is
// reusable, the request was fully written and the call was not cancelled. Such a
// connection is assigned to a waiting call or idle before the reply is delivered, so that
// Release closes it once the caller has the reply.
func (c *conn) endCall(call *Call, reply Reply, reusable bool) bool {
	c.pool.mu.Lock()
	reusable = reusable && !c.writing && !c.closing
	delete(c.pool.sent, call)
	c.call = nil
	c.rejected = ""
	if reply.Result == subrequest.NotRun {
		c.rejected = call.Message.ID
	}
	call.conn = nil
	call.ended = true
	if call.cancelled && reply.Result == subrequest.ConnectionLost {
		reply.Err = ErrCancelled
	}
	var next *Call
	if reusable {
		next = c.pool.assignNextOrIdle(c)
	}
	c.pool.mu.Unlock()
	call.Reply = reply
	call.Done <- call
	if next != nil {
		c.write(next)
	}
	return reusable
}
