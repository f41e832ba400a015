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

// TestFaultsOfOneSend sends one command through faults of the platform and the
// upstream, then the same key through another node without faults.
func TestFaultsOfOneSend(t *testing.T) {
	const replied, notRun, notSent, lost = command.DispatchReplied, command.DispatchNotRun, command.DispatchNotSent, command.DispatchLost
	type calls map[string][]course
	type ends []command.DispatchKind
	cases := []struct {
		name      string
		calls     calls
		ends      ends
		resend    bool // not the caller's first send
		outcome   query.Outcome
		cause     command.Cause
		runs      int
		again     query.Outcome // of the second send
		totalRuns int
	}{
		{"all works", nil, nil, false, query.Done, command.CauseRan, 1, query.Done, 1},
		{"create lost, took effect", calls{"create": {lostDone}}, nil, false, query.Done, command.CauseRan, 1, query.Done, 1},
		{"create lost, no effect", calls{"create": {lostGone}}, nil, false, query.Done, command.CauseRan, 1, query.Done, 1},
		{"create lost, read back fails once", calls{"create": {lostDone}, "get": {down}}, nil, false, query.Done, command.CauseRan, 1, query.Done, 1},
		{"create answers late, read back", calls{"create": {slow}}, nil, false, query.Done, command.CauseRan, 1, query.Done, 1},
		{"create takes effect late", calls{"create": {late, late}, "get": {works, down, down}}, nil, false, query.NotRun, command.CauseDeadline, 0, query.Done, 1},
		{"platform down, first send", calls{"create": {down}, "get": {down, down}}, nil, false, query.NotRun, command.CausePlatform, 0, query.Done, 1},
		{"platform down, resend", calls{"get": {down, down}}, nil, true, query.Unknown, command.CausePlatform, 0, query.Done, 1},
		{"platform down for the create, resend", calls{"create": {lostGone}, "get": {works, down, down}}, nil, true, query.NotRun, command.CausePlatform, 0, query.Done, 1},
		{"platform throttles writes, resend", calls{"create": {down}}, nil, true, query.NotRun, command.CausePlatform, 0, query.Done, 1},
		{"outcome lost, took effect", calls{"update": {lostDone}}, nil, false, query.Done, command.CauseRan, 1, query.Done, 1},
		{"outcome lost, no effect", calls{"update": {lostGone, down, lostGone}}, nil, false, query.Done, command.CauseRan, 1, query.Done, 1},
		{"outcome answers late", calls{"update": {slow}}, nil, false, query.Done, command.CauseRan, 1, query.Done, 1},
		{"declared not run, then runs", nil, ends{notRun, replied}, false, query.Done, command.CauseRan, 1, query.Done, 1},
		{"not sent, then runs", nil, ends{notSent, replied}, false, query.Done, command.CauseRan, 1, query.Done, 1},
		{"declared not run everywhere", nil, ends{notRun, notRun, notRun}, false, query.NotRun, command.CauseRefused, 0, query.Done, 1},
		{"declared not run, removal lost", calls{"delete": {lostDone}}, ends{notRun, notRun, notRun}, false, query.NotRun, command.CauseRefused, 0, query.Done, 1},
		{"declared not run, removal without effect", calls{"delete": {lostGone, down}}, ends{notRun, notRun, notRun}, false, query.NotRun, command.CauseRefused, 0, query.Done, 1},
		{"reply lost", nil, ends{lost}, false, query.Unknown, command.CauseReplyLost, 1, query.Unknown, 1},
		{"not run, then reply lost", nil, ends{notRun, lost}, false, query.Unknown, command.CauseReplyLost, 1, query.Unknown, 1},
		{"reply lost, outcome lost", calls{"update": {lostDone}}, ends{lost}, false, query.Unknown, command.CauseReplyLost, 1, query.Unknown, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench()
				b.platform.next = c.calls
				b.upstream.next = c.ends
				if b.platform.next == nil {
					b.platform.next = calls{}
				}
				first, second := b.node(t, "one"), b.node(t, "two")
				defer stop(t, second)
				defer stop(t, first)
				req := request(`{"dealer":1}`)
				req.FirstSend = !c.resend
				begun := time.Now()
				got := send(t, first, key, req)
				if waited := time.Since(begun); waited > desk.LongestWait() {
					t.Errorf("the caller waited %s", waited)
				}
				if got.Outcome != c.outcome || got.Cause != c.cause || b.upstream.count() != c.runs {
					t.Errorf("told %s (%s) after %d runs", got.Outcome, got.Cause, b.upstream.count())
				}
				time.Sleep(time.Minute) // what is still under way ends
				if again := send(t, second, key, request(`{"dealer":1}`)); again.Outcome != c.again {
					t.Errorf("second send told %s (%s)", again.Outcome, again.Cause)
				}
				if b.upstream.count() != c.totalRuns {
					t.Errorf("%d runs in all", b.upstream.count())
				}
			})
		})
	}
}

func TestOtherBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		b.upstream.took = time.Second
		one, two := b.node(t, "one"), b.node(t, "two")
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
		if spaced.Outcome != query.Done || b.upstream.count() != 1 {
			t.Errorf("same body with other spaces: %+v, %d runs", spaced, b.upstream.count())
		}
	})
}

// TestAtOnce sends one key through two nodes, twice each, at once.
func TestAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		b.upstream.took = 100 * time.Millisecond
		results := make(chan command.Result)
		for _, name := range []string{"one", "two"} {
			r := b.node(t, name)
			defer stop(t, r)
			for range 2 {
				go func() { results <- send(t, r, key, request(`1`)) }()
			}
		}
		ids := map[string]bool{}
		for range 4 {
			got := <-results
			if got.Outcome != query.Done {
				t.Errorf("told %+v", got)
			}
			ids[got.RequestID] = true
		}
		if b.upstream.count() != 1 || len(ids) != 1 {
			t.Errorf("%d runs, request ids %v", b.upstream.count(), ids)
		}
	})
}

// TestJoinedCallerKeepsItsOwnDeadline lets a caller with a short deadline join
// a command that takes longer.
func TestJoinedCallerKeepsItsOwnDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		b.upstream.took = time.Second
		one := b.node(t, "one")
		defer stop(t, one)
		done := make(chan command.Result)
		go func() { done <- send(t, one, key, request(`1`)) }()
		synctest.Wait()
		begun := time.Now()
		hasty := request(`1`)
		hasty.DeadlineMS = 100
		got := send(t, one, key, hasty)
		if got.Outcome != query.Unknown || got.Final || time.Since(begun) != 100*time.Millisecond {
			t.Errorf("told %+v after %s", got, time.Since(begun))
		}
		if got := <-done; got.Outcome != query.Done {
			t.Errorf("first caller told %+v", got)
		}
	})
}

// TestCallerLeaves checks that nothing is dispatched for a caller that left,
// that a dispatched command is recorded all the same, and that its key then
// gives the answer.
func TestCallerLeaves(t *testing.T) {
	for _, c := range []struct {
		name   string
		create course
		runs   int
	}{
		{"before the claim is confirmed", slow, 0},
		{"after the dispatch", works, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench()
				b.platform.next["create"] = []course{c.create}
				b.upstream.took = 300 * time.Millisecond
				one := b.node(t, "one")
				defer stop(t, one)
				ctx, leave := context.WithCancel(t.Context())
				time.AfterFunc(100*time.Millisecond, leave)
				if _, err := one.Command(ctx, desk, key, request(`1`)); err == nil {
					t.Error("a caller that left was told something")
				}
				time.Sleep(time.Minute)
				if b.upstream.count() != c.runs {
					t.Errorf("%d runs", b.upstream.count())
				}
				if got := send(t, one, key, request(`1`)); got.Outcome != query.Done || b.upstream.count() != 1 {
					t.Errorf("resend told %+v after %d runs", got, b.upstream.count())
				}
			})
		})
	}
}

func TestShardIsFixedWithTheClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		b.upstream.next = []command.DispatchKind{command.DispatchNotRun}
		one := b.node(t, "one")
		defer stop(t, one)
		send(t, one, key, request(`1`))
		want := command.Target{Generation: 1, ShardCount: 4, Shard: 2}
		stored, _ := b.platform.stored(t, command.ClaimName(desk.Name, key))
		if stored.Target != want || len(b.upstream.attempts) != 2 {
			t.Fatalf("stored %+v, attempts %+v", stored, b.upstream.attempts)
		}
		for i, a := range b.upstream.attempts {
			if a.Target != want || a.Number != i+1 || a.RequestID != stored.RequestID {
				t.Errorf("attempt %d is %+v", i, a)
			}
		}
	})
}

func TestLargeAnswerIsRecordedByHash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		b.settings.Once.MaxAnswerBytes = 8
		one, two := b.node(t, "one"), b.node(t, "two")
		defer stop(t, two)
		defer stop(t, one)
		whole := send(t, one, key, request(`"0123456789"`))
		again := send(t, two, key, request(`"0123456789"`))
		if len(whole.Answer.Items) != 1 || whole.Answer.ItemsOmitted {
			t.Errorf("first answer %+v", whole.Answer)
		}
		if len(again.Answer.Items) != 0 || !again.Answer.ItemsOmitted || again.Answer.ItemsHash != whole.Answer.ItemsHash || !again.Answer.Recorded {
			t.Errorf("recorded answer %+v", again.Answer)
		}
	})
}
