package forward

import (
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/hickorydock/hickorydock/internal/coordination/gather"
	"github.com/hickorydock/hickorydock/internal/coordination/pause"
	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/coordination/topk"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/transport/leafwire"
)

// Outcomes of forwarded requests in logs and metrics.
const (
	outcomeDone               = "done"
	outcomePartial            = "partial"
	outcomeFailed             = "failed"
	outcomeLate               = "late"
	outcomeNotRun             = "not_run"
	outcomeCallerDisconnected = "caller_left"
	outcomeLeafFailure        = "leaf_failure"
)

// serve runs the request and writes its response. It writes none and returns false if the caller
// has disconnected.
func (x *exchange) serve(w http.ResponseWriter) bool {
	connected := x.run(x.req.httpRequest.Context())
	defer x.abandonPending()
	switch {
	case !connected:
		x.recordOutcome(outcomeCallerDisconnected, log.InfoLevel)
	case x.req.route.IsQuery():
		x.writeQueryResponse(w)
	default:
		x.writeSingleResponse(w)
	}
	return connected
}

// writeSingleResponse writes the reply of the one leaf, or a failure if there is none.
func (x *exchange) writeSingleResponse(w http.ResponseWriter) {
	if replies := x.query.Replies(); len(replies) == 1 {
		x.copyResponse(w, replies[0].answer)
		x.recordOutcome(outcomeDone, log.DebugLevel)
		return
	}
	last := x.shards[0].lastReply
	if x.mayHaveRun && len(x.pending) == 0 && x.pendingAtRelays == 0 && isLeafFailure(last) {
		x.copyResponse(w, last)
		x.recordOutcome(outcomeLeafFailure, log.InfoLevel)
		return
	}
	x.writeFailure(w)
}

// copyResponse writes a leaf's reply unchanged, except for the headers of its connection.
func (x *exchange) copyResponse(w http.ResponseWriter, reply *leafwire.Reply) {
	h := w.Header()
	connectionHeaders := connectionOptions(reply.Header)
	for name, values := range reply.Header {
		if !slices.Contains(hopByHopHeaders, name) && !slices.Contains(connectionHeaders, name) {
			h[name] = values
		}
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // otherwise net/http detects one from the body
	}
	if x.req.httpRequest.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(reply.Body)))
	}
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body) // the caller may have disconnected
}

// writeQueryResponse writes the merged records of the shards that replied.
func (x *exchange) writeQueryResponse(w http.ResponseWriter) {
	if err := x.query.CheckInvariants(); err != nil {
		x.f.invariantViolated("coverage", x.req, err)
		x.writeFailure(w)
		return
	}
	replies := x.dropDuplicates(x.query.Replies())
	total := len(x.shards)
	if len(replies) == 0 || float64(len(replies)) < x.req.route.MinCoverage*float64(total) {
		x.writeFailure(w)
		return
	}
	records, err := recordSets(replies)
	if err != nil {
		x.f.invariantViolated("merged", x.req, err)
		x.writeFailure(w)
		return
	}
	receipts := make([]string, len(replies))
	for i, reply := range replies {
		receipts[i] = reply.receipt
	}
	if !x.req.hold.Grow(mergedSize(replies, x.req.route.MaxRecords)) {
		x.writeFailure(w)
		return
	}
	merged := topk.Merge(records, x.req.route.MaxRecords)
	h := w.Header()
	h[x.f.cfg.Names.Receipts] = []string{strings.Join(receipts, ", ")}
	h[x.f.cfg.Names.Missing] = []string{strconv.Itoa(total - len(replies))}
	h[x.f.cfg.Names.RequestID] = []string{x.req.id}
	h["Content-Type"] = nil
	h.Set("Content-Length", strconv.Itoa(len(merged)))
	_, _ = w.Write(merged) // the caller may have disconnected
	x.observeLag()
	if len(replies) < total {
		x.recordOutcome(outcomePartial, log.InfoLevel)
		return
	}
	x.recordOutcome(outcomeDone, log.DebugLevel)
}

// observeLag records the delay of an incomplete response that was due at the target.
func (x *exchange) observeLag() {
	if respondAt := x.query.RespondAt(); respondAt.Equal(x.req.target) && x.query.Progress() != gather.Complete {
		x.f.lag.Observe(time.Since(respondAt))
	}
}

// dropDuplicates removes replies with a receipt that occurred before. Every run has a
// receipt of its own.
func (x *exchange) dropDuplicates(replies []part) []part {
	seen := make(map[string]struct{}, len(replies))
	return slices.DeleteFunc(replies, func(reply part) bool {
		_, duplicate := seen[reply.receipt]
		seen[reply.receipt] = struct{}{}
		if duplicate {
			x.f.observer.InvariantViolated("receipt_twice")
		}
		return duplicate
	})
}

// writeFailure writes a response without a result. Its status says whether the request
// may have run.
func (x *exchange) writeFailure(w http.ResponseWriter) {
	for shard := range x.shards {
		x.withdraw(time.Now(), shard)
	}
	switch {
	case x.isNotRun():
		x.f.reject(w, x.req.id, http.StatusServiceUnavailable, x.retryAfter(time.Now()))
		x.recordOutcome(outcomeNotRun, log.InfoLevel)
	case time.Now().Before(x.req.deadline):
		x.f.reject(w, x.req.id, http.StatusBadGateway, 0)
		x.recordOutcome(outcomeFailed, log.InfoLevel)
	default:
		x.f.reject(w, x.req.id, http.StatusGatewayTimeout, 0)
		x.recordOutcome(outcomeLate, log.InfoLevel)
	}
}

// isNotRun reports whether no leaf ran the request or can still run it.
func (x *exchange) isNotRun() bool {
	if x.mayHaveRun {
		return false
	}
	return len(x.pending) == 0 && x.pendingAtRelays == 0
}

// retryAfter returns the Retry-After of a request that did not run: the time until enough
// leafs end the pause that they asked for, if the caller still waits then.
func (x *exchange) retryAfter(now time.Time) time.Duration {
	needed := int(math.Ceil(x.minCoverage() * float64(len(x.shards))))
	if at, ok := pause.Until(x.view.Replicas, needed); ok && at.After(now) && at.Before(x.req.deadline) {
		return at.Sub(now)
	}
	if x.totalSends() == 0 || x.f.Links.Isolated() {
		return noLeafRetryAfter
	}
	return rejectedRetryAfter
}

// recordOutcome counts and logs the end of a request.
func (x *exchange) recordOutcome(outcome string, level log.Level) {
	elapsed := time.Since(x.req.arrived)
	coverage := x.query.Coverage()
	x.reportAttempts()
	x.f.observer.ForwardDone(x.req.route.Name, outcome, elapsed, coverage.Covered, coverage.Total)
	if level < log.InfoLevel {
		return
	}
	fields := log.Fields{
		"request": x.req.id,
		"route":   x.req.route.Name,
		"version": x.req.version,
		"outcome": outcome,
		"elapsed": elapsed.Round(time.Millisecond / 10),
		"allowed": x.req.deadline.Sub(x.req.arrived),
		"covered": coverage.Covered,
		"total":   coverage.Total,
		"sends":   x.totalSends(),
		"pending": len(x.pending),
		"relays":  len(x.clusters),
	}
	if x.f.LeafListConfirmedAt != nil {
		fields["confirmed"] = time.Since(x.f.LeafListConfirmedAt()).Round(time.Millisecond)
	}
	if len(coverage.Missing) > 0 {
		fields["missing"] = x.describeMissing(coverage.Missing)
	}
	x.f.log.WithFields(fields).Info("request ended " + outcome)
}

// maxDescribed is the maximum number of missing shards that a log line lists.
const maxDescribed = 4

// describeMissing lists the first missing shards with the reason, the leaf or node to
// which each was sent last, and why it was not sent to another one.
func (x *exchange) describeMissing(missing []query.Missing) string {
	var text strings.Builder
	for i, m := range missing[:min(len(missing), maxDescribed)] {
		if i > 0 {
			text.WriteByte(' ')
		}
		run := &x.shards[m.Shard]
		text.WriteString(run.group + ":" + string(m.Reason))
		if run.lastTarget != "" {
			text.WriteString("@" + run.lastTarget)
		}
		if skipped := run.machine.SkipReason(); skipped != subrequest.NotSkipped {
			text.WriteString(",held:" + skipped.String())
		}
	}
	return text.String()
}

// invariantViolated counts and logs an invariant violation.
func (f *Forwarder) invariantViolated(name string, req *request, err error) {
	f.observer.InvariantViolated(name)
	f.log.WithFields(log.Fields{"request": req.id, "invariant": name}).WithError(err).Error("invariant broken")
}
