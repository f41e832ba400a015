package backoff

import (
	"testing"
	"time"
)

func TestNext(t *testing.T) {
	const maxRandom = 0.999999999
	policy := Policy{Initial: time.Second, Max: 5 * time.Second, ResetAfter: 10 * time.Second}
	steps := []struct {
		duration           time.Duration
		minDelay, maxDelay time.Duration
	}{
		{0, 0, time.Second},
		{0, 1 * time.Second, 2 * time.Second},
		{9 * time.Second, 2 * time.Second, 4 * time.Second},
		{0, 2500 * time.Millisecond, 5 * time.Second},
		{0, 2500 * time.Millisecond, 5 * time.Second},
		{10 * time.Second, 0, time.Second},
		{0, 1 * time.Second, 2 * time.Second},
	}
	high, low := New(policy), New(policy)
	for i, step := range steps {
		if got := high.Next(step.duration, maxRandom).Round(time.Millisecond); got != step.maxDelay {
			t.Errorf("step %d: longest delay %s, want %s", i, got, step.maxDelay)
		}
		if got := low.Next(step.duration, 0); got != step.minDelay {
			t.Errorf("step %d: shortest delay %s, want %s", i, got, step.minDelay)
		}
	}
}
