// Package fault defines the error type that crosses package boundaries. Each
// error carries the step and the peer at which it arose, and the outcome that is
// reported to the caller.
package fault

import (
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

// Step names the stage of request processing at which an error arose.
type Step string

// Stages of request processing.
const (
	StepDecode   Step = "decode"
	StepAdmit    Step = "admit"
	StepPlan     Step = "plan"
	StepClaim    Step = "claim"
	StepRelay    Step = "relay"
	StepConnect  Step = "connect"
	StepSend     Step = "send"
	StepReply    Step = "reply"
	StepMerge    Step = "merge"
	StepPlatform Step = "platform"
	StepPeer     Step = "peer"
	StepSettings Step = "settings"
	StepInternal Step = "internal"
)

// Error is an error with its step, its peer and the outcome that it implies.
type Error struct {
	Step Step
	// Peer is the address or name of the other side; empty when there is none.
	Peer string
	// RequestID is the id under which leafs and logs know the request; empty
	// when it failed before it had one.
	RequestID string
	// Field names the faulty field of the input, when there is one.
	Field string
	// Status is the HTTP status for the caller; 0 means 500.
	Status int
	// Outcome is the outcome reported to the caller; empty means query.Failed.
	Outcome query.Outcome
	// RetryAfter is the delay after which the caller may retry; 0 means unspecified.
	RetryAfter time.Duration
	cause      error
}

// New returns an error that arose at a step with a peer.
func New(step Step, peer string, format string, args ...any) *Error {
	return &Error{Step: step, Peer: peer, cause: eris.Errorf(format, args...)}
}

// Wrap adds a step and a peer to cause.
func Wrap(cause error, step Step, peer string, format string, args ...any) *Error {
	return &Error{Step: step, Peer: peer, cause: eris.Wrapf(cause, format, args...)}
}

// Error formats the message as "step peer: cause".
func (e *Error) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %v", e.Step, e.cause)
	}
	return fmt.Sprintf("%s %s: %v", e.Step, e.Peer, e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Detail is the message without step and peer.
func (e *Error) Detail() string { return e.cause.Error() }

// WithStatus sets the HTTP status and outcome and returns e.
func (e *Error) WithStatus(status int, outcome query.Outcome) *Error {
	e.Status = status
	e.Outcome = outcome
	return e
}

// WithField sets the faulty field and returns e.
func (e *Error) WithField(field string) *Error {
	e.Field = field
	return e
}

// WithRequestID sets the request id and returns e.
func (e *Error) WithRequestID(id string) *Error {
	e.RequestID = id
	return e
}

// WithRetryAfter sets the retry delay for the caller and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// From returns the *Error in err's chain, or wraps err with StepInternal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, StepInternal, "", "unexpected error")
}
