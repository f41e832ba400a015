package command

import (
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

func storeRecord(t *testing.T, b *bench, name string, r command.Record) {
	t.Helper()
	value, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := b.platform.Create(t.Context(), platform.KindClaim, name, value); err != nil {
		t.Fatal(err)
	}
}

func issue(t *testing.T, r *Runner) string {
	t.Helper()
	reply, err := r.IssueTicket(desk)
	if err != nil {
		t.Fatal(err)
	}
	return reply.Ticket
}

func redeem(t *testing.T, r *Runner, ticket, body string) command.Result {
	t.Helper()
	result, err := r.Redeem(t.Context(), desk, ticket, request(body))
	if err != nil {
		t.Errorf("redeem: %v", err)
	}
	return result
}

// TestTickets redeems one ticket of node one and then again through node two.
func TestTickets(t *testing.T) {
	const replied, notRun, lost = command.DispatchReplied, command.DispatchNotRun, command.DispatchLost
	cases := []struct {
		name    string
		ends    []command.DispatchKind
		between func(t *testing.T, b *bench)
		first   query.Outcome
		again   query.Outcome
		cause   command.Cause // of the second
		runs    int
	}{
		{"runs once", nil, nil, query.Done, query.Done, command.CauseRecorded, 1},
		{"reply lost", []command.DispatchKind{lost}, nil, query.Unknown, query.Unknown, command.CauseRecorded, 1},
		{"declared not run, then free", []command.DispatchKind{notRun, notRun, notRun}, nil, query.NotRun, query.Done, command.CauseRan, 1},
		{"platform down", nil, func(_ *testing.T, b *bench) { b.platform.setAll(down) }, query.Done, query.Done, command.CauseRecorded, 1},
		{"node gone", nil, func(_ *testing.T, b *bench) { delete(b.peers, "one") }, query.Done, query.Unknown, command.CauseTicketNodeGone, 1},
		{"node stopped, redeemed", nil, stopOne, query.Done, query.Done, command.CauseRecorded, 1},
		{"node stopped, not redeemed", []command.DispatchKind{notRun, notRun, notRun}, stopOne, query.NotRun, query.NotRun, command.CauseTicketVoid, 0},
		{"expired, redeemed", nil, after(10*time.Minute + time.Second), query.Done, query.Done, command.CauseRecorded, 1},
		{"expired, not redeemed", []command.DispatchKind{notRun, notRun, notRun}, after(10*time.Minute + time.Second), query.NotRun, query.NotRun, command.CauseTicketExpired, 0},
		{"forgotten", nil, after(3 * time.Hour), query.Done, query.Unknown, command.CauseTicketExpired, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench()
				b.upstream.next = c.ends
				one, two := b.node(t, "one"), b.node(t, "two")
				one.Start()
				defer stop(t, two)
				defer func() { _ = one.Stop(t.Context()) }()
				ticket := issue(t, one)
				if got := redeem(t, one, ticket, `1`); got.Outcome != c.first {
					t.Errorf("first: %+v", got)
				}
				if writes := b.platform.writes(); writes != 0 {
					t.Errorf("%d platform writes for a ticket", writes)
				}
				if c.between != nil {
					c.between(t, b)
				}
				if got := redeem(t, two, ticket, `1`); got.Outcome != c.again || got.Cause != c.cause {
					t.Errorf("again: %+v", got)
				}
				if b.upstream.count() != c.runs {
					t.Errorf("%d runs", b.upstream.count())
				}
				b.platform.setAll(works)
			})
		})
	}
}

// stopOne stops node one; its process is gone afterwards.
func stopOne(t *testing.T, b *bench) {
	stop(t, b.peers["one"])
	delete(b.peers, "one")
}

func after(d time.Duration) func(*testing.T, *bench) {
	return func(*testing.T, *bench) { time.Sleep(d) }
}

func TestTicketOfEarlierIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		old := b.node(t, "one")
		defer stop(t, old)
		ticket := issue(t, old)
		replaced := b.node(t, "one")
		defer stop(t, replaced)
		two := b.node(t, "two")
		defer stop(t, two)
		for _, r := range []*Runner{replaced, two} {
			got := redeem(t, r, ticket, `1`)
			if got.Outcome != query.Unknown || !got.Final || b.upstream.count() != 0 {
				t.Errorf("told %+v after %d runs", got, b.upstream.count())
			}
		}
	})
}

func TestTicketAtOnceThroughTwoNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		b.upstream.took = 100 * time.Millisecond
		one, two := b.node(t, "one"), b.node(t, "two")
		defer stop(t, two)
		defer stop(t, one)
		ticket := issue(t, one)
		results := make(chan command.Result)
		for _, r := range []*Runner{one, two, two, one} {
			go func() { results <- redeem(t, r, ticket, `1`) }()
		}
		for range 4 {
			if got := <-results; got.Outcome != query.Done {
				t.Errorf("told %+v", got)
			}
		}
		if b.upstream.count() != 1 {
			t.Errorf("%d runs", b.upstream.count())
		}
		if got := redeem(t, two, ticket, `2`); got.Cause != command.CauseOtherBody {
			t.Errorf("other body: %+v", got)
		}
	})
}

func TestForgedTicket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		one := b.node(t, "one")
		defer stop(t, one)
		forged, err := command.Ticket{Issuer: one.self, Service: desk.Name, Serial: 9, ExpiresMS: time.Now().Add(time.Hour).UnixMilli()}.Sign([]byte("guess"))
		if err != nil {
			t.Fatal(err)
		}
		for _, text := range []string{forged, command.TicketPrefix, command.TicketPrefix + "x.y", issue(t, one) + "x"} {
			if _, err := one.Redeem(t.Context(), desk, text, request(`1`)); !errors.Is(err, command.ErrInvalidTicket) {
				t.Errorf("%q: %v", text, err)
			}
		}
		if b.upstream.count() != 0 {
			t.Error("a forged ticket ran")
		}
	})
}
