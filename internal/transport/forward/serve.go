package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"github.com/hickorydock/hickorydock/internal/coordination/hedge"
	"github.com/hickorydock/hickorydock/internal/coordination/pause"
	"github.com/hickorydock/hickorydock/internal/coordination/quarantine"
	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/protocol/route"
	"github.com/hickorydock/hickorydock/internal/transport/leafwire"
	"github.com/hickorydock/hickorydock/internal/transport/peer"
)

// Serve runs shards for another node. It batches replies, since each message costs both
// nodes as much as a request to a leaf: it sends those received by hedge.ReportDelay,
// then the rest when all are complete or the target is reached, and later ones as they
// arrive.
func (f *Forwarder) Serve(ctx context.Context, batch *contract.Batch, reply func(peer.Result)) {
	hold, ok := f.holdBatch(batch, reply)
	if !ok {
		return
	}
	defer hold.Release()
	var m contract.Passed
	err := proto.Unmarshal(batch.Body, &m)
	single := m.Single != nil
	if single {
		m.Groups = []string{m.Single.Group}
	}
	if err != nil || len(m.Groups) != len(batch.Shards) {
		f.log.WithField("request", batch.RequestId).WithError(err).Warn("cannot decode batch")
		return
	}
	if m.Detour {
		if f.detours.Add(1) > maxDetours {
			f.detours.Add(-1)
			replyNoReplica(len(batch.Shards), reply)
			return
		}
		defer f.detours.Add(-1)
	}
	now := time.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(time.Duration(batch.TimeLeftUs) * time.Microsecond)
	}
	req := &request{
		id:          batch.RequestId,
		hold:        hold,
		arrived:     now,
		deadline:    deadline,
		target:      now.Add(time.Duration(m.TargetUs)*time.Microsecond - f.lag.Expected()),
		version:     m.Version,
		relayed:     true,
		fingerprint: quarantine.Fingerprint(m.Fingerprint),
		route:       &route.Route{Name: m.Route, Idempotent: batch.Class == contract.Class_CLASS_QUERY, Shards: m.Groups, MaxAttempts: int(m.Attempts), MaxRecords: int(m.Top)},
	}
	x := newExchange(f, req)
	if batch.Traceparent != "" {
		x.ctx = f.Tracer.Extract(x.ctx, http.Header{http.CanonicalHeaderKey(traceHeader): {batch.Traceparent}})
	}
	x.message = &leafwire.Message{Method: m.Method, Head: m.Head, Body: m.Body, ID: req.id, Deadline: deadline, Hold: hold}
	defer x.abandonPending()
	defer x.reportAttempts()
	out := resultSender{merge: m.Merge, maxRecords: req.route.MaxRecords, reply: reply}
	x.onReply = out.add
	if single {
		x.onReply = func(int, part) { reply(answerResult(&x.shards[0])) }
		if x.start(now) {
			x.loopUntil(ctx, deadline)
		}
		x.replyFailure(reply)
		return
	}
	if x.start(now) {
		for _, at := range []time.Time{now.Add(hedge.ReportDelay(req.target.Sub(now))), req.target} {
			x.loopUntil(ctx, at)
			out.flush()
		}
		x.logLateShards()
		x.onReply = func(shard int, p part) {
			out.add(shard, p)
			out.flush()
		}
		x.loopUntil(ctx, deadline)
	}
	x.replyFailures(reply)
}

// loopUntil processes events until all shards are settled, the time at is reached or ctx
// has ended.
func (x *exchange) loopUntil(ctx context.Context, at time.Time) {
	x.loopDeadline = at
	x.loop(ctx, func(now time.Time) bool { return x.allSettled() || !now.Before(at) })
	x.loopDeadline = time.Time{}
}

// logLateShards logs which shards of another node's request have no reply at the target,
// and why they were not sent to another leaf.
func (x *exchange) logLateShards() {
	coverage := x.query.Coverage()
	if len(coverage.Missing) == 0 {
		return
	}
	x.f.log.WithFields(log.Fields{
		"request": x.req.id,
		"route":   x.req.route.Name,
		"version": x.req.version,
		"elapsed": time.Since(x.req.arrived).Round(time.Millisecond / 10),
		"covered": coverage.Covered,
		"total":   coverage.Total,
		"sends":   x.totalSends(),
		"pending": len(x.pending),
		"missing": x.describeMissing(coverage.Missing),
	}).Info("relayed shards late")
}

// allSettled reports whether every shard has a reply or has failed.
func (x *exchange) allSettled() bool {
	for i := range x.shards {
		if !x.query.IsSettled(i) {
			return false
		}
	}
	return true
}

// replyNoReplica replies that this node can run none of the shards of a batch.
func replyNoReplica(shards int, reply func(peer.Result)) {
	for shard := range shards {
		reply(peer.Result{Index: shard, Status: contract.Status_STATUS_NOT_RUN, Reason: string(query.ReasonNoReplica)})
	}
}

// replyFailure sends the failure of a request to one leaf: that of the leaf if it ran the
// request and no other attempt may still succeed.
func (x *exchange) replyFailure(reply func(peer.Result)) {
	run := &x.shards[0]
	if !x.query.HasReply(0) && x.mayHaveRun && len(x.pending) == 0 && isLeafFailure(run.lastReply) {
		reply(answerResult(run))
		return
	}
	x.replyFailures(reply)
}

// replyFailures sends a failure for each shard without a reply, which says whether the
// shard may have run. If no attempt was sent at all, or this node reaches no leaf of a shard,
// the reason is that there is no replica, since another relay may have one; but leafs that have
// asked for a pause must not get the shard from another relay. The same holds for each shard
// that a planned stop of this node has kept from being sent.
func (x *exchange) replyFailures(reply func(peer.Result)) {
	failure := peer.Result{Status: contract.Status_STATUS_FAILED, Reason: string(query.ReasonUpstreamError)}
	if !x.mayHaveRun && len(x.pending) == 0 {
		failure.Status = contract.Status_STATUS_NOT_RUN
		failure.Reason = string(query.ReasonShed)
	}
	if x.totalSends() == 0 {
		failure.Reason = string(query.ReasonNoReplica)
	}
	for shard := range x.shards {
		if x.query.HasReply(shard) {
			continue
		}
		result := failure
		result.Index = shard
		if x.shards[shard].unreached || x.f.sendsEnded.hasHappened() && x.isUnsent(shard) {
			result.Status = contract.Status_STATUS_NOT_RUN
			result.Reason = string(query.ReasonNoReplica)
		} else if at, ok := pause.Until(x.view.Replicas[shard:shard+1], 1); ok && !at.IsZero() {
			result.Reason = string(query.ReasonShed)
		}
		reply(result)
	}
}
