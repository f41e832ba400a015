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

// send starts an attempt. Its goroutine ends at the latest with the run's context.
func (u *run) send(attempt subrequest.Attempt) {
	target := u.task.Replicas[attempt.Replica]
	sub := contract.Subrequest{
		RequestID: u.task.RequestID,
		Attempt:   u.task.QueryAttempt*attemptsPerRestart + u.count,
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
		u.relay.observer.Subrequest(u.task.Service.Name, attempt.Kind, u.task.QueryAttempt > 1)
	}
	begun := time.Now()
	reply := u.relay.sender.Run(ctx, target.VM, sub, u.task.Deadline.Sub(begun), u.task.Body)
	span.End(reply.Err)
	now := time.Now()
	elapsed := now.Sub(begun)
	result := reply.LeafResult(u.ctx)
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
		target.Record.UpdateDrain(func(d leaf.DrainState) leaf.DrainState {
			return drain.OnReply(d, reply.Draining, begun, now)
		})
	}
	if reply.Holdings != "" && target.Record.SetHoldings(reply.Holdings) && u.relay.refresh != nil {
		u.relay.refresh.Refresh(target.VM.ID)
	}
	if reply.Result == subrequest.NotRun && !reply.Draining {
		u.state.extra.OnShed()
	}
	if reply.Result != subrequest.SnapshotUnavailable {
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
