package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
	"github.com/hickorydock/hickorydock/internal/transport/upstream"
)

// attemptEnd is the outcome of one attempt.
type attemptEnd struct {
	index                  int
	reply                  upstream.Reply
	queueTime, serviceTime time.Duration
	// quarantined is true when the attempt was refused by the quarantine.
	quarantined bool
}

// run is the state of one subrequest in progress.
type run struct {
	relay   *Relay
	state   *serviceState
	task    Task
	machine subrequest.Machine
	ctx     context.Context
	// attemptCtx bounds the attempts; it ends with ctx unless superseded attempts may
	// finish.
	attemptCtx context.Context
	pending    sync.WaitGroup
	results    chan attemptEnd
	firstSpan  tracing.Span // of the first attempt
	// timer fires when the machine's next action is due.
	timer    *time.Timer
	attempts int
	// sent is true when an attempt that ended may have run at its leaf.
	sent bool
	// started is true once an attempt may have sent a byte.
	started                atomic.Bool
	queueTime, serviceTime time.Duration
	quarantined            bool
}

func (u *run) loop() Result {
	now := time.Now()
	first, ok := u.machine.Start(now)
	if !ok && now.Before(u.task.Deadline) {
		return u.failed(query.ReasonNoReplica, nil)
	}
	if !ok {
		return u.failed(query.ReasonDeadline, nil)
	}
	u.send(first)
	at, ok := u.machine.HedgeAt(now)
	if !ok {
		at = u.task.Deadline
	}
	u.timer = time.NewTimer(at.Sub(now))
	defer u.timer.Stop()
	for {
		select {
		case <-u.ctx.Done():
			return u.failed(u.deadlineReason(), u.ctx.Err())
		case at := <-u.timer.C:
			u.onTimer(at)
		case e := <-u.results:
			if result, done := u.handleEnd(e); done {
				return result
			}
		}
	}
}

// onTimer sends the attempt that is due, or resets the timer if the budget may allow it
// later.
func (u *run) onTimer(now time.Time) {
	attempt, send, again := u.machine.TimerFired(now)
	if send {
		u.send(attempt)
	}
	if !again.IsZero() {
		u.timer.Reset(again.Sub(now))
	}
}

// handleEnd passes the end of an attempt to the machine and executes its decision. It
// reports whether the subrequest is done.
func (u *run) handleEnd(e attemptEnd) (Result, bool) {
	u.queueTime += e.queueTime
	u.serviceTime += e.serviceTime
	u.quarantined = u.quarantined || e.quarantined
	if e.reply.Sent && e.reply.Result != subrequest.NotRun {
		u.sent = true
	}
	decision, next := u.machine.AttemptEnded(time.Now(), e.reply.Result)
	switch decision {
	case subrequest.Deliver:
		return u.finish(Result{OK: true, Items: e.reply.Items, Sent: true}), true
	case subrequest.Abandon:
		return u.failed(u.failureReason(), e.reply.Err), true
	case subrequest.Send:
		u.send(next)
	case subrequest.RetryLater:
		u.timer.Reset(time.Until(u.machine.RoundAt()))
	case subrequest.Wait:
	}
	return Result{}, false
}

// deadlineReason is the reason why there is no reply at the deadline.
func (u *run) deadlineReason() query.Reason {
	if u.machine.IsBetweenRounds() {
		return u.failureReason()
	}
	return query.ReasonDeadline
}

// failureReason is the reason why no attempt has a reply.
func (u *run) failureReason() query.Reason {
	if u.quarantined {
		return query.ReasonQuarantined
	}
	return u.machine.Reason()
}

func (u *run) failed(reason query.Reason, err error) Result {
	sent := u.sent || u.started.Load() && reason == query.ReasonDeadline
	return u.finish(Result{Reason: reason, Sent: sent, Err: err})
}

// finish fills in the subrequest that r belongs to, and its times.
func (u *run) finish(r Result) Result {
	r.Shard = u.task.Shard
	r.QueryAttempt = u.task.QueryAttempt
	r.Snapshot = u.task.Snapshot
	r.QueueTime = u.queueTime
	r.ServiceTime = u.serviceTime
	return r
}
