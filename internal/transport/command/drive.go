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

// drive carries out the actions of one machine, one after the other. Only its
// own goroutine uses it.
type drive struct {
	runner *Runner
	flight *flight
	job    *job
	ctx    context.Context
	told   bool
	left   bool
	tried  []string
	writes int
}

// loop feeds the machine until it ends.
func (d *drive) loop() {
	event := once.Event(once.Begin{})
	for event != nil {
		event = d.step(event)
	}
	d.release()
	d.runner.sweeper.add(d.job.name, d.job.machine)
}

// release ends Stop's wait for this command.
func (d *drive) release() {
	if d.job.admitted {
		d.job.admitted = false
		d.runner.active.Done()
	}
}

// step feeds one event and carries out what follows. It returns the next event,
// or nil at the end.
func (d *drive) step(event once.Event) once.Event {
	now := d.runner.now()
	if !d.left && isClosed(d.flight.left) {
		d.left = true
		if _, err := d.job.machine.Step(now, once.CallersDisconnected{}); err != nil {
			return d.broken(err)
		}
	}
	actions, err := d.job.machine.Step(now, event)
	if err != nil {
		return d.broken(err)
	}
	if d.job.machine.IsCleaningUp() {
		// The callers are told and nothing can run any more.
		d.release()
	}
	if d.mustEnd() {
		return d.cut(now, actions)
	}
	return d.performAll(actions)
}

func (d *drive) performAll(actions []once.Action) once.Event {
	var next once.Event
	for _, action := range actions {
		if result := d.perform(action); result != nil {
			next = result
		}
	}
	return next
}

// mustEnd reports that nothing may be called any more.
func (d *drive) mustEnd() bool {
	return d.ctx.Err() != nil || d.job.machine.IsCleaningUp() && d.runner.isStopping()
}

// cut ends the machine: of the actions only those that tell are carried out.
func (d *drive) cut(now time.Time, actions []once.Action) once.Event {
	d.tellAll(actions)
	if d.job.machine.Ended() {
		return nil
	}
	actions, err := d.job.machine.Step(now, once.Abort{})
	if err != nil {
		return d.broken(err)
	}
	d.tellAll(actions)
	return nil
}

func (d *drive) tellAll(actions []once.Action) {
	for _, action := range actions {
		if a, ok := action.(once.ActRespond); ok {
			d.tell(a.Result)
		}
	}
}

// broken ends a command whose machine broke an invariant.
func (d *drive) broken(err error) once.Event {
	d.runner.metrics.invariants.Inc()
	d.runner.logger.WithError(err).WithField("request_id", d.job.record.RequestID).Error("invariant broken")
	if !d.told {
		d.tell(command.Result{
			Outcome:   query.Unknown,
			Cause:     command.CauseInvariant,
			Final:     true,
			RequestID: d.job.record.RequestID,
		})
	}
	return nil
}

func (d *drive) tell(result command.Result) {
	d.told = true
	outcome, ran := d.job.machine.Settled()
	if result.Cause == command.CauseInvariant {
		outcome, ran = d.job.record, true
		outcome.State = command.StateUnknown
	}
	d.job.settled(outcome, ran)
	d.runner.flights.finish(d.flight, result)
}

// perform carries out one action and returns the event that ends it.
func (d *drive) perform(action once.Action) once.Event {
	switch a := action.(type) {
	case once.ActRespond:
		d.tell(a.Result)
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
		d.pause(a.For)
		return once.WaitElapsed{}
	case once.ActEnd:
	}
	return nil
}

// callContext bounds one call of the platform by its timeout and, while callers
// wait, by their deadline.
func (d *drive) callContext() (context.Context, context.CancelFunc) {
	timeout := d.runner.settings.CallTimeout
	if left := d.job.deadline.Sub(d.runner.now()); !d.told && left < timeout {
		timeout = left
	}
	return context.WithTimeout(d.ctx, timeout)
}

// wrote counts a platform write; those beyond what was reserved are charged.
func (d *drive) wrote(kind writeKind) {
	d.runner.metrics.write(kind)
	d.writes++
	if d.writes > writesPerCommand {
		d.runner.budget.Charge(d.runner.now())
	}
}

func (d *drive) create(a once.ActCreate) once.Event {
	value, err := json.Marshal(a.Record)
	if err != nil {
		return once.Created{Fault: once.FaultRefused}
	}
	ctx, cancel := d.callContext()
	defer cancel()
	d.wrote(writeCreate)
	object, err := d.runner.platform.Create(ctx, platform.KindClaim, d.job.name, value)
	return once.Created{Version: object.Version, Fault: faultOf(err)}
}

func (d *drive) read() once.Event {
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

func (d *drive) update(a once.ActUpdate) once.Event {
	value, err := json.Marshal(a.Record)
	if err != nil {
		return once.Updated{Fault: once.FaultRefused}
	}
	ctx, cancel := d.callContext()
	defer cancel()
	d.wrote(writeSettle)
	object, err := d.runner.platform.Update(ctx, platform.Object{
		Kind:    platform.KindClaim,
		Name:    d.job.name,
		Version: a.Version,
		Value:   value,
	})
	return once.Updated{Version: object.Version, Fault: faultOf(err)}
}

func (d *drive) delete(a once.ActDelete) once.Event {
	ctx, cancel := d.callContext()
	defer cancel()
	d.wrote(writeFree)
	err := d.runner.platform.Delete(ctx, platform.KindClaim, d.job.name, a.Version)
	return once.Deleted{Fault: faultOf(err)}
}

// dispatch runs one attempt. A node that was paused past the deadline sends nothing.
func (d *drive) dispatch(a once.ActDispatch) once.Event {
	left := a.Until.Sub(d.runner.now())
	if left <= 0 {
		return once.Dispatched{Result: command.DispatchResult{Kind: command.DispatchNotSent}}
	}
	ctx, cancel := context.WithTimeout(d.ctx, left)
	defer cancel()
	result := d.runner.dispatcher.Dispatch(ctx, Attempt{
		RequestID: d.job.record.RequestID,
		Number:    a.Attempt,
		Service:   d.job.service,
		Target:    a.Target,
		Query:     d.job.request.Query,
		Tried:     d.tried,
	})
	if result.Leaf != "" {
		d.tried = append(d.tried, result.Leaf)
	}
	return once.Dispatched{Result: result}
}

// pause waits for t, for the end of the runner, or until no caller waits any more.
func (d *drive) pause(t time.Duration) {
	timer := time.NewTimer(t)
	defer timer.Stop()
	left := d.flight.left
	if d.told || d.left {
		left = nil
	}
	var stopping chan struct{}
	if d.job.machine.IsCleaningUp() {
		stopping = d.runner.watchEnd
	}
	select {
	case <-timer.C:
	case <-left:
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

// faultOf maps the errors of the object API.
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
