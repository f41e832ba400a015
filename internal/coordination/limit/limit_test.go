package limit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickorydock/hickorydock/internal/protocol/rapidtest"
)

// TestMain fixes the seed of the random histories; -rapid.seed overrides it.
func TestMain(m *testing.M) { rapidtest.Run(m, 1) }

var start = time.Unix(1000, 0)

// observe records full windows of equal samples, one per millisecond, with inFlight work
// in flight. It returns the time of the last sample.
func observe(l *Limiter, now time.Time, windows, inFlight int, s Sample) time.Time {
	for range windows * windowSize {
		now = now.Add(time.Millisecond)
		l.Observe(now, inFlight, s)
	}
	return now
}

func TestLimitFollowsCongestion(t *testing.T) {
	uncongested := Sample{Elapsed: 5 * time.Millisecond, ServiceTime: 5 * time.Millisecond}
	slow := Sample{Elapsed: 50 * time.Millisecond, ServiceTime: 50 * time.Millisecond}
	queued := Sample{Elapsed: 5 * time.Millisecond, ServiceTime: 5 * time.Millisecond, QueueTime: 50 * time.Millisecond}
	cases := []struct {
		name     string
		sample   Sample
		inFlight int
		want     func(before, after int) bool
	}{
		{"grows while the limit is reached", uncongested, 100, func(b, a int) bool { return a > b }},
		{"stays when the limit is not reached", uncongested, 1, func(b, a int) bool { return a == b }},
		{"falls when latency rises", slow, 100, func(b, a int) bool { return a < b }},
		{"falls when work is queued", queued, 100, func(b, a int) bool { return a < b }},
		{"falls when work is shed", Sample{Outcome: Shed}, 100, func(b, a int) bool { return a < b }},
		{"stays when samples are ignored", Sample{Outcome: Ignored}, 100, func(b, a int) bool { return a == b }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := New(Config{Floor: 1, Ceiling: 100, Initial: 20, Tolerance: 2, QueueTolerance: 2})
			now := observe(l, start, 2, 1, uncongested)
			before := l.Limit()
			observe(l, now, 2, c.inFlight, c.sample)
			if !c.want(before, l.Limit()) {
				t.Errorf("limit went from %d to %d", before, l.Limit())
			}
		})
	}
}

func TestLimitRecoversAfterShedding(t *testing.T) {
	l := New(Config{Floor: 1, Ceiling: 8, Initial: 8})
	now := observe(l, start, 4, 8, Sample{Outcome: Shed})
	if l.Limit() != 1 {
		t.Fatalf("limit %d after shedding, want 1", l.Limit())
	}
	observe(l, now, 8, 8, Sample{Elapsed: time.Millisecond})
	if l.Limit() != 8 {
		t.Errorf("limit %d after windows without congestion, want 8", l.Limit())
	}
}

// TestOneDecreasePerLatency checks that units of work that are shed at the same time,
// under the same limit, lower the limit only once.
func TestOneDecreasePerLatency(t *testing.T) {
	l := New(Config{Floor: 1, Ceiling: 100, Initial: 50})
	now := observe(l, start, 1, 1, Sample{Elapsed: 10 * time.Millisecond})
	for range 20 {
		l.Observe(now, 50, Sample{Outcome: Shed})
	}
	if l.Limit() != 40 {
		t.Errorf("limit %d, want 40", l.Limit())
	}
}

func TestLimitFollowsCeiling(t *testing.T) {
	l := New(Config{Floor: 1, Ceiling: 4, Initial: 4})
	l.SetCeiling(2)
	if l.Limit() != 2 {
		t.Errorf("limit %d with a ceiling of 2", l.Limit())
	}
	l.SetCeiling(6)
	if l.Limit() != 6 {
		t.Errorf("limit %d, want to follow the ceiling of 6", l.Limit())
	}
}

func TestLimitStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		floor := rapid.IntRange(1, 5).Draw(t, "floor")
		ceiling := floor + rapid.IntRange(0, 50).Draw(t, "ceiling above floor")
		l := New(Config{Floor: floor, Ceiling: ceiling, Initial: rapid.IntRange(0, 100).Draw(t, "initial"), Tolerance: 2, QueueTolerance: 1})
		now := start
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			l.Observe(now, rapid.IntRange(0, 60).Draw(t, "in flight"), Sample{
				Outcome:     Outcome(rapid.IntRange(0, 2).Draw(t, "outcome")),
				Elapsed:     time.Duration(rapid.IntRange(0, 100).Draw(t, "elapsed")) * time.Millisecond,
				QueueTime:   time.Duration(rapid.IntRange(0, 100).Draw(t, "queue time")) * time.Millisecond,
				ServiceTime: time.Duration(rapid.IntRange(0, 100).Draw(t, "service time")) * time.Millisecond,
			})
			if l.Limit() < floor || l.Limit() > ceiling {
				t.Fatalf("limit %d outside %d..%d", l.Limit(), floor, ceiling)
			}
		}
	})
}
