package relay

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/hickorydock/hickorydock/internal/coordination/drain"
	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	contract "github.com/hickorydock/hickorydock/internal/protocol/upstream"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
	"github.com/hickorydock/hickorydock/internal/transport/upstream"
)

// send starts an attempt. Its goroutine ends with attemptCtx at the latest.
func (u *run) send(attempt subrequest.Attempt) {
	target := u.task.Replicas[attempt.Replica]
	sub := contract.Subrequest{
		RequestID: u.task.RequestID,
		Attempt:   u.task.QueryAttempt*attemptsPerQueryAttempt + u.attempts,
		Service:   u.task.Service.Name,
		Shard:     u.task.Shard,
		Snapshot:  u.task.Snapshot,
		Class:     contract.ClassQuery,
	}
	u.attempts++
	target.Record.Begin(time.Now())
	ctx, span := u.span(attempt, target)
	u.pending.Go(func() { u.attempt(ctx, span, attempt, target, sub) })
}

// span starts the span of an attempt; those after the first link to it.
func (u *run) span(attempt subrequest.Attempt, target shardmap.Replica) (context.Context, tracing.Span) {
	leafID := attribute.String("leaf", target.VM.ID)
	shard := attribute.Int("shard", u.task.Shard)
	if attempt.Kind != subrequest.First {
		return u.relay.tracer.StartLinked(u.attemptCtx, tracing.HopAttempt, u.firstSpan, leafID, shard)
	}
	ctx, span := u.relay.tracer.Start(u.attemptCtx, tracing.HopAttempt, leafID, shard)
	u.firstSpan = span
	return ctx, span
}

func (u *run) attempt(ctx context.Context, span tracing.Span, attempt subrequest.Attempt, target shardmap.Replica, sub contract.Subrequest) {
	queuedAt := time.Now()
	tracked := u.trackedAttempt(attempt, target)
	queue := u.relay.queues.forLeaf(target.VM.ID, u.task.Service)
	if refused := u.enter(queue, &tracked, attempt, target); refused != nil {
		span.End(refused.reply.Err)
		now := time.Now()
		target.Record.End(now, 0, leaf.Unsent)
		u.countRefusal(refused)
		refused.index = attempt.Replica
		refused.queueTime = now.Sub(queuedAt)
		u.results <- *refused
		return
	}
	if u.relay.observer != nil {
		u.relay.observer.Subrequest(u.task.Service.Name, attempt.Kind, u.task.QueryAttempt > 1)
	}
	startedAt := time.Now()
	reply := u.relay.sender.Run(ctx, target.VM, sub, u.task.Deadline.Sub(startedAt), u.task.Body)
	span.End(reply.Err)
	now := time.Now()
	elapsed := now.Sub(startedAt)
	result := reply.LeafResult(u.ctx)
	u.leave(queue, sampleOf(reply.Result, elapsed))
	u.relay.guard.Leave(tracked, outcomeOf(reply, result))
	target.Record.End(now, elapsed, result)
	if result == leaf.Cancelled && reply.Sent && u.relay.observer != nil {
		u.relay.observer.Cancelled(u.task.Service.Name)
	}
	if reply.Result == subrequest.OK || isSuperseded(u.ctx, attempt.Kind) {
		// A superseded first attempt counts with its elapsed time, or the window
		// would hold too few of the slow attempts that hedges replace.
		u.state.window.Observe(now, now.Sub(queuedAt))
	}
	u.applyReply(startedAt, now, target, reply)
	u.results <- attemptEnd{index: attempt.Replica, reply: reply, queueTime: startedAt.Sub(queuedAt), serviceTime: elapsed}
}

// applyReply updates the leaf's drain state, holdings and manifest, and the service's
// budget, from a reply.
func (u *run) applyReply(startedAt, now time.Time, target shardmap.Replica, reply upstream.Reply) {
	answered := reply.Result == subrequest.OK || reply.Result == subrequest.NotRun
	if answered {
		target.Record.UpdateDrain(func(d leaf.DrainState) leaf.DrainState {
			return drain.OnReply(d, reply.Draining, startedAt, now)
		})
	}
	if reply.Holdings != "" && target.Record.SetHoldings(reply.Holdings) && u.relay.refresh != nil {
		u.relay.refresh.Refresh(target.VM.ID)
	}
	if reply.Result == subrequest.NotRun && !reply.Draining {
		u.state.hedgeBudget.OnShed()
	}
	if reply.Result != subrequest.SnapshotUnavailable {
		return
	}
	if reply.Manifest != nil {
		u.relay.store.SetManifest(target.VM, *reply.Manifest, now)
	}
	u.relay.store.Deny(target.VM, u.task.Service.Name, u.task.Snapshot, now)
}

// isSuperseded reports whether an attempt is a first one whose context has ended.
func isSuperseded(ctx context.Context, kind subrequest.Kind) bool {
	return kind == subrequest.First && ctx.Err() != nil
}
