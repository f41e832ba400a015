package backoff

import (
	"testing"
	"time"
)

func TestNext(t *testing.T) {
	const top = 0.999999999
	policy := Policy{Initial: time.Second, Max: 5 * time.Second, ResetAfter: 10 * time.Second}
	steps := []struct {
		lasted       time.Duration
		least, bound time.Duration
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
		if got := high.Next(step.lasted, top).Round(time.Millisecond); got != step.bound {
			t.Errorf("step %d: longest wait %s, want %s", i, got, step.bound)
		}
		if got := low.Next(step.lasted, 0); got != step.least {
			t.Errorf("step %d: shortest wait %s, want %s", i, got, step.least)
		}
	}
}
