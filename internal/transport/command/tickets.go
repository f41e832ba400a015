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
	// maxLedgerEntries bounds the redemptions in a ledger.
	maxLedgerEntries = 2000
	// maxLedgerAnswerBytes bounds the bytes of the items in a ledger, so that the
	// ledger with all its entries stays below platform.MaxValueBytes.
	maxLedgerAnswerBytes = 256 << 10
)

// errStopping is returned for requests for tickets while the node is stopping.
var errStopping = errors.New("node is stopping")

// IssueTicket returns a ticket for one command of a service.
func (r *Runner) IssueTicket(service note.Service) (command.TicketReply, error) {
	if r.isStopping() {
		return command.TicketReply{}, errStopping
	}
	t, signed, err := r.tickets.Issue(service.Name, r.now())
	if err != nil {
		return command.TicketReply{}, err
	}
	return command.TicketReply{Ticket: signed, Expires: t.Expires()}, nil
}

// Redeem runs a command under a ticket, on this node or on the one that issued
// it. It fails with command.ErrInvalidTicket, or with ctx.Err() when the caller
// disconnects first.
func (r *Runner) Redeem(ctx context.Context, service note.Service, signed string, request command.Request) (command.Result, error) {
	return r.redeem(ctx, service, signed, request, false)
}

// ServeForward handles Peers.Forward of another node.
func (r *Runner) ServeForward(ctx context.Context, f command.ForwardedCommand) (command.Result, error) {
	service, ok := r.services.Find(f.Service)
	if !ok {
		return command.Result{}, fault.New(fault.StepAdmit, r.self.Node, "service %q is not in force", f.Service)
	}
	f.Request.DeadlineMS = f.TimeLeftMS
	return r.redeem(ctx, service, f.Ticket, f.Request, true)
}

func (r *Runner) redeem(ctx context.Context, service note.Service, signed string, request command.Request, forwarded bool) (command.Result, error) {
	t, err := r.parseTicket(signed)
	if err != nil {
		return command.Result{}, err
	}
	if t.Service != service.Name {
		return r.countResult(otherBodyResult()), nil
	}
	bodyHash := request.BodyHash()
	deadline := r.now().Add(r.callerTimeout(service, request))
	redeemRequest := once.RedeemRequest{Self: r.self, Forwarded: forwarded, Ticket: t, BodyHash: bodyHash, Retention: r.tickets.Retention()}
	switch step, _ := once.Redeem(r.now(), redeemRequest); step {
	case once.TicketForward:
		return r.forward(ctx, t, command.ForwardedCommand{Ticket: signed, Service: service.Name, Request: request}, deadline)
	case once.TicketReadLedger:
		return r.lookUpLedger(ctx, t, bodyHash, deadline), nil
	}
	fl, isNew := r.flights.join(t.Name(), bodyHash, deadline)
	if isNew {
		r.redeemLocally(ctx, fl, service, request, redeemRequest, deadline)
	}
	return r.awaitResult(ctx, fl, bodyHash, deadline)
}

// parseTicket reads a ticket and verifies it if this incarnation issued it: only
// the issuer can check its authentication code.
func (r *Runner) parseTicket(signed string) (command.Ticket, error) {
	t, err := command.ParseTicketUnverified(signed)
	if err != nil || t.Issuer != r.self {
		return t, err
	}
	return r.tickets.Verify(signed)
}

// redeemLocally decides on a ticket of this incarnation and runs its command.
func (r *Runner) redeemLocally(ctx context.Context, fl *flight, service note.Service, request command.Request, redeemRequest once.RedeemRequest, deadline time.Time) {
	j := r.newJob(fl, service, request, deadline)
	target, err := r.dispatcher.Target(service, request.ShardKey)
	refusal := r.ticketRefusal(j, err)
	j.record.Target = target
	redeemRequest.Stopping = refusal == command.CauseStopping
	var result command.Result
	step := once.TicketRespond
	r.tickets.Redeem(redeemRequest.Ticket, func(previous *command.Redemption) *command.Redemption {
		redeemRequest.Previous = previous
		step, result = once.Redeem(r.now(), redeemRequest)
		if step == once.TicketRun && refusal != "" {
			step = once.TicketRespond
			result = command.Result{Outcome: query.NotRun, Cause: refusal, Final: true}
		}
		if step != once.TicketRun {
			return nil
		}
		return &command.Redemption{
			Serial:    redeemRequest.Ticket.Serial,
			BodyHash:  fl.bodyHash,
			RequestID: j.record.RequestID,
			State:     command.StateClaimed,
		}
	})
	if step == once.TicketRun {
		r.runTicket(ctx, fl, j, redeemRequest.Ticket.Serial)
		return
	}
	if step == once.TicketJoin {
		// A redemption in progress always has a flight; one without violates an invariant.
		result = command.Result{Outcome: query.Unknown, Cause: command.CauseInvariant, Final: true}
	}
	r.flights.finish(fl, result)
	if j.isActive {
		r.active.Done()
	}
}

// ticketRefusal returns why a ticket cannot be redeemed now, or an empty cause.
func (r *Runner) ticketRefusal(j *job, targetErr error) command.Cause {
	switch {
	case !j.isActive:
		return command.CauseStopping
	case targetErr != nil:
		return command.CauseNoTarget
	case r.tickets.Full():
		return command.CauseTicketsFull
	default:
		return ""
	}
}

// runTicket runs the command of a redeemed ticket.
func (r *Runner) runTicket(ctx context.Context, fl *flight, j *job, serial uint64) {
	j.onSettled = func(outcome command.Record, ran bool) {
		if !ran {
			r.tickets.Release(serial)
			return
		}
		r.tickets.Settle(serial, outcome.State, outcome.Answer)
	}
	j.machine = once.New(r.settings.Once, once.Spec{Record: j.record, Deadline: j.deadline, Unclaimed: true})
	r.launch(ctx, fl, j)
}

// forward sends the command to the node that issued the ticket. When that node
// does not reply, it reads the node's ledger.
func (r *Runner) forward(ctx context.Context, t command.Ticket, f command.ForwardedCommand, deadline time.Time) (command.Result, error) {
	remaining := deadline.Sub(r.now())
	f.TimeLeftMS = remaining.Milliseconds()
	peerCtx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	result, err := r.peers.Forward(peerCtx, t.Issuer.Node, f)
	if err == nil {
		return r.countResult(result), nil
	}
	if ctx.Err() != nil {
		return command.Result{}, ctx.Err()
	}
	return r.lookUpLedger(ctx, t, f.Request.BodyHash(), deadline), nil
}

// lookUpLedger returns the result recorded in the ledger of an ended
// incarnation. Without a ledger the outcome is unknown: the incarnation may have
// run the command.
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
		return r.countResult(unknown)
	}
	var ledger command.Ledger
	if json.Unmarshal(object.Value, &ledger) != nil || ledger.Issuer != t.Issuer {
		return r.countResult(unknown)
	}
	return r.countResult(ledger.Lookup(t, bodyHash))
}

// storeLedger stores the results of this incarnation's tickets for the other
// nodes. Every ticket that the ledger does not name is void.
func (r *Runner) storeLedger(ctx context.Context) error {
	ledger := r.tickets.Ledger(r.now(), maxLedgerEntries, maxLedgerAnswerBytes)
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
		return nil // an earlier attempt took effect
	}
	return err
}
