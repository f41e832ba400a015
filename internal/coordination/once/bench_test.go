package once

import (
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/command"
)

// BenchmarkMachine steps one command from its start to its recorded outcome.
func BenchmarkMachine(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	record := command.Record{RequestID: "r", BodyHash: "a", State: command.StateClaimed}
	spec := Spec{Record: record, Deadline: now.Add(time.Second), FirstSend: true}
	events := []Event{Begin{}, Created{Version: 1}, dispatchedEvent(command.DispatchReplied, "a"), Updated{Version: 2}}
	b.ReportAllocs()
	for b.Loop() {
		m := New(DefaultConfig(), spec)
		for _, event := range events {
			if _, err := m.Step(now, event); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// BenchmarkRedeem decides on a ticket that was not redeemed before.
func BenchmarkRedeem(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	self := command.Incarnation{Node: "one", Number: 1}
	r := RedeemRequest{Self: self, Ticket: command.Ticket{Issuer: self, ExpiresMS: now.Add(time.Minute).UnixMilli()}, BodyHash: "a"}
	b.ReportAllocs()
	for b.Loop() {
		if step, _ := Redeem(now, r); step != TicketRun {
			b.Fatal(step)
		}
	}
}
