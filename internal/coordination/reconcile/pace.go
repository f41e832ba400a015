package reconcile

import (
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

const (
	// minReportInterval is the time between two reports in a small fleet.
	minReportInterval = 10 * time.Second
	// reportsPerSecond bounds the regular reports of the whole fleet.
	reportsPerSecond = 5
	// changeReportsPerSecond bounds the reports of the whole fleet after a change.
	changeReportsPerSecond = 300
	// statusTTL is the time for which the status of a node is kept after its last report.
	statusTTL = time.Hour
)

const (
	// SweepInterval is the mean time between two sweeps of statuses in a fleet.
	SweepInterval = 10 * time.Minute
	// MaxSweepRemovals bounds the statuses that one sweep removes.
	MaxSweepRemovals = 100
)

// SweepProbability is the probability with which a node sweeps after a report. With it,
// a fleet of nodes that each report at the given interval sweeps once per SweepInterval
// on average.
func SweepProbability(nodes int, interval time.Duration) float64 {
	return interval.Seconds() / (float64(nodes) * SweepInterval.Seconds())
}

// IsExpired reports whether a status may be removed: its node reported more than an hour
// ago that it stopped, or has not reported for more than an hour.
func IsExpired(status platform.NodeStatus, now time.Time) bool {
	return !status.IsFresh(now) && now.Sub(status.At) > statusTTL
}

// ReportInterval is the time between two regular reports of a node. It grows with the
// fleet, so that the fleet's write rate does not.
func ReportInterval(nodes int) time.Duration {
	return max(minReportInterval, time.Duration(nodes)*time.Second/reportsPerSecond)
}

// ReportSpread is the time over which the nodes spread their reports after a
// change of the catalogue.
func ReportSpread(nodes int) time.Duration {
	return time.Duration(nodes) * time.Second / changeReportsPerSecond
}
