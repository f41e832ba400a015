package leaf

import (
	"math"
	"time"
)

// ServiceTime is a lognormal distribution with stragglers. A Median of 0 means
// that runs take no time.
type ServiceTime struct {
	Median time.Duration
	// Sigma is the standard deviation of the logarithm of the time.
	Sigma float64
	// StragglerShare of the runs, in [0, 1], take StragglerFactor times as long.
	StragglerShare  float64
	StragglerFactor float64
}

// draw is what chance decides about one run.
type draw struct {
	delay     time.Duration
	loseReply bool
}

// draw takes the random decisions of one run. It takes the same number of
// random values for each run, so that one setting does not shift another.
func (l *Leaf) draw() draw {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	normal := l.random.NormFloat64()
	straggler := l.random.Float64()
	lost := l.random.Float64()

	dist := l.options.ServiceTime
	delay := float64(dist.Median) * math.Exp(dist.Sigma*normal)
	if straggler < dist.StragglerShare {
		delay *= dist.StragglerFactor
	}
	delay *= l.slowFactor * l.coldFactor(now)
	return draw{delay: time.Duration(delay), loseReply: lost < l.lostReplyShare}
}

// coldFactor is the slowdown after a start. The caller holds l.mu.
func (l *Leaf) coldFactor(now time.Time) float64 {
	age := now.Sub(l.started)
	if l.options.ColdStart <= 0 || age >= l.options.ColdStart {
		return 1
	}
	left := 1 - max(0, float64(age)/float64(l.options.ColdStart))
	return 1 + (l.options.ColdStartFactor-1)*left
}
