package admission

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickorydock/hickorydock/internal/coordination/limit"
	"github.com/hickorydock/hickorydock/internal/protocol/rapidtest"
)

// TestMain fixes the seed of the random histories; -rapid.seed overrides it.
func TestMain(m *testing.M) { rapidtest.Run(m, 1) }

var start = time.Unix(1000, 0)

func fixedLimiter(n int) *limit.Limiter {
	return limit.New(limit.Config{Floor: n, Ceiling: n, Initial: n})
}

func enter(g *Gate, class string, priority int) (*Ticket, []*Ticket) {
	t := &Ticket{Class: class, Priority: priority, Deadline: start.Add(time.Minute)}
	return t, g.Enter(start, t)
}

func done(t *testing.T, g *Gate, class string) []*Ticket {
	t.Helper()
	decided, err := g.Done(start, class, limit.Sample{})
	if err != nil {
		t.Fatal(err)
	}
	return decided
}

func TestPriorityGoesFirstThenArrival(t *testing.T) {
	g := New(Config{Total: fixedLimiter(1), MaxQueue: 10, QueuePerLimit: 2})
	enter(g, "a", 1)
	low, _ := enter(g, "a", 0)
	second, _ := enter(g, "a", 1)
	third, _ := enter(g, "a", 1)
	high, _ := enter(g, "a", 2)
	for i, want := range []*Ticket{high, second, third, low} {
		if got := done(t, g, "a"); len(got) != 1 || got[0] != want || want.Decision != Admit {
			t.Fatalf("step %d: admitted %v, want %v", i, got, want)
		}
	}
}

func TestAdmissionIsFairBetweenServices(t *testing.T) {
	g := New(Config{Total: fixedLimiter(2), MaxQueue: 100, QueuePerLimit: 2})
	enter(g, "busy", 1)
	enter(g, "busy", 1)
	for range 4 {
		enter(g, "busy", 2)
	}
	rare, _ := enter(g, "rare", 0)
	done(t, g, "busy")
	if rare.Decision != Admit {
		t.Errorf("a service without work in flight waits behind a busy service with higher priority")
	}
}

func TestRefusals(t *testing.T) {
	t.Run("expired", func(t *testing.T) {
		g := New(Config{Total: fixedLimiter(1), MaxQueue: 10, QueuePerLimit: 2})
		ticket := &Ticket{Class: "a", Deadline: start}
		g.Enter(start, ticket)
		if ticket.Decision != RefuseLate || ticket.RetryAfter < minRetryAfter {
			t.Errorf("decision %v, retry after %v", ticket.Decision, ticket.RetryAfter)
		}
	})
	t.Run("queue full", func(t *testing.T) {
		g := New(Config{Total: fixedLimiter(1), MaxQueue: 2, QueuePerLimit: 2})
		for range 3 {
			enter(g, "a", 1)
		}
		last, evicted := enter(g, "a", 1)
		if last.Decision != RefuseFull || len(evicted) != 0 {
			t.Errorf("decision %v, evicted %v", last.Decision, evicted)
		}
	})
	t.Run("higher priority evicts lower priority", func(t *testing.T) {
		g := New(Config{Total: fixedLimiter(1), MaxQueue: 2, QueuePerLimit: 2})
		enter(g, "a", 1)
		enter(g, "a", 1)
		low, _ := enter(g, "a", 0)
		high, evicted := enter(g, "a", 2)
		if high.Decision != Wait || low.Decision != RefuseFull || !slices.Equal(evicted, []*Ticket{low}) {
			t.Errorf("high %v, low %v, evicted %v", high.Decision, low.Decision, evicted)
		}
	})
	t.Run("a ticket of a class with a longer queue is evicted", func(t *testing.T) {
		g := New(Config{Total: fixedLimiter(1), MaxQueue: 3, QueuePerLimit: 2})
		for range 4 {
			enter(g, "a", 1)
		}
		b, evicted := enter(g, "b", 0)
		if b.Decision != Wait || len(evicted) != 1 || evicted[0].Class != "a" {
			t.Errorf("decision %v, evicted %v", b.Decision, evicted)
		}
	})
	t.Run("late by the expected wait", func(t *testing.T) {
		g := New(Config{Total: fixedLimiter(1), MaxQueue: 100, QueuePerLimit: 2})
		setLatency(t, g, 100*time.Millisecond)
		enter(g, "a", 1)
		ticket := &Ticket{Class: "a", Priority: 1, Deadline: start.Add(250 * time.Millisecond)}
		g.Enter(start, ticket)
		if ticket.Decision != RefuseLate {
			t.Errorf("decision %v for work that would wait 100 ms and needs 200 ms, with a deadline in 250 ms", ticket.Decision)
		}
	})
	t.Run("late tickets are refused before they reach the head of the queue", func(t *testing.T) {
		g := New(Config{Total: fixedLimiter(1), MaxQueue: 100, QueuePerLimit: 2})
		setLatency(t, g, 10*time.Millisecond)
		enter(g, "a", 1)
		first, _ := enter(g, "a", 1)
		second := &Ticket{Class: "a", Priority: 1, Deadline: start.Add(100 * time.Millisecond)}
		g.Enter(start, second)
		if second.Decision != Wait {
			t.Fatalf("decision %v", second.Decision)
		}
		if _, err := g.Done(start.Add(90*time.Millisecond), "a", limit.Sample{}); err != nil {
			t.Fatal(err)
		}
		if first.Decision != Admit || second.Decision != RefuseLate {
			t.Errorf("first %v, second %v with 10 ms left for work that needs 20 ms", first.Decision, second.Decision)
		}
	})
	t.Run("too late after waiting", func(t *testing.T) {
		g := New(Config{Total: fixedLimiter(2), MaxQueue: 100, QueuePerLimit: 2})
		setLatency(t, g, 100*time.Millisecond)
		enter(g, "a", 1)
		enter(g, "a", 1)
		ticket := &Ticket{Class: "a", Priority: 1, Deadline: start.Add(300 * time.Millisecond)}
		g.Enter(start, ticket)
		if ticket.Decision != Wait {
			t.Fatalf("decision %v", ticket.Decision)
		}
		if _, err := g.Done(start.Add(200*time.Millisecond), "a", limit.Sample{}); err != nil {
			t.Fatal(err)
		}
		if ticket.Decision != RefuseLate {
			t.Errorf("decision %v with 100 ms left for work that needs 200 ms", ticket.Decision)
		}
	})
}

// setLatency makes the gate measure a latency, by work of class a.
func setLatency(t *testing.T, g *Gate, latency time.Duration) {
	t.Helper()
	for range 16 {
		ticket, _ := enter(g, "a", 1)
		if ticket.Decision != Admit {
			t.Fatal("not admitted")
		}
		if _, err := g.Done(start, "a", limit.Sample{Elapsed: latency}); err != nil {
			t.Fatal(err)
		}
	}
}

// TestSlowEstimateIsMeasuredAgain checks that an idle class is admitted even when its
// last latency estimate exceeds the deadline; otherwise it would never be measured again.
func TestSlowEstimateIsMeasuredAgain(t *testing.T) {
	g := New(Config{Total: fixedLimiter(1), MaxQueue: 100, QueuePerLimit: 2})
	setLatency(t, g, time.Hour)
	ticket, _ := enter(g, "a", 1)
	if ticket.Decision != Admit {
		t.Errorf("decision %v", ticket.Decision)
	}
}

func TestDoneWithoutBeginIsAnError(t *testing.T) {
	g := New(Config{Total: fixedLimiter(1), MaxQueue: 1, QueuePerLimit: 2})
	if _, err := g.Done(start, "a", limit.Sample{}); err == nil {
		t.Error("no error")
	}
}

// TestGateAgainstModel checks the gate against a model that counts tickets, with events
// in random order.
func TestGateAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 6).Draw(t, "total")
		classLimit := rapid.IntRange(1, 4).Draw(t, "class limit")
		maxQueue := rapid.IntRange(0, 12).Draw(t, "queue")
		g := New(Config{
			Total:         fixedLimiter(total),
			NewClass:      func() *limit.Limiter { return fixedLimiter(classLimit) },
			MaxQueue:      maxQueue,
			QueuePerLimit: rapid.IntRange(0, 3).Draw(t, "queue per limit"),
		})
		now := start
		running := make(map[string]int)
		var waiting []*Ticket
		apply := func(decided []*Ticket) {
			for _, d := range decided {
				i := slices.Index(waiting, d)
				if i < 0 {
					t.Fatalf("decided on a ticket that was not waiting: %+v", d)
				}
				waiting = slices.Delete(waiting, i, i+1)
				if d.Decision == Admit {
					running[d.Class]++
				}
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "ms")) * time.Millisecond)
			class := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "class")
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				ticket := &Ticket{Class: class, Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Deadline: now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "remaining")) * time.Millisecond)}
				apply(g.Enter(now, ticket))
				switch ticket.Decision {
				case Admit:
					running[class]++
				case Wait:
					waiting = append(waiting, ticket)
				}
			case 1:
				if running[class] == 0 {
					continue
				}
				running[class]--
				decided, err := g.Done(now, class, limit.Sample{Elapsed: time.Millisecond})
				if err != nil {
					t.Fatal(err)
				}
				apply(decided)
			case 2:
				if len(waiting) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(waiting)-1).Draw(t, "abandoned")
				if !g.Abandon(waiting[i]) {
					t.Fatal("a waiting ticket could not be abandoned")
				}
				waiting = slices.Delete(waiting, i, i+1)
			}
			sum := 0
			for _, n := range running {
				sum += n
				if n > classLimit {
					t.Fatalf("%d of a class in flight, limit %d", n, classLimit)
				}
			}
			if sum > total || sum != g.InFlight() || len(waiting) != g.Queued() || len(waiting) > maxQueue {
				t.Fatalf("in flight %d (gate %d, limit %d), waiting %d (gate %d, bound %d)", sum, g.InFlight(), total, len(waiting), g.Queued(), maxQueue)
			}
			for _, w := range waiting {
				if running[w.Class] < classLimit && sum < total {
					t.Fatalf("a ticket of %s waits although there is capacity", w.Class)
				}
			}
		}
	})
}

// BenchmarkEnterDone measures one unit of work that is admitted without waiting.
func BenchmarkEnterDone(b *testing.B) {
	g := New(Config{Total: fixedLimiter(10), MaxQueue: 10})
	b.ReportAllocs()
	for b.Loop() {
		t := Ticket{Class: "a", Deadline: start.Add(time.Minute)}
		g.Enter(start, &t)
		if _, err := g.Done(start, "a", limit.Sample{Elapsed: time.Millisecond}); err != nil {
			b.Fatal(err)
		}
	}
}
