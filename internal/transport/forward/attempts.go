package forward

import (
	"math/rand/v2"
	"slices"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/hickorydock/hickorydock/internal/coordination/isolation"
	"github.com/hickorydock/hickorydock/internal/coordination/quarantine"
	"github.com/hickorydock/hickorydock/internal/coordination/replica"
	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
	"github.com/hickorydock/hickorydock/internal/transport/leafwire"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
)

// startShard sends the first attempt of a shard.
func (x *exchange) startShard(now time.Time, shard int) {
	replicas := x.view.Replicas[shard]
	if len(replicas) == 0 || x.query.IsSettled(shard) {
		return
	}
	run := &x.shards[shard]
	if run.unreached {
		x.failShard(now, shard, query.ReasonNoReplica)
		return
	}
	run.budget = x.f.budget(run.group)
	run.budget.Earn(1)
	run.machine = subrequest.New(subrequest.Config{
		Replicas:         replicas,
		AvailabilityZone: x.f.cfg.AvailabilityZone,
		Deadline:         x.req.deadline,
		HedgeDelay:       x.hedgeDelay,
		HedgeWithSpare:   true,
		MaxAttempts:      x.maxAttempts(len(replicas)),
		AtMostOnce:       !x.req.route.Idempotent,
		Choose:           replica.Choose,
		Random:           rand.Uint64,
	}, run.budget)
	attempt, ok := run.machine.Start(now)
	if !ok {
		x.failShard(now, shard, query.ReasonNoReplica)
		return
	}
	x.send(now, shard, attempt)
	x.armTimer(now, shard)
}

// armTimer sets the timer of a shard: for a hedge, or to check whether the pending attempt
// still waits for a connection.
func (x *exchange) armTimer(now time.Time, shard int) {
	run := &x.shards[shard]
	at, canHedge := run.machine.HedgeAt(now)
	if !canHedge && len(x.view.Replicas[shard]) > 1 {
		at = now.Add(x.hedgeDelay)
	}
	run.timerAt = at
}

// reroute withdraws an attempt that still waits for a connection and sends it to another
// leaf. It returns false if there is no such attempt or leaf.
func (x *exchange) reroute(now time.Time, shard int) bool {
	if !x.shards[shard].machine.CanReroute() {
		return false
	}
	call := x.withdraw(now, shard)
	if call == nil {
		return false
	}
	x.handleResult(now, shard, subrequest.Unsent)
	x.armTimer(now, shard)
	return true
}

// withdraw withdraws an attempt of a shard that waits for a connection and returns it, or
// nil if there is none.
func (x *exchange) withdraw(now time.Time, shard int) *leafwire.Call {
	for call := range x.pending {
		if call.Shard == shard && x.withdrawCall(now, call) {
			return call
		}
	}
	return nil
}

// withdrawCall withdraws an attempt if it waits for a connection and reports whether it did.
func (x *exchange) withdrawCall(now time.Time, call *leafwire.Call) bool {
	if !x.f.leafClient.Withdraw(call) {
		return false
	}
	delete(x.pending, call)
	call.Reply = leafwire.Reply{Result: subrequest.Unsent, Err: leafwire.ErrCancelled}
	x.f.recordAttempt(x.window, now, call)
	return true
}

// delayedAttempt is an attempt that the quarantine delays.
type delayedAttempt struct {
	shard   int
	attempt subrequest.Attempt
	sendAt  time.Time
}

// send sends an attempt unless a planned stop or a limit keeps it from being sent, or the
// quarantine refuses or delays it.
func (x *exchange) send(now time.Time, shard int, attempt subrequest.Attempt) {
	target := x.view.Replicas[shard][attempt.Replica]
	if x.f.sendsEnded.hasHappened() || !x.f.takeFromLimit(now, target.Record, x.shards[shard].group) {
		x.handleResult(now, shard, subrequest.Unsent)
		return
	}
	tracked := quarantine.Attempt{
		Fingerprint: x.req.fingerprint,
		Shard:       shard,
		Leaf:        target.VM.ID,
		Hedge:       attempt.Kind == subrequest.Hedge,
	}
	switch x.f.guard.TryEnter(&tracked) {
	case quarantine.Hold:
		x.delayed = append(x.delayed, delayedAttempt{shard, attempt, now.Add(quarantine.ReportDelay())})
		return
	case quarantine.Refuse:
		x.handleResult(now, shard, subrequest.NotRun)
		return
	case quarantine.Allow:
	}
	target.Record.Begin(now)
	call := &leafwire.Call{
		Message:           x.message,
		Leaf:              target.VM,
		Shard:             shard,
		Record:            target.Record,
		StartedAt:         now,
		Patience:          x.patience(now),
		Done:              x.done,
		QuarantineAttempt: tracked,
	}
	_, call.Span = x.f.Tracer.Start(x.ctx, tracing.HopAttempt, attribute.String("leaf", call.Leaf.ID), attribute.Int("shard", shard))
	x.sendCounts[attempt.Kind]++
	x.pending[call] = struct{}{}
	x.query.CountSent()
	x.shards[shard].lastTarget = call.Leaf.ID
	x.f.leafClient.Start(call)
	x.withdrawIfMarked(now, call)
}

// withdrawIfMarked withdraws an attempt that waits for a connection if its leaf has been marked
// as not to be used since it was chosen. Who marks a leaf ends the attempts that wait at that
// time; this one may have been added after that.
func (x *exchange) withdrawIfMarked(now time.Time, call *leafwire.Call) {
	stats := call.Record.Stats()
	if (stats.IsWithdrawn() || stats.IsPaused()) && x.withdrawCall(now, call) {
		x.handleResult(now, call.Shard, subrequest.Unsent)
	}
}

// patienceFactor is the ratio of the time after which a reply is overdue to the usual time.
const patienceFactor = 3

// patience returns the time after which the reply of a leaf is overdue: well above the usual
// time, but within the time that is left.
func (x *exchange) patience(now time.Time) time.Duration {
	usual := x.window.Quantile()
	if usual == 0 {
		usual = x.req.target.Sub(x.req.arrived) / patienceFactor
	}
	return max(min(max(patienceFactor*usual, isolation.MinSilence), x.req.deadline.Sub(now)/2), 1)
}

// attemptKinds is the number of kinds of attempts.
const attemptKinds = 3

// kindNames are the names of attempt kinds in metrics.
var kindNames = [attemptKinds]string{subrequest.First: "first", subrequest.Hedge: "hedge", subrequest.Retry: "retry"}

// totalSends returns the number of attempts at leafs and batches sent to relays.
func (x *exchange) totalSends() int {
	n := x.relayBatches
	for _, sends := range x.sendCounts {
		n += sends
	}
	return n
}

// reportAttempts reports the attempts at leafs to the observer.
func (x *exchange) reportAttempts() {
	for kind, n := range x.sendCounts {
		if n > 0 {
			x.f.observer.ForwardAttempts(x.req.route.Name, kindNames[kind], n)
		}
	}
}

// fireTimers executes the actions that are due: reroutes, hedges, retries and delayed
// attempts.
func (x *exchange) fireTimers(now time.Time) {
	for shard := range x.shards {
		run := &x.shards[shard]
		if run.timerAt.IsZero() || run.timerAt.After(now) {
			continue
		}
		if x.reroute(now, shard) {
			continue
		}
		attempt, send, next := run.machine.TimerFired(now)
		run.timerAt = next
		if send {
			x.send(now, shard, attempt)
		}
	}
	delayed := x.delayed
	x.delayed = nil
	for _, d := range delayed {
		if d.sendAt.After(now) {
			x.delayed = append(x.delayed, d)
			continue
		}
		x.sendDelayed(now, d)
	}
	for _, cluster := range x.clusters {
		if !cluster.hedgeAt.IsZero() && !cluster.hedgeAt.After(now) {
			cluster.hedgeAt = time.Time{}
			x.hedgeCluster(now, cluster)
		}
	}
}

// sendDelayed sends an attempt that the quarantine has delayed, unless its leaf takes no new
// requests any more.
func (x *exchange) sendDelayed(now time.Time, d delayedAttempt) {
	if x.query.IsSettled(d.shard) {
		return
	}
	if !isUsable(x.view.Replicas[d.shard][d.attempt.Replica]) {
		x.handleResult(now, d.shard, subrequest.Unsent)
		return
	}
	x.send(now, d.shard, d.attempt)
}

// attemptEnded processes the end of an attempt.
func (x *exchange) attemptEnded(now time.Time, call *leafwire.Call) {
	delete(x.pending, call)
	x.f.recordAttempt(x.window, now, call)
	x.mayHaveRun = x.mayHaveRun || call.Reply.Sent
	run := &x.shards[call.Shard]
	run.lastReply = &call.Reply
	run.lastLeaf = call.Leaf.ID
	x.handleResult(now, call.Shard, call.Reply.Result)
}

// handleResult passes the result of an attempt to the shard's state machine and executes
// its decision.
func (x *exchange) handleResult(now time.Time, shard int, result subrequest.Result) {
	run := &x.shards[shard]
	if x.query.IsSettled(shard) {
		return
	}
	if run.detoured {
		x.detouredResult(now, shard, result)
		return
	}
	if result == subrequest.Unsent {
		x.addListed(shard)
	}
	decision, next := run.machine.AttemptEnded(now, result)
	switch decision {
	case subrequest.Deliver:
		x.deliver(now, shard)
	case subrequest.Abandon:
		run.timerAt = time.Time{}
		x.failShard(now, shard, run.machine.Reason())
	case subrequest.Send:
		x.send(now, shard, next)
	case subrequest.RetryLater:
		run.timerAt = run.machine.RoundAt()
	case subrequest.Wait:
	}
}

// addListed adds the leafs of a shard's group that were listed after the request began, such as
// the successor of a leaf that leaves.
func (x *exchange) addListed(shard int) {
	run := &x.shards[shard]
	replicas := x.view.Replicas[shard]
	known := len(replicas)
	for _, listed := range x.f.groups.Replicas(run.group) {
		isKnown := slices.ContainsFunc(replicas[:known], func(r shardmap.Replica) bool { return r.Record == listed.Record })
		if !isKnown && x.f.Links.Reaches(listed.VM.ID) {
			replicas = append(slices.Clip(replicas), listed)
		}
	}
	x.view.Replicas[shard] = replicas
	run.machine.SetReplicas(replicas)
}

// deliver adds the reply of the attempt that ended last.
func (x *exchange) deliver(now time.Time, shard int) {
	run := &x.shards[shard]
	run.timerAt = time.Time{}
	reply := run.lastReply
	x.addReply(now, shard, part{receipt: reply.Receipt, records: reply.Body, answer: reply})
}

// addReply adds the reply of a shard to the query. A reply for a settled shard is dropped.
func (x *exchange) addReply(now time.Time, shard int, reply part) {
	if x.query.IsSettled(shard) {
		return
	}
	if _, err := x.query.Reply(now, x.query.Attempt(), shard, x.view.Snapshot, reply); err != nil {
		x.f.invariantViolated("gather", x.req, err)
	}
	if x.onReply != nil {
		x.onReply(shard, reply)
	}
}

func (x *exchange) failShard(now time.Time, shard int, reason query.Reason) {
	if x.query.IsSettled(shard) {
		return
	}
	if _, err := x.query.Fail(now, x.query.Attempt(), shard, reason); err != nil {
		x.f.invariantViolated("gather", x.req, err)
	}
}
