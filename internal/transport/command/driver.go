package command

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/once"
	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

// driver executes the actions of one machine, one after the other. It is used
// by its own goroutine only.
type driver struct {
	runner              *Runner
	flight              *flight
	job                 *job
	ctx                 context.Context
	responded           bool
	callersDisconnected bool
	triedLeafs          []string
	writes              int
}

// run passes events to the machine until it ends.
func (d *driver) run() {
	event := once.Event(once.Begin{})
	for event != nil {
		event = d.step(event)
	}
	d.markInactive()
	d.runner.sweeper.addSettled(d.job.name, d.job.machine)
}

// markInactive makes Stop no longer wait for this command.
func (d *driver) markInactive() {
	if d.job.isActive {
		d.job.isActive = false
		d.runner.active.Done()
	}
}

// step passes one event to the machine and executes the actions that follow. It
// returns the next event, or nil at the end.
func (d *driver) step(event once.Event) once.Event {
	now := d.runner.now()
	if !d.callersDisconnected && isClosed(d.flight.callersDisconnected) {
		d.callersDisconnected = true
		if _, err := d.job.machine.Step(now, once.CallersDisconnected{}); err != nil {
			return d.failInvariant(err)
		}
	}
	actions, err := d.job.machine.Step(now, event)
	if err != nil {
		return d.failInvariant(err)
	}
	if d.job.machine.IsCleaningUp() {
		// The callers have their result and no further attempt can run.
		d.markInactive()
	}
	if d.mustAbort() {
		return d.abort(now, actions)
	}
	return d.performAll(actions)
}

func (d *driver) performAll(actions []once.Action) once.Event {
	var next once.Event
	for _, action := range actions {
		if result := d.perform(action); result != nil {
			next = result
		}
	}
	return next
}

// mustAbort reports whether no further calls are allowed.
func (d *driver) mustAbort() bool {
	return d.ctx.Err() != nil || d.job.machine.IsCleaningUp() && d.runner.isStopping()
}

// abort ends the machine. Of the actions, only responses are executed.
func (d *driver) abort(now time.Time, actions []once.Action) once.Event {
	d.respondAll(actions)
	if d.job.machine.Ended() {
		return nil
	}
	actions, err := d.job.machine.Step(now, once.Abort{})
	if err != nil {
		return d.failInvariant(err)
	}
	d.respondAll(actions)
	return nil
}

func (d *driver) respondAll(actions []once.Action) {
	for _, action := range actions {
		if a, ok := action.(once.ActRespond); ok {
			d.respond(a.Result)
		}
	}
}

// failInvariant ends a command whose machine violated an invariant.
func (d *driver) failInvariant(err error) once.Event {
	d.runner.metrics.invariants.Inc()
	d.runner.logger.WithError(err).WithField("request_id", d.job.record.RequestID).Error("invariant broken")
	if !d.responded {
		d.respond(command.Result{
			Outcome:   query.Unknown,
			Cause:     command.CauseInvariant,
			Final:     true,
			RequestID: d.job.record.RequestID,
		})
	}
	return nil
}

func (d *driver) respond(result command.Result) {
	d.responded = true
	outcome, ran := d.job.machine.Settled()
	if result.Cause == command.CauseInvariant {
		outcome, ran = d.job.record, true
		outcome.State = command.StateUnknown
	}
	d.job.onSettled(outcome, ran)
	d.runner.flights.finish(d.flight, result)
}

// perform executes one action and returns the event that completes it.
func (d *driver) perform(action once.Action) once.Event {
	switch a := action.(type) {
	case once.ActRespond:
		d.respond(a.Result)
	case once.ActCreate:
		return d.create(a)
	case once.ActRead:
		return d.read()
	case once.ActDispatch:
		return d.dispatch(a)
	case once.ActUpdate:
		return d.update(a)
	case once.ActDelete:
		return d.delete(a)
	case once.ActWait:
		d.wait(a.For)
		return once.WaitElapsed{}
	case once.ActEnd:
	}
	return nil
}

// callContext bounds one call of the platform by its timeout and, while callers
// wait, by their deadline.
func (d *driver) callContext() (context.Context, context.CancelFunc) {
	timeout := d.runner.settings.CallTimeout
	if remaining := d.job.deadline.Sub(d.runner.now()); !d.responded && remaining < timeout {
		timeout = remaining
	}
	return context.WithTimeout(d.ctx, timeout)
}

// countWrite counts a platform write. Writes beyond the reserved ones are
// charged to the budget.
func (d *driver) countWrite(kind writeKind) {
	d.runner.metrics.write(kind)
	d.writes++
	if d.writes > writesPerCommand {
		d.runner.budget.Charge(d.runner.now())
	}
}

func (d *driver) create(a once.ActCreate) once.Event {
	value, err := json.Marshal(a.Record)
	if err != nil {
		return once.Created{Fault: once.FaultRefused}
	}
	ctx, cancel := d.callContext()
	defer cancel()
	d.countWrite(writeCreate)
	object, err := d.runner.platform.Create(ctx, platform.KindClaim, d.job.name, value)
	return once.Created{Version: object.Version, Fault: faultOf(err)}
}

func (d *driver) read() once.Event {
	ctx, cancel := d.callContext()
	defer cancel()
	d.runner.metrics.reads.Inc()
	object, err := d.runner.platform.Get(ctx, platform.KindClaim, d.job.name)
	if err != nil {
		return once.ReadCompleted{Fault: faultOf(err)}
	}
	var stored command.Record
	if err := json.Unmarshal(object.Value, &stored); err != nil {
		return once.ReadCompleted{Fault: once.FaultRefused}
	}
	return once.ReadCompleted{Record: stored, Version: object.Version}
}

func (d *driver) update(a once.ActUpdate) once.Event {
	value, err := json.Marshal(a.Record)
	if err != nil {
		return once.Updated{Fault: once.FaultRefused}
	}
	ctx, cancel := d.callContext()
	defer cancel()
	d.countWrite(writeSettle)
	object, err := d.runner.platform.Update(ctx, platform.Object{
		Kind:    platform.KindClaim,
		Name:    d.job.name,
		Version: a.Version,
		Value:   value,
	})
	return once.Updated{Version: object.Version, Fault: faultOf(err)}
}

func (d *driver) delete(a once.ActDelete) once.Event {
	ctx, cancel := d.callContext()
	defer cancel()
	d.countWrite(writeRelease)
	err := d.runner.platform.Delete(ctx, platform.KindClaim, d.job.name, a.Version)
	return once.Deleted{Fault: faultOf(err)}
}

// dispatch runs one attempt. A node that was paused past the deadline sends nothing.
func (d *driver) dispatch(a once.ActDispatch) once.Event {
	remaining := a.Until.Sub(d.runner.now())
	if remaining <= 0 {
		return once.Dispatched{Result: command.DispatchResult{Kind: command.DispatchNotSent}}
	}
	ctx, cancel := context.WithTimeout(d.ctx, remaining)
	defer cancel()
	result := d.runner.dispatcher.Dispatch(ctx, Attempt{
		RequestID: d.job.record.RequestID,
		Number:    a.Attempt,
		Service:   d.job.service,
		Target:    a.Target,
		Query:     d.job.request.Query,
		Tried:     d.triedLeafs,
	})
	if result.Leaf != "" {
		d.triedLeafs = append(d.triedLeafs, result.Leaf)
	}
	return once.Dispatched{Result: result}
}

// wait waits until delay has elapsed, the runner ends or, before the response, no
// caller waits any longer. During clean-up it also ends when the runner stops.
func (d *driver) wait(delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	disconnected := d.flight.callersDisconnected
	if d.responded || d.callersDisconnected {
		disconnected = nil
	}
	var stopping chan struct{}
	if d.job.machine.IsCleaningUp() {
		stopping = d.runner.stopSignal
	}
	select {
	case <-timer.C:
	case <-disconnected:
	case <-stopping:
	case <-d.ctx.Done():
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// faultOf maps an error of the object API to a fault of the machine.
func faultOf(err error) once.Fault {
	switch {
	case err == nil:
		return once.FaultNone
	case errors.Is(err, platform.ErrExists):
		return once.FaultExists
	case errors.Is(err, platform.ErrConflict):
		return once.FaultConflict
	case errors.Is(err, platform.ErrNotFound):
		return once.FaultNotFound
	case errors.Is(err, platform.ErrThrottled), errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrTooLarge):
		return once.FaultRefused
	default:
		return once.FaultUncertain
	}
}
