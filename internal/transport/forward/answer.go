package forward

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/hickorydock/hickorydock/internal/coordination/gather"
	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/coordination/topk"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/transport/leafwire"
)

// Outcomes of forwarded requests in logs and metrics.
const (
	outcomeDone    = "done"
	outcomePartial = "partial"
	outcomeFailed  = "failed"
	outcomeLate    = "late"
	outcomeNotRun  = "not_run"
	outcomeLeft    = "caller_left"
	outcomeLeaf    = "leaf_failure"
)

// serve runs the request and writes its answer.
func (x *exchange) serve(w http.ResponseWriter) {
	stayed := x.run(x.req.http.Context())
	defer x.abandon()
	if !stayed {
		x.conclude(outcomeLeft, log.InfoLevel)
		return
	}
	if x.req.route.IsQuery() {
		x.answerQuery(w)
		return
	}
	x.answerSingle(w)
}

// answerSingle passes the reply of the one leaf on, or says why there is none.
func (x *exchange) answerSingle(w http.ResponseWriter) {
	if replies := x.query.Replies(); len(replies) == 1 {
		x.passOn(w, replies[0].call)
		x.conclude(outcomeDone, log.DebugLevel)
		return
	}
	last := x.shards[0].last
	if last != nil && x.ran && len(x.pending) == 0 && last.Reply.Status != 0 && last.Reply.Sent && last.Reply.Receipt != "" && last.Reply.Status >= 300 {
		x.passOn(w, last)
		x.conclude(outcomeLeaf, log.InfoLevel)
		return
	}
	x.answerFailure(w)
}

// passOn writes a leaf's reply unchanged.
func (x *exchange) passOn(w http.ResponseWriter, call *leafwire.Call) {
	h := w.Header()
	dropped := connectionOptions(call.Reply.Header)
	for name, values := range call.Reply.Header {
		if !slices.Contains(hopByHop, name) && !slices.Contains(dropped, name) {
			h[name] = values
		}
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // or net/http would guess one
	}
	if x.req.http.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(call.Reply.Body)))
	}
	w.WriteHeader(call.Reply.Status)
	_, _ = w.Write(call.Reply.Body) // the caller may have left
}

// answerQuery writes the merged records of the shards that replied.
func (x *exchange) answerQuery(w http.ResponseWriter) {
	if err := x.query.CheckInvariants(); err != nil {
		x.f.broken("coverage", x.req, err)
		x.answerFailure(w)
		return
	}
	replies := x.distinct(x.query.Replies())
	total := len(x.shards)
	if len(replies) == 0 || float64(len(replies)) < x.req.route.MinCoverage*float64(total) {
		x.answerFailure(w)
		return
	}
	records, err := bodies(replies)
	if err != nil {
		x.f.broken("merged", x.req, err)
		x.answerFailure(w)
		return
	}
	receipts := make([]string, len(replies))
	for i, reply := range replies {
		receipts[i] = reply.receipt
	}
	merged := topk.Merge(records, x.req.route.MaxRecords)
	h := w.Header()
	h[x.f.cfg.Names.Receipts] = []string{strings.Join(receipts, ", ")}
	h[x.f.cfg.Names.Missing] = []string{strconv.Itoa(total - len(replies))}
	h[x.f.cfg.Names.RequestID] = []string{x.req.id}
	h["Content-Type"] = nil
	h.Set("Content-Length", strconv.Itoa(len(merged)))
	_, _ = w.Write(merged) // the caller may have left
	x.observeLag()
	if len(replies) < total {
		x.conclude(outcomePartial, log.InfoLevel)
		return
	}
	x.conclude(outcomeDone, log.DebugLevel)
}

// observeLag learns how late an answer left that was to leave at the target.
func (x *exchange) observeLag() {
	if leaveAt := x.query.RespondAt(); leaveAt.Equal(x.req.target) && x.query.Progress() != gather.Complete {
		x.f.lag.Observe(time.Since(leaveAt))
	}
}

// distinct drops replies whose receipt stands twice, which no two runs share.
func (x *exchange) distinct(replies []part) []part {
	seen := make(map[string]struct{}, len(replies))
	return slices.DeleteFunc(replies, func(reply part) bool {
		_, twice := seen[reply.receipt]
		seen[reply.receipt] = struct{}{}
		if twice {
			x.f.observer.InvariantViolated("receipt_twice")
		}
		return twice
	})
}

// answerFailure says why there is no answer, and whether the request ran.
func (x *exchange) answerFailure(w http.ResponseWriter) {
	for shard := range x.shards {
		x.withdraw(time.Now(), shard)
	}
	switch {
	case x.isNotRun():
		x.f.refuse(w, x.req.id, http.StatusServiceUnavailable, x.retryAfter())
		x.conclude(outcomeNotRun, log.InfoLevel)
	case time.Now().Before(x.req.deadline):
		x.f.refuse(w, x.req.id, http.StatusBadGateway, 0)
		x.conclude(outcomeFailed, log.InfoLevel)
	default:
		x.f.refuse(w, x.req.id, http.StatusGatewayTimeout, 0)
		x.conclude(outcomeLate, log.InfoLevel)
	}
}

// isNotRun reports whether no leaf ran the request or can still run it.
func (x *exchange) isNotRun() bool {
	if x.ran {
		return false
	}
	return len(x.pending) == 0 && x.atRelays == 0
}

// retryAfter advises the caller of a request that did not run.
func (x *exchange) retryAfter() time.Duration {
	if x.attempts() == 0 {
		return absentRetryAfter
	}
	return refusedRetryAfter
}

// conclude counts and logs the end of a request.
func (x *exchange) conclude(outcome string, level log.Level) {
	elapsed := time.Since(x.req.arrived)
	coverage := x.query.Coverage()
	x.countAttempts()
	x.f.observer.Forwarded(x.req.route.Name, outcome, elapsed, coverage.Covered, coverage.Total)
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
		"sends":   x.attempts(),
		"pending": len(x.pending),
		"relays":  len(x.bundles),
	}
	if x.f.LeafListConfirmedAt != nil {
		fields["confirmed"] = time.Since(x.f.LeafListConfirmedAt()).Round(time.Millisecond)
	}
	if len(coverage.Missing) > 0 {
		fields["missing"] = x.describeMissing(coverage.Missing)
	}
	x.f.log.WithFields(fields).Info("request ended " + outcome)
}

// maxDescribed bounds the missing shards that a log line names.
const maxDescribed = 4

// describeMissing names the first missing shards with the reason, the leaf or node
// that was asked last, and why no other one was.
func (x *exchange) describeMissing(missing []query.Missing) string {
	var text strings.Builder
	for i, m := range missing[:min(len(missing), maxDescribed)] {
		if i > 0 {
			text.WriteByte(' ')
		}
		run := &x.shards[m.Shard]
		text.WriteString(run.group + ":" + string(m.Reason))
		if run.asked != "" {
			text.WriteString("@" + run.asked)
		}
		if held := run.machine.SkipReason(); held != subrequest.NotSkipped {
			text.WriteString(",held:" + held.String())
		}
	}
	return text.String()
}

// broken counts and logs a broken invariant.
func (f *Forwarder) broken(name string, req *request, err error) {
	f.observer.InvariantViolated(name)
	f.log.WithFields(log.Fields{"request": req.id, "invariant": name}).WithError(err).Error("invariant broken")
}
