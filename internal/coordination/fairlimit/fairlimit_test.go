package fairlimit

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickorydock/hickorydock/internal/protocol/rapidtest"
)

// TestMain fixes the seed of the random histories; -rapid.seed overrides it.
func TestMain(m *testing.M) { rapidtest.Run(m, 7) }

var (
	start      = time.Unix(1000, 0)
	testConfig = Config{Senders: 4, Slots: 2, ServiceTime: 5 * time.Millisecond}
)

func TestInitialWindow(t *testing.T) {
	tests := []struct {
		name    string
		senders int
		want    float64
	}{
		{"alone", 1, 2},
		{"unknown", 0, 2},
		{"four senders", 4, 0.125},
		{"25 senders", 25, 0.02},
	}
	for _, test := range tests {
		cfg := testConfig
		cfg.Senders = test.senders
		if got := New(cfg, start, 0).Window(); math.Abs(got-test.want) > 1e-9 {
			t.Errorf("%s: window %v, want %v", test.name, got, test.want)
		}
	}
}

func TestWindowFollowsQueueing(t *testing.T) {
	tests := []struct {
		name    string
		latency time.Duration
		grows   bool
	}{
		{"no queue at the leaf", 5 * time.Millisecond, true},
		{"a queue at the leaf", 20 * time.Millisecond, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := New(testConfig, start, 0)
			l.window = 0.5
			now := start
			for range 100 {
				now = now.Add(test.latency)
				l.inFlight++
				l.Replied(now, test.latency)
			}
			if (l.Window() > 0.5) != test.grows {
				t.Fatalf("window went from 0.5 to %v", l.Window())
			}
		})
	}
}

func TestShedCountsOncePerLatency(t *testing.T) {
	l := New(testConfig, start, 0)
	before := l.Window()
	l.inFlight = 3
	l.Shed(start)
	l.Shed(start.Add(time.Millisecond))
	if got := l.Window(); got != before*shedFactor {
		t.Fatalf("window %v after two refusals at once, want %v", got, before*shedFactor)
	}
	l.Shed(start.Add(10 * time.Millisecond))
	if got := l.Window(); got != before*shedFactor*shedFactor {
		t.Fatalf("window %v after a later refusal, want %v", got, before*shedFactor*shedFactor)
	}
}

// TestLimitHolds runs events in random order and checks that the sender observes its
// window and its send interval regardless of the leaf's replies.
func TestLimitHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := testConfig
		cfg.Senders = rapid.IntRange(1, 30).Draw(t, "senders")
		l := New(cfg, start, rapid.Float64Range(0, 0.99).Draw(t, "offset"))
		now, inFlight := start, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
			event := rapid.IntRange(0, 4).Draw(t, "event")
			switch {
			case event <= 1:
				ok, retryAt := l.Acquire(now)
				if ok {
					inFlight++
				}
				if ok && inFlight > int(math.Ceil(l.Window())) {
					t.Fatalf("%d in flight with window %v", inFlight, l.Window())
				}
				if !ok && inFlight == 0 && !retryAt.After(now) {
					t.Fatal("refused with nothing in flight and no later time to retry")
				}
			case inFlight == 0:
			case event == 2:
				inFlight--
				l.Replied(now, time.Duration(rapid.IntRange(0, 500).Draw(t, "latency"))*time.Millisecond)
			case event == 3:
				inFlight--
				l.Shed(now)
			default:
				inFlight--
				l.Cancelled()
			}
			w := l.Window()
			if !(w >= minWindow && w <= maxWindowFactor*float64(cfg.Slots)) {
				t.Fatalf("window %v", w)
			}
		}
	})
}
