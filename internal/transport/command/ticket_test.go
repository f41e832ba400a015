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

func storeRecord(t *testing.T, cluster *testCluster, name string, r command.Record) {
	t.Helper()
	value, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := cluster.platform.Create(t.Context(), platform.KindClaim, name, value); err != nil {
		t.Fatal(err)
	}
}

func issue(t *testing.T, r *Runner) string {
	t.Helper()
	reply, err := r.IssueTicket(testService)
	if err != nil {
		t.Fatal(err)
	}
	return reply.Ticket
}

func redeem(t *testing.T, r *Runner, ticket, body string) command.Result {
	t.Helper()
	result, err := r.Redeem(t.Context(), testService, ticket, request(body))
	if err != nil {
		t.Errorf("redeem: %v", err)
	}
	return result
}

// TestTickets redeems a ticket of node one, and then a second time through node two.
func TestTickets(t *testing.T) {
	const replied, notRun, lost = command.DispatchReplied, command.DispatchNotRun, command.DispatchLost
	cases := []struct {
		name    string
		results []command.DispatchKind
		between func(t *testing.T, cluster *testCluster) // called between the redemptions
		first   query.Outcome
		second  query.Outcome
		cause   command.Cause // of the second
		runs    int
	}{
		{"runs once", nil, nil, query.Done, query.Done, command.CauseRecorded, 1},
		{"reply lost", []command.DispatchKind{lost}, nil, query.Unknown, query.Unknown, command.CauseRecorded, 1},
		{"declared not run, then redeemable again", []command.DispatchKind{notRun, notRun, notRun}, nil, query.NotRun, query.Done, command.CauseRan, 1},
		{"platform down", nil, func(_ *testing.T, cluster *testCluster) { cluster.platform.setDefault(unavailable) }, query.Done, query.Done, command.CauseRecorded, 1},
		{"node unreachable", nil, func(_ *testing.T, cluster *testCluster) { delete(cluster.peers, "one") }, query.Done, query.Unknown, command.CauseTicketNodeGone, 1},
		{"node stopped, redeemed", nil, stopNodeOne, query.Done, query.Done, command.CauseRecorded, 1},
		{"node stopped, not redeemed", []command.DispatchKind{notRun, notRun, notRun}, stopNodeOne, query.NotRun, query.NotRun, command.CauseTicketVoid, 0},
		{"expired, redeemed", nil, waitFor(10*time.Minute + time.Second), query.Done, query.Done, command.CauseRecorded, 1},
		{"expired, not redeemed", []command.DispatchKind{notRun, notRun, notRun}, waitFor(10*time.Minute + time.Second), query.NotRun, query.NotRun, command.CauseTicketExpired, 0},
		{"retention passed", nil, waitFor(3 * time.Hour), query.Done, query.Unknown, command.CauseTicketExpired, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newTestCluster()
				cluster.upstream.next = c.results
				one, two := cluster.node(t, "one"), cluster.node(t, "two")
				one.Start()
				defer stop(t, two)
				defer func() { _ = one.Stop(t.Context()) }()
				ticket := issue(t, one)
				if got := redeem(t, one, ticket, `1`); got.Outcome != c.first {
					t.Errorf("first: %+v", got)
				}
				if writes := cluster.platform.writes(); writes != 0 {
					t.Errorf("%d platform writes for a ticket", writes)
				}
				if c.between != nil {
					c.between(t, cluster)
				}
				if got := redeem(t, two, ticket, `1`); got.Outcome != c.second || got.Cause != c.cause {
					t.Errorf("second: %+v", got)
				}
				if cluster.upstream.runCount() != c.runs {
					t.Errorf("%d runs", cluster.upstream.runCount())
				}
				cluster.platform.setDefault(succeeds)
			})
		})
	}
}

// stopNodeOne stops node one and makes it unreachable.
func stopNodeOne(t *testing.T, cluster *testCluster) {
	stop(t, cluster.peers["one"])
	delete(cluster.peers, "one")
}

func waitFor(d time.Duration) func(*testing.T, *testCluster) {
	return func(*testing.T, *testCluster) { time.Sleep(d) }
}

func TestTicketOfEarlierIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster()
		old := cluster.node(t, "one")
		defer stop(t, old)
		ticket := issue(t, old)
		restarted := cluster.node(t, "one")
		defer stop(t, restarted)
		two := cluster.node(t, "two")
		defer stop(t, two)
		for _, r := range []*Runner{restarted, two} {
			got := redeem(t, r, ticket, `1`)
			if got.Outcome != query.Unknown || !got.Final || cluster.upstream.runCount() != 0 {
				t.Errorf("got %+v after %d runs", got, cluster.upstream.runCount())
			}
		}
	})
}

func TestConcurrentRedemptionThroughTwoNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster()
		cluster.upstream.duration = 100 * time.Millisecond
		one, two := cluster.node(t, "one"), cluster.node(t, "two")
		defer stop(t, two)
		defer stop(t, one)
		ticket := issue(t, one)
		results := make(chan command.Result)
		for _, r := range []*Runner{one, two, two, one} {
			go func() { results <- redeem(t, r, ticket, `1`) }()
		}
		for range 4 {
			if got := <-results; got.Outcome != query.Done {
				t.Errorf("got %+v", got)
			}
		}
		if cluster.upstream.runCount() != 1 {
			t.Errorf("%d runs", cluster.upstream.runCount())
		}
		if got := redeem(t, two, ticket, `2`); got.Cause != command.CauseOtherBody {
			t.Errorf("other body: %+v", got)
		}
	})
}

func TestForgedTicket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster()
		one := cluster.node(t, "one")
		defer stop(t, one)
		forged, err := command.Ticket{Issuer: one.self, Service: testService.Name, Serial: 9, ExpiresMS: time.Now().Add(time.Hour).UnixMilli()}.Sign([]byte("guess"))
		if err != nil {
			t.Fatal(err)
		}
		for _, text := range []string{forged, command.TicketPrefix, command.TicketPrefix + "x.y", issue(t, one) + "x"} {
			if _, err := one.Redeem(t.Context(), testService, text, request(`1`)); !errors.Is(err, command.ErrInvalidTicket) {
				t.Errorf("%q: %v", text, err)
			}
		}
		if cluster.upstream.runCount() != 0 {
			t.Error("a forged ticket ran")
		}
	})
}
