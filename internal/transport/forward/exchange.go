package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/hickorydock/hickorydock/internal/coordination/budget"
	"github.com/hickorydock/hickorydock/internal/coordination/gather"
	"github.com/hickorydock/hickorydock/internal/coordination/hedge"
	"github.com/hickorydock/hickorydock/internal/coordination/latency"
	"github.com/hickorydock/hickorydock/internal/coordination/quarantine"
	"github.com/hickorydock/hickorydock/internal/coordination/replica"
	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
	"github.com/hickorydock/hickorydock/internal/transport/leafwire"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
)

// part is the reply of one shard.
type part struct {
	receipt string
	records []byte
	// call is the attempt that got it; nil when it came through another node.
	call *leafwire.Call
}

// shardRun is the state of one shard of a request.
type shardRun struct {
	group   string
	machine subrequest.Machine
	budget  *budget.Budget
	// due is when the machine wants to be asked; zero means never.
	due  time.Time
	last *leafwire.Call
	// asked is the node or leaf that was asked last.
	asked string
	// over is true once the shard has a reply or has failed, replied only with a
	// reply.
	over, replied bool
}

// exchange is one request in progress. It belongs to one goroutine.
type exchange struct {
	f *Forwarder
	// ctx carries the trace of the request.
	ctx     context.Context
	req     *request
	message *leafwire.Message
	window  *latency.Window
	view    *shardmap.SnapshotView
	query   *gather.Query[part]
	shards  []shardRun
	done    chan *leafwire.Call
	pending map[*leafwire.Call]struct{}
	// bundles are the shards that other nodes were asked for.
	bundles []*bundle
	passed  chan passedEvent
	// ran is true once a leaf may have run the request.
	ran bool
	// sends counts the attempts.
	sends int
	// held are the attempts that the quarantine holds back.
	held []heldSend
	// alarm is a time at which the loop has to wake; zero means none.
	alarm time.Time
	// replied is told of each reply, once set.
	replied func(shard int, reply part)
}

func newExchange(f *Forwarder, req *request) *exchange {
	x := &exchange{f: f, ctx: context.Background(), req: req, window: f.window(req.route.Name)}
	groups := req.route.Shards
	if !req.route.IsQuery() {
		groups = []string{f.splitGroup(req.route)}
	}
	x.view = &shardmap.SnapshotView{
		Snapshot: query.Snapshot{Generation: req.version},
		Replicas: make([][]shardmap.Replica, len(groups)),
	}
	x.shards = make([]shardRun, len(groups))
	most := 0
	for i, group := range groups {
		replicas := f.groups.Replicas(group)
		x.view.Replicas[i] = replicas
		if len(replicas) > 0 {
			x.view.Covered++
		}
		x.shards[i].group = group
		most += x.attemptsOf(len(replicas))
	}
	x.done = make(chan *leafwire.Call, most)
	x.pending = make(map[*leafwire.Call]struct{}, len(groups))
	return x
}

// attemptsOf bounds the attempts of a shard.
func (x *exchange) attemptsOf(replicas int) int {
	most := replicas + subrequest.MaxHedges
	if x.req.route.Attempts > 0 {
		most = min(most, x.req.route.Attempts)
	}
	return most
}

func (x *exchange) minCoverage() float64 {
	if x.req.route.IsQuery() {
		return x.req.route.MinCoverage
	}
	return 1
}

// start sends the first attempts. It reports false when too few shards have a leaf.
func (x *exchange) start(now time.Time) bool {
	cfg := gather.Config{
		Policy:      note.PolicyCoverage,
		MinCoverage: x.minCoverage(),
		Begun:       x.req.arrived,
		Deadline:    x.req.deadline,
		Target:      x.req.target,
	}
	x.query = gather.New[part](cfg, x.view)
	if x.query.IsHopeless() {
		return false
	}
	if x.message == nil {
		x.message = x.f.message(x.req)
	}
	if !x.pass(now) {
		for shard := range x.shards {
			x.begin(now, shard)
		}
	}
	return true
}

// run drives the request until its answer can leave. It returns false when the
// caller left.
func (x *exchange) run(ctx context.Context) bool {
	if !x.start(time.Now()) {
		return true
	}
	return x.loop(ctx, x.isOver)
}

// loop takes events until the request is over. It returns false when ctx ended
// before.
func (x *exchange) loop(ctx context.Context, isOver func(now time.Time) bool) bool {
	timer := time.NewTimer(time.Until(x.wakeAt()))
	defer timer.Stop()
	for !isOver(time.Now()) {
		select {
		case <-ctx.Done():
			return false
		case call := <-x.done:
			x.ended(time.Now(), call)
			x.drain()
		case e := <-x.passed:
			x.passedEnded(time.Now(), e)
			x.drain()
		case now := <-timer.C:
			x.due(now)
		}
		timer.Reset(time.Until(x.wakeAt()))
	}
	return true
}

// drain takes the ends that are there already.
func (x *exchange) drain() {
	for {
		select {
		case call := <-x.done:
			x.ended(time.Now(), call)
		case e := <-x.passed:
			x.passedEnded(time.Now(), e)
		default:
			return
		}
	}
}

func (x *exchange) isOver(now time.Time) bool {
	return x.query.Progress() == gather.Complete || x.query.IsHopeless() || !now.Before(x.query.LeaveAt())
}

// wakeAt is when the next decision is due.
func (x *exchange) wakeAt() time.Time {
	at := x.query.LeaveAt()
	if !x.alarm.IsZero() {
		at = x.alarm
	}
	for i := range x.shards {
		if due := x.shards[i].due; !due.IsZero() && due.Before(at) {
			at = due
		}
	}
	for _, b := range x.bundles {
		if !b.hedgeAt.IsZero() && b.hedgeAt.Before(at) {
			at = b.hedgeAt
		}
	}
	for _, h := range x.held {
		if h.at.Before(at) {
			at = h.at
		}
	}
	return at
}

// begin sends the first attempt of a shard.
func (x *exchange) begin(now time.Time, shard int) {
	replicas := x.view.Replicas[shard]
	if len(replicas) == 0 {
		return
	}
	run := &x.shards[shard]
	run.budget = x.f.budget(run.group)
	run.budget.Earn(1)
	run.machine = subrequest.New(subrequest.Config{
		Replicas:         replicas,
		AvailabilityZone: x.f.cfg.AvailabilityZone,
		Deadline:         x.req.deadline,
		HedgeDelay:       hedge.Delay(x.window.Quantile(), x.req.target.Sub(now)),
		MaxAttempts:      x.attemptsOf(len(replicas)),
		Once:             !x.req.route.Idempotent,
		Choose:           replica.Choose,
		Random:           rand.Uint64,
	}, run.budget)
	attempt, ok := run.machine.Start(now)
	if !ok {
		x.fail(now, shard, query.ReasonNoReplica)
		return
	}
	x.send(now, shard, attempt)
	if at, ok := run.machine.HedgeAt(now); ok {
		run.due = at
	}
}

// heldSend is an attempt that the quarantine holds back.
type heldSend struct {
	shard   int
	attempt subrequest.Attempt
	at      time.Time
}

// send sends an attempt unless the quarantine refuses it or holds it back.
func (x *exchange) send(now time.Time, shard int, attempt subrequest.Attempt) {
	target := x.view.Replicas[shard][attempt.Replica]
	trial := quarantine.Attempt{
		Fingerprint: x.req.mark,
		Shard:       shard,
		Leaf:        target.VM.ID,
		Hedge:       attempt.Kind == subrequest.Hedge,
	}
	switch x.f.guard.Try(&trial) {
	case quarantine.Hold:
		x.held = append(x.held, heldSend{shard, attempt, now.Add(quarantine.ReportDelay())})
		return
	case quarantine.Refuse:
		x.decide(now, shard, subrequest.NotRun)
		return
	case quarantine.Allow:
	}
	target.Record.Begin(now)
	call := &leafwire.Call{
		Message: x.message,
		Leaf:    target.VM,
		Shard:   shard,
		Replica: attempt.Replica,
		Began:   now,
		Done:    x.done,
		Trial:   trial,
	}
	_, call.Span = x.f.Tracer.Start(x.ctx, tracing.HopAttempt, attribute.String("leaf", call.Leaf.ID), attribute.Int("shard", shard))
	x.sends++
	x.pending[call] = struct{}{}
	x.query.Sent()
	x.f.observer.Attempt(x.req.route.Name, kindNames[attempt.Kind])
	x.shards[shard].asked = call.Leaf.ID
	x.f.wire.Start(call)
}

// kindNames are the names of attempt kinds in metrics.
var kindNames = map[subrequest.Kind]string{subrequest.First: "first", subrequest.Hedge: "hedge", subrequest.Retry: "retry"}

// due lets the machines act whose time has come.
func (x *exchange) due(now time.Time) {
	for shard := range x.shards {
		run := &x.shards[shard]
		if run.due.IsZero() || run.due.After(now) {
			continue
		}
		attempt, send, again := run.machine.Due(now)
		run.due = again
		if send {
			x.send(now, shard, attempt)
		}
	}
	held := x.held
	x.held = nil
	for _, h := range held {
		if h.at.After(now) {
			x.held = append(x.held, h)
			continue
		}
		if !x.shards[h.shard].over {
			x.send(now, h.shard, h.attempt)
		}
	}
	for _, b := range x.bundles {
		if !b.hedgeAt.IsZero() && !b.hedgeAt.After(now) {
			b.hedgeAt = time.Time{}
			x.hedgeBundle(now, b)
		}
	}
}

// ended takes the end of an attempt.
func (x *exchange) ended(now time.Time, call *leafwire.Call) {
	delete(x.pending, call)
	x.f.learn(x.window, now, call)
	x.ran = x.ran || call.Reply.Sent
	run := &x.shards[call.Shard]
	run.last = call
	x.decide(now, call.Shard, call.Reply.Result)
}

// decide carries out what the end of an attempt leads to.
func (x *exchange) decide(now time.Time, shard int, result subrequest.Result) {
	run := &x.shards[shard]
	if run.over {
		return
	}
	decision, next := run.machine.Ended(now, result)
	switch decision {
	case subrequest.Deliver:
		run.due = time.Time{}
		reply := &run.last.Reply
		x.take(now, shard, part{receipt: reply.Receipt, records: reply.Body, call: run.last})
	case subrequest.GiveUp:
		run.due = time.Time{}
		x.fail(now, shard, run.machine.Reason())
	case subrequest.Send:
		x.send(now, shard, next)
	case subrequest.Later:
		run.due = run.machine.RoundAt()
	case subrequest.Wait:
	}
}

// take hands the reply of a shard to the gathering. One that comes after another
// is dropped.
func (x *exchange) take(now time.Time, shard int, reply part) {
	if x.shards[shard].over {
		return
	}
	x.shards[shard].over = true
	x.shards[shard].replied = true
	if _, err := x.query.Reply(now, x.query.Attempt(), shard, x.view.Snapshot, reply); err != nil {
		x.f.broken("gather", x.req, err)
	}
	if x.replied != nil {
		x.replied(shard, reply)
	}
}

func (x *exchange) fail(now time.Time, shard int, reason query.Reason) {
	if x.shards[shard].over {
		return
	}
	x.shards[shard].over = true
	if _, err := x.query.Fail(now, x.query.Attempt(), shard, reason); err != nil {
		x.f.broken("gather", x.req, err)
	}
}

// learn takes over what the end of an attempt says about its leaf.
func (f *Forwarder) learn(window *latency.Window, now time.Time, call *leafwire.Call) {
	elapsed := now.Sub(call.Began)
	reply := &call.Reply
	f.guard.Leave(call.Trial, trialEnd(call))
	call.Span.End(reply.Err)
	f.groups.Record(call.Leaf.ID).End(now, elapsed, leafResult(call))
	if reply.Result == subrequest.OK {
		window.Observe(now, elapsed)
	}
	if reply.Misdirected && f.Misdirected != nil {
		f.Misdirected(call.Leaf.ID)
	}
}

// trialEnd says what the end of an attempt tells the quarantine.
func trialEnd(call *leafwire.Call) quarantine.End {
	switch call.Reply.Result {
	case subrequest.OK, subrequest.Failed:
		return quarantine.Answered
	case subrequest.Lost:
		if call.Reply.Sent && !call.IsCancelled() {
			return quarantine.Lost
		}
	}
	return quarantine.Unknown
}

// leafResult says what an attempt tells about its leaf.
func leafResult(call *leafwire.Call) leaf.Result {
	switch {
	case call.Reply.Result == subrequest.OK:
		return leaf.Answered
	case call.IsCancelled():
		return leaf.Cancelled
	case call.Reply.Status != 0 && call.Reply.Result == subrequest.NotRun:
		return leaf.Shed
	default:
		return leaf.Broken
	}
}

// abandon gives up what is still pending once the answer left. Attempts may run
// on for Linger, since breaking them costs their connections.
func (x *exchange) abandon() {
	for _, b := range x.bundles {
		b.cancel()
	}
	if len(x.pending) == 0 {
		return
	}
	linger := x.f.cfg.Linger
	if !x.req.route.Idempotent && x.ran {
		linger = max(linger, time.Until(x.req.deadline))
	}
	go x.awaitRest(linger)
}

// awaitRest waits for the attempts that are pending and cancels them after a time.
func (x *exchange) awaitRest(linger time.Duration) {
	timer := time.NewTimer(linger)
	defer timer.Stop()
	for len(x.pending) > 0 {
		select {
		case call := <-x.done:
			delete(x.pending, call)
			x.f.learn(x.window, time.Now(), call)
		case <-timer.C:
			for call := range x.pending {
				x.f.wire.Cancel(call)
			}
		}
	}
}
