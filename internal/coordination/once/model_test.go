package once

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

const (
	modelNodes     = 3
	modelKeys      = 2
	modelMachines  = 6
	modelDeadline  = 2 * time.Second
	modelRetention = time.Hour
)

// world is a model of nodes, the platform, one upstream and callers. The effect
// of an outstanding action and the delivery of its reply are separate steps, so
// that a node can be paused between any two of them.
type world struct {
	mutate         mutation
	now            time.Time
	store          map[int]*storedObject // by key
	version        uint64
	incarnations   [modelNodes]uint64
	active         []*activeCommand
	nonce          uint64
	lateEffects    []func() // effects of earlier calls that are still to be applied
	keys           [modelKeys]keyState
	claims         map[string]*claimState // by request id
	violation      string                 // the first invariant violated
	responseCauses map[command.Cause]int  // number of responses by cause
}

type storedObject struct {
	version uint64
	record  command.Record
}

// keyState is what actually happened to a key.
type keyState struct {
	sends       int
	epoch       int // counts records removed after their retention
	bodies      map[string]bool
	doneRequest map[int]string // request id reported as done, by epoch
}

// claimState is what actually happened to one claim.
type claimState struct {
	key, epoch, runs int
	body             string
	stored           bool // the claim was in the platform
	reportedNotRun   bool
}

// activeCommand is one command at one node.
type activeCommand struct {
	machine    *Machine
	node, key  int
	body       string
	id         string
	pending    Action // not yet effective
	reply      Event  // effective, not yet delivered
	runsBefore int
	epoch      int
	responses  int
}

func newWorld(mutate mutation) *world {
	w := &world{
		mutate:         mutate,
		now:            time.Unix(1_000_000, 0),
		store:          map[int]*storedObject{},
		claims:         map[string]*claimState{},
		responseCauses: map[command.Cause]int{},
	}
	for k := range w.keys {
		w.keys[k] = keyState{bodies: map[string]bool{}, doneRequest: map[int]string{}}
	}
	return w
}

func (w *world) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

// runs is the number of runs of a key in an epoch.
func (w *world) runs(key, epoch int) int {
	n := 0
	for _, c := range w.claims {
		if c.key == key && c.epoch == epoch {
			n += c.runs
		}
	}
	return n
}

func (w *world) send(t *rapid.T) {
	key := rapid.IntRange(0, modelKeys-1).Draw(t, "key")
	node := rapid.IntRange(0, modelNodes-1).Draw(t, "node")
	body := rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "body")
	refusal := rapid.SampledFrom([]command.Cause{"", "", "", "", command.CauseBudget}).Draw(t, "refusal")
	state := &w.keys[key]
	w.nonce++
	id := command.RequestID(fmt.Sprintf("key%d", key), w.nonce)
	spec := Spec{
		Record: command.Record{
			BodyHash:  body,
			RequestID: id,
			Claimer:   command.Incarnation{Node: fmt.Sprint(node), Number: w.incarnations[node]},
			State:     command.StateClaimed,
			ClaimedAt: w.now,
		},
		Deadline:  w.now.Add(modelDeadline),
		FirstSend: state.sends == 0,
		Refusal:   refusal,
	}
	c := &activeCommand{machine: New(DefaultConfig(), spec), node: node, key: key, body: body, id: id}
	c.machine.mutate = w.mutate
	c.epoch = state.epoch
	c.runsBefore = w.runs(key, state.epoch)
	state.sends++
	state.bodies[body] = true
	w.claims[id] = &claimState{key: key, epoch: state.epoch, body: body}
	w.active = append(w.active, c)
	w.step(c, Begin{})
}

// step passes an event to the machine and keeps the action that it returns.
func (w *world) step(c *activeCommand, event Event) {
	c.reply = nil
	c.pending = nil
	actions, err := c.machine.Step(w.now, event)
	if err != nil {
		w.fail("%v", err)
	}
	for _, action := range actions {
		switch a := action.(type) {
		case ActRespond:
			w.checkResponse(c, a.Result)
		case ActEnd:
			w.remove(c)
		default:
			if c.pending != nil {
				w.fail("two outstanding actions: %T and %T", c.pending, a)
			}
			c.pending = a
		}
	}
	if !c.machine.Ended() && c.pending == nil {
		w.fail("no action in phase %d", c.machine.phase)
	}
}

func (w *world) remove(c *activeCommand) {
	for i := range w.active {
		if w.active[i] == c {
			w.active = append(w.active[:i], w.active[i+1:]...)
			return
		}
	}
}

// checkResponse compares a response to a caller with what actually happened.
func (w *world) checkResponse(c *activeCommand, r command.Result) {
	c.responses++
	w.responseCauses[r.Cause]++
	state := &w.keys[c.key]
	switch r.Outcome {
	case query.Done:
		w.checkDone(c, r)
	case query.NotRun:
		w.claims[c.id].reportedNotRun = true
		if r.Cause == command.CauseOtherBody {
			if len(state.bodies) < 2 {
				w.fail("response other_body, but no caller sent another body")
			}
			return
		}
		if c.runsBefore > 0 && c.epoch == state.epoch {
			w.fail("response not run for a key that ran before it was sent")
		}
	case query.Unknown:
	default:
		w.fail("unexpected outcome %q", r.Outcome)
	}
}

func (w *world) checkDone(c *activeCommand, r command.Result) {
	claim := w.claims[r.RequestID]
	if claim == nil || claim.runs != 1 || claim.body != c.body || w.runs(c.key, claim.epoch) != 1 {
		w.fail("response done for %s: %+v", r.RequestID, claim)
		return
	}
	if len(r.Answer.Items) != 1 || string(r.Answer.Items[0]) != fmt.Sprintf("%q", c.body) {
		w.fail("response with the answer %s to body %s", r.Answer.Items, c.body)
	}
	state := &w.keys[c.key]
	if earlier, ok := state.doneRequest[claim.epoch]; ok && earlier != r.RequestID {
		w.fail("two answers, of %s and %s", earlier, r.RequestID)
	}
	state.doneRequest[claim.epoch] = r.RequestID
}

// checkInvariants checks the invariants after every step.
func (w *world) checkInvariants() {
	for id, c := range w.claims {
		if c.runs > 1 {
			w.fail("claim %s ran %d times", id, c.runs)
		}
		if c.reportedNotRun && c.runs > 0 {
			w.fail("claim %s ran after the response not run", id)
		}
	}
	for key := range w.keys {
		for epoch := range w.keys[key].epoch + 1 {
			if n := w.runs(key, epoch); n > 1 {
				w.fail("key %d ran %d times", key, n)
			}
		}
	}
}

// run executes a claim's command once at the upstream.
func (w *world) run(id string) { w.claims[id].runs++ }

// progress applies the effect of one outstanding action, or delivers its reply.
func (w *world) progress(t *rapid.T) {
	c := w.active[rapid.IntRange(0, len(w.active)-1).Draw(t, "command")]
	if c.reply != nil {
		w.step(c, c.reply)
		return
	}
	switch a := c.pending.(type) {
	case ActDispatch:
		w.endDispatch(t, c, a)
	case ActWait:
		w.now = w.now.Add(a.For)
		c.reply = WaitElapsed{}
	default:
		w.endPlatformCall(t, c)
	}
}

func (w *world) applyLateEffect(t *rapid.T) {
	i := rapid.IntRange(0, len(w.lateEffects)-1).Draw(t, "effect")
	effect := w.lateEffects[i]
	w.lateEffects = append(w.lateEffects[:i], w.lateEffects[i+1:]...)
	effect()
}

func (w *world) advanceTime(t *rapid.T) {
	w.now = w.now.Add(rapid.SampledFrom([]time.Duration{
		10 * time.Millisecond, 300 * time.Millisecond, 3 * time.Second, 3 * time.Minute, modelRetention,
	}).Draw(t, "time"))
}

func (w *world) disconnect(t *rapid.T) {
	c := w.active[rapid.IntRange(0, len(w.active)-1).Draw(t, "command")]
	if _, err := c.machine.Step(w.now, CallersDisconnected{}); err != nil {
		w.fail("%v", err)
	}
}

// abort ends one command as if its node had to stop.
func (w *world) abort(t *rapid.T) {
	c := w.active[rapid.IntRange(0, len(w.active)-1).Draw(t, "command")]
	if c.pending == nil {
		return
	}
	w.step(c, Abort{})
	if !c.machine.Ended() || c.responses != 1 {
		w.fail("phase %d after the abort, with %d responses", c.machine.phase, c.responses)
	}
}

// restart starts a new incarnation of a node. Calls that the previous one sent may
// still take effect.
func (w *world) restart(t *rapid.T) {
	node := rapid.IntRange(0, modelNodes-1).Draw(t, "node")
	w.incarnations[node]++
	for _, c := range append([]*activeCommand(nil), w.active...) {
		if c.node != node {
			continue
		}
		w.remove(c)
		if effect, _, _, ok := w.operation(c, c.pending); ok {
			w.lateEffects = append(w.lateEffects, func() { effect() })
		}
		if a, ok := c.pending.(ActDispatch); ok && w.now.Before(a.Until) {
			w.lateEffects = append(w.lateEffects, func() { w.run(c.id) })
		}
	}
}

// sweep deletes the settled records whose retention has passed.
func (w *world) sweep() {
	for key, object := range w.store {
		if object.record.Settled() && w.now.Sub(object.record.SettledAt) >= modelRetention {
			delete(w.store, key)
			w.keys[key].epoch++
		}
	}
}

// finish runs every command to its end without further faults.
func (w *world) finish() {
	for steps := 0; len(w.active) > 0; steps++ {
		if steps > 5000 {
			w.fail("commands do not end: phase %d", w.active[0].machine.phase)
			return
		}
		c := w.active[steps%len(w.active)]
		event := c.reply
		if event == nil {
			event = w.completeWithoutFault(c)
		}
		w.step(c, event)
		if c.machine.Ended() && c.responses != 1 {
			w.fail("ended after %d responses", c.responses)
		}
	}
	w.checkInvariants()
}

// completeWithoutFault performs a pending action without a fault.
func (w *world) completeWithoutFault(c *activeCommand) Event {
	switch a := c.pending.(type) {
	case ActWait:
		w.now = w.now.Add(a.For)
		return WaitElapsed{}
	case ActDispatch:
		if !w.now.Before(a.Until) {
			return dispatchedEvent(command.DispatchNotSent, c.body)
		}
		w.run(c.id)
		return dispatchedEvent(command.DispatchReplied, c.body)
	}
	effect, _, _, _ := w.operation(c, c.pending)
	return effect()
}

// runHistory runs one random history and returns the invariant that it violated,
// if any. It adds the causes of the responses to causes.
func runHistory(t *rapid.T, mutate mutation, causes map[command.Cause]int) string {
	w := newWorld(mutate)
	steps := rapid.IntRange(5, 80).Draw(t, "steps")
	for range steps {
		w.randomStep(t)
		w.checkInvariants()
		if w.violation != "" {
			return w.violation
		}
	}
	w.finish()
	for cause, n := range w.responseCauses {
		causes[cause] += n
	}
	return w.violation
}

// randomStep takes one random step; a step that does not apply is skipped.
func (w *world) randomStep(t *rapid.T) {
	switch n := rapid.IntRange(0, 99).Draw(t, "step"); {
	case n < 12 && len(w.active) < modelMachines:
		w.send(t)
	case n < 80 && len(w.active) > 0:
		w.progress(t)
	case n < 86 && len(w.lateEffects) > 0:
		w.applyLateEffect(t)
	case n < 92:
		w.advanceTime(t)
	case n < 95 && len(w.active) > 0:
		w.disconnect(t)
	case n < 96 && len(w.active) > 0:
		w.abort(t)
	case n < 98:
		w.restart(t)
	default:
		w.sweep()
	}
}
