package subrequest

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickorydock/hickorydock/internal/coordination/budget"
	"github.com/hickorydock/hickorydock/internal/coordination/replica"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/protocol/rapidtest"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
)

var start = time.Unix(1000, 0)

// tokens is a budget that counts the tokens spent.
type tokens struct{ remaining, spent int }

func (b *tokens) Spend() bool {
	if b.remaining == 0 {
		return false
	}
	b.remaining--
	b.spent++
	return true
}

func (b *tokens) SpendSpare() bool { return b.Spend() }

func configOf(replicas int) Config {
	cfg := Config{Deadline: start.Add(time.Second), HedgeDelay: 10 * time.Millisecond}
	cfg.Choose = replica.Choose
	cfg.Random = func() uint64 { return 0 }
	for range replicas {
		cfg.Replicas = append(cfg.Replicas, shardmap.Replica{Record: &leaf.Record{}})
	}
	return cfg
}

func TestEnds(t *testing.T) {
	tests := []struct {
		name     string
		replicas int
		budget   int
		results  []Result
		want     Decision
		reason   query.Reason
	}{
		{"first attempt succeeds", 2, 1, []Result{OK}, Deliver, ""},
		{"connection lost, retry succeeds", 2, 1, []Result{ConnectionLost, OK}, Deliver, ""},
		{"connection lost, no budget", 2, 0, []Result{ConnectionLost}, Abandon, query.ReasonConnectionLost},
		{"no other replica", 1, 1, []Result{NotRun}, Abandon, query.ReasonShed},
		{"all shed", 3, 5, []Result{NotRun, NotRun, NotRun}, Abandon, query.ReasonShed},
		{"snapshot unavailable on every replica", 2, 5, []Result{SnapshotUnavailable, SnapshotUnavailable}, Abandon, query.ReasonSnapshotGone},
		{"bad reply, then upstream error", 2, 5, []Result{BadReply, UpstreamError}, Abandon, query.ReasonUpstreamError},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := New(configOf(test.replicas), &tokens{remaining: test.budget})
			if _, ok := m.Start(start); !ok {
				t.Fatal("no first attempt")
			}
			var got Decision
			for _, result := range test.results {
				got, _ = m.AttemptEnded(start, result)
			}
			if got != test.want {
				t.Fatalf("decision %v, want %v", got, test.want)
			}
			if got == Abandon && m.Reason() != test.reason {
				t.Errorf("reason %s, want %s", m.Reason(), test.reason)
			}
		})
	}
}

// TestNoAttemptAfterTheDeadline checks first attempts, hedges and retries.
func TestNoAttemptAfterTheDeadline(t *testing.T) {
	late := start.Add(time.Second)
	m := New(configOf(2), &tokens{remaining: 9})
	if _, ok := m.Start(late); ok {
		t.Error("first attempt started at the deadline")
	}
	m = New(configOf(2), &tokens{remaining: 9})
	m.Start(start)
	if _, ok, nextCheck := m.TimerFired(late); ok || !nextCheck.IsZero() {
		t.Error("hedge sent at the deadline")
	}
	if decision, _ := m.AttemptEnded(late, ConnectionLost); decision != Abandon {
		t.Errorf("decision %v, want Abandon", decision)
	}
}

// TestRounds checks RetryUntilDeadline: the machine waits before each round, pays
// for it and ends before the deadline.
func TestRounds(t *testing.T) {
	cfg := configOf(2)
	cfg.RetryUntilDeadline = true
	budget := &tokens{remaining: 100}
	m := New(cfg, budget)
	now := start
	m.Start(now)
	rounds := 0
	for decision, _ := m.AttemptEnded(now, ConnectionLost); decision != Abandon; decision, _ = m.AttemptEnded(now, ConnectionLost) {
		if decision == Send {
			continue
		}
		if decision != RetryLater || !m.RoundAt().After(now) || !m.RoundAt().Before(cfg.Deadline) {
			t.Fatalf("decision %v, round at %v", decision, m.RoundAt().Sub(start))
		}
		now = m.RoundAt()
		rounds++
		if _, send, _ := m.TimerFired(now); !send {
			t.Fatal("the round was not sent")
		}
	}
	if rounds < 5 || m.Reason() != query.ReasonConnectionLost {
		t.Errorf("%d rounds, reason %s", rounds, m.Reason())
	}
}

func TestRoundWaitsForTheBudget(t *testing.T) {
	cfg := configOf(1)
	cfg.RetryUntilDeadline = true
	budget := &tokens{}
	m := New(cfg, budget)
	m.Start(start)
	if decision, _ := m.AttemptEnded(start, NotRun); decision != RetryLater {
		t.Fatalf("decision %v, want RetryLater", decision)
	}
	_, send, nextCheck := m.TimerFired(m.RoundAt())
	if send || !nextCheck.After(m.RoundAt()) {
		t.Fatalf("send %v, next check after %v", send, nextCheck.Sub(start))
	}
	budget.remaining = 1
	if _, send, _ := m.TimerFired(nextCheck); !send {
		t.Error("the round was not sent once the budget recovered")
	}
}

// TestRetryOfAFailingReplica checks that a retry at a replica that keeps failing
// spends spare tokens only.
func TestRetryOfAFailingReplica(t *testing.T) {
	b := budget.New(1)
	cfg := configOf(2)
	for range 3 {
		cfg.Replicas[1].Record.Begin(start)
		cfg.Replicas[1].Record.End(start, time.Millisecond, leaf.Errored)
	}
	m := New(cfg, b)
	m.Start(start)
	if decision, _ := m.AttemptEnded(start, ConnectionLost); decision != Abandon {
		t.Errorf("decision %v with one token, want Abandon", decision)
	}
	if !b.Spend() {
		t.Error("the token for other shards was spent")
	}
}

func TestNoRoundWhenTheSnapshotIsUnavailable(t *testing.T) {
	cfg := configOf(1)
	cfg.RetryUntilDeadline = true
	m := New(cfg, &tokens{remaining: 9})
	m.Start(start)
	if decision, _ := m.AttemptEnded(start, SnapshotUnavailable); decision != Abandon {
		t.Errorf("decision %v, want Abandon", decision)
	}
}

// TestSecondHedge checks that the second hedge goes to the first replica once all
// were tried.
func TestSecondHedge(t *testing.T) {
	m := New(configOf(2), &tokens{remaining: 9})
	first, _ := m.Start(start)
	second, send, nextCheck := m.TimerFired(start.Add(10 * time.Millisecond))
	if !send || second.Replica == first.Replica || nextCheck.IsZero() {
		t.Fatalf("first hedge %+v %v, next check after %v", second, send, nextCheck)
	}
	third, send, nextCheck := m.TimerFired(nextCheck)
	if !send || third.Replica != first.Replica || third.Kind != Hedge {
		t.Fatalf("second hedge %+v %v", third, send)
	}
	if _, send, _ := m.TimerFired(nextCheck); send {
		t.Error("a third hedge was sent")
	}
	if decision, _ := m.AttemptEnded(start, OK); decision != Deliver {
		t.Errorf("decision %v, want Deliver", decision)
	}
}

// TestRandomOrders checks that no replica is tried twice except by the second hedge
// after all were tried, that every hedge and retry is paid for, and that a
// subrequest ends exactly once.
func TestRandomOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := &tokens{remaining: rapid.IntRange(0, 4).Draw(t, "budget")}
		cfg := configOf(rapid.IntRange(1, 5).Draw(t, "replicas"))
		cfg.Random = func() uint64 { return rapid.Uint64().Draw(t, "random") }
		m := New(cfg, budget)
		tried := make(map[int]bool)
		pending, sent, ends := 0, 0, 0
		record := func(a Attempt) {
			if tried[a.Replica] && (a.Kind != Hedge || len(tried) < len(cfg.Replicas)) {
				t.Fatalf("replica %d tried twice", a.Replica)
			}
			tried[a.Replica] = true
			pending++
			sent++
		}
		first, ok := m.Start(start)
		if !ok {
			t.Fatal("no first attempt")
		}
		record(first)
		for pending > 0 {
			if rapid.Bool().Draw(t, "hedge due") {
				if a, ok, _ := m.TimerFired(start); ok {
					record(a)
				}
			}
			pending--
			decision, next := m.AttemptEnded(start, Result(rapid.IntRange(0, int(UpstreamError)).Draw(t, "result")))
			switch decision {
			case Send:
				record(next)
			case Deliver, Abandon:
				ends++
			case Wait:
			}
		}
		if ends != 1 {
			t.Fatalf("ended %d times", ends)
		}
		if sent-1 != budget.spent {
			t.Fatalf("%d extra attempts, %d paid", sent-1, budget.spent)
		}
	})
}

// TestMain fixes the seed of the random histories; -rapid.seed overrides it.
func TestMain(m *testing.M) { rapidtest.Run(m, 1) }

// spareTokens is a budget whose only tokens are spare ones, or none of them are.
type spareTokens struct{ spare bool }

func (b spareTokens) Spend() bool      { return true }
func (b spareTokens) SpendSpare() bool { return b.spare }

// TestHedgeToSlowReplica: the first attempt at one replica is late and the other replica was
// slow before. While the budget is more than half full, as in days with few faults, the
// other one gets a hedge, since both are likely to be late and one more attempt is allowed.
func TestHedgeToSlowReplica(t *testing.T) {
	tests := []struct {
		name           string
		allowed, spare bool
		want           bool
	}{
		{"spare tokens", true, true, true},
		{"no spare token", true, false, false},
		{"not allowed", false, true, false},
	}
	for _, test := range tests {
		cfg := configOf(2)
		cfg.HedgeWithSpare = test.allowed
		slow := cfg.Replicas[1].Record
		slow.Begin(start)
		slow.End(start, 10*cfg.HedgeDelay, leaf.Answered)
		m := New(cfg, spareTokens{test.spare})
		if first, ok := m.Start(start); !ok || first.Replica != 0 {
			t.Fatalf("%s: first attempt %+v", test.name, first)
		}
		attempt, sent, next := m.TimerFired(start.Add(cfg.HedgeDelay))
		if sent != test.want || sent && attempt.Replica != 1 {
			t.Errorf("%s: hedge sent %t to replica %d, want %t", test.name, sent, attempt.Replica, test.want)
		}
		if !sent && (m.SkipReason() != SkippedNoReplica || !next.IsZero()) {
			t.Errorf("%s: skipped for %s, next check at %v", test.name, m.SkipReason(), next)
		}
	}
}
