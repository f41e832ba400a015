package hedge

import (
	"testing"
	"time"
)

const ms = time.Millisecond

func TestDelay(t *testing.T) {
	tests := []struct {
		name              string
		usual, left, want time.Duration
	}{
		{"nothing known", 0, 100 * ms, 35 * ms},
		{"much time: as late as an attempt counts as stuck", 15 * ms, 90 * ms, 31500 * time.Microsecond},
		{"little time: early enough for the hedge to answer", 25 * ms, 80 * ms, 28 * ms},
		{"no time for a hedge: after the usual latency", 30 * ms, 60 * ms, 30 * ms},
		{"target is over", 10 * ms, -5 * ms, 10 * ms},
		{"nothing known, target is over", 0, -5 * ms, ms},
	}
	for _, test := range tests {
		if got := Delay(test.usual, test.left).Round(ms / 10); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

// TestBudgetGoesToStuckAttempts answers the pattern of leafs that pause: with a
// quantile alone the wait is exceeded by attempts that are merely slow, which
// spend what the stuck ones need.
func TestBudgetGoesToStuckAttempts(t *testing.T) {
	const slow = 16 * ms // the 16 slowest of 100 attempts take longer than 15 ms
	if Delay(15*ms, 90*ms) <= slow {
		t.Error("a slow attempt is hedged although there is time to wait for it")
	}
}
