package leafwire

import (
	"errors"
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

// maxReceipts is the number of replies without an ID after which a connection is not used again.
const maxReceipts = 512

// receiptSet holds the receipts of all replies of a connection that state no ID. Each run has a
// receipt of its own, so a receipt that comes again is that of a copy, however late it is.
type receiptSet map[string]struct{}

func (r receiptSet) contains(receipt string) bool {
	_, ok := r[receipt]
	return ok
}

func (r *receiptSet) add(receipt string) {
	if *r == nil {
		*r = make(receiptSet)
	}
	(*r)[receipt] = struct{}{}
}

func (r receiptSet) isFull() bool { return len(r) >= maxReceipts }

// checkOwner returns an error if a classified reply may be that to another request than the
// call's: it states another ID, or none although the leaf states it in such replies, or it is a
// copy of an earlier reply without an ID.
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
	if c.receipts.contains(reply.Receipt) {
		return fmt.Errorf("%w: receipt %q", ErrRepeatedReply, reply.Receipt)
	}
	if reply.Receipt != "" {
		c.receipts.add(reply.Receipt)
	}
	return nil
}

// IsForeign reports whether the error of a reply means that it belongs to another request.
func IsForeign(err error) bool {
	return errors.Is(err, ErrRequestIDMismatch) || errors.Is(err, ErrRepeatedReply)
}

// isAnonymous reports whether a reply has nothing by which a copy of it would be recognised.
func (c *conn) isAnonymous(reply *Reply) bool {
	return reply.Receipt == "" && reply.Header.Get(c.pool.client.cfg.Names.RequestID) == ""
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
