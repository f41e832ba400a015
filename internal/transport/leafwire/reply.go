package leafwire

import (
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
	"github.com/hickorydock/hickorydock/internal/protocol/httpstatus"
)

// readReply reads one reply and reports whether the connection may be reused.
func (c *conn) readReply(call *Call) (Reply, bool) {
	response, err := c.readResponse(call)
	if err != nil {
		return c.lostReply(err), false
	}
	var body []byte
	if call.Message.Method != http.MethodHead {
		c.bounded.allow(maxFramingFactor * maxReplyBytes)
		body, err = c.pool.client.bodies.readBody(response, call.Message.Hold)
	}
	if err != nil {
		return c.lostReply(err), false
	}
	names := &c.pool.client.cfg.Names
	reply := Reply{
		Result:    subrequest.UpstreamError,
		Sent:      true,
		Status:    response.StatusCode,
		Header:    response.Header,
		Body:      body,
		Receipt:   response.Header.Get(names.Receipt),
		WillClose: response.Close,
	}
	reusable := !response.Close && c.reader.Buffered() == 0
	c.classify(&reply)
	if err := c.checkOwner(call, &reply); err != nil {
		return c.foreignReply(err), false
	}
	c.updateIdleUntil(response.Header)
	return reply, reusable && !c.isAnonymous(&reply) && !c.receipts.isFull()
}

// classify sets the result that a complete reply implies.
func (c *conn) classify(reply *Reply) {
	names := &c.pool.client.cfg.Names
	switch {
	case reply.Status == http.StatusMisdirectedRequest:
		reply.Result = subrequest.NotRun
		reply.Misdirected = true
		reply.Sent = false
		reply.Err = fault.New(fault.StepReply, c.pool.vm.Address, "address of leaf %s belongs to another leaf", c.pool.vm.ID)
	case reply.Header.Get(names.NotRun) != "":
		reply.Result = subrequest.NotRun
		reply.Sent = false
		reply.Err = fault.New(fault.StepReply, c.pool.vm.Address, "leaf %s rejected the request with status %d", c.pool.vm.ID, reply.Status)
	case reply.Status >= 200 && reply.Status < 300 && reply.Receipt != "" && reply.Header.Get("Content-Encoding") == "":
		reply.Result = subrequest.OK
	case reply.Status >= 200 && reply.Status < 300:
		reply.Result = subrequest.BadReply
		reply.Err = fault.New(fault.StepReply, c.pool.vm.Address, "reply of leaf %s has no receipt", c.pool.vm.ID)
	default:
		reply.Err = fault.New(fault.StepReply, c.pool.vm.Address, "leaf %s failed with status %d", c.pool.vm.ID, reply.Status)
	}
}

// updateIdleUntil sets how long the connection may stay idle, from the leaf's
// Keep-Alive header.
func (c *conn) updateIdleUntil(h http.Header) {
	c.idleUntil = time.Time{}
	timeout, ok := keepAliveTimeout(h.Get("Keep-Alive"))
	if ok {
		c.idleUntil = time.Now().Add(timeout - min(idleMargin, timeout/2))
	}
}

// keepAliveTimeout parses the timeout parameter of a Keep-Alive header.
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

// errInvalidStatus is the error of a response whose status HTTP does not have, or does not allow
// here. What follows it on the connection is of no use: it may be its body or another response.
var errInvalidStatus = errors.New("invalid status")

// readResponse reads the header of the final response and skips interim ones.
func (c *conn) readResponse(call *Call) (*http.Response, error) {
	request := &http.Request{Method: call.Message.Method}
	for {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		switch {
		case httpstatus.IsFinal(response.StatusCode):
			return response, nil
		case !httpstatus.IsInterim(response.StatusCode):
			return nil, fmt.Errorf("%w %03d", errInvalidStatus, response.StatusCode)
		}
	}
}

// lostReply returns the result of a call whose response could not be read.
func (c *conn) lostReply(err error) Reply {
	if !isBrokenOff(err) {
		err = fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return Reply{
		Result: subrequest.ConnectionLost,
		Sent:   true,
		Err:    fault.Wrap(fmt.Errorf("reply not usable: %w", err), fault.StepReply, c.pool.vm.Address, "leaf %s", c.pool.vm.ID),
	}
}

// isBrokenOff reports whether an error means that the connection ended within a reply.
func isBrokenOff(err error) bool {
	var network net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network)
}
