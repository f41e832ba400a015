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
	// TicketTell tells the result.
	TicketTell
	// TicketForward asks the issuer.
	TicketForward
	// TicketLedger reads what the issuer left behind: it has ended.
	TicketLedger
)

// Redeeming is one redemption at one node.
type Redeeming struct {
	Self     command.Incarnation
	Stopping bool
	// Forwarded is true when another node sent it here.
	Forwarded bool
	Ticket    command.Ticket
	BodyHash  string
	// Known is the earlier redemption; nil when there is none.
	Known *command.Redemption
	// Retention is how long after a ticket's end redemptions are remembered.
	Retention time.Duration
}

// Redeem decides on a redemption at now. The caller holds the lock of the
// redemption and stores it before it runs the command.
func Redeem(now time.Time, r Redeeming) (TicketStep, command.Result) {
	if r.Ticket.Issuer.Node != r.Self.Node && !r.Forwarded {
		return TicketForward, command.Result{}
	}
	if r.Ticket.Issuer != r.Self {
		return TicketLedger, command.Result{}
	}
	if r.Known != nil {
		return repeat(r)
	}
	expires := r.Ticket.Expires()
	switch {
	case now.After(expires.Add(r.Retention)):
		return TicketTell, command.Result{Outcome: query.Unknown, Cause: command.CauseTicketExpired, Final: true}
	case now.After(expires):
		return TicketTell, command.Result{Outcome: query.NotRun, Cause: command.CauseTicketExpired, Final: true}
	case r.Stopping:
		return TicketTell, command.Result{Outcome: query.NotRun, Cause: command.CauseTicketVoid, Final: true}
	default:
		return TicketRun, command.Result{}
	}
}

// repeat decides on a ticket that has been redeemed.
func repeat(r Redeeming) (TicketStep, command.Result) {
	switch {
	case r.Known.BodyHash != r.BodyHash:
		return TicketTell, command.Result{Outcome: query.NotRun, Cause: command.CauseOtherBody, Final: true}
	case r.Known.State == command.StateClaimed:
		return TicketJoin, command.Result{}
	default:
		return TicketTell, r.Known.Result()
	}
}
