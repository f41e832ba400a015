package hedge

import (
	"testing"
	"time"
)

const ms = time.Millisecond

func TestDelay(t *testing.T) {
	tests := []struct {
		name                          string
		usualLatency, remaining, want time.Duration
	}{
		{"latency unknown", 0, 100 * ms, 35 * ms},
		{"much time: when an attempt counts as stuck", 15 * ms, 90 * ms, 31500 * time.Microsecond},
		{"little time: early enough for the hedge to answer", 25 * ms, 80 * ms, 28 * ms},
		{"no time for a hedge: after the usual latency", 30 * ms, 60 * ms, 30 * ms},
		{"target has passed", 10 * ms, -5 * ms, 10 * ms},
		{"latency unknown, target has passed", 0, -5 * ms, ms},
	}
	for _, test := range tests {
		if got := Delay(test.usualLatency, test.remaining).Round(ms / 10); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

// TestBudgetGoesToStuckAttempts guards against hedging at a latency quantile alone when
// leafs pause: attempts that are merely slow exceed that delay and use up the budget
// that stuck attempts need.
func TestBudgetGoesToStuckAttempts(t *testing.T) {
	const slow = 16 * ms // the 16 slowest of 100 attempts take longer than 15 ms
	if Delay(15*ms, 90*ms) <= slow {
		t.Error("a slow attempt is hedged although there is time to wait for it")
	}
}
