package experiment

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestPoissonPassesScheduledTime checks that each call gets the time for which it was
// scheduled, not that of a later call: latency is measured from that time.
func TestPoissonPassesScheduledTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const calls = 50
		late := make([]time.Duration, calls)
		poisson(t.Context(), 1, 100, calls, func(i int, at time.Time) { late[i] = time.Since(at) })
		for i, d := range late {
			if d != 0 {
				t.Errorf("call %d was scheduled %s before it started", i, d)
			}
		}
	})
}
