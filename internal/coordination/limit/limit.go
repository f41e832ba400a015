// Package limit implements an adaptive concurrency limit. Shedding, rising latency or
// queueing lower the limit; sample windows without congestion in which the limit was
// reached raise it. The methods of a Limiter take the current time as an argument and
// do no I/O; the caller must serialise them with a lock.
package limit

import (
	"slices"
	"time"
)

const (
	// windowSize is the number of samples between two adjustments of the limit.
	windowSize = 16
	// baselineWindows is the number of windows whose lowest median is the baseline.
	baselineWindows = 64
	// minBaseline prevents clock resolution from being interpreted as congestion.
	minBaseline = 100 * time.Microsecond
	// shedFactor multiplies the limit after a refusal.
	shedFactor = 0.8
	// minFactor and maxFactor bound the factor by which a congested window multiplies
	// the limit.
	minFactor = 0.5
	maxFactor = 0.9
	// startFactor multiplies the limit after each window without congestion until the
	// first decrease (slow start).
	startFactor = 2
	// growthShare is the share of the limit that is added after a window without
	// congestion; at least 1 is added.
	growthShare = 0.1
)

// Config holds the bounds of a limiter and its congestion thresholds.
type Config struct {
	// Floor and Ceiling bound the limit; equal values fix it.
	Floor   int
	Ceiling int
	Initial int
	// Tolerance is the ratio of median latency to the baseline above which a window
	// counts as congested; 0 ignores latency.
	Tolerance float64
	// QueueTolerance is the ratio of queue time to service time above which a window
	// counts as congested; 0 ignores queue time.
	QueueTolerance float64
}

// Outcome says how a unit of work ended, as far as it indicates congestion.
type Outcome int

// Outcomes of a unit of work.
const (
	// Completed means that the work ended and its latency counts.
	Completed Outcome = iota
	// Shed means that the work was refused for lack of capacity.
	Shed
	// Ignored means that the work indicates nothing about congestion, for example because
	// its caller disconnected.
	Ignored
)

// Sample is the measurement of one unit of work that ended.
type Sample struct {
	Outcome Outcome
	// Elapsed is the duration of the work without waiting.
	Elapsed time.Duration
	// QueueTime is the total time that the parts of the work waited in queues.
	QueueTime time.Duration
	// ServiceTime is the total time that the parts of the work took without waiting;
	// it is compared with QueueTime.
	ServiceTime time.Duration
}

// Limiter is an adaptive concurrency limit. It is not safe for concurrent use.
type Limiter struct {
	cfg      Config
	limit    float64
	starting bool // no decrease so far
	reached  bool // the limit was reached in the current window
	latency  time.Duration

	// samples of the current window
	elapsed     [windowSize]time.Duration
	queueTime   time.Duration
	serviceTime time.Duration
	count       int

	medians      [baselineWindows]time.Duration // ring buffer
	windows      int                            // number of completed windows
	lastDecrease time.Time
}

// New returns a limiter at its initial limit.
func New(cfg Config) *Limiter {
	l := &Limiter{cfg: cfg, limit: float64(cfg.Initial), starting: true}
	l.clamp()
	return l
}

// Limit returns the number of units of work that may be in flight.
func (l *Limiter) Limit() int { return int(l.limit) }

// Latency returns the median latency of the last window; 0 before the first.
func (l *Limiter) Latency() time.Duration { return l.latency }

// SetCeiling changes the ceiling. It lowers a higher limit to the new ceiling, and raises
// a limit that is at the old ceiling to it.
func (l *Limiter) SetCeiling(ceiling int) {
	if ceiling == l.cfg.Ceiling {
		return
	}
	atCeiling := l.Limit() >= l.cfg.Ceiling
	l.cfg.Ceiling = max(ceiling, l.cfg.Floor)
	if atCeiling {
		l.limit = float64(l.cfg.Ceiling)
	}
	l.clamp()
}

// Observe records the end of a unit of work. inFlight is the number of units in flight
// before the end, including this one.
func (l *Limiter) Observe(now time.Time, inFlight int, s Sample) {
	if inFlight >= l.Limit() {
		l.reached = true
	}
	switch s.Outcome {
	case Shed:
		l.lower(now, shedFactor)
	case Completed:
		l.elapsed[l.count] = s.Elapsed
		l.queueTime += s.QueueTime
		l.serviceTime += s.ServiceTime
		l.count++
		if l.count == windowSize {
			l.endWindow(now)
		}
	case Ignored:
	}
}

// endWindow adjusts the limit after a full window and begins the next window.
func (l *Limiter) endWindow(now time.Time) {
	l.latency = median(l.elapsed)
	l.medians[l.windows%baselineWindows] = l.latency
	l.windows++
	congestion := l.congestion()
	reached := l.reached
	l.count = 0
	l.queueTime = 0
	l.serviceTime = 0
	l.reached = false
	switch {
	case congestion > 1:
		l.lower(now, min(max(1/congestion, minFactor), maxFactor))
	case reached:
		l.raise()
	}
}

// congestion returns the latency or queue time of the window divided by its tolerance,
// whichever is higher; above 1 the window is congested.
func (l *Limiter) congestion() float64 {
	congestion := 0.0
	if l.cfg.Tolerance > 0 && l.latency > 0 {
		congestion = float64(l.latency) / (l.cfg.Tolerance * float64(l.baseline()))
	}
	if l.cfg.QueueTolerance > 0 && l.serviceTime > 0 {
		congestion = max(congestion, float64(l.queueTime)/(l.cfg.QueueTolerance*float64(l.serviceTime)))
	}
	return congestion
}

// baseline returns the lowest median of the last baselineWindows windows.
func (l *Limiter) baseline() time.Duration {
	return max(slices.Min(l.medians[:min(l.windows, baselineWindows)]), minBaseline)
}

func (l *Limiter) raise() {
	if l.starting {
		l.limit *= startFactor
	} else {
		l.limit += max(1, growthShare*l.limit)
	}
	l.clamp()
}

// lower decreases the limit at most once per median latency, since samples of work
// that began before the decrease reflect the old limit.
func (l *Limiter) lower(now time.Time, factor float64) {
	if now.Sub(l.lastDecrease) < l.latency {
		return
	}
	l.lastDecrease = now
	l.starting = false
	l.limit *= factor
	l.clamp()
}

func (l *Limiter) clamp() {
	l.limit = max(float64(l.cfg.Floor), min(l.limit, float64(l.cfg.Ceiling)))
}

func median(window [windowSize]time.Duration) time.Duration {
	slices.Sort(window[:])
	return window[windowSize/2]
}
