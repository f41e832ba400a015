package once

import (
	"fmt"

	"pgregory.net/rapid"

	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

// Platform operations: each applies its effect and returns the reply.

func (w *world) create(c *activeCommand, r command.Record) Event {
	if w.store[c.key] != nil {
		return Created{Fault: FaultExists}
	}
	w.version++
	w.store[c.key] = &storedObject{w.version, r}
	if claim := w.claims[c.id]; !claim.stored {
		claim.stored = true
		claim.epoch = w.keys[c.key].epoch
	}
	return Created{Version: w.version}
}

func (w *world) update(c *activeCommand, a ActUpdate) Event {
	object := w.store[c.key]
	switch {
	case object == nil:
		return Updated{Fault: FaultNotFound}
	case object.version != a.Version:
		return Updated{Fault: FaultConflict}
	}
	w.version++
	w.store[c.key] = &storedObject{w.version, a.Record}
	return Updated{Version: w.version}
}

func (w *world) delete(c *activeCommand, a ActDelete) Event {
	object := w.store[c.key]
	switch {
	case object == nil:
		return Deleted{Fault: FaultNotFound}
	case object.version != a.Version:
		return Deleted{Fault: FaultConflict}
	}
	delete(w.store, c.key)
	return Deleted{}
}

func (w *world) read(c *activeCommand) Event {
	object := w.store[c.key]
	if object == nil {
		return ReadCompleted{Fault: FaultNotFound}
	}
	return ReadCompleted{Record: object.record, Version: object.version}
}

// operation returns the effect of a platform action and the replies of a
// refused and of a lost call; ok is false for other actions.
func (w *world) operation(c *activeCommand, action Action) (effect func() Event, refused, lost Event, ok bool) {
	switch a := action.(type) {
	case ActCreate:
		return func() Event { return w.create(c, a.Record) }, Created{Fault: FaultRefused}, Created{Fault: FaultUncertain}, true
	case ActRead:
		return func() Event { return w.read(c) }, ReadCompleted{Fault: FaultRefused}, ReadCompleted{Fault: FaultUncertain}, true
	case ActUpdate:
		return func() Event { return w.update(c, a) }, Updated{Fault: FaultRefused}, Updated{Fault: FaultUncertain}, true
	case ActDelete:
		return func() Event { return w.delete(c, a) }, Deleted{Fault: FaultRefused}, Deleted{Fault: FaultUncertain}, true
	}
	return nil, nil, nil, false
}

// endPlatformCall ends a platform call with a random fault or none.
func (w *world) endPlatformCall(t *rapid.T, c *activeCommand) {
	effect, refused, lost, _ := w.operation(c, c.pending)
	c.pending = nil
	outcome := rapid.SampledFrom([]string{"works", "works", "works", "doubled", "reply lost", "lost", "late", "refused"}).Draw(t, "outcome")
	switch outcome {
	case "works":
		c.reply = effect()
	case "doubled":
		c.reply = effect()
		w.lateEffects = append(w.lateEffects, func() { effect() })
	case "reply lost":
		effect()
		c.reply = lost
	case "lost":
		c.reply = lost
	case "late":
		w.lateEffects = append(w.lateEffects, func() { effect() })
		c.reply = lost
	case "refused":
		c.reply = refused
	}
}

// endDispatch ends a dispatch with a random fault or none.
func (w *world) endDispatch(t *rapid.T, c *activeCommand, a ActDispatch) {
	c.pending = nil
	if !w.now.Before(a.Until) {
		c.reply = dispatchedEvent(command.DispatchNotSent, c.body)
		return
	}
	outcome := rapid.SampledFrom([]string{"replied", "replied", "ran, lost", "lost", "runs late", "not run", "not sent"}).Draw(t, "outcome")
	switch outcome {
	case "replied":
		w.run(c.id)
		c.reply = dispatchedEvent(command.DispatchReplied, c.body)
	case "ran, lost":
		w.run(c.id)
		c.reply = dispatchedEvent(command.DispatchLost, c.body)
	case "lost":
		c.reply = dispatchedEvent(command.DispatchLost, c.body)
	case "runs late":
		w.lateEffects = append(w.lateEffects, func() { w.run(c.id) })
		c.reply = dispatchedEvent(command.DispatchLost, c.body)
	case "not run":
		c.reply = dispatchedEvent(command.DispatchNotRun, c.body)
	case "not sent":
		c.reply = dispatchedEvent(command.DispatchNotSent, c.body)
	}
}

func dispatchedEvent(kind command.DispatchKind, body string) Event {
	r := command.DispatchResult{Kind: kind}
	if kind == command.DispatchReplied {
		r.Items = []query.Item{query.Item(fmt.Sprintf("%q", body))}
	}
	return Dispatched{r}
}
