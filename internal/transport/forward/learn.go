package forward

import (
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/latency"
	"github.com/hickorydock/hickorydock/internal/coordination/quarantine"
	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/transport/leafwire"
)

// learn takes over what the end of an attempt says about its leaf.
func (f *Forwarder) learn(window *latency.Window, now time.Time, call *leafwire.Call) {
	elapsed := now.Sub(call.StartedAt)
	reply := &call.Reply
	f.guard.Leave(call.Trial, trialEnd(call))
	call.Span.End(reply.Err)
	call.Record.End(now, elapsed, leafResult(call))
	if reply.Result == subrequest.OK {
		window.Observe(now, elapsed)
	}
	if reply.Misdirected && f.OnMisdirected != nil {
		f.OnMisdirected(call.Leaf.ID)
	}
}

// trialEnd says what the end of an attempt tells the quarantine.
func trialEnd(call *leafwire.Call) quarantine.Outcome {
	switch call.Reply.Result {
	case subrequest.OK, subrequest.UpstreamError:
		return quarantine.Answered
	case subrequest.ConnectionLost:
		if call.Reply.Sent && !call.IsCancelled() {
			return quarantine.ConnectionLost
		}
	}
	return quarantine.Inconclusive
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
		return leaf.Errored
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
