package command

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const key = "complaint-17"

// TestFaultsDuringOneCommand sends one command during faults of the platform and
// the upstream, then the same key through another node without faults.
func TestFaultsDuringOneCommand(t *testing.T) {
	const replied, notRun, notSent, lost = command.DispatchReplied, command.DispatchNotRun, command.DispatchNotSent, command.DispatchLost
	type calls map[string][]callBehaviour
	type dispatches []command.DispatchKind
	cases := []struct {
		name          string
		calls         calls
		results       dispatches
		resend        bool // not the caller's first send
		outcome       query.Outcome
		cause         command.Cause
		runs          int
		secondOutcome query.Outcome // of the second send
		totalRuns     int
	}{
		{"no fault", nil, nil, false, query.Done, command.CauseRan, 1, query.Done, 1},
		{"create lost, took effect", calls{"create": {appliedReplyLost}}, nil, false, query.Done, command.CauseRan, 1, query.Done, 1},
		{"create lost, no effect", calls{"create": {notAppliedReplyLost}}, nil, false, query.Done, command.CauseRan, 1, query.Done, 1},
		{"create lost, read back fails once", calls{"create": {appliedReplyLost}, "get": {unavailable}}, nil, false, query.Done, command.CauseRan, 1, query.Done, 1},
		{"create times out, read back", calls{"create": {appliedTimeout}}, nil, false, query.Done, command.CauseRan, 1, query.Done, 1},
		{"create takes effect late", calls{"create": {appliedLate, appliedLate}, "get": {succeeds, unavailable, unavailable}}, nil, false, query.NotRun, command.CauseDeadline, 0, query.Done, 1},
		{"platform down, first send", calls{"create": {unavailable}, "get": {unavailable, unavailable}}, nil, false, query.NotRun, command.CausePlatform, 0, query.Done, 1},
		{"platform down, resend", calls{"get": {unavailable, unavailable}}, nil, true, query.Unknown, command.CausePlatform, 0, query.Done, 1},
		{"platform down for the create, resend", calls{"create": {notAppliedReplyLost}, "get": {succeeds, unavailable, unavailable}}, nil, true, query.NotRun, command.CausePlatform, 0, query.Done, 1},
		{"platform throttles writes, resend", calls{"create": {unavailable}}, nil, true, query.NotRun, command.CausePlatform, 0, query.Done, 1},
		{"outcome lost, took effect", calls{"update": {appliedReplyLost}}, nil, false, query.Done, command.CauseRan, 1, query.Done, 1},
		{"outcome lost, no effect", calls{"update": {notAppliedReplyLost, unavailable, notAppliedReplyLost}}, nil, false, query.Done, command.CauseRan, 1, query.Done, 1},
		{"outcome times out", calls{"update": {appliedTimeout}}, nil, false, query.Done, command.CauseRan, 1, query.Done, 1},
		{"declared not run, then runs", nil, dispatches{notRun, replied}, false, query.Done, command.CauseRan, 1, query.Done, 1},
		{"not sent, then runs", nil, dispatches{notSent, replied}, false, query.Done, command.CauseRan, 1, query.Done, 1},
		{"declared not run everywhere", nil, dispatches{notRun, notRun, notRun}, false, query.NotRun, command.CauseRefused, 0, query.Done, 1},
		{"declared not run, removal lost", calls{"delete": {appliedReplyLost}}, dispatches{notRun, notRun, notRun}, false, query.NotRun, command.CauseRefused, 0, query.Done, 1},
		{"declared not run, removal without effect", calls{"delete": {notAppliedReplyLost, unavailable}}, dispatches{notRun, notRun, notRun}, false, query.NotRun, command.CauseRefused, 0, query.Done, 1},
		{"reply lost", nil, dispatches{lost}, false, query.Unknown, command.CauseReplyLost, 1, query.Unknown, 1},
		{"not run, then reply lost", nil, dispatches{notRun, lost}, false, query.Unknown, command.CauseReplyLost, 1, query.Unknown, 1},
		{"reply lost, outcome lost", calls{"update": {appliedReplyLost}}, dispatches{lost}, false, query.Unknown, command.CauseReplyLost, 1, query.Unknown, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newTestCluster()
				cluster.platform.next = c.calls
				cluster.upstream.next = c.results
				if cluster.platform.next == nil {
					cluster.platform.next = calls{}
				}
				first, second := cluster.node(t, "one"), cluster.node(t, "two")
				defer stop(t, second)
				defer stop(t, first)
				req := request(`{"dealer":1}`)
				req.FirstSend = !c.resend
				start := time.Now()
				got := send(t, first, key, req)
				if waited := time.Since(start); waited > testService.LongestWait() {
					t.Errorf("the caller waited %s", waited)
				}
				if got.Outcome != c.outcome || got.Cause != c.cause || cluster.upstream.runCount() != c.runs {
					t.Errorf("got %s (%s) after %d runs", got.Outcome, got.Cause, cluster.upstream.runCount())
				}
				time.Sleep(time.Minute) // calls and clean-up in progress end
				if resent := send(t, second, key, request(`{"dealer":1}`)); resent.Outcome != c.secondOutcome {
					t.Errorf("second send got %s (%s)", resent.Outcome, resent.Cause)
				}
				if cluster.upstream.runCount() != c.totalRuns {
					t.Errorf("%d runs in all", cluster.upstream.runCount())
				}
			})
		})
	}
}

func TestOtherBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster()
		cluster.upstream.duration = time.Second
		one, two := cluster.node(t, "one"), cluster.node(t, "two")
		defer stop(t, two)
		defer stop(t, one)
		done := make(chan command.Result)
		go func() { done <- send(t, one, key, request(`1`)) }()
		synctest.Wait()
		for _, r := range []*Runner{one, two} {
			if got := send(t, r, key, request(`2`)); got.Cause != command.CauseOtherBody {
				t.Errorf("while the first runs: %+v", got)
			}
		}
		if got := <-done; got.Outcome != query.Done {
			t.Errorf("first body: %+v", got)
		}
		other := request(`1`)
		other.ShardKey = "dealer-2"
		for _, r := range []*Runner{one, two} {
			if got := send(t, r, key, other); got.Cause != command.CauseOtherBody {
				t.Errorf("after the first ran: %+v", got)
			}
		}
		spaced := send(t, two, key, request(" 1 "))
		if spaced.Outcome != query.Done || cluster.upstream.runCount() != 1 {
			t.Errorf("same body with other spaces: %+v, %d runs", spaced, cluster.upstream.runCount())
		}
	})
}

// TestConcurrentSends sends one key through two nodes, twice each, at the same time.
func TestConcurrentSends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster()
		cluster.upstream.duration = 100 * time.Millisecond
		results := make(chan command.Result)
		for _, name := range []string{"one", "two"} {
			r := cluster.node(t, name)
			defer stop(t, r)
			for range 2 {
				go func() { results <- send(t, r, key, request(`1`)) }()
			}
		}
		ids := map[string]bool{}
		for range 4 {
			got := <-results
			if got.Outcome != query.Done {
				t.Errorf("got %+v", got)
			}
			ids[got.RequestID] = true
		}
		if cluster.upstream.runCount() != 1 || len(ids) != 1 {
			t.Errorf("%d runs, request ids %v", cluster.upstream.runCount(), ids)
		}
	})
}

// TestJoinedCallerKeepsItsOwnDeadline lets a caller with a short deadline join
// a command that takes longer.
func TestJoinedCallerKeepsItsOwnDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster()
		cluster.upstream.duration = time.Second
		one := cluster.node(t, "one")
		defer stop(t, one)
		done := make(chan command.Result)
		go func() { done <- send(t, one, key, request(`1`)) }()
		synctest.Wait()
		start := time.Now()
		urgent := request(`1`)
		urgent.DeadlineMS = 100
		got := send(t, one, key, urgent)
		if got.Outcome != query.Unknown || got.Final || time.Since(start) != 100*time.Millisecond {
			t.Errorf("got %+v after %s", got, time.Since(start))
		}
		if got := <-done; got.Outcome != query.Done {
			t.Errorf("first caller got %+v", got)
		}
	})
}

// TestCallerDisconnects checks that nothing is dispatched for a disconnected
// caller, that a command already dispatched is still recorded, and that a resend
// of its key then returns the answer.
func TestCallerDisconnects(t *testing.T) {
	for _, c := range []struct {
		name   string
		create callBehaviour
		runs   int
	}{
		{"before the claim is confirmed", appliedTimeout, 0},
		{"after the dispatch", succeeds, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newTestCluster()
				cluster.platform.next["create"] = []callBehaviour{c.create}
				cluster.upstream.duration = 300 * time.Millisecond
				one := cluster.node(t, "one")
				defer stop(t, one)
				ctx, disconnect := context.WithCancel(t.Context())
				time.AfterFunc(100*time.Millisecond, disconnect)
				if _, err := one.Command(ctx, testService, key, request(`1`)); err == nil {
					t.Error("a disconnected caller got a result")
				}
				time.Sleep(time.Minute)
				if cluster.upstream.runCount() != c.runs {
					t.Errorf("%d runs", cluster.upstream.runCount())
				}
				if got := send(t, one, key, request(`1`)); got.Outcome != query.Done || cluster.upstream.runCount() != 1 {
					t.Errorf("resend got %+v after %d runs", got, cluster.upstream.runCount())
				}
			})
		})
	}
}

func TestShardIsFixedWithTheClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster()
		cluster.upstream.next = []command.DispatchKind{command.DispatchNotRun}
		one := cluster.node(t, "one")
		defer stop(t, one)
		send(t, one, key, request(`1`))
		want := command.Target{Generation: 1, ShardCount: 4, Shard: 2}
		stored, _ := cluster.platform.stored(t, command.ClaimName(testService.Name, key))
		if stored.Target != want || len(cluster.upstream.attempts) != 2 {
			t.Fatalf("stored %+v, attempts %+v", stored, cluster.upstream.attempts)
		}
		for i, a := range cluster.upstream.attempts {
			if a.Target != want || a.Number != i+1 || a.RequestID != stored.RequestID {
				t.Errorf("attempt %d is %+v", i, a)
			}
		}
	})
}

func TestLargeAnswerIsRecordedByHash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster()
		cluster.settings.Once.MaxAnswerBytes = 8
		one, two := cluster.node(t, "one"), cluster.node(t, "two")
		defer stop(t, two)
		defer stop(t, one)
		first := send(t, one, key, request(`"0123456789"`))
		resent := send(t, two, key, request(`"0123456789"`))
		if len(first.Answer.Items) != 1 || first.Answer.ItemsOmitted {
			t.Errorf("first answer %+v", first.Answer)
		}
		if len(resent.Answer.Items) != 0 || !resent.Answer.ItemsOmitted || resent.Answer.ItemsHash != first.Answer.ItemsHash || !resent.Answer.Recorded {
			t.Errorf("recorded answer %+v", resent.Answer)
		}
	})
}
