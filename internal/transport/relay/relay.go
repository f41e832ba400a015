// Package relay runs subrequests: it executes the decisions of the subrequest machine,
// sends attempts through the upstream client, each in its own goroutine, and keeps the
// measurements that the decisions depend on.
package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/quarantine"
	"github.com/hickorydock/hickorydock/internal/coordination/replica"
	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	contract "github.com/hickorydock/hickorydock/internal/protocol/upstream"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
	"github.com/hickorydock/hickorydock/internal/transport/guard"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
	"github.com/hickorydock/hickorydock/internal/transport/upstream"
)

// attemptsPerQueryAttempt separates the attempt numbers of one query attempt from those
// of the next.
const attemptsPerQueryAttempt = 10_000

// Observer counts the relay's attempts; the metrics implement it.
type Observer interface {
	// Subrequest counts an attempt by kind; restarted is true when its query
	// began again in another snapshot.
	Subrequest(service string, kind subrequest.Kind, restarted bool)
	// Cancelled counts an attempt that was cancelled after it was sent.
	Cancelled(service string)
	// Refused counts an attempt that was refused before it was sent, by the
	// quarantine or by the leaf's queue.
	Refused(service string, quarantined bool)
	// InvariantViolated counts an invariant violation.
	InvariantViolated(name string)
}

// Sender sends one attempt to a leaf; upstream.Client implements it.
type Sender interface {
	Run(ctx context.Context, vm platform.VM, sub contract.Subrequest, timeLeft time.Duration, body []byte) upstream.Reply
}

// Refresher schedules a fetch of a leaf's manifest; discovery.Discovery implements it.
type Refresher interface {
	Refresh(id string)
}

// Relay runs subrequests of all services. It is safe for concurrent use.
type Relay struct {
	sender     Sender
	store      *shardmap.Store
	refresh    Refresher
	zone       string
	choose     replica.Chooser
	observer   Observer
	tracer     *tracing.Tracer
	services   sync.Map // service name -> *serviceState
	queues     *queues
	guard      *guard.Guard
	superseded SupersededPolicy
}

// New returns a relay in an availability zone; refresh and observer may be nil.
func New(sender Sender, store *shardmap.Store, refresh Refresher, availabilityZone string, choose replica.Chooser, observer Observer, tracer *tracing.Tracer) *Relay {
	return &Relay{
		sender:   sender,
		store:    store,
		refresh:  refresh,
		zone:     availabilityZone,
		choose:   choose,
		observer: observer,
		tracer:   tracer,
		queues:   newQueues(defaultLeafQueue),
		guard:    guard.New(nil),
	}
}

// Task is one subrequest.
type Task struct {
	Service   *note.Service
	RequestID string
	// QueryAttempt is the number of the query's attempt, from 1.
	QueryAttempt int
	Shard        int
	Snapshot     query.Snapshot
	Replicas     []shardmap.Replica
	Deadline     time.Time
	// Body is the encoded RunRequest, shared by all shards.
	Body []byte
	// Fingerprint identifies service and body for the quarantine.
	Fingerprint quarantine.Fingerprint
	// Canary makes an unverified fingerprint run on one shard first.
	Canary bool
}

// Result is the outcome of a subrequest.
type Result struct {
	Shard        int
	QueryAttempt int
	Snapshot     query.Snapshot
	// OK is true when Items is the shard's verified reply.
	OK     bool
	Items  []query.Item
	Reason query.Reason
	// Sent is true when a byte of the subrequest may have reached a leaf that
	// did not declare that it ran nothing.
	Sent bool
	Err  error
	// QueueTime and ServiceTime add up the time in leaf queues and at leafs over all
	// attempts that have ended.
	QueueTime, ServiceTime time.Duration
}

// maxReplicas bounds the attempts of one round, besides hedges, and so the size of the
// channel to which their goroutines report without blocking.
const maxReplicas = 64

// Run sends the subrequest to replicas of its shard until one answers, the deadline
// passes or ctx ends. Attempts that are still pending when it returns are cancelled;
// after a reply, FinishSuperseded lets them finish instead.
func (r *Relay) Run(ctx context.Context, task Task) Result {
	ctx, cancel := context.WithDeadline(ctx, task.Deadline)
	defer cancel()
	state := r.state(task.Service)
	state.hedgeBudget.Earn(1)
	cfg := subrequest.Config{
		Replicas:           task.Replicas,
		AvailabilityZone:   r.zone,
		Deadline:           task.Deadline,
		HedgeDelay:         state.hedgeDelay(),
		RetryUntilDeadline: task.Service.Policy == note.PolicyCoverage,
		Choose:             r.choose,
		Random:             rand.Uint64,
	}
	u := &run{
		relay:      r,
		state:      state,
		task:       task,
		machine:    subrequest.New(cfg, state.hedgeBudget),
		ctx:        ctx,
		attemptCtx: ctx,
		results:    make(chan attemptEnd, min(len(task.Replicas), maxReplicas)+subrequest.MaxHedges),
	}
	if r.superseded == FinishSuperseded {
		return u.loopFinishSuperseded()
	}
	return u.loop()
}
