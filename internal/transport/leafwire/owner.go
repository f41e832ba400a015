package leafwire

import (
	"fmt"
	"sync/atomic"

	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/protocol/fault"
)

// replyKind is what a complete reply says about the run of its request.
type replyKind int

// Kinds of replies.
const (
	replySuccess replyKind = iota
	replyFailure
	replyRejection
	replyKinds
)

// kindOf returns the kind of a classified reply.
func kindOf(reply *Reply) replyKind {
	switch {
	case reply.Result == subrequest.NotRun:
		return replyRejection
	case reply.Status >= 200 && reply.Status < 300:
		return replySuccess
	default:
		return replyFailure
	}
}

// echoes records in which kinds of replies a leaf has stated the ID of the request.
type echoes [replyKinds]atomic.Bool

// mayOmitID reports whether a leaf may send a reply of a kind without the ID.
func (e *echoes) mayOmitID(kind replyKind) bool { return !e[kind].Load() }

// checkOwner returns an error if a classified reply may be that to another request than the
// call's: it states another ID, or none although the leaf states it in such replies.
func (c *conn) checkOwner(call *Call, reply *Reply) error {
	stated := reply.Header.Values(c.pool.client.cfg.Names.RequestID)
	for _, id := range stated {
		if id != call.Message.ID {
			return fmt.Errorf("%w: it states request %q", ErrRequestIDMismatch, id)
		}
	}
	kind := kindOf(reply)
	if len(stated) > 0 {
		c.pool.echoes[kind].Store(true)
		return nil
	}
	if reply.Misdirected {
		return nil // holds for all requests on the connection
	}
	if !c.pool.echoes.mayOmitID(kind) {
		return fmt.Errorf("%w: it states no request", ErrRequestIDMismatch)
	}
	return nil
}

// foreignReply returns the result of a call whose reply belongs to another request. It holds
// nothing of that reply, so that nothing of it can reach the caller.
func (c *conn) foreignReply(err error) Reply {
	return Reply{
		Result: subrequest.BadReply,
		Sent:   true,
		Err:    fault.Wrap(err, fault.StepReply, c.pool.vm.Address, "leaf %s", c.pool.vm.ID),
	}
}
