package subrequest

import (
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/replica"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
)

// MaxHedges is the maximum number of hedges in one round.
const MaxHedges = 2

// Result is how an attempt ended.
type Result int

// Results of an attempt.
const (
	// OK means that a verified reply arrived.
	OK Result = iota
	// NotRun means that the leaf declared that it did not run the attempt.
	NotRun
	// SnapshotUnavailable means that the leaf does not hold the snapshot.
	SnapshotUnavailable
	// ConnectionLost means that the connection failed.
	ConnectionLost
	// BadReply means that the reply failed verification.
	BadReply
	// UpstreamError means that the leaf ran the attempt and reported an error.
	UpstreamError
	// Unsent means that no byte of the attempt left this node. It counts neither as an
	// attempt nor against the budget.
	Unsent
)

// reasons maps the result of the last attempt to the reason why the shard is missing.
var reasons = map[Result]query.Reason{
	NotRun:              query.ReasonShed,
	SnapshotUnavailable: query.ReasonSnapshotGone,
	ConnectionLost:      query.ReasonConnectionLost,
	BadReply:            query.ReasonBadReply,
	UpstreamError:       query.ReasonUpstreamError,
	Unsent:              query.ReasonConnectionLost,
}

// Kind is why an attempt is sent.
type Kind int

// Kinds of attempts.
const (
	First Kind = iota
	Hedge
	Retry
)

// Attempt instructs the driver to send an attempt to a replica.
type Attempt struct {
	Kind    Kind
	Replica int
}

// Budget pays for hedges and retries; budget.Budget implements it.
type Budget interface {
	Spend() bool
	// SpendSpare pays for an attempt of a later round.
	SpendSpare() bool
}

// Config holds the settings of one subrequest.
type Config struct {
	Replicas         []shardmap.Replica
	AvailabilityZone string
	// Deadline is when a reply is of no use any more.
	Deadline time.Time
	// HedgeDelay is the wait before a hedge; 0 disables hedging.
	HedgeDelay time.Duration
	// HedgeWithSpare allows a hedge to a replica that is likely to be late too, for a spare
	// token. Without it such a replica gets no hedges.
	HedgeWithSpare bool
	// MaxAttempts bounds the number of attempts, hedges included; 0 means no bound.
	MaxAttempts int
	// AtMostOnce allows another attempt only after a leaf declared that it did not run
	// the one before, as a request that is not idempotent requires.
	AtMostOnce bool
	// RetryUntilDeadline retries in rounds over all replicas until the deadline.
	RetryUntilDeadline bool
	// Choose picks the replica of each attempt.
	Choose replica.Chooser
	// Random supplies randomness for the choice of replicas.
	Random func() uint64
}

// SkipReason is why a further attempt was not sent.
type SkipReason int

// Reasons not to send a further attempt.
const (
	// NotSkipped means that no attempt was skipped.
	NotSkipped SkipReason = iota
	// SkippedNoBudget means that the budget was empty.
	SkippedNoBudget
	// SkippedNoReplica means that no other replica was likely to reply earlier.
	SkippedNoReplica
	// SkippedMaxAttempts means that MaxAttempts was reached, or that AtMostOnce forbids
	// another attempt.
	SkippedMaxAttempts
)

// String names the reason.
func (r SkipReason) String() string {
	return [...]string{"none", "budget", "replica", "attempts"}[r]
}
