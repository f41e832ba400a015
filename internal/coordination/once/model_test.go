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

// world is a model of nodes, the platform, one upstream and callers. Each
// outstanding action is split into its effect and the delivery of its reply, so
// that a node can be paused between any two of them.
type world struct {
	mutate   mutation
	now      time.Time
	store    map[int]*stored // by key
	version  uint64
	restarts [modelNodes]uint64
	live     []*sent
	nonce    uint64
	late     []func() // effects still under way
	keys     [modelKeys]keyTruth
	claims   map[string]*claimTruth // by request id
	broken   string                 // the first invariant found broken
	causes   map[command.Cause]int  // of what was told
}

type stored struct {
	version uint64
	record  command.Record
}

// keyTruth is what really happened to a key.
type keyTruth struct {
	sends  int
	epoch  int // counts records removed after their retention
	bodies map[string]bool
	done   map[int]string // request id told as done, by epoch
}

// claimTruth is what really happened to one claim.
type claimTruth struct {
	key, epoch, runs int
	body             string
	stored           bool // the claim was in the platform
	toldNotRun       bool
}

// sent is one command at one node.
type sent struct {
	machine    *Machine
	node, key  int
	body       string
	id         string
	pending    Action // not yet effective
	reply      Event  // effective, not yet delivered
	runsBefore int
	epoch      int
	tells      int
}

func newWorld(mutate mutation) *world {
	w := &world{
		mutate: mutate,
		now:    time.Unix(1_000_000, 0),
		store:  map[int]*stored{},
		claims: map[string]*claimTruth{},
		causes: map[command.Cause]int{},
	}
	for k := range w.keys {
		w.keys[k] = keyTruth{bodies: map[string]bool{}, done: map[int]string{}}
	}
	return w
}

func (w *world) fail(format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf(format, args...)
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
	truth := &w.keys[key]
	w.nonce++
	id := command.RequestID(fmt.Sprintf("key%d", key), w.nonce)
	spec := Spec{
		Record: command.Record{
			BodyHash:  body,
			RequestID: id,
			Claimer:   command.Incarnation{Node: fmt.Sprint(node), Number: w.restarts[node]},
			State:     command.StateClaimed,
			ClaimedAt: w.now,
		},
		Deadline:  w.now.Add(modelDeadline),
		FirstSend: truth.sends == 0,
		Refusal:   refusal,
	}
	c := &sent{machine: New(DefaultConfig(), spec), node: node, key: key, body: body, id: id}
	c.machine.mutate = w.mutate
	c.epoch = truth.epoch
	c.runsBefore = w.runs(key, truth.epoch)
	truth.sends++
	truth.bodies[body] = true
	w.claims[id] = &claimTruth{key: key, epoch: truth.epoch, body: body}
	w.live = append(w.live, c)
	w.step(c, Begin{})
}

// step feeds an event and takes over the actions.
func (w *world) step(c *sent, event Event) {
	c.reply = nil
	c.pending = nil
	actions, err := c.machine.Step(w.now, event)
	if err != nil {
		w.fail("%v", err)
	}
	for _, action := range actions {
		switch a := action.(type) {
		case ActRespond:
			w.told(c, a.Result)
		case ActEnd:
			w.remove(c)
		default:
			if c.pending != nil {
				w.fail("two actions at once: %T and %T", c.pending, a)
			}
			c.pending = a
		}
	}
	if !c.machine.Ended() && c.pending == nil {
		w.fail("no action in phase %d", c.machine.phase)
	}
}

func (w *world) remove(c *sent) {
	for i := range w.live {
		if w.live[i] == c {
			w.live = append(w.live[:i], w.live[i+1:]...)
			return
		}
	}
}

// told compares what a caller is told with the truth.
func (w *world) told(c *sent, r command.Result) {
	c.tells++
	w.causes[r.Cause]++
	truth := &w.keys[c.key]
	switch r.Outcome {
	case query.Done:
		w.toldDone(c, r)
	case query.NotRun:
		w.claims[c.id].toldNotRun = true
		if r.Cause == command.CauseOtherBody {
			if len(truth.bodies) < 2 {
				w.fail("told of another body that nobody sent")
			}
			return
		}
		if c.runsBefore > 0 && c.epoch == truth.epoch {
			w.fail("told not run of a key that ran before it was sent")
		}
	case query.Unknown:
	default:
		w.fail("told %q", r.Outcome)
	}
}

func (w *world) toldDone(c *sent, r command.Result) {
	claim := w.claims[r.RequestID]
	if claim == nil || claim.runs != 1 || claim.body != c.body || w.runs(c.key, claim.epoch) != 1 {
		w.fail("told done of %s: %+v", r.RequestID, claim)
		return
	}
	if len(r.Answer.Items) != 1 || string(r.Answer.Items[0]) != fmt.Sprintf("%q", c.body) {
		w.fail("told the answer %s to body %s", r.Answer.Items, c.body)
	}
	truth := &w.keys[c.key]
	if earlier, ok := truth.done[claim.epoch]; ok && earlier != r.RequestID {
		w.fail("told two answers, of %s and %s", earlier, r.RequestID)
	}
	truth.done[claim.epoch] = r.RequestID
}

// check holds the invariants after every step.
func (w *world) check() {
	for id, c := range w.claims {
		if c.runs > 1 {
			w.fail("claim %s ran %d times", id, c.runs)
		}
		if c.toldNotRun && c.runs > 0 {
			w.fail("claim %s ran though its caller was told not run", id)
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

// run lets the upstream run a claim's command once.
func (w *world) run(id string) { w.claims[id].runs++ }

// act lets the effect of one outstanding action happen, or delivers its reply.
func (w *world) act(t *rapid.T) {
	c := w.live[rapid.IntRange(0, len(w.live)-1).Draw(t, "command")]
	if c.reply != nil {
		w.step(c, c.reply)
		return
	}
	switch a := c.pending.(type) {
	case ActDispatch:
		w.attempt(t, c, a)
	case ActWait:
		w.now = w.now.Add(a.For)
		c.reply = WaitElapsed{}
	default:
		w.call(t, c)
	}
}

func (w *world) lateEffect(t *rapid.T) {
	i := rapid.IntRange(0, len(w.late)-1).Draw(t, "effect")
	effect := w.late[i]
	w.late = append(w.late[:i], w.late[i+1:]...)
	effect()
}

func (w *world) pass(t *rapid.T) {
	w.now = w.now.Add(rapid.SampledFrom([]time.Duration{
		10 * time.Millisecond, 300 * time.Millisecond, 3 * time.Second, 3 * time.Minute, modelRetention,
	}).Draw(t, "time"))
}

func (w *world) leave(t *rapid.T) {
	c := w.live[rapid.IntRange(0, len(w.live)-1).Draw(t, "command")]
	if _, err := c.machine.Step(w.now, CallersDisconnected{}); err != nil {
		w.fail("%v", err)
	}
}

// cut ends a command whose node must end.
func (w *world) cut(t *rapid.T) {
	c := w.live[rapid.IntRange(0, len(w.live)-1).Draw(t, "command")]
	if c.pending == nil {
		return
	}
	w.step(c, Abort{})
	if !c.machine.Ended() || c.tells != 1 {
		w.fail("cut left phase %d after telling %d times", c.machine.phase, c.tells)
	}
}

// restart replaces a node. What it had sent may still take effect.
func (w *world) restart(t *rapid.T) {
	node := rapid.IntRange(0, modelNodes-1).Draw(t, "node")
	w.restarts[node]++
	for _, c := range append([]*sent(nil), w.live...) {
		if c.node != node {
			continue
		}
		w.remove(c)
		if effect, _, _, ok := w.operation(c, c.pending); ok {
			w.late = append(w.late, func() { effect() })
		}
		if a, ok := c.pending.(ActDispatch); ok && w.now.Before(a.Until) {
			w.late = append(w.late, func() { w.run(c.id) })
		}
	}
}

// sweep removes the settled records whose retention has passed.
func (w *world) sweep() {
	for key, object := range w.store {
		if object.record.Settled() && w.now.Sub(object.record.SettledAt) >= modelRetention {
			delete(w.store, key)
			w.keys[key].epoch++
		}
	}
}

// finish lets every command end without further faults.
func (w *world) finish() {
	for steps := 0; len(w.live) > 0; steps++ {
		if steps > 5000 {
			w.fail("commands do not end: phase %d", w.live[0].machine.phase)
			return
		}
		c := w.live[steps%len(w.live)]
		event := c.reply
		if event == nil {
			event = w.smooth(c)
		}
		w.step(c, event)
		if c.machine.Ended() && c.tells != 1 {
			w.fail("ended after telling %d times", c.tells)
		}
	}
	w.check()
}

// smooth performs a pending action without a fault.
func (w *world) smooth(c *sent) Event {
	switch a := c.pending.(type) {
	case ActWait:
		w.now = w.now.Add(a.For)
		return WaitElapsed{}
	case ActDispatch:
		if !w.now.Before(a.Until) {
			return dispatched(command.DispatchNotSent, c.body)
		}
		w.run(c.id)
		return dispatched(command.DispatchReplied, c.body)
	}
	effect, _, _, _ := w.operation(c, c.pending)
	return effect()
}

// history runs one random history and returns the invariant it broke, if any.
// It adds what was told to causes.
func history(t *rapid.T, mutate mutation, causes map[command.Cause]int) string {
	w := newWorld(mutate)
	steps := rapid.IntRange(5, 80).Draw(t, "steps")
	for range steps {
		w.random(t)
		w.check()
		if w.broken != "" {
			return w.broken
		}
	}
	w.finish()
	for cause, n := range w.causes {
		causes[cause] += n
	}
	return w.broken
}

// random takes one step; steps that do not apply are left out.
func (w *world) random(t *rapid.T) {
	switch n := rapid.IntRange(0, 99).Draw(t, "step"); {
	case n < 12 && len(w.live) < modelMachines:
		w.send(t)
	case n < 80 && len(w.live) > 0:
		w.act(t)
	case n < 86 && len(w.late) > 0:
		w.lateEffect(t)
	case n < 92:
		w.pass(t)
	case n < 95 && len(w.live) > 0:
		w.leave(t)
	case n < 96 && len(w.live) > 0:
		w.cut(t)
	case n < 98:
		w.restart(t)
	default:
		w.sweep()
	}
}
