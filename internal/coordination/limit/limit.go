// Package limit adapts a concurrency limit to what it causes: shedding, rising
// latency or waiting lower it, quiet windows in which it was in use raise it. A
// Limiter takes samples with their time, does no input or output and is used
// under the lock of its owner.
package limit

import (
	"slices"
	"time"
)

const (
	// windowSize is the number of samples between two decisions.
	windowSize = 16
	// baselineWindows is the number of windows whose lowest median is the baseline.
	baselineWindows = 64
	// minBaseline keeps clock resolution from looking like congestion.
	minBaseline = 100 * time.Microsecond
	// shedFactor multiplies the limit after a refusal.
	shedFactor = 0.8
	// minFactor and maxFactor bound what multiplies the limit after a congested window.
	minFactor = 0.5
	maxFactor = 0.9
	// startFactor multiplies the limit after each quiet window until the first decrease.
	startFactor = 2
	// growthShare of the limit is added after a quiet window, at least 1.
	growthShare = 0.1
)

// Config bounds a limiter and says what it takes for congestion.
type Config struct {
	// Floor and Ceiling bound the limit; equal values fix it.
	Floor   int
	Ceiling int
	Initial int
	// Tolerance is how many times the baseline the median latency may reach; 0
	// leaves latency out.
	Tolerance float64
	// QueueTolerance is how many times the time of work the time of waiting may
	// reach; 0 leaves waiting out.
	QueueTolerance float64
}

// Outcome says what the end of a unit of work tells about congestion.
type Outcome int

// Verdicts.
const (
	// Completed work has a latency that counts.
	Completed Outcome = iota
	// Shed work was refused for lack of capacity.
	Shed
	// Ignored work says nothing, as when its caller left.
	Ignored
)

// Sample is the end of one unit of work.
type Sample struct {
	Outcome Outcome
	// Elapsed is the time of the work without waiting.
	Elapsed time.Duration
	// QueueTime is the time that the parts of the work waited in queues.
	QueueTime time.Duration
	// ServiceTime is the time that the parts of the work took without waiting; it is
	// compared with Waited.
	ServiceTime time.Duration
}

// Limiter is an adaptive limit.
type Limiter struct {
	cfg      Config
	limit    float64
	starting bool // no decrease so far
	used     bool // the limit was reached in the current window
	latency  time.Duration

	elapsed  [windowSize]time.Duration
	waited   time.Duration // in the current window
	worked   time.Duration
	count    int
	medians  [baselineWindows]time.Duration
	windows  int
	decrease time.Time // of the last decrease
}

// New returns a limiter at its initial limit.
func New(cfg Config) *Limiter {
	l := &Limiter{cfg: cfg, limit: float64(cfg.Initial), starting: true}
	l.clamp()
	return l
}

// Limit is the number of units of work that may be in flight.
func (l *Limiter) Limit() int { return int(l.limit) }

// Latency is the median time of the last window; 0 before the first.
func (l *Limiter) Latency() time.Duration { return l.latency }

// SetCeiling changes the ceiling and lowers the limit to it. A limit at the old
// ceiling follows it upwards.
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

// Observe takes the end of a unit of work; inFlight counts the work in flight
// before the end.
func (l *Limiter) Observe(now time.Time, inFlight int, s Sample) {
	if inFlight >= l.Limit() {
		l.used = true
	}
	switch s.Outcome {
	case Shed:
		l.lower(now, shedFactor)
	case Completed:
		l.elapsed[l.count] = s.Elapsed
		l.waited += s.QueueTime
		l.worked += s.ServiceTime
		l.count++
		if l.count == windowSize {
			l.endWindow(now)
		}
	case Ignored:
	}
}

// endWindow decides over a full window and begins the next one.
func (l *Limiter) endWindow(now time.Time) {
	l.latency = median(l.elapsed)
	l.medians[l.windows%baselineWindows] = l.latency
	l.windows++
	congestion := l.congestion()
	used := l.used
	l.count = 0
	l.waited = 0
	l.worked = 0
	l.used = false
	switch {
	case congestion > 1:
		l.lower(now, min(max(1/congestion, minFactor), maxFactor))
	case used:
		l.raise()
	}
}

// congestion is how many times its tolerance the window's latency or waiting is.
func (l *Limiter) congestion() float64 {
	congestion := 0.0
	if l.cfg.Tolerance > 0 && l.latency > 0 {
		congestion = float64(l.latency) / (l.cfg.Tolerance * float64(l.baseline()))
	}
	if l.cfg.QueueTolerance > 0 && l.worked > 0 {
		congestion = max(congestion, float64(l.waited)/(l.cfg.QueueTolerance*float64(l.worked)))
	}
	return congestion
}

// baseline is the lowest median of the remembered windows.
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

// lower decreases the limit at most once in the time that work takes, since
// samples of work begun earlier show the old limit.
func (l *Limiter) lower(now time.Time, factor float64) {
	if now.Sub(l.decrease) < l.latency {
		return
	}
	l.decrease = now
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
