package once

import (
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

// TicketStep says what a node does with a redemption.
type TicketStep uint8

// Steps of a redemption.
const (
	// TicketRun runs the command: the ticket is now redeemed.
	TicketRun TicketStep = iota + 1
	// TicketJoin waits for the redemption in progress.
	TicketJoin
	// TicketRespond tells the result.
	TicketRespond
	// TicketForward asks the issuer.
	TicketForward
	// TicketReadLedger reads what the issuer left behind: it has ended.
	TicketReadLedger
)

// RedeemRequest is one redemption at one node.
type RedeemRequest struct {
	Self     command.Incarnation
	Stopping bool
	// Forwarded is true when another node sent it here.
	Forwarded bool
	Ticket    command.Ticket
	BodyHash  string
	// Previous is the earlier redemption; nil when there is none.
	Previous *command.Redemption
	// Retention is how long after a ticket's end redemptions are remembered.
	Retention time.Duration
}

// Redeem decides on a redemption at now. The caller holds the lock of the
// redemption and stores it before it runs the command.
func Redeem(now time.Time, r RedeemRequest) (TicketStep, command.Result) {
	if r.Ticket.Issuer.Node != r.Self.Node && !r.Forwarded {
		return TicketForward, command.Result{}
	}
	if r.Ticket.Issuer != r.Self {
		return TicketReadLedger, command.Result{}
	}
	if r.Previous != nil {
		return repeat(r)
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

// repeat decides on a ticket that has been redeemed.
func repeat(r RedeemRequest) (TicketStep, command.Result) {
	switch {
	case r.Previous.BodyHash != r.BodyHash:
		return TicketRespond, command.Result{Outcome: query.NotRun, Cause: command.CauseOtherBody, Final: true}
	case r.Previous.State == command.StateClaimed:
		return TicketJoin, command.Result{}
	default:
		return TicketRespond, r.Previous.Result()
	}
}
