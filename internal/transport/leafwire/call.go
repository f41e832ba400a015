package leafwire

import (
	"errors"
	"net/http"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/quarantine"
	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/memory"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
)

// Errors of calls.
var (
	// ErrCancelled means that the call was cancelled by its caller.
	ErrCancelled = errors.New("call cancelled")
	// ErrRefused means that the leaf has just reset a fresh connection.
	ErrRefused = errors.New("leaf accepts no connection")
	// ErrStayAway means that the leaf leaves, is not listed any more or has asked for a pause.
	ErrStayAway = errors.New("leaf takes no new requests")
	// ErrMalformed means that the leaf has sent bytes that are no answer, or too many.
	ErrMalformed = errors.New("no answer in the protocol")
	// ErrRequestIDMismatch means that a reply carries the ID of another request, or none
	// although the leaf states it in other replies.
	ErrRequestIDMismatch = errors.New("reply belongs to another request")
	// ErrRepeatedReply means that a leaf which states no IDs has sent a reply once more.
	ErrRepeatedReply = errors.New("reply was received before")
)

// Reply is the result of a call.
type Reply struct {
	Result subrequest.Result
	// Sent is true when a byte may have reached the leaf and the leaf did not declare
	// that it ran nothing.
	Sent   bool
	Status int
	Header http.Header
	Body   []byte
	// Receipt is the leaf's proof of the run; empty when there is none.
	Receipt string
	// Misdirected is true when the address belongs to another leaf.
	Misdirected bool
	// WillClose is true when the leaf closes the connection after this reply.
	WillClose bool
	Err       error
}

// Message is a request that is sent to one or more leafs. It must not be modified
// after its first call has started.
type Message struct {
	Method string
	// Head is the encoded request line and headers, each line with its line break,
	// without the headers that differ between leafs.
	Head []byte
	Body []byte
	// ID is the request ID. A reply that carries a different one is rejected.
	ID       string
	Deadline time.Time
	// Hold is the memory of the request, by which its replies are bounded; nil sets no bound.
	Hold *memory.Hold
}

// isLong reports whether the message is written in the background.
func (m *Message) isLong() bool { return len(m.Head)+len(m.Body) >= longRequest }

// Call is one attempt to run a message on a leaf.
type Call struct {
	Message *Message
	Leaf    platform.VM
	// Shard and Record, the statistics of the leaf, are for the caller's use only.
	Shard  int
	Record *leaf.Record
	// QuarantineAttempt describes the attempt to the quarantine; it is for the
	// caller's use only.
	QuarantineAttempt quarantine.Attempt
	// Span is the trace span of the attempt; it is for the caller's use only.
	Span tracing.Span
	// StartedAt is when the call was passed to Start.
	StartedAt time.Time
	// Patience is the time after which the reply is overdue; 0 means never.
	Patience time.Duration
	// Done receives the call when it has ended. It must be buffered: the send must not
	// block.
	Done  chan<- *Call
	Reply Reply

	pool      *pool
	conn      *conn
	ended     bool
	cancelled bool
}

// endUnsent delivers a call that is in no pool.
func (call *Call) endUnsent(cause error) {
	call.pool = nil
	call.Reply = Reply{Result: subrequest.Unsent, Err: fault.Wrap(cause, fault.StepConnect, call.Leaf.Address, "leaf %s", call.Leaf.ID)}
	call.Done <- call
}

// IsCancelled reports whether the call ended because it was cancelled. It is valid
// once the call has ended.
func (call *Call) IsCancelled() bool { return errors.Is(call.Reply.Err, ErrCancelled) }
