package reconcile

import (
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

const (
	// reportIntervalFloor is the time between two reports in a small fleet.
	reportIntervalFloor = 10 * time.Second
	// reportsPerSecond bounds the regular reports of the whole fleet.
	reportsPerSecond = 5
	// changeReportsPerSecond bounds the reports of the whole fleet after a change.
	changeReportsPerSecond = 300
	// goneLife is the time for which the status of a node that is gone is kept.
	goneLife = time.Hour
)

const (
	// SweepInterval is the mean time between two sweeps of statuses in a fleet.
	SweepInterval = 10 * time.Minute
	// MaxSweepRemovals bounds the statuses removed in one sweep.
	MaxSweepRemovals = 100
)

// SweepProbability is the probability with which a node sweeps after a report, so
// that the fleet of nodes that report at an interval sweeps once in
// SweepInterval.
func SweepProbability(nodes int, interval time.Duration) float64 {
	return interval.Seconds() / (float64(nodes) * SweepInterval.Seconds())
}

// IsExpired reports whether a status may be removed: its node said that it
// stopped, or has not reported, for more than an hour.
func IsExpired(status platform.NodeStatus, now time.Time) bool {
	return !status.IsFresh(now) && now.Sub(status.At) > goneLife
}

// ReportInterval is the time between two regular reports of a node. It grows
// with the fleet, so that the fleet's rate of writes does not.
func ReportInterval(nodes int) time.Duration {
	return max(reportIntervalFloor, time.Duration(nodes)*time.Second/reportsPerSecond)
}

// ReportSpread is the time over which the nodes spread their reports after a
// change of the catalogue.
func ReportSpread(nodes int) time.Duration {
	return time.Duration(nodes) * time.Second / changeReportsPerSecond
}
