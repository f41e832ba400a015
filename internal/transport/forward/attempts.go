package forward

import (
	"math/rand/v2"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/hickorydock/hickorydock/internal/coordination/quarantine"
	"github.com/hickorydock/hickorydock/internal/coordination/replica"
	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/transport/leafwire"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
)

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
		HedgeDelay:       x.hedgeDelay,
		MaxAttempts:      x.attemptsOf(len(replicas)),
		AtMostOnce:       !x.req.route.Idempotent,
		Choose:           replica.Choose,
		Random:           rand.Uint64,
	}, run.budget)
	attempt, ok := run.machine.Start(now)
	if !ok {
		x.fail(now, shard, query.ReasonNoReplica)
		return
	}
	x.send(now, shard, attempt)
	x.watch(now, shard)
}

// watch sets when a pending attempt of a shard is looked at again: for a hedge, or to
// see whether it still waits for a connection.
func (x *exchange) watch(now time.Time, shard int) {
	run := &x.shards[shard]
	at, hedged := run.machine.HedgeAt(now)
	if !hedged && len(x.view.Replicas[shard]) > 1 {
		at = now.Add(x.hedgeDelay)
	}
	run.due = at
}

// reroute takes an attempt back that still waits for a connection and sends it to
// another leaf. It reports false when there is no such attempt or leaf.
func (x *exchange) reroute(now time.Time, shard int) bool {
	if !x.shards[shard].machine.CanReroute() {
		return false
	}
	call := x.withdraw(now, shard)
	if call == nil {
		return false
	}
	x.decide(now, shard, subrequest.Unsent)
	x.watch(now, shard)
	return true
}

// withdraw takes an attempt of a shard back that waits for a connection and returns
// it, or nil.
func (x *exchange) withdraw(now time.Time, shard int) *leafwire.Call {
	for call := range x.pending {
		if call.Shard != shard || !x.f.wire.Withdraw(call) {
			continue
		}
		delete(x.pending, call)
		call.Reply = leafwire.Reply{Result: subrequest.Unsent, Err: leafwire.ErrCancelled}
		x.f.learn(x.window, now, call)
		return call
	}
	return nil
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
	switch x.f.guard.TryEnter(&trial) {
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
		Message:   x.message,
		Leaf:      target.VM,
		Shard:     shard,
		Record:    target.Record,
		StartedAt: now,
		Done:      x.done,
		Trial:     trial,
	}
	_, call.Span = x.f.Tracer.Start(x.ctx, tracing.HopAttempt, attribute.String("leaf", call.Leaf.ID), attribute.Int("shard", shard))
	x.sends[attempt.Kind]++
	x.pending[call] = struct{}{}
	x.query.CountSent()
	x.shards[shard].asked = call.Leaf.ID
	x.f.wire.Start(call)
}

// kinds is the number of kinds of attempts.
const kinds = 3

// kindNames are the names of attempt kinds in metrics.
var kindNames = [kinds]string{subrequest.First: "first", subrequest.Hedge: "hedge", subrequest.Retry: "retry"}

// attempts is the number of attempts at leafs and batches at relays.
func (x *exchange) attempts() int {
	n := x.batches
	for _, sends := range x.sends {
		n += sends
	}
	return n
}

// countAttempts reports the attempts at leafs once the request is over.
func (x *exchange) countAttempts() {
	for kind, n := range x.sends {
		if n > 0 {
			x.f.observer.Attempts(x.req.route.Name, kindNames[kind], n)
		}
	}
}

// due lets the machines act whose time has come.
func (x *exchange) due(now time.Time) {
	for shard := range x.shards {
		run := &x.shards[shard]
		if run.due.IsZero() || run.due.After(now) {
			continue
		}
		if x.reroute(now, shard) {
			continue
		}
		attempt, send, again := run.machine.TimerFired(now)
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
		if !x.query.IsSettled(h.shard) {
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
	if x.query.IsSettled(shard) {
		return
	}
	decision, next := run.machine.AttemptEnded(now, result)
	switch decision {
	case subrequest.Deliver:
		run.due = time.Time{}
		reply := &run.last.Reply
		x.take(now, shard, part{receipt: reply.Receipt, records: reply.Body, call: run.last})
	case subrequest.Abandon:
		run.due = time.Time{}
		x.fail(now, shard, run.machine.Reason())
	case subrequest.Send:
		x.send(now, shard, next)
	case subrequest.RetryLater:
		run.due = run.machine.RoundAt()
	case subrequest.Wait:
	}
}

// take hands the reply of a shard to the gathering. One that comes after another
// is dropped.
func (x *exchange) take(now time.Time, shard int, reply part) {
	if x.query.IsSettled(shard) {
		return
	}
	if _, err := x.query.Reply(now, x.query.Attempt(), shard, x.view.Snapshot, reply); err != nil {
		x.f.broken("gather", x.req, err)
	}
	if x.replied != nil {
		x.replied(shard, reply)
	}
}

func (x *exchange) fail(now time.Time, shard int, reason query.Reason) {
	if x.query.IsSettled(shard) {
		return
	}
	if _, err := x.query.Fail(now, x.query.Attempt(), shard, reason); err != nil {
		x.f.broken("gather", x.req, err)
	}
}
