package reconcile

import "time"

const (
	// reportIntervalFloor is the time between two reports in a small fleet.
	reportIntervalFloor = 10 * time.Second
	// reportsPerSecond bounds the regular reports of the whole fleet.
	reportsPerSecond = 5
	// changeReportsPerSecond bounds the reports of the whole fleet after a change.
	changeReportsPerSecond = 300
)

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
