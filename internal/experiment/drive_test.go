package experiment

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestPoissonTellsEachCallItsOwnTime holds that a call gets the time at which
// it was due, not that of a later one: latency is counted from there.
func TestPoissonTellsEachCallItsOwnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const calls = 50
		late := make([]time.Duration, calls)
		poisson(t.Context(), 1, 100, calls, func(i int, at time.Time) { late[i] = time.Since(at) })
		for i, d := range late {
			if d != 0 {
				t.Errorf("call %d was due %s before it began", i, d)
			}
		}
	})
}
