package once

import (
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

// TicketStep is what a node does with a redemption.
type TicketStep uint8

// Steps of a redemption.
const (
	// TicketRun runs the command; the ticket counts as redeemed from then on.
	TicketRun TicketStep = iota + 1
	// TicketJoin waits for the redemption in progress.
	TicketJoin
	// TicketRespond responds with the result.
	TicketRespond
	// TicketForward forwards the redemption to the issuer.
	TicketForward
	// TicketReadLedger reads the ledger of the issuing incarnation, which has ended.
	TicketReadLedger
)

// RedeemRequest is one redemption at one node.
type RedeemRequest struct {
	Self     command.Incarnation
	Stopping bool
	// Forwarded is set when another node forwarded the redemption to this one.
	Forwarded bool
	Ticket    command.Ticket
	BodyHash  string
	// Previous is the earlier redemption of this ticket; nil when there is none.
	Previous *command.Redemption
	// Retention is how long redemptions are stored after the ticket has expired.
	Retention time.Duration
}

// Redeem decides what to do with a redemption at now. The caller holds the lock
// on the ticket's redemptions and stores the redemption before it runs the command.
func Redeem(now time.Time, r RedeemRequest) (TicketStep, command.Result) {
	if r.Ticket.Issuer.Node != r.Self.Node && !r.Forwarded {
		return TicketForward, command.Result{}
	}
	if r.Ticket.Issuer != r.Self {
		return TicketReadLedger, command.Result{}
	}
	if r.Previous != nil {
		return redeemRepeated(r)
	}
	expires := r.Ticket.Expires()
	switch {
	case now.After(expires.Add(r.Retention)):
		return TicketRespond, command.Result{Outcome: query.Unknown, Cause: command.CauseTicketExpired, Final: true}
	case now.After(expires):
		return TicketRespond, command.Result{Outcome: query.NotRun, Cause: command.CauseTicketExpired, Final: true}
	case r.Stopping:
		return TicketRespond, command.Result{Outcome: query.NotRun, Cause: command.CauseTicketVoid, Final: true}
	default:
		return TicketRun, command.Result{}
	}
}

// redeemRepeated decides what to do with a ticket that has been redeemed before.
func redeemRepeated(r RedeemRequest) (TicketStep, command.Result) {
	switch {
	case r.Previous.BodyHash != r.BodyHash:
		return TicketRespond, command.Result{Outcome: query.NotRun, Cause: command.CauseOtherBody, Final: true}
	case r.Previous.State == command.StateClaimed:
		return TicketJoin, command.Result{}
	default:
		return TicketRespond, r.Previous.Result()
	}
}
