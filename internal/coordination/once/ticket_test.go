package once

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/state/ticket"
)

const (
	ticketLifetime  = 10 * time.Minute
	ticketRetention = time.Hour
)

// ticketWorld is a model of nodes that issue and redeem tickets with the real
// store and state machine.
type ticketWorld struct {
	now       time.Time
	nodes     []*ticketNode
	ledgers   map[command.Incarnation]command.Ledger
	tickets   []*ticketState
	violation string
	// takeOver injects the fault that any node runs a ticket whose issuer does not
	// answer.
	takeOver       bool
	responseCauses map[command.Cause]int
}

type ticketNode struct {
	self    command.Incarnation
	store   *ticket.Store
	running map[uint64]*runningCommand
}

// runningCommand is a command in progress with the callers that wait for it.
type runningCommand struct {
	machine *Machine
	state   *ticketState
	body    string
	callers []int // for each caller, how often the ticket had run when it was sent
}

// ticketState is what actually happened to a ticket.
type ticketState struct {
	ticket       command.Ticket
	runs         int
	ranBody      string
	reportedVoid bool // a response said that the ticket never runs
}

func newTicketWorld(takeOver bool) *ticketWorld {
	w := &ticketWorld{
		now:            time.UnixMilli(1_000_000_000),
		ledgers:        map[command.Incarnation]command.Ledger{},
		takeOver:       takeOver,
		responseCauses: map[command.Cause]int{},
	}
	for i := range modelNodes {
		w.nodes = append(w.nodes, newTicketNode(i, 1))
	}
	return w
}

func newTicketNode(i int, incarnation uint64) *ticketNode {
	self := command.Incarnation{Node: fmt.Sprint(i), Number: incarnation}
	return &ticketNode{
		self: self,
		store: ticket.New(ticket.Options{
			Issuer: self, Secret: []byte("secret"), Lifetime: ticketLifetime, Retention: ticketRetention, Limit: 1000,
		}),
		running: map[uint64]*runningCommand{},
	}
}

func (w *ticketWorld) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

func (w *ticketWorld) issue(t *rapid.T) {
	n := w.nodes[rapid.IntRange(0, modelNodes-1).Draw(t, "issuer")]
	issued, _, err := n.store.Issue("service", w.now)
	if err != nil {
		t.Fatal(err)
	}
	w.tickets = append(w.tickets, &ticketState{ticket: issued})
}

// redeem sends a ticket through any node.
func (w *ticketWorld) redeem(t *rapid.T) {
	state := w.tickets[rapid.IntRange(0, len(w.tickets)-1).Draw(t, "ticket")]
	node := w.nodes[rapid.IntRange(0, modelNodes-1).Draw(t, "node")]
	body := rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "body")
	runsBefore := state.runs
	r := RedeemRequest{Self: node.self, Ticket: state.ticket, BodyHash: body, Retention: ticketRetention}
	step, _ := Redeem(w.now, r)
	if step != TicketForward {
		w.redeemAtIssuer(node, r, state, runsBefore)
		return
	}
	outcome := rapid.SampledFrom([]string{"arrives", "arrives", "lost", "reply lost"}).Draw(t, "forward")
	if outcome != "lost" {
		issuer := w.nodeByName(state.ticket.Issuer.Node)
		r.Self = issuer.self
		r.Forwarded = true
		if outcome == "reply lost" {
			w.redeemAtIssuer(issuer, r, state, noCaller)
		} else {
			w.redeemAtIssuer(issuer, r, state, runsBefore)
			return
		}
	}
	if w.takeOver {
		w.start(node, r, state, runsBefore)
		return
	}
	w.readLedger(r, state, runsBefore)
}

func (w *ticketWorld) nodeByName(node string) *ticketNode {
	for _, n := range w.nodes {
		if n.self.Node == node {
			return n
		}
	}
	panic("no such node")
}

// noCaller marks a redemption whose caller receives no response.
const noCaller = -1

// redeemAtIssuer redeems a ticket at its issuer's node.
func (w *ticketWorld) redeemAtIssuer(n *ticketNode, r RedeemRequest, state *ticketState, runsBefore int) {
	if step, _ := Redeem(w.now, r); step == TicketReadLedger {
		w.readLedger(r, state, runsBefore)
		return
	}
	var step TicketStep
	var result command.Result
	n.store.Redeem(state.ticket, func(known *command.Redemption) *command.Redemption {
		r.Previous = known
		step, result = Redeem(w.now, r)
		if step != TicketRun {
			return nil
		}
		return &command.Redemption{Serial: state.ticket.Serial, BodyHash: r.BodyHash, State: command.StateClaimed}
	})
	switch step {
	case TicketRun:
		w.start(n, r, state, runsBefore)
	case TicketJoin:
		n.running[state.ticket.Serial].callers = append(n.running[state.ticket.Serial].callers, runsBefore)
	default:
		w.checkResponse(r.BodyHash, state, result, runsBefore)
	}
}

func (w *ticketWorld) start(n *ticketNode, r RedeemRequest, state *ticketState, runsBefore int) {
	spec := Spec{
		Record:    command.Record{RequestID: state.ticket.Name(), State: command.StateClaimed},
		Deadline:  w.now.Add(modelDeadline),
		Unclaimed: true,
	}
	m := &runningCommand{machine: New(DefaultConfig(), spec), state: state, body: r.BodyHash, callers: []int{runsBefore}}
	n.running[state.ticket.Serial] = m
	w.step(n, m, Begin{})
}

// step passes an event to a machine; progress ends the action that it returns.
func (w *ticketWorld) step(n *ticketNode, m *runningCommand, event Event) {
	actions, err := m.machine.Step(w.now, event)
	if err != nil {
		w.fail("%v", err)
		return
	}
	for _, action := range actions {
		respond, ok := action.(ActRespond)
		if !ok {
			continue
		}
		serial := m.state.ticket.Serial
		if outcome, ran := m.machine.Settled(); ran {
			n.store.Settle(serial, outcome.State, outcome.Answer)
		} else {
			n.store.Release(serial)
		}
		delete(n.running, serial)
		for _, runsBefore := range m.callers {
			w.checkResponse(m.body, m.state, respond.Result, runsBefore)
		}
	}
}

// progress ends an attempt or a wait of one command.
func (w *ticketWorld) progress(t *rapid.T) {
	for _, n := range w.nodes {
		for serial := range uint64(len(w.tickets) + 1) {
			if m, ok := n.running[serial]; ok && rapid.Bool().Draw(t, "this") {
				w.endDispatch(t, n, m)
				return
			}
		}
	}
}

func (w *ticketWorld) endDispatch(t *rapid.T, n *ticketNode, m *runningCommand) {
	if m.machine.phase == phaseDispatchBackoff {
		w.now = w.now.Add(100 * time.Millisecond)
		w.step(n, m, WaitElapsed{})
		return
	}
	kind := rapid.SampledFrom([]command.DispatchKind{
		command.DispatchReplied, command.DispatchLost, command.DispatchNotRun, command.DispatchNotSent,
	}).Draw(t, "end")
	ran := kind == command.DispatchReplied || kind == command.DispatchLost && rapid.Bool().Draw(t, "ran")
	if ran {
		m.state.runs++
		m.state.ranBody = m.body
	}
	w.step(n, m, dispatchedEvent(kind, m.body))
}

func (w *ticketWorld) readLedger(r RedeemRequest, state *ticketState, runsBefore int) {
	ledger, ok := w.ledgers[state.ticket.Issuer]
	if !ok {
		w.checkResponse(r.BodyHash, state, command.Result{Outcome: query.Unknown, Cause: command.CauseTicketNodeGone}, runsBefore)
		return
	}
	w.checkResponse(r.BodyHash, state, ledger.Lookup(state.ticket, r.BodyHash), runsBefore)
}

// replaceNode starts a new incarnation of a node. The old one stores its ledger if
// it has no command in progress and its shutdown is randomly chosen to be graceful.
func (w *ticketWorld) replaceNode(t *rapid.T) {
	i := rapid.IntRange(0, modelNodes-1).Draw(t, "node")
	n := w.nodes[i]
	if len(n.running) == 0 && rapid.Bool().Draw(t, "graceful") {
		w.ledgers[n.self] = n.store.Ledger(w.now, rapid.SampledFrom([]int{1, 1000}).Draw(t, "limit"), 64)
	}
	w.nodes[i] = newTicketNode(i, n.self.Number+1)
}

func (w *ticketWorld) advanceTime(t *rapid.T) {
	w.now = w.now.Add(rapid.SampledFrom([]time.Duration{time.Second, time.Minute, ticketLifetime, ticketRetention}).Draw(t, "time"))
	for _, n := range w.nodes {
		n.store.Sweep(w.now)
	}
}

func (w *ticketWorld) checkResponse(body string, state *ticketState, r command.Result, runsBefore int) {
	if runsBefore == noCaller {
		return
	}
	w.responseCauses[r.Cause]++
	switch {
	case r.Outcome == query.Done:
		hasAnswer := r.Answer != nil && (r.Answer.ItemsOmitted || string(r.Answer.Items[0]) == fmt.Sprintf("%q", body))
		if state.runs != 1 || state.ranBody != body || !hasAnswer {
			w.fail("response done for body %s: %+v", body, state)
		}
	case r.Outcome == query.NotRun && r.Cause == command.CauseOtherBody:
	case r.Outcome == query.NotRun:
		if runsBefore > 0 {
			w.fail("response not run (%s) for a ticket that had run", r.Cause)
		}
		state.reportedVoid = state.reportedVoid || r.Cause == command.CauseTicketVoid || r.Cause == command.CauseTicketExpired
	}
}

func (w *ticketWorld) checkInvariants() {
	for _, state := range w.tickets {
		if state.runs > 1 {
			w.fail("ticket ran %d times", state.runs)
		}
		if state.reportedVoid && state.runs > 0 {
			w.fail("ticket ran although a response said that it never runs")
		}
	}
}

func runTicketHistory(t *rapid.T, takeOver bool, causes map[command.Cause]int) string {
	w := newTicketWorld(takeOver)
	w.issue(t)
	for range rapid.IntRange(5, 60).Draw(t, "steps") {
		switch n := rapid.IntRange(0, 99).Draw(t, "step"); {
		case n < 5 && len(w.tickets) < 4:
			w.issue(t)
		case n < 40:
			w.redeem(t)
		case n < 85:
			w.progress(t)
		case n < 94:
			w.advanceTime(t)
		default:
			w.replaceNode(t)
		}
		w.checkInvariants()
		if w.violation != "" {
			return w.violation
		}
	}
	for cause, n := range w.responseCauses {
		causes[cause] += n
	}
	return ""
}

// TestTicketHistories runs random histories of tickets with the real store and
// state machine, and checks that they reach every cause of a response.
func TestTicketHistories(t *testing.T) {
	causes := map[command.Cause]int{}
	rapid.Check(t, func(t *rapid.T) {
		if violation := runTicketHistory(t, false, causes); violation != "" {
			t.Fatal(violation)
		}
	})
	for _, cause := range []command.Cause{
		command.CauseRan, command.CauseRecorded, command.CauseReplyLost, command.CauseRefused, command.CauseOtherBody,
		command.CauseTicketVoid, command.CauseTicketExpired, command.CauseTicketNodeGone,
	} {
		if causes[cause] < 100 {
			t.Errorf("only %d responses with cause %s", causes[cause], cause)
		}
	}
}

// TestTicketHistoriesFindTakeOver checks that the random histories detect a node
// that runs the ticket of another node.
func TestTicketHistoriesFindTakeOver(t *testing.T) {
	generator := rapid.Custom(func(t *rapid.T) string { return runTicketHistory(t, true, map[command.Cause]int{}) })
	for seed := 1; seed <= mutationHistories; seed++ {
		if violation := generator.Example(seed); violation != "" {
			t.Logf("history %d: %s", seed, violation)
			return
		}
	}
	t.Errorf("not found in %d histories", mutationHistories)
}
