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

// ended is the end of one attempt.
type ended struct {
	index       int
	reply       upstream.Reply
	waited, ran time.Duration
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
	// wire bounds what attempts send; it ends with ctx unless superseded attempts may finish.
	wire    context.Context
	pending sync.WaitGroup
	results chan ended
	first   tracing.Span
	// timer fires when the machine has something due.
	timer *time.Timer
	count int
	sent  bool
	// started is true once an attempt may have sent a byte.
	started     atomic.Bool
	waited, ran time.Duration
	quarantined bool
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
			return u.failed(u.lateReason(), u.ctx.Err())
		case at := <-u.timer.C:
			u.due(at)
		case e := <-u.results:
			if result, over := u.settle(e); over {
				return result
			}
		}
	}
}

// due sends what is due, or sets the timer when the budget may allow it later.
func (u *run) due(now time.Time) {
	attempt, send, again := u.machine.TimerFired(now)
	if send {
		u.send(attempt)
	}
	if !again.IsZero() {
		u.timer.Reset(again.Sub(now))
	}
}

// settle hands the end of an attempt to the machine.
func (u *run) settle(e ended) (Result, bool) {
	u.waited += e.waited
	u.ran += e.ran
	u.quarantined = u.quarantined || e.quarantined
	if e.reply.Sent && e.reply.Result != subrequest.NotRun {
		u.sent = true
	}
	decision, next := u.machine.AttemptEnded(time.Now(), e.reply.Result)
	switch decision {
	case subrequest.Deliver:
		return u.result(Result{OK: true, Items: e.reply.Items, Sent: true}), true
	case subrequest.Abandon:
		return u.failed(u.reason(), e.reply.Err), true
	case subrequest.Send:
		u.send(next)
	case subrequest.RetryLater:
		u.timer.Reset(time.Until(u.machine.RoundAt()))
	case subrequest.Wait:
	}
	return Result{}, false
}

// lateReason says why there is no reply at the deadline.
func (u *run) lateReason() query.Reason {
	if u.machine.IsBetweenRounds() {
		return u.reason()
	}
	return query.ReasonDeadline
}

// reason says why no attempt has a reply.
func (u *run) reason() query.Reason {
	if u.quarantined {
		return query.ReasonQuarantined
	}
	return u.machine.Reason()
}

func (u *run) failed(reason query.Reason, err error) Result {
	sent := u.sent || u.started.Load() && reason == query.ReasonDeadline
	return u.result(Result{Reason: reason, Sent: sent, Err: err})
}

// result names the subrequest that r ends.
func (u *run) result(r Result) Result {
	r.Shard = u.task.Shard
	r.QueryAttempt = u.task.QueryAttempt
	r.Snapshot = u.task.Snapshot
	r.QueueTime = u.waited
	r.ServiceTime = u.ran
	return r
}
