// Package hedge decides how long an attempt may take before another one is sent
// beside it. A hedge that is sent as late as its answer still counts leaves the
// budget to attempts that are stuck rather than slow.
package hedge

import "time"

const (
	// patience is the part of the time up to the target after which an attempt
	// counts as stuck.
	patience = 0.35
	// finish is the time that a hedge needs, in units of the usual latency.
	finish = 2
	// floor is the shortest wait.
	floor = time.Millisecond
)

// relayPatience is the part of the time up to the target after which a relay
// without any reply counts as stuck; its own hedges come first.
const relayPatience = 0.55

// reportPatience is the part of the time up to the target after which a relay
// reports what it has; it lies before relayPatience.
const reportPatience = 0.45

// ReportDelay returns how long a relay collects replies before it reports them.
func ReportDelay(left time.Duration) time.Duration {
	return max(time.Duration(reportPatience*float64(left)), floor)
}

// RelayDelay returns the wait before a second relay is asked. left is the time up
// to the target.
func RelayDelay(left time.Duration) time.Duration {
	return max(time.Duration(relayPatience*float64(left)), floor)
}

// Delay returns the wait before a hedge. usual is a high quantile of the latency
// of attempts, 0 while it is not known; left is the time up to the target.
func Delay(usual, left time.Duration) time.Duration {
	stuck := time.Duration(patience * float64(left))
	if usual <= 0 {
		return max(stuck, floor)
	}
	latest := left - finish*usual
	return max(usual, min(stuck, latest), floor)
}
