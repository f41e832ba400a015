package leaf

import (
	"math"
	"time"
)

// ServiceTime is a lognormal distribution with stragglers. With a Median of 0,
// runs take no time.
type ServiceTime struct {
	Median time.Duration
	// Sigma is the standard deviation of the logarithm of the time.
	Sigma float64
	// StragglerShare of the runs, in [0, 1], take StragglerFactor times as long.
	StragglerShare  float64
	StragglerFactor float64
}

// runSample holds the random parameters of one run.
type runSample struct {
	delay     time.Duration
	loseReply bool
}

// sampleRun draws the random parameters of one run. It consumes the same number
// of random values for each run, so that changing one setting does not shift the
// random sequence that the others use.
func (l *Leaf) sampleRun() runSample {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	normal := l.random.NormFloat64()
	straggler := l.random.Float64()
	replyLoss := l.random.Float64()

	dist := l.options.ServiceTime
	delay := float64(dist.Median) * math.Exp(dist.Sigma*normal)
	if straggler < dist.StragglerShare {
		delay *= dist.StragglerFactor
	}
	delay *= l.slowFactor * l.coldFactor(now)
	return runSample{delay: time.Duration(delay), loseReply: replyLoss < l.lostReplyShare}
}

// coldFactor returns the factor by which a recent start slows runs down. The
// caller holds l.mu.
func (l *Leaf) coldFactor(now time.Time) float64 {
	age := now.Sub(l.started)
	if l.options.ColdStart <= 0 || age >= l.options.ColdStart {
		return 1
	}
	remaining := 1 - max(0, float64(age)/float64(l.options.ColdStart))
	return 1 + (l.options.ColdStartFactor-1)*remaining
}
