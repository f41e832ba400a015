package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"github.com/hickorydock/hickorydock/internal/coordination/hedge"
	"github.com/hickorydock/hickorydock/internal/coordination/quarantine"
	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/protocol/route"
	"github.com/hickorydock/hickorydock/internal/transport/leafwire"
	"github.com/hickorydock/hickorydock/internal/transport/peer"
)

// Serve runs shards for another node. Replies go back together, since each message
// costs both nodes as much as a request to a leaf: those that are there at
// hedge.ReportDelay, then all when they are complete or the target has come, and
// later ones as they come.
func (f *Forwarder) Serve(ctx context.Context, batch *contract.Batch, reply func(peer.Result)) {
	var m contract.Passed
	if err := proto.Unmarshal(batch.Body, &m); err != nil || len(m.Groups) != len(batch.Shards) {
		f.log.WithField("request", batch.RequestId).WithError(err).Warn("batch not readable")
		return
	}
	now := time.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(time.Duration(batch.TimeLeftUs) * time.Microsecond)
	}
	req := &request{
		id:       batch.RequestId,
		arrived:  now,
		deadline: deadline,
		target:   now.Add(time.Duration(m.TargetUs)*time.Microsecond - f.lag.Expected()),
		version:  m.Version,
		relayed:  true,
		mark:     quarantine.Fingerprint(m.Fingerprint),
		route:    &route.Route{Name: m.Route, Idempotent: true, Shards: m.Groups, MaxAttempts: int(m.Attempts), MaxRecords: int(m.Top)},
	}
	x := newExchange(f, req)
	if batch.Traceparent != "" {
		x.ctx = f.Tracer.Extract(x.ctx, http.Header{http.CanonicalHeaderKey(traceHeader): {batch.Traceparent}})
	}
	x.message = &leafwire.Message{Method: m.Method, Head: m.Head, Body: m.Body, ID: req.id, Deadline: deadline}
	defer x.abandon()
	defer x.countAttempts()
	out := reporter{merge: m.Merge, top: req.route.MaxRecords, reply: reply}
	x.replied = out.add
	if x.start(now) {
		for _, at := range []time.Time{now.Add(hedge.ReportDelay(req.target.Sub(now))), req.target} {
			x.loopUntil(ctx, at)
			out.flush()
		}
		x.logLateShards()
		x.replied = func(shard int, p part) {
			out.add(shard, p)
			out.flush()
		}
		x.loopUntil(ctx, deadline)
	}
	x.replyFailures(reply)
}

// loopUntil takes events until nothing is pending, a time has come or ctx ended.
func (x *exchange) loopUntil(ctx context.Context, at time.Time) {
	x.alarm = at
	x.loop(ctx, func(now time.Time) bool { return x.isAllOver() || !now.Before(at) })
	x.alarm = time.Time{}
}

// logLateShards tells which shards of another node's request have no reply at the
// target, and why no further leaf was asked.
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
		"sends":   x.attempts(),
		"pending": len(x.pending),
		"missing": x.describeMissing(coverage.Missing),
	}).Info("relayed shards late")
}

// isAllOver reports whether no shard has anything pending.
func (x *exchange) isAllOver() bool {
	for i := range x.shards {
		if !x.query.IsSettled(i) {
			return false
		}
	}
	return true
}

// replyFailures says of each shard without a reply whether it may have run. Where no
// leaf was asked at all, another relay may know one.
func (x *exchange) replyFailures(reply func(peer.Result)) {
	failure := peer.Result{Status: contract.Status_STATUS_FAILED, Reason: string(query.ReasonUpstreamError)}
	if !x.ran && len(x.pending) == 0 {
		failure.Status = contract.Status_STATUS_NOT_RUN
		failure.Reason = string(query.ReasonShed)
	}
	if x.attempts() == 0 {
		failure.Reason = string(query.ReasonNoReplica)
	}
	for shard := range x.shards {
		if !x.query.HasReply(shard) {
			failure.Index = shard
			reply(failure)
		}
	}
}
