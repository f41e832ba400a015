package command

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/once"
	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

const (
	// ledgerEntries bounds the redemptions in a ledger.
	ledgerEntries = 2000
	// ledgerAnswerBytes bounds the items in a ledger; with the rest of the
	// entries it stays below platform.MaxValueBytes.
	ledgerAnswerBytes = 256 << 10
)

// errStopping means that a stopping node issues no tickets.
var errStopping = errors.New("node is stopping")

// IssueTicket returns a ticket for one command of a service.
func (r *Runner) IssueTicket(service note.Service) (command.TicketReply, error) {
	if r.isStopping() {
		return command.TicketReply{}, errStopping
	}
	t, sealed, err := r.tickets.Issue(service.Name, r.now())
	if err != nil {
		return command.TicketReply{}, err
	}
	return command.TicketReply{Ticket: sealed, Expires: t.Expires()}, nil
}

// Redeem runs a command under a ticket, here or at the node that issued it. It
// fails with command.ErrInvalidTicket, or with ctx.Err() when the caller leaves first.
func (r *Runner) Redeem(ctx context.Context, service note.Service, sealed string, request command.Request) (command.Result, error) {
	return r.redeem(ctx, service, sealed, request, false)
}

// ServeForward answers Peers.Forward of another node.
func (r *Runner) ServeForward(ctx context.Context, f command.ForwardedCommand) (command.Result, error) {
	service, ok := r.services.Find(f.Service)
	if !ok {
		return command.Result{}, fault.New(fault.StepAdmit, r.self.Node, "service %q is not in force", f.Service)
	}
	f.Request.DeadlineMS = f.TimeLeftMS
	return r.redeem(ctx, service, f.Ticket, f.Request, true)
}

func (r *Runner) redeem(ctx context.Context, service note.Service, sealed string, request command.Request, forwarded bool) (command.Result, error) {
	t, err := r.openTicket(sealed)
	if err != nil {
		return command.Result{}, err
	}
	if t.Service != service.Name {
		return r.tell(otherBody()), nil
	}
	bodyHash := request.BodyHash()
	deadline := r.now().Add(r.wait(service, request))
	redeeming := once.RedeemRequest{Self: r.self, Forwarded: forwarded, Ticket: t, BodyHash: bodyHash, Retention: r.tickets.Retention()}
	switch step, _ := once.Redeem(r.now(), redeeming); step {
	case once.TicketForward:
		return r.forward(ctx, t, command.ForwardedCommand{Ticket: sealed, Service: service.Name, Request: request}, deadline)
	case once.TicketReadLedger:
		return r.lookUpLedger(ctx, t, bodyHash, deadline), nil
	}
	fl, isNew := r.flights.join(t.Name(), bodyHash, deadline)
	if isNew {
		r.redeemHere(ctx, fl, service, request, redeeming, deadline)
	}
	return r.await(ctx, fl, bodyHash, deadline)
}

// openTicket reads a ticket; its code can be checked only by its issuer.
func (r *Runner) openTicket(sealed string) (command.Ticket, error) {
	t, err := command.ParseTicketUnverified(sealed)
	if err != nil || t.Issuer != r.self {
		return t, err
	}
	return r.tickets.Verify(sealed)
}

// redeemHere decides on a ticket of this incarnation and runs its command.
func (r *Runner) redeemHere(ctx context.Context, fl *flight, service note.Service, request command.Request, redeeming once.RedeemRequest, deadline time.Time) {
	j := r.newJob(fl, service, request, deadline)
	target, err := r.dispatcher.Target(service, request.ShardKey)
	refusal := r.ticketRefusal(j, err)
	j.record.Target = target
	redeeming.Stopping = refusal == command.CauseStopping
	var result command.Result
	step := once.TicketRespond
	r.tickets.Redeem(redeeming.Ticket, func(known *command.Redemption) *command.Redemption {
		redeeming.Previous = known
		step, result = once.Redeem(r.now(), redeeming)
		if step == once.TicketRun && refusal != "" {
			step = once.TicketRespond
			result = command.Result{Outcome: query.NotRun, Cause: refusal, Final: true}
		}
		if step != once.TicketRun {
			return nil
		}
		return &command.Redemption{
			Serial:    redeeming.Ticket.Serial,
			BodyHash:  fl.bodyHash,
			RequestID: j.record.RequestID,
			State:     command.StateClaimed,
		}
	})
	if step == once.TicketRun {
		r.runTicket(ctx, fl, j, redeeming.Ticket.Serial)
		return
	}
	if step == once.TicketJoin {
		// A redemption in progress has a flight; without one it broke an invariant.
		result = command.Result{Outcome: query.Unknown, Cause: command.CauseInvariant, Final: true}
	}
	r.flights.finish(fl, result)
	if j.admitted {
		r.active.Done()
	}
}

// ticketRefusal is why a ticket cannot be redeemed now, or empty.
func (r *Runner) ticketRefusal(j *job, targetErr error) command.Cause {
	switch {
	case !j.admitted:
		return command.CauseStopping
	case targetErr != nil:
		return command.CauseNoTarget
	case r.tickets.Full():
		return command.CauseTicketsFull
	default:
		return ""
	}
}

func (r *Runner) runTicket(ctx context.Context, fl *flight, j *job, serial uint64) {
	j.settled = func(outcome command.Record, ran bool) {
		if !ran {
			r.tickets.Release(serial)
			return
		}
		r.tickets.Settle(serial, outcome.State, outcome.Answer)
	}
	j.machine = once.New(r.settings.Once, once.Spec{Record: j.record, Deadline: j.deadline, Unclaimed: true})
	r.launch(ctx, fl, j)
}

// forward asks the node that issued the ticket, and its ledger when the node
// does not answer.
func (r *Runner) forward(ctx context.Context, t command.Ticket, f command.ForwardedCommand, deadline time.Time) (command.Result, error) {
	left := deadline.Sub(r.now())
	f.TimeLeftMS = left.Milliseconds()
	peerCtx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	result, err := r.peers.Forward(peerCtx, t.Issuer.Node, f)
	if err == nil {
		return r.tell(result), nil
	}
	if ctx.Err() != nil {
		return command.Result{}, ctx.Err()
	}
	return r.lookUpLedger(ctx, t, f.Request.BodyHash(), deadline), nil
}

// lookUpLedger is the result that an ended incarnation left behind. Without a
// ledger the outcome is unknown: the incarnation may have run the command.
func (r *Runner) lookUpLedger(ctx context.Context, t command.Ticket, bodyHash string, deadline time.Time) command.Result {
	unknown := command.Result{
		Outcome: query.Unknown,
		Cause:   command.CauseTicketNodeGone,
		// This node's own earlier incarnation has ended for certain.
		Final: t.Issuer.Node == r.self.Node,
		Peer:  t.Issuer.Node,
	}
	timeout := min(r.settings.CallTimeout, deadline.Sub(r.now()))
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r.metrics.reads.Inc()
	object, err := r.platform.Get(ctx, platform.KindClaim, command.LedgerName(t.Issuer))
	if err != nil {
		return r.tell(unknown)
	}
	var ledger command.Ledger
	if json.Unmarshal(object.Value, &ledger) != nil || ledger.Issuer != t.Issuer {
		return r.tell(unknown)
	}
	return r.tell(ledger.Lookup(t, bodyHash))
}

// leaveLedger stores what other nodes are to tell of this incarnation's
// tickets: every ticket that it does not name is void.
func (r *Runner) leaveLedger(ctx context.Context) error {
	ledger := r.tickets.Ledger(r.now(), ledgerEntries, ledgerAnswerBytes)
	value, err := json.Marshal(ledger)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, r.settings.CallTimeout)
	defer cancel()
	r.metrics.write(writeLedger)
	r.budget.Charge(r.now())
	_, err = r.platform.Create(ctx, platform.KindClaim, command.LedgerName(r.self), value)
	if errors.Is(err, platform.ErrExists) {
		return nil // an earlier try took effect
	}
	return err
}
