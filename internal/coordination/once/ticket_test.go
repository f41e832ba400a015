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

// ticketWorld is a model of nodes that issue and redeem tickets, over the real
// store and decisions.
type ticketWorld struct {
	now     time.Time
	nodes   []*ticketNode
	ledgers map[command.Incarnation]command.Ledger
	tickets []*ticketTruth
	broken  string
	// takeOver lets any node run a ticket whose issuer does not answer.
	takeOver bool
	outcomes map[command.Cause]int
}

type ticketNode struct {
	self    command.Incarnation
	store   *ticket.Store
	running map[uint64]*redeeming
}

// redeeming is a command in progress with the callers that wait for it.
type redeeming struct {
	machine *Machine
	truth   *ticketTruth
	body    string
	callers []int // runs of the ticket when the caller sent it
}

type ticketTruth struct {
	ticket command.Ticket
	runs   int
	body   string // that ran
	void   bool   // told never to run
}

func newTicketWorld(takeOver bool) *ticketWorld {
	w := &ticketWorld{
		now:      time.UnixMilli(1_000_000_000),
		ledgers:  map[command.Incarnation]command.Ledger{},
		takeOver: takeOver,
		outcomes: map[command.Cause]int{},
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
		running: map[uint64]*redeeming{},
	}
}

func (w *ticketWorld) fail(format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf(format, args...)
	}
}

func (w *ticketWorld) issue(t *rapid.T) {
	n := w.nodes[rapid.IntRange(0, modelNodes-1).Draw(t, "issuer")]
	issued, _, err := n.store.Issue("service", w.now)
	if err != nil {
		t.Fatal(err)
	}
	w.tickets = append(w.tickets, &ticketTruth{ticket: issued})
}

// redeem sends a ticket through any node.
func (w *ticketWorld) redeem(t *rapid.T) {
	truth := w.tickets[rapid.IntRange(0, len(w.tickets)-1).Draw(t, "ticket")]
	via := w.nodes[rapid.IntRange(0, modelNodes-1).Draw(t, "node")]
	body := rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "body")
	before := truth.runs
	r := RedeemRequest{Self: via.self, Ticket: truth.ticket, BodyHash: body, Retention: ticketRetention}
	step, _ := Redeem(w.now, r)
	if step != TicketForward {
		w.at(via, r, truth, before)
		return
	}
	course := rapid.SampledFrom([]string{"arrives", "arrives", "lost", "reply lost"}).Draw(t, "forward")
	if course != "lost" {
		issuer := w.find(truth.ticket.Issuer.Node)
		r.Self = issuer.self
		r.Forwarded = true
		if course == "reply lost" {
			w.at(issuer, r, truth, noCaller)
		} else {
			w.at(issuer, r, truth, before)
			return
		}
	}
	if w.takeOver {
		w.start(via, r, truth, before)
		return
	}
	w.askLedger(r, truth, before)
}

func (w *ticketWorld) find(node string) *ticketNode {
	for _, n := range w.nodes {
		if n.self.Node == node {
			return n
		}
	}
	panic("no such node")
}

// noCaller marks a redemption whose caller hears nothing.
const noCaller = -1

// at decides at the issuer's node.
func (w *ticketWorld) at(n *ticketNode, r RedeemRequest, truth *ticketTruth, before int) {
	if step, _ := Redeem(w.now, r); step == TicketReadLedger {
		w.askLedger(r, truth, before)
		return
	}
	var step TicketStep
	var result command.Result
	n.store.Redeem(truth.ticket, func(known *command.Redemption) *command.Redemption {
		r.Previous = known
		step, result = Redeem(w.now, r)
		if step != TicketRun {
			return nil
		}
		return &command.Redemption{Serial: truth.ticket.Serial, BodyHash: r.BodyHash, State: command.StateClaimed}
	})
	switch step {
	case TicketRun:
		w.start(n, r, truth, before)
	case TicketJoin:
		n.running[truth.ticket.Serial].callers = append(n.running[truth.ticket.Serial].callers, before)
	default:
		w.told(r.BodyHash, truth, result, before)
	}
}

func (w *ticketWorld) start(n *ticketNode, r RedeemRequest, truth *ticketTruth, before int) {
	spec := Spec{
		Record:    command.Record{RequestID: truth.ticket.Name(), State: command.StateClaimed},
		Deadline:  w.now.Add(modelDeadline),
		Unclaimed: true,
	}
	m := &redeeming{machine: New(DefaultConfig(), spec), truth: truth, body: r.BodyHash, callers: []int{before}}
	n.running[truth.ticket.Serial] = m
	w.feed(n, m, Begin{})
}

// feed steps a machine; its next dispatch is decided later by act.
func (w *ticketWorld) feed(n *ticketNode, m *redeeming, event Event) {
	actions, err := m.machine.Step(w.now, event)
	if err != nil {
		w.fail("%v", err)
		return
	}
	for _, action := range actions {
		tell, ok := action.(ActRespond)
		if !ok {
			continue
		}
		serial := m.truth.ticket.Serial
		if outcome, ran := m.machine.Settled(); ran {
			n.store.Settle(serial, outcome.State, outcome.Answer)
		} else {
			n.store.Release(serial)
		}
		delete(n.running, serial)
		for _, before := range m.callers {
			w.told(m.body, m.truth, tell.Result, before)
		}
	}
}

// act ends an attempt or a wait of one command.
func (w *ticketWorld) act(t *rapid.T) {
	for _, n := range w.nodes {
		for serial := range uint64(len(w.tickets) + 1) {
			if m, ok := n.running[serial]; ok && rapid.Bool().Draw(t, "this") {
				w.attempt(t, n, m)
				return
			}
		}
	}
}

func (w *ticketWorld) attempt(t *rapid.T, n *ticketNode, m *redeeming) {
	if m.machine.phase == phaseHolding {
		w.now = w.now.Add(100 * time.Millisecond)
		w.feed(n, m, WaitElapsed{})
		return
	}
	kind := rapid.SampledFrom([]command.DispatchKind{
		command.DispatchReplied, command.DispatchLost, command.DispatchNotRun, command.DispatchNotSent,
	}).Draw(t, "end")
	ran := kind == command.DispatchReplied || kind == command.DispatchLost && rapid.Bool().Draw(t, "ran")
	if ran {
		m.truth.runs++
		m.truth.body = m.body
	}
	w.feed(n, m, dispatched(kind, m.body))
}

func (w *ticketWorld) askLedger(r RedeemRequest, truth *ticketTruth, before int) {
	ledger, ok := w.ledgers[truth.ticket.Issuer]
	if !ok {
		w.told(r.BodyHash, truth, command.Result{Outcome: query.Unknown, Cause: command.CauseTicketNodeGone}, before)
		return
	}
	w.told(r.BodyHash, truth, ledger.Lookup(truth.ticket, r.BodyHash), before)
}

// replace ends an incarnation, in an orderly way when nothing runs and graceful is drawn.
func (w *ticketWorld) replace(t *rapid.T) {
	i := rapid.IntRange(0, modelNodes-1).Draw(t, "node")
	n := w.nodes[i]
	if len(n.running) == 0 && rapid.Bool().Draw(t, "graceful") {
		w.ledgers[n.self] = n.store.Ledger(w.now, rapid.SampledFrom([]int{1, 1000}).Draw(t, "limit"), 64)
	}
	w.nodes[i] = newTicketNode(i, n.self.Number+1)
}

func (w *ticketWorld) pass(t *rapid.T) {
	w.now = w.now.Add(rapid.SampledFrom([]time.Duration{time.Second, time.Minute, ticketLifetime, ticketRetention}).Draw(t, "time"))
	for _, n := range w.nodes {
		n.store.Sweep(w.now)
	}
}

func (w *ticketWorld) told(body string, truth *ticketTruth, r command.Result, before int) {
	if before == noCaller {
		return
	}
	w.outcomes[r.Cause]++
	switch {
	case r.Outcome == query.Done:
		whole := r.Answer != nil && (r.Answer.ItemsOmitted || string(r.Answer.Items[0]) == fmt.Sprintf("%q", body))
		if truth.runs != 1 || truth.body != body || !whole {
			w.fail("told done of body %s: %+v", body, truth)
		}
	case r.Outcome == query.NotRun && r.Cause == command.CauseOtherBody:
	case r.Outcome == query.NotRun:
		if before > 0 {
			w.fail("told not run (%s) of a ticket that had run", r.Cause)
		}
		truth.void = truth.void || r.Cause == command.CauseTicketVoid || r.Cause == command.CauseTicketExpired
	}
}

func (w *ticketWorld) check() {
	for _, truth := range w.tickets {
		if truth.runs > 1 {
			w.fail("ticket ran %d times", truth.runs)
		}
		if truth.void && truth.runs > 0 {
			w.fail("ticket ran though told void")
		}
	}
}

func ticketHistory(t *rapid.T, takeOver bool, outcomes map[command.Cause]int) string {
	w := newTicketWorld(takeOver)
	w.issue(t)
	for range rapid.IntRange(5, 60).Draw(t, "steps") {
		switch n := rapid.IntRange(0, 99).Draw(t, "step"); {
		case n < 5 && len(w.tickets) < 4:
			w.issue(t)
		case n < 40:
			w.redeem(t)
		case n < 85:
			w.act(t)
		case n < 94:
			w.pass(t)
		default:
			w.replace(t)
		}
		w.check()
		if w.broken != "" {
			return w.broken
		}
	}
	for cause, n := range w.outcomes {
		outcomes[cause] += n
	}
	return ""
}

// TestTicketHistories runs random histories of tickets over the real store and
// decisions, and checks that they reach every kind of end.
func TestTicketHistories(t *testing.T) {
	outcomes := map[command.Cause]int{}
	rapid.Check(t, func(t *rapid.T) {
		if broken := ticketHistory(t, false, outcomes); broken != "" {
			t.Fatal(broken)
		}
	})
	for _, cause := range []command.Cause{
		command.CauseRan, command.CauseRecorded, command.CauseReplyLost, command.CauseRefused, command.CauseOtherBody,
		command.CauseTicketVoid, command.CauseTicketExpired, command.CauseTicketNodeGone,
	} {
		if outcomes[cause] < 100 {
			t.Errorf("only %d ends by %s", outcomes[cause], cause)
		}
	}
}

// TestTicketHistoriesFindTakeOver shows that the histories find a node that runs
// another's ticket.
func TestTicketHistoriesFindTakeOver(t *testing.T) {
	generator := rapid.Custom(func(t *rapid.T) string { return ticketHistory(t, true, map[command.Cause]int{}) })
	for seed := 1; seed <= mutationHistories; seed++ {
		if broken := generator.Example(seed); broken != "" {
			t.Logf("history %d: %s", seed, broken)
			return
		}
	}
	t.Errorf("not found in %d histories", mutationHistories)
}
