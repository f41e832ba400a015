// Package relay runs subrequests: it drives the subrequest machine against the
// upstream client, with one goroutine an attempt, and keeps the measurements
// that the machine's decisions rest on.
package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/hickorydock/hickorydock/internal/coordination/budget"
	"github.com/hickorydock/hickorydock/internal/coordination/drain"
	"github.com/hickorydock/hickorydock/internal/coordination/latency"
	"github.com/hickorydock/hickorydock/internal/coordination/quarantine"
	"github.com/hickorydock/hickorydock/internal/coordination/replica"
	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	contract "github.com/hickorydock/hickorydock/internal/protocol/upstream"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
	"github.com/hickorydock/hickorydock/internal/transport/guard"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
	"github.com/hickorydock/hickorydock/internal/transport/upstream"
)

const (
	// attemptsPerRestart separates attempt numbers of one query attempt from the next.
	attemptsPerRestart = 10_000
	// hedgeBudgetUse is the share of the hedge share that late subrequests may
	// claim; the rest is left for retries.
	hedgeBudgetUse = 0.8
	// hedgeFloor is the shortest wait before a hedge.
	hedgeFloor = 500 * time.Microsecond
)

// Observer receives counts of what the relay does; it is met by the metrics.
type Observer interface {
	// Subrequest counts an attempt by kind; restarted is true when its query
	// began again in another snapshot.
	Subrequest(service string, kind subrequest.Kind, restarted bool)
	// Cancelled counts an attempt that was given up after it was sent.
	Cancelled(service string)
	// Refused counts an attempt that was refused before it was sent, by the
	// quarantine or by the leaf's queue.
	Refused(service string, quarantined bool)
	// InvariantBroken counts a broken invariant.
	InvariantBroken(name string)
}

// Sender sends one attempt to a leaf; it is met by upstream.Client.
type Sender interface {
	Run(ctx context.Context, vm platform.VM, sub contract.Subrequest, left time.Duration, body []byte) upstream.Reply
}

// Refresher fetches the manifest of a leaf soon; it is met by discovery.Discovery.
type Refresher interface {
	Refresh(id string)
}

// Relay runs subrequests of all services. It is safe for concurrent use.
type Relay struct {
	sender   Sender
	store    *shardmap.Store
	refresh  Refresher
	zone     string
	choose   replica.Chooser
	observer Observer
	tracer   *tracing.Tracer
	services sync.Map // service name -> *serviceState
	queues   *queues
	guard    *guard.Guard
	losers   Losers
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

// serviceState is what the relay learned about one service.
type serviceState struct {
	extra  *budget.Budget
	window *latency.Window
	share  float64
	mu     sync.Mutex
}

func hedgeQuantile(share float64) float64 { return 1 - share*hedgeBudgetUse }

func (r *Relay) state(service *note.Service) *serviceState {
	s, ok := r.services.Load(service.Name)
	if !ok {
		fresh := &serviceState{
			extra:  budget.New(service.HedgeShare),
			window: latency.NewWindow(hedgeQuantile(service.HedgeShare)),
			share:  service.HedgeShare,
		}
		s, _ = r.services.LoadOrStore(service.Name, fresh)
	}
	state := s.(*serviceState)
	state.adopt(service.HedgeShare)
	return state
}

// adopt takes over a hedge share that a release note changed.
func (s *serviceState) adopt(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.share == share {
		return
	}
	s.share = share
	s.extra.SetShare(share)
	s.window.SetQuantile(hedgeQuantile(share))
}

// Task is one subrequest.
type Task struct {
	Service   *note.Service
	RequestID string
	// Restart is the number of the query's attempt, from 1.
	Restart  int
	Shard    int
	Snapshot query.Snapshot
	Replicas []shardmap.Replica
	Deadline time.Time
	// Body is the encoded RunRequest, shared by all shards.
	Body []byte
	// Fingerprint identifies service and body for the quarantine.
	Fingerprint quarantine.Fingerprint
	// Canary makes an unproven fingerprint run on one shard first.
	Canary bool
}

// Result is the end of a subrequest.
type Result struct {
	Shard    int
	Restart  int
	Snapshot query.Snapshot
	// OK is true when Items is the shard's verified reply.
	OK     bool
	Items  []query.Item
	Reason query.Reason
	// Sent is true when a byte of the subrequest may have reached a leaf that
	// did not declare that it ran nothing.
	Sent bool
	Err  error
	// Waited and Ran add up the time in leaf queues and at leafs of all attempts
	// that ended.
	Waited, Ran time.Duration
}

// ended is the end of one attempt.
type ended struct {
	index       int
	reply       upstream.Reply
	waited, ran time.Duration
	// quarantined is true when the attempt was refused by the quarantine.
	quarantined bool
}

// run is the state of one subrequest in progress.
type run struct {
	relay   *Relay
	state   *serviceState
	task    Task
	machine subrequest.Machine
	ctx     context.Context
	// wire bounds what attempts send; it ends with ctx unless losers run out.
	wire    context.Context
	pending sync.WaitGroup
	results chan ended
	first   tracing.Span
	// timer fires when the machine has something due.
	timer *time.Timer
	count int
	sent  bool
	// started is true once an attempt may have sent a byte.
	started     atomic.Bool
	waited, ran time.Duration
	quarantined bool
}

// maxReplicas bounds the attempts of one round, besides hedges, and so the channel
// that their goroutines report to without blocking.
const maxReplicas = 64

// Run asks the replicas of one shard until one answers, the deadline passes or
// ctx ends. Attempts still pending at its return are cancelled, or left to run
// out when a reply came and SetLosers says so.
func (r *Relay) Run(ctx context.Context, task Task) Result {
	ctx, cancel := context.WithDeadline(ctx, task.Deadline)
	defer cancel()
	state := r.state(task.Service)
	state.extra.Earn(1)
	cfg := subrequest.Config{
		Replicas:         task.Replicas,
		AvailabilityZone: r.zone,
		Deadline:         task.Deadline,
		HedgeDelay:       state.hedgeDelay(),
		Persist:          task.Service.Policy == note.PolicyCoverage,
		Choose:           r.choose,
		Random:           rand.Uint64,
	}
	u := &run{
		relay:   r,
		state:   state,
		task:    task,
		machine: subrequest.New(cfg, state.extra),
		ctx:     ctx,
		wire:    ctx,
		results: make(chan ended, min(len(task.Replicas), maxReplicas)+subrequest.MaxHedges),
	}
	if r.losers == RunOut {
		return u.loopRunOut()
	}
	return u.loop()
}

// hedgeDelay is the learned wait before a hedge, or 0 before enough is known.
func (s *serviceState) hedgeDelay() time.Duration {
	delay := s.window.Quantile()
	if delay == 0 {
		return 0
	}
	return max(delay, hedgeFloor)
}

func (u *run) loop() Result {
	now := time.Now()
	first, ok := u.machine.Start(now)
	if !ok {
		return u.failed(query.ReasonDeadline, nil)
	}
	u.send(first)
	at, ok := u.machine.HedgeAt(now)
	if !ok {
		at = u.task.Deadline
	}
	u.timer = time.NewTimer(at.Sub(now))
	defer u.timer.Stop()
	for {
		select {
		case <-u.ctx.Done():
			return u.failed(u.lateReason(), u.ctx.Err())
		case at := <-u.timer.C:
			u.due(at)
		case e := <-u.results:
			if result, over := u.settle(e); over {
				return result
			}
		}
	}
}

// due sends what is due, or sets the timer when the budget may allow it later.
func (u *run) due(now time.Time) {
	attempt, send, again := u.machine.Due(now)
	if send {
		u.send(attempt)
	}
	if !again.IsZero() {
		u.timer.Reset(again.Sub(now))
	}
}

// settle hands the end of an attempt to the machine.
func (u *run) settle(e ended) (Result, bool) {
	u.waited += e.waited
	u.ran += e.ran
	u.quarantined = u.quarantined || e.quarantined
	if e.reply.Sent && e.reply.Result != subrequest.NotRun {
		u.sent = true
	}
	decision, next := u.machine.Ended(time.Now(), e.reply.Result)
	switch decision {
	case subrequest.Deliver:
		return u.result(Result{OK: true, Items: e.reply.Items, Sent: true}), true
	case subrequest.GiveUp:
		return u.failed(u.reason(), e.reply.Err), true
	case subrequest.Send:
		u.send(next)
	case subrequest.Later:
		u.timer.Reset(time.Until(u.machine.RoundAt()))
	case subrequest.Wait:
	}
	return Result{}, false
}

// lateReason says why there is no reply at the deadline.
func (u *run) lateReason() query.Reason {
	if u.machine.IsBetweenRounds() {
		return u.reason()
	}
	return query.ReasonDeadline
}

// reason says why no attempt has a reply.
func (u *run) reason() query.Reason {
	if u.quarantined {
		return query.ReasonSuspect
	}
	return u.machine.Reason()
}

func (u *run) failed(reason query.Reason, err error) Result {
	sent := u.sent || u.started.Load() && reason == query.ReasonDeadline
	return u.result(Result{Reason: reason, Sent: sent, Err: err})
}

// result names the subrequest that r ends.
func (u *run) result(r Result) Result {
	r.Shard = u.task.Shard
	r.Restart = u.task.Restart
	r.Snapshot = u.task.Snapshot
	r.Waited = u.waited
	r.Ran = u.ran
	return r
}

// send starts an attempt. Its goroutine ends at the latest with the run's context.
func (u *run) send(attempt subrequest.Attempt) {
	target := u.task.Replicas[attempt.Replica]
	sub := contract.Subrequest{
		RequestID: u.task.RequestID,
		Attempt:   u.task.Restart*attemptsPerRestart + u.count,
		Service:   u.task.Service.Name,
		Shard:     u.task.Shard,
		Snapshot:  u.task.Snapshot,
		Class:     contract.ClassQuery,
	}
	u.count++
	target.Record.Begin(time.Now())
	ctx, span := u.span(attempt, target)
	u.pending.Go(func() { u.attempt(ctx, span, attempt, target, sub) })
}

// span starts the span of an attempt; those after the first link to it.
func (u *run) span(attempt subrequest.Attempt, target shardmap.Replica) (context.Context, tracing.Span) {
	leafID := attribute.String("leaf", target.VM.ID)
	shard := attribute.Int("shard", u.task.Shard)
	if attempt.Kind != subrequest.First {
		return u.relay.tracer.StartLinked(u.wire, tracing.HopAttempt, u.first, leafID, shard)
	}
	ctx, span := u.relay.tracer.Start(u.wire, tracing.HopAttempt, leafID, shard)
	u.first = span
	return ctx, span
}

func (u *run) attempt(ctx context.Context, span tracing.Span, attempt subrequest.Attempt, target shardmap.Replica, sub contract.Subrequest) {
	entered := time.Now()
	trial := u.trial(attempt, target)
	queue := u.relay.queues.of(target.VM.ID, u.task.Service)
	if refused := u.enter(queue, &trial, attempt, target); refused != nil {
		span.End(refused.reply.Err)
		now := time.Now()
		target.Record.End(now, 0, leaf.Unsent)
		u.countRefusal(refused)
		refused.index = attempt.Replica
		refused.waited = now.Sub(entered)
		u.results <- *refused
		return
	}
	if u.relay.observer != nil {
		u.relay.observer.Subrequest(u.task.Service.Name, attempt.Kind, u.task.Restart > 1)
	}
	begun := time.Now()
	reply := u.relay.sender.Run(ctx, target.VM, sub, u.task.Deadline.Sub(begun), u.task.Body)
	span.End(reply.Err)
	now := time.Now()
	elapsed := now.Sub(begun)
	result := leafResult(u.ctx, reply)
	u.leave(queue, sampleOf(reply.Result, elapsed))
	u.relay.guard.Leave(trial, trialEnd(reply, result))
	target.Record.End(now, elapsed, result)
	if result == leaf.Cancelled && reply.Sent && u.relay.observer != nil {
		u.relay.observer.Cancelled(u.task.Service.Name)
	}
	if reply.Result == subrequest.OK || isOvertaken(u.ctx, attempt.Kind) {
		// An overtaken first attempt counts with the time it had taken, or the
		// window would hold too few of the slow attempts that hedges replace.
		u.state.window.Observe(now, now.Sub(entered))
	}
	u.learn(begun, now, target, reply)
	u.results <- ended{index: attempt.Replica, reply: reply, waited: begun.Sub(entered), ran: elapsed}
}

// learn takes over what a reply says about its leaf.
func (u *run) learn(begun, now time.Time, target shardmap.Replica, reply upstream.Reply) {
	answered := reply.Result == subrequest.OK || reply.Result == subrequest.NotRun
	if answered {
		target.Record.UpdateDrain(func(d leaf.Drain) leaf.Drain {
			return drain.OnReply(d, reply.Draining, begun, now)
		})
	}
	if reply.Holdings != "" && target.Record.SetHoldings(reply.Holdings) && u.relay.refresh != nil {
		u.relay.refresh.Refresh(target.VM.ID)
	}
	if reply.Result == subrequest.NotRun && !reply.Draining {
		u.state.extra.Shed()
	}
	if reply.Result != subrequest.Gone {
		return
	}
	if reply.Manifest != nil {
		u.relay.store.SetManifest(target.VM, *reply.Manifest, now)
	}
	u.relay.store.Deny(target.VM, u.task.Service.Name, u.task.Snapshot, now)
}

// isOvertaken reports whether a first attempt was cancelled.
func isOvertaken(ctx context.Context, kind subrequest.Kind) bool {
	return kind == subrequest.First && ctx.Err() != nil
}

func leafResult(ctx context.Context, reply upstream.Reply) leaf.Result {
	switch reply.Result {
	case subrequest.OK:
		return leaf.Answered
	case subrequest.Gone:
		return leaf.Gone
	case subrequest.NotRun:
		return leaf.Shed
	default:
		if ctx.Err() != nil {
			return leaf.Cancelled
		}
		return leaf.Broken
	}
}
