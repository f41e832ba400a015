package forward

import (
	"errors"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/hickorydock/hickorydock/internal/coordination/latency"
	"github.com/hickorydock/hickorydock/internal/coordination/quarantine"
	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/transport/leafwire"
)

// recordAttempt records the end of an attempt in the statistics of its leaf, the latency
// window, the quarantine and the trace.
func (f *Forwarder) recordAttempt(window *latency.Window, now time.Time, call *leafwire.Call) {
	elapsed := now.Sub(call.StartedAt)
	reply := &call.Reply
	f.guard.Leave(call.QuarantineAttempt, f.quarantineOutcome(call))
	call.Span.End(reply.Err)
	call.Record.End(now, elapsed, leafResult(call))
	if reply.Result == subrequest.OK {
		window.Observe(now, elapsed)
	}
	f.handleNotices(now, call)
	if leafwire.IsForeign(reply.Err) {
		f.foreignReply(call)
	}
	if reply.Misdirected && f.OnMisdirected != nil {
		f.OnMisdirected(call.Leaf.ID)
	}
}

// foreignReply counts and logs a reply that belongs to another request than the call.
func (f *Forwarder) foreignReply(call *leafwire.Call) {
	f.observer.LeafNotice(noticeForeignReply)
	f.log.WithFields(callFields(call)).WithError(call.Reply.Err).Warn("reply of a leaf belongs to another request")
}

// callFields returns the fields of a log line about a call.
func callFields(call *leafwire.Call) log.Fields {
	return log.Fields{"leaf": call.Leaf.ID, "group": call.Leaf.Group, "request": call.Message.ID}
}

// quarantineOutcome returns the outcome of an attempt for the quarantine. A server error is
// no evidence: the leaf may have failed before it ran the request. Neither are bytes that are
// no answer: the leaf has not crashed. Nor is a connection on which nothing is acknowledged, or
// any lost one while this node's links carry nothing: a crash closes connections.
func (f *Forwarder) quarantineOutcome(call *leafwire.Call) quarantine.Outcome {
	switch call.Reply.Result {
	case subrequest.OK:
		return quarantine.Answered
	case subrequest.UpstreamError:
		if call.Reply.Status < http.StatusInternalServerError {
			return quarantine.Answered
		}
	case subrequest.ConnectionLost:
		if call.Reply.Sent && !call.IsCancelled() && !errors.Is(call.Reply.Err, leafwire.ErrMalformed) && !fault.IsTimeout(call.Reply.Err) && !f.Links.Silent() {
			return quarantine.ConnectionLost
		}
	}
	return quarantine.Inconclusive
}

// leafResult returns the result of an attempt for the statistics of its leaf.
func leafResult(call *leafwire.Call) leaf.Result {
	switch {
	case call.Reply.Result == subrequest.OK:
		return leaf.Answered
	case call.IsCancelled():
		return leaf.Cancelled
	case errors.Is(call.Reply.Err, leafwire.ErrStayAway):
		return leaf.Unsent
	case call.Reply.Status != 0 && call.Reply.Result == subrequest.NotRun:
		return leaf.Shed
	default:
		return leaf.Errored
	}
}

// abandonPending abandons what is still pending once the response was sent. Attempts may
// continue for Linger, since cancelling them closes their connections.
func (x *exchange) abandonPending() {
	for _, run := range x.clusters {
		run.cancel()
	}
	if len(x.pending) == 0 {
		return
	}
	linger := x.f.cfg.Linger
	if !x.req.route.Idempotent && x.mayHaveRun {
		linger = max(linger, time.Until(x.req.deadline))
	}
	x.req.hold.Share()
	go func() {
		defer x.req.hold.Release()
		x.awaitPending(linger)
	}()
}

// awaitPending waits for the pending attempts and cancels them after linger.
func (x *exchange) awaitPending(linger time.Duration) {
	timer := time.NewTimer(linger)
	defer timer.Stop()
	for len(x.pending) > 0 {
		select {
		case call := <-x.done:
			delete(x.pending, call)
			x.f.recordAttempt(x.window, time.Now(), call)
		case <-timer.C:
			for call := range x.pending {
				x.f.leafClient.Cancel(call)
			}
		}
	}
}
