// Package entry serves queries: it chooses a snapshot, fans a query out to every
// shard through the relay, gathers the replies and merges them. The answer is
// returned before the deadline, with the replies received by then.
package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.opentelemetry.io/otel/attribute"

	"github.com/hickorydock/hickorydock/internal/coordination/gather"
	"github.com/hickorydock/hickorydock/internal/coordination/merge"
	"github.com/hickorydock/hickorydock/internal/coordination/quarantine"
	"github.com/hickorydock/hickorydock/internal/coordination/snapshot"
	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	contract "github.com/hickorydock/hickorydock/internal/protocol/upstream"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
	"github.com/hickorydock/hickorydock/internal/transport/guard"
	"github.com/hickorydock/hickorydock/internal/transport/relay"
	"github.com/hickorydock/hickorydock/internal/transport/throttle"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
)

// ErrStopping is the cause of the end of a query's context when the node stops and cannot wait
// for the query any longer. The query is then answered with what has arrived.
var ErrStopping = errors.New("node is stopping")

// isStopping reports whether the context of a query has ended because the node stops.
func isStopping(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrStopping) }

// retryAfter is the Retry-After of replies to queries that did not run.
const retryAfter = time.Second

// Config bounds queries.
type Config struct {
	// ReturnReserve is the part of the deadline that is reserved for merging and
	// for returning the answer.
	ReturnReserve time.Duration
	// RestartReserve is the minimum time before the deadline at which a query
	// restarts in another snapshot.
	RestartReserve time.Duration
	// MaxQueries bounds the queries in flight.
	MaxQueries int
	// MaxQueue bounds the queries that wait for admission.
	MaxQueue int
	// CanaryShards is the minimum number of shards at which an unverified query
	// runs on one shard first; 0 means never.
	CanaryShards int
	// MaxItems bounds the items of an answer; 0 means no bound.
	MaxItems int
	// MaxAnswerBytes bounds the bytes of an answer's items; 0 means no bound.
	MaxAnswerBytes int
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{ReturnReserve: 2 * time.Millisecond, RestartReserve: 5 * time.Millisecond, MaxQueries: 2000, MaxQueue: 500}
}

// Runner runs one subrequest; relay.Relay implements it.
type Runner interface {
	Run(ctx context.Context, task relay.Task) relay.Result
}

// Entry serves queries. It is safe for concurrent use.
type Entry struct {
	cfg         Config
	store       *shardmap.Store
	runner      Runner
	violations  atomic.Int64
	onViolation func(name string)
	tracer      *tracing.Tracer
	admission   *throttle.Throttle
	guard       *guard.Guard
	// onAdmission is called with a service's limit and its number of waiting
	// queries; it may be nil.
	onAdmission func(service string, limit, waiting int)
}

// New returns an entry; onViolation is called with the name of each violated
// invariant and may be nil.
func New(cfg Config, store *shardmap.Store, runner Runner, onViolation func(name string), tracer *tracing.Tracer) *Entry {
	return &Entry{cfg: cfg, store: store, runner: runner, onViolation: onViolation, tracer: tracer, admission: newAdmission(cfg), guard: guard.New(nil)}
}

// Violations returns the number of violated invariants; each failed one query.
func (e *Entry) Violations() int64 { return e.violations.Load() }

// queryExecution is the state of one query in progress.
type queryExecution struct {
	entry            *Entry
	service          *note.Service
	query            *gather.Query[[]query.Item]
	requestID        string
	body             []byte
	queryFingerprint quarantine.Fingerprint
	deadline         time.Time
	results          chan relay.Result
	cancel           context.CancelFunc
	lastErr          error
	load             subrequestLoad
}

// Query runs a query of a service, which arrived at arrived.
func (e *Entry) Query(ctx context.Context, service note.Service, request query.Request, arrived time.Time) (answer query.Answer, err error) {
	ctx, span := e.tracer.Start(ctx, tracing.HopPlan, attribute.String("service", service.Name))
	defer func() { span.End(err) }()
	body, err := json.Marshal(contract.RunRequest{Query: request.Query})
	if err != nil {
		return query.Answer{}, fault.Wrap(err, fault.StepPlan, "", "encode subrequest")
	}
	fingerprint := quarantine.FingerprintOf(service.Name, body)
	if err := e.rejectQuarantined(fingerprint); err != nil {
		return query.Answer{}, err
	}
	deadline := arrived.Add(callerTimeout(service, request) - e.cfg.ReturnReserve)
	if err := e.admit(ctx, service, request, deadline); err != nil {
		return query.Answer{}, err
	}
	admittedAt := time.Now()
	var total subrequestLoad
	defer func() { e.release(service, time.Since(admittedAt), total) }()
	view := snapshot.Choose(e.store.View(service.UpstreamGroup, service.Name), nil)
	if view == nil {
		return query.Answer{}, fault.New(fault.StepPlan, service.UpstreamGroup, "no leaf of service %s is known", service.Name).
			WithStatus(http.StatusServiceUnavailable, query.NotRun).WithRetryAfter(retryAfter)
	}
	cfg := gather.Config{
		Policy:         service.Policy,
		MinCoverage:    max(service.MinCoverage, request.MinCoverage),
		ArrivedAt:      arrived,
		Deadline:       deadline,
		RestartReserve: e.cfg.RestartReserve,
	}
	q := &queryExecution{
		entry:            e,
		service:          &service,
		query:            gather.New[[]query.Item](cfg, view),
		requestID:        uuid.NewString(),
		body:             body,
		queryFingerprint: fingerprint,
		deadline:         deadline,
	}
	answer, err = q.run(ctx)
	total = q.load
	if err != nil {
		return answer, fault.From(err).WithRequestID(q.requestID)
	}
	return answer, nil
}

// callerTimeout returns how long a caller waits.
func callerTimeout(service note.Service, request query.Request) time.Duration {
	timeout := service.LongestWait()
	if request.DeadlineMS > 0 {
		timeout = min(timeout, time.Duration(request.DeadlineMS)*time.Millisecond)
	}
	return timeout
}

func (q *queryExecution) run(ctx context.Context) (query.Answer, error) {
	respondAt := q.query.RespondAt()
	timer := time.NewTimer(time.Until(respondAt))
	defer timer.Stop()
	q.fanOut(ctx)
	defer func() { q.cancel() }()
	ended := ctx.Done()
	for progress := q.progress(); progress != gather.Complete; {
		select {
		case <-ended:
			if isStopping(ctx) {
				ended = nil // the subrequests end as well, and say whether they have run
				continue
			}
			return query.Answer{}, fault.Wrap(ctx.Err(), fault.StepRelay, "", "caller left").
				WithStatus(statusClientClosedRequest, query.Failed)
		case <-timer.C:
			return q.answer()
		case result := <-q.results:
			next, err := q.handleResult(result)
			if err != nil {
				return query.Answer{}, err
			}
			if next == gather.SnapshotUnavailable {
				next = q.restart(ctx)
			}
			progress = next
			if at := q.query.RespondAt(); at != respondAt {
				respondAt = at
				timer.Reset(time.Until(respondAt))
			}
		}
	}
	return q.answer()
}

// statusClientClosedRequest is only logged, since the caller has disconnected.
const statusClientClosedRequest = 499

func (q *queryExecution) progress() gather.Progress {
	if q.query.View().Covered == 0 {
		return gather.Complete
	}
	return gather.Collecting
}

// fanOut starts a subrequest for each shard of the current attempt.
func (q *queryExecution) fanOut(ctx context.Context) {
	ctx, q.cancel = context.WithCancel(ctx)
	view := q.query.View()
	results := make(chan relay.Result, view.ShardCount())
	q.results = results
	for shard, replicas := range view.Replicas {
		if len(replicas) == 0 {
			continue
		}
		task := relay.Task{
			Service:      q.service,
			RequestID:    q.requestID,
			QueryAttempt: q.query.Attempt(),
			Shard:        shard,
			Snapshot:     view.Snapshot,
			Replicas:     replicas,
			Deadline:     q.deadline,
			Body:         q.body,

			Fingerprint: q.queryFingerprint,
			Canary:      q.entry.needsCanary(view.ShardCount()),
		}
		go func() { results <- q.entry.runner.Run(ctx, task) }()
	}
}

// handleResult passes the result of a subrequest to the gather state.
func (q *queryExecution) handleResult(r relay.Result) (gather.Progress, error) {
	if r.Sent {
		q.query.CountSent()
	}
	q.load.queueTime += r.QueueTime
	q.load.serviceTime += r.ServiceTime
	q.load.shed = q.load.shed || r.Reason == query.ReasonShed
	var progress gather.Progress
	var err error
	if r.OK {
		progress, err = q.query.Reply(time.Now(), r.QueryAttempt, r.Shard, r.Snapshot, r.Items)
	} else {
		q.lastErr = r.Err
		progress, err = q.query.Fail(time.Now(), r.QueryAttempt, r.Shard, r.Reason)
	}
	if err != nil {
		return progress, q.violationError("gather", err)
	}
	return progress, nil
}

// countViolation counts a violated invariant.
func (e *Entry) countViolation(name string) {
	e.violations.Add(1)
	if e.onViolation != nil {
		e.onViolation(name)
	}
}

// violationError counts a violated invariant and returns the error that fails the query.
func (q *queryExecution) violationError(name string, err error) error {
	q.entry.countViolation(name)
	return fault.Wrap(err, fault.StepInternal, "", "invariant %s of request %s", name, q.requestID)
}

// restart starts another attempt if another snapshot offers better coverage.
func (q *queryExecution) restart(ctx context.Context) gather.Progress {
	excluded := append(q.query.Excluded(), q.query.View().Snapshot)
	next := snapshot.Choose(q.entry.store.View(q.service.UpstreamGroup, q.service.Name), excluded)
	if !q.query.Restart(next) {
		return q.query.Progress()
	}
	q.cancel()
	q.fanOut(ctx)
	return q.progress()
}

func (q *queryExecution) answer() (query.Answer, error) {
	merged, err := q.merge()
	if err != nil {
		return query.Answer{}, err
	}
	if err := q.query.CheckInvariants(); err != nil {
		return query.Answer{}, q.violationError("coverage", err)
	}
	coverage := q.query.Coverage()
	outcome := q.query.Outcome(coverage)
	if outcome == query.NotRun {
		return query.Answer{}, q.notRunError()
	}
	return query.Answer{
		RequestID: q.requestID,
		Outcome:   outcome,
		Items:     merged.Items,
		Value:     merged.Value,
		Snapshot:  q.query.View().Snapshot,
		Coverage:  coverage,
	}, nil
}

// merge combines the replies. A reply whose items lack the field that the merge
// mode reads is discarded, so that only its own shard is missing.
func (q *queryExecution) merge() (merge.Merged, error) {
	for {
		merged, err := merge.Merge(q.service, q.query.Replies())
		var itemErr *merge.ItemError
		if errors.As(err, &itemErr) {
			if err := q.query.Discard(itemErr.Reply, query.ReasonBadReply); err != nil {
				return merge.Merged{}, q.violationError("discard", err)
			}
			continue
		}
		if err != nil {
			return merge.Merged{}, fault.Wrap(err, fault.StepMerge, q.service.UpstreamGroup, "merge")
		}
		return merged, q.checkSize(merged)
	}
}

// checkSize returns an error if the answer exceeds the node's bounds. It may do so
// although each reply is within the bounds of its leaf.
func (q *queryExecution) checkSize(merged merge.Merged) error {
	bytes := 0
	for _, item := range merged.Items {
		bytes += len(item)
	}
	cfg := q.entry.cfg
	if cfg.MaxItems > 0 && len(merged.Items) > cfg.MaxItems {
		return q.tooLargeError("%d items, the limit is %d", len(merged.Items), cfg.MaxItems)
	}
	if cfg.MaxAnswerBytes > 0 && bytes > cfg.MaxAnswerBytes {
		return q.tooLargeError("%d bytes of items, the limit is %d", bytes, cfg.MaxAnswerBytes)
	}
	return nil
}

func (q *queryExecution) tooLargeError(format string, args ...any) error {
	return fault.New(fault.StepMerge, q.service.UpstreamGroup, "the answer holds "+format, args...).
		WithStatus(http.StatusBadGateway, query.Failed)
}

func (q *queryExecution) notRunError() error {
	cause := q.lastErr
	if cause == nil {
		cause = fault.New(fault.StepRelay, "", "no subrequest was sent")
	}
	return fault.Wrap(cause, fault.StepRelay, q.service.UpstreamGroup, "no upstream ran the query").
		WithStatus(http.StatusServiceUnavailable, query.NotRun).WithRetryAfter(retryAfter)
}
