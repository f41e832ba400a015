package leafwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/protocol/fault"
)

const (
	// readBuffer holds a usual reply, header and body, in bytes.
	readBuffer = 4 << 10
	// longWrite is the size of a request, in bytes, from which it is written by a
	// goroutine of its own, since the leaf may not read it at once.
	longWrite = 16 << 10
	// idleMargin is kept of a leaf's idle timeout, so that a request does not
	// cross the leaf's close.
	idleMargin = 500 * time.Millisecond
)

// conn is one connection to a leaf. The fields up to idleUntil are guarded by the
// peer's lock; the others belong to the reading goroutine, and out to the call that
// the connection is assigned to.
type conn struct {
	peer *peer
	net  net.Conn
	call *Call
	// writing is true until a long request is written whole. A short one is written
	// before its reply can be there.
	writing bool
	// doomed is true once the call was cancelled; the connection then ends.
	doomed    bool
	idleUntil time.Time

	reader *bufio.Reader
	used   bool // a whole reply was read
	out    []byte
}

func newConn(p *peer, raw net.Conn) *conn {
	return &conn{peer: p, net: raw, reader: bufio.NewReaderSize(raw, readBuffer)}
}

// assign gives the connection to a call. It requires the peer's lock.
func (c *conn) assign(call *Call) {
	c.call = call
	c.writing = call.Message.isLong()
	call.conn = c
}

// write sends the request of a call that was assigned. A failure ends the
// connection, and its reader the call.
func (c *conn) write(call *Call) {
	c.out = c.peer.client.appendRequest(c.out[:0], call, time.Now())
	if call.Message.isLong() {
		out := c.out
		c.out = nil
		go c.sendLong(out)
		return
	}
	c.send(c.out)
}

func (c *conn) send(out []byte) {
	if _, err := c.net.Write(out); err != nil {
		_ = c.net.Close()
	}
}

// sendLong sends a request that the leaf may answer before it has read it.
func (c *conn) sendLong(out []byte) {
	c.send(out)
	c.peer.mu.Lock()
	c.writing = false
	c.peer.mu.Unlock()
}

// read takes replies until the connection breaks or must not be used again.
func (c *conn) read() {
	for {
		_, err := c.reader.Peek(1)
		call := c.peer.retire(c)
		if call == nil {
			c.drop(nil)
			return
		}
		if err != nil {
			c.drop(fault.Wrap(err, fault.StepReply, c.peer.vm.Address, "connection to leaf %s", c.peer.vm.ID))
			return
		}
		reply, keep := c.readReply(call)
		if reply.Result == subrequest.ConnectionLost || reply.Result == subrequest.BadReply {
			c.end(call, reply)
			c.close()
			return
		}
		c.used = true
		keep = c.end(call, reply) && keep
		if !keep {
			c.close()
			return
		}
		c.peer.free(c)
	}
}

// drop ends the call of a connection that broke before a reply began.
func (c *conn) drop(err error) {
	fresh := false
	if err != nil {
		c.peer.mu.Lock()
		call := c.call
		c.peer.mu.Unlock()
		fresh = !c.used && !call.cancelled
		c.end(call, Reply{Result: subrequest.ConnectionLost, Sent: true, Err: err})
	}
	_ = c.net.Close()
	c.peer.lost(c, fresh)
}

func (c *conn) close() {
	_ = c.net.Close()
	c.peer.lost(c, false)
}

// end delivers a call and reports whether the connection may serve another one:
// the request was written whole and the call was not cancelled.
func (c *conn) end(call *Call, reply Reply) bool {
	c.peer.mu.Lock()
	whole := !c.writing && !c.doomed
	c.call = nil
	call.conn = nil
	call.over = true
	if call.cancelled && reply.Result == subrequest.ConnectionLost {
		reply.Err = ErrCancelled
	}
	c.peer.mu.Unlock()
	call.Reply = reply
	call.Done <- call
	return whole
}

// readReply reads one reply and reports whether the connection may be used again.
func (c *conn) readReply(call *Call) (Reply, bool) {
	response, err := c.readResponse(call)
	if err != nil {
		return c.broken(err), false
	}
	var body []byte
	if call.Message.Method != http.MethodHead {
		body, err = readBody(response)
	}
	if err != nil {
		return c.broken(err), false
	}
	names := &c.peer.client.cfg.Names
	reply := Reply{
		Result:    subrequest.UpstreamError,
		Sent:      true,
		Status:    response.StatusCode,
		Header:    response.Header,
		Body:      body,
		Receipt:   response.Header.Get(names.Receipt),
		WillClose: response.Close,
	}
	keep := !response.Close && c.reader.Buffered() == 0
	if echo := response.Header.Get(names.RequestID); echo != "" && echo != call.Message.ID {
		reply.Result = subrequest.BadReply
		reply.Err = fault.Wrap(ErrRequestIDMismatch, fault.StepReply, c.peer.vm.Address, "leaf %s", c.peer.vm.ID)
		return reply, false
	}
	c.judge(&reply)
	c.rest(response.Header)
	return reply, keep
}

// judge sets what a whole reply says about the run.
func (c *conn) judge(reply *Reply) {
	names := &c.peer.client.cfg.Names
	switch {
	case reply.Status == http.StatusMisdirectedRequest:
		reply.Result = subrequest.NotRun
		reply.Misdirected = true
		reply.Sent = false
		reply.Err = fault.New(fault.StepReply, c.peer.vm.Address, "another leaf has the address of %s", c.peer.vm.ID)
	case reply.Header.Get(names.NotRun) != "":
		reply.Result = subrequest.NotRun
		reply.Sent = false
		reply.Err = fault.New(fault.StepReply, c.peer.vm.Address, "leaf %s refused with status %d", c.peer.vm.ID, reply.Status)
	case reply.Status >= 200 && reply.Status < 300 && reply.Receipt != "" && reply.Header.Get("Content-Encoding") == "":
		reply.Result = subrequest.OK
	case reply.Status >= 200 && reply.Status < 300:
		reply.Result = subrequest.BadReply
		reply.Err = fault.New(fault.StepReply, c.peer.vm.Address, "leaf %s answered without a receipt", c.peer.vm.ID)
	default:
		reply.Err = fault.New(fault.StepReply, c.peer.vm.Address, "leaf %s failed with status %d", c.peer.vm.ID, reply.Status)
	}
}

// rest takes over how long the leaf keeps the connection.
func (c *conn) rest(h http.Header) {
	c.idleUntil = time.Time{}
	seconds, ok := keepAliveTimeout(h.Get("Keep-Alive"))
	if ok {
		c.idleUntil = time.Now().Add(seconds - min(idleMargin, seconds/2))
	}
}

// keepAliveTimeout reads the timeout of a Keep-Alive header.
func keepAliveTimeout(value string) (time.Duration, bool) {
	for part := range strings.SplitSeq(value, ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		seconds, err := strconv.ParseFloat(strings.Trim(strings.TrimSpace(number), `"`), 64)
		if err == nil && seconds > 0 && seconds < float64(time.Hour/time.Second) {
			return time.Duration(seconds * float64(time.Second)), true
		}
	}
	return 0, false
}

// readResponse reads the header of the final response.
func (c *conn) readResponse(call *Call) (*http.Response, error) {
	request := &http.Request{Method: call.Message.Method}
	for {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= 200 || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
}

var errLongReply = errors.New("reply is too long")

// readBody reads a body whole. One without a length ends with its connection.
func readBody(response *http.Response) ([]byte, error) {
	if response.ContentLength > maxReplyBytes {
		return nil, errLongReply
	}
	if response.ContentLength >= 0 {
		body := make([]byte, response.ContentLength)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err == nil && len(body) > maxReplyBytes {
		return nil, errLongReply
	}
	return body, err
}

func (c *conn) broken(err error) Reply {
	return Reply{
		Result: subrequest.ConnectionLost,
		Sent:   true,
		Err:    fault.Wrap(fmt.Errorf("reply cut or unreadable: %w", err), fault.StepReply, c.peer.vm.Address, "leaf %s", c.peer.vm.ID),
	}
}
