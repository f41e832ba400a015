package reconcile

import (
	"testing"
	"time"
)

// TestFleetRates checks that the rate of the fleet's calls stays bounded as it grows.
func TestFleetRates(t *testing.T) {
	for _, nodes := range []int{1, 7, 70, 610, 5000} {
		interval := ReportInterval(nodes)
		if rate := float64(nodes) / interval.Seconds(); rate > 5.01 {
			t.Errorf("%d nodes report %.1f times a second", nodes, rate)
		}
		sweeps := float64(nodes) / interval.Seconds() * SweepProbability(nodes, interval) * SweepInterval.Seconds()
		if sweeps < 0.99 || sweeps > 1.01 {
			t.Errorf("%d nodes sweep %.2f times in %s", nodes, sweeps, SweepInterval)
		}
		if spread := ReportSpread(nodes); float64(nodes) > 301*max(spread.Seconds(), time.Second.Seconds()) {
			t.Errorf("%d nodes report within %s after a change", nodes, spread)
		}
	}
}
