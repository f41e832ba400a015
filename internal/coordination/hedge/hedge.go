// Package hedge decides how long an attempt may take before a hedge, a second attempt
// in parallel, is sent. A hedge is sent as late as its answer can still arrive in time,
// so that the hedge budget goes to attempts that are stuck rather than slow. Times are
// relative to the target, the time by which the response to the caller is due.
package hedge

import "time"

const (
	// stuckFraction is the fraction of the time until the target after which an attempt
	// counts as stuck.
	stuckFraction = 0.35
	// hedgeLatencyFactor is the time that a hedge needs, as a multiple of the usual
	// latency.
	hedgeLatencyFactor = 2
	// minDelay is the shortest delay.
	minDelay = time.Millisecond
)

// relayStuckFraction is the fraction of the time until the target after which a relay
// without any reply counts as stuck; it is larger than stuckFraction so that the relay
// sends its own hedges first.
const relayStuckFraction = 0.55

// relayReportFraction is the fraction of the time until the target after which a relay
// reports the replies that it has; it is below relayStuckFraction.
const relayReportFraction = 0.45

// ReportDelay returns how long a relay collects replies before it reports them.
// remaining is the time until the target.
func ReportDelay(remaining time.Duration) time.Duration {
	return max(time.Duration(relayReportFraction*float64(remaining)), minDelay)
}

// RelayDelay returns the delay before the request is sent to a second relay. remaining
// is the time until the target.
func RelayDelay(remaining time.Duration) time.Duration {
	return max(time.Duration(relayStuckFraction*float64(remaining)), minDelay)
}

// Delay returns the delay before a hedge. usualLatency is a high quantile of the latency
// of attempts, 0 while it is unknown; remaining is the time until the target.
func Delay(usualLatency, remaining time.Duration) time.Duration {
	stuckAfter := time.Duration(stuckFraction * float64(remaining))
	if usualLatency <= 0 {
		return max(stuckAfter, minDelay)
	}
	latestStart := remaining - hedgeLatencyFactor*usualLatency
	return max(usualLatency, min(stuckAfter, latestStart), minDelay)
}
