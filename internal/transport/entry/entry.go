// Package entry serves queries: it fixes a snapshot, fans a query out to every
// shard through the relay, gathers the replies and merges them. The answer
// leaves before the deadline with what there is.
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

// retryAfter is the advice to callers whose query ran nowhere.
const retryAfter = time.Second

// Config bounds queries.
type Config struct {
	// ReturnReserve is the part of the deadline kept for merging and the way back.
	ReturnReserve time.Duration
	// RestartReserve is the time that must be left to restart in another snapshot.
	RestartReserve time.Duration
	// MaxQueries bounds the queries in flight.
	MaxQueries int
	// MaxQueue bounds the queries that wait for admission.
	MaxQueue int
	// CanaryShards is the number of shards from which an unproven query runs on
	// one shard first; 0 means never.
	CanaryShards int
	// MaxItems bounds the items of an answer; 0 means no bound.
	MaxItems int
	// MaxAnswerBytes bounds the bytes of an answer's items; 0 means no bound.
	MaxAnswerBytes int
}

// DefaultConfig returns the reserves used when nothing else is set.
func DefaultConfig() Config {
	return Config{ReturnReserve: 2 * time.Millisecond, RestartReserve: 5 * time.Millisecond, MaxQueries: 2000, MaxQueue: 500}
}

// Runner runs one subrequest; it is met by relay.Relay.
type Runner interface {
	Run(ctx context.Context, task relay.Task) relay.Result
}

// Entry serves queries. It is safe for concurrent use.
type Entry struct {
	cfg        Config
	store      *shardmap.Store
	runner     Runner
	violations atomic.Int64
	onBroken   func(name string)
	tracer     *tracing.Tracer
	admission  *throttle.Throttle
	guard      *guard.Guard
	// onAdmission is told a service's limit and the queries waiting; may be nil.
	onAdmission func(service string, limit, waiting int)
}

// New returns an entry; onBroken is told the name of each broken invariant and may be nil.
func New(cfg Config, store *shardmap.Store, runner Runner, onBroken func(name string), tracer *tracing.Tracer) *Entry {
	return &Entry{cfg: cfg, store: store, runner: runner, onBroken: onBroken, tracer: tracer, admission: newAdmission(cfg), guard: guard.New(nil)}
}

// Violations counts broken invariants; each failed one query.
func (e *Entry) Violations() int64 { return e.violations.Load() }

// collection is the state of one query in progress.
type collection struct {
	entry    *Entry
	service  *note.Service
	query    *gather.Query[[]query.Item]
	id       string
	body     []byte
	mark     quarantine.Fingerprint
	deadline time.Time
	results  chan relay.Result
	cancel   context.CancelFunc
	last     error
	load     load
}

// Query answers a query of a service, which arrived at arrived.
func (e *Entry) Query(ctx context.Context, service note.Service, request query.Request, arrived time.Time) (answer query.Answer, err error) {
	ctx, span := e.tracer.Start(ctx, tracing.HopPlan, attribute.String("service", service.Name))
	defer func() { span.End(err) }()
	body, err := json.Marshal(contract.RunRequest{Query: request.Query})
	if err != nil {
		return query.Answer{}, fault.Wrap(err, fault.StepPlan, "", "encode subrequest")
	}
	fingerprint := quarantine.FingerprintOf(service.Name, body)
	if err := e.refuseSuspect(fingerprint); err != nil {
		return query.Answer{}, err
	}
	deadline := arrived.Add(wait(service, request) - e.cfg.ReturnReserve)
	if err := e.admit(ctx, service, request, deadline); err != nil {
		return query.Answer{}, err
	}
	begun := time.Now()
	var met load
	defer func() { e.done(service, time.Since(begun), met) }()
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
	c := &collection{
		entry:    e,
		service:  &service,
		query:    gather.New[[]query.Item](cfg, view),
		id:       uuid.NewString(),
		body:     body,
		mark:     fingerprint,
		deadline: deadline,
	}
	answer, err = c.run(ctx)
	met = c.load
	if err != nil {
		return answer, fault.From(err).WithRequestID(c.id)
	}
	return answer, nil
}

func wait(service note.Service, request query.Request) time.Duration {
	longest := service.LongestWait()
	if request.DeadlineMS > 0 {
		longest = min(longest, time.Duration(request.DeadlineMS)*time.Millisecond)
	}
	return longest
}

func (c *collection) run(ctx context.Context) (query.Answer, error) {
	leaveAt := c.query.RespondAt()
	timer := time.NewTimer(time.Until(leaveAt))
	defer timer.Stop()
	c.fanOut(ctx)
	defer func() { c.cancel() }()
	for progress := c.progress(); progress != gather.Complete; {
		select {
		case <-ctx.Done():
			return query.Answer{}, fault.Wrap(ctx.Err(), fault.StepRelay, "", "caller left").
				WithStatus(statusCallerLeft, query.Failed)
		case <-timer.C:
			return c.answer()
		case result := <-c.results:
			next, err := c.take(result)
			if err != nil {
				return query.Answer{}, err
			}
			if next == gather.SnapshotUnavailable {
				next = c.restart(ctx)
			}
			progress = next
			if at := c.query.RespondAt(); at != leaveAt {
				leaveAt = at
				timer.Reset(time.Until(leaveAt))
			}
		}
	}
	return c.answer()
}

// statusCallerLeft is written to a log only, since the caller is gone.
const statusCallerLeft = 499

func (c *collection) progress() gather.Progress {
	if c.query.View().Covered == 0 {
		return gather.Complete
	}
	return gather.Collecting
}

// fanOut starts a subrequest for each shard of the current attempt.
func (c *collection) fanOut(ctx context.Context) {
	ctx, c.cancel = context.WithCancel(ctx)
	view := c.query.View()
	results := make(chan relay.Result, view.ShardCount())
	c.results = results
	for shard, replicas := range view.Replicas {
		if len(replicas) == 0 {
			continue
		}
		task := relay.Task{
			Service:      c.service,
			RequestID:    c.id,
			QueryAttempt: c.query.Attempt(),
			Shard:        shard,
			Snapshot:     view.Snapshot,
			Replicas:     replicas,
			Deadline:     c.deadline,
			Body:         c.body,

			Fingerprint: c.mark,
			Canary:      c.entry.isCanary(view.ShardCount()),
		}
		go func() { results <- c.entry.runner.Run(ctx, task) }()
	}
}

// take hands the end of a subrequest to the gathering.
func (c *collection) take(r relay.Result) (gather.Progress, error) {
	if r.Sent {
		c.query.CountSent()
	}
	c.load.waited += r.QueueTime
	c.load.ran += r.ServiceTime
	c.load.shed = c.load.shed || r.Reason == query.ReasonShed
	var progress gather.Progress
	var err error
	if r.OK {
		progress, err = c.query.Reply(time.Now(), r.QueryAttempt, r.Shard, r.Snapshot, r.Items)
	} else {
		c.last = r.Err
		progress, err = c.query.Fail(time.Now(), r.QueryAttempt, r.Shard, r.Reason)
	}
	if err != nil {
		return progress, c.broken("gather", err)
	}
	return progress, nil
}

// violated counts a broken invariant.
func (e *Entry) violated(name string) {
	e.violations.Add(1)
	if e.onBroken != nil {
		e.onBroken(name)
	}
}

// broken counts a broken invariant and returns the error that fails the query.
func (c *collection) broken(name string, err error) error {
	c.entry.violated(name)
	return fault.Wrap(err, fault.StepInternal, "", "invariant %s of request %s", name, c.id)
}

// restart begins another attempt when another snapshot promises better coverage.
func (c *collection) restart(ctx context.Context) gather.Progress {
	excluded := append(c.query.Excluded(), c.query.View().Snapshot)
	next := snapshot.Choose(c.entry.store.View(c.service.UpstreamGroup, c.service.Name), excluded)
	if !c.query.Restart(next) {
		return c.query.Progress()
	}
	c.cancel()
	c.fanOut(ctx)
	return c.progress()
}

func (c *collection) answer() (query.Answer, error) {
	merged, err := c.merge()
	if err != nil {
		return query.Answer{}, err
	}
	if err := c.query.CheckInvariants(); err != nil {
		return query.Answer{}, c.broken("coverage", err)
	}
	coverage := c.query.Coverage()
	outcome := c.query.Outcome(coverage)
	if outcome == query.NotRun {
		return query.Answer{}, c.notRun()
	}
	return query.Answer{
		RequestID: c.id,
		Outcome:   outcome,
		Items:     merged.Items,
		Value:     merged.Value,
		Snapshot:  c.query.View().Snapshot,
		Coverage:  coverage,
	}, nil
}

// merge combines the replies. One whose items lack what the merge mode reads is
// discarded, so that it costs its own shard only.
func (c *collection) merge() (merge.Merged, error) {
	for {
		merged, err := merge.Merge(c.service, c.query.Replies())
		var bad *merge.ItemError
		if errors.As(err, &bad) {
			if err := c.query.Discard(bad.Reply, query.ReasonBadReply); err != nil {
				return merge.Merged{}, c.broken("discard", err)
			}
			continue
		}
		if err != nil {
			return merge.Merged{}, fault.Wrap(err, fault.StepMerge, c.service.UpstreamGroup, "merge")
		}
		return merged, c.checkSize(merged)
	}
}

// checkSize refuses an answer above the node's bounds, whose pieces the leafs'
// own bounds let through.
func (c *collection) checkSize(merged merge.Merged) error {
	bytes := 0
	for _, item := range merged.Items {
		bytes += len(item)
	}
	cfg := c.entry.cfg
	if cfg.MaxItems > 0 && len(merged.Items) > cfg.MaxItems {
		return c.tooLarge("%d items, the limit is %d", len(merged.Items), cfg.MaxItems)
	}
	if cfg.MaxAnswerBytes > 0 && bytes > cfg.MaxAnswerBytes {
		return c.tooLarge("%d bytes of items, the limit is %d", bytes, cfg.MaxAnswerBytes)
	}
	return nil
}

func (c *collection) tooLarge(format string, args ...any) error {
	return fault.New(fault.StepMerge, c.service.UpstreamGroup, "the answer holds "+format, args...).
		WithStatus(http.StatusBadGateway, query.Failed)
}

func (c *collection) notRun() error {
	cause := c.last
	if cause == nil {
		cause = fault.New(fault.StepRelay, "", "no subrequest was sent")
	}
	return fault.Wrap(cause, fault.StepRelay, c.service.UpstreamGroup, "no upstream ran the query").
		WithStatus(http.StatusServiceUnavailable, query.NotRun).WithRetryAfter(retryAfter)
}
