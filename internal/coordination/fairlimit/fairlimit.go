// Package fairlimit divides a leaf's slots among senders that do not communicate with
// each other. Each sender has a congestion window of subrequests in flight that
// increases additively, decreases in proportion to the queueing that its replies
// indicate, and decreases more sharply when the leaf sheds. Senders with the same
// configuration converge to the same window. The methods of a Limit take the current
// time as an argument; a Limit is not safe for concurrent use.
package fairlimit

import (
	"math"
	"time"
)

// Config holds the parameters of a sender. All senders to a leaf should use the same.
type Config struct {
	// Senders is the expected number of senders to the leaf. It determines the initial
	// window and the rate of growth; feedback corrects a wrong number.
	Senders int
	// Slots is the number of subrequests that the leaf runs at once.
	Slots int
	// ServiceTime is the typical latency of the leaf without queueing.
	ServiceTime time.Duration
}

const (
	// growth is the sum of the window increases per second of all expected senders,
	// for each slot.
	growth = 3.0
	// decay is the rate per second at which a window shrinks when the queue
	// signal is 1.
	decay = 4.0
	// latencyTimeConstant is the time constant of the moving average of latency.
	latencyTimeConstant = 300 * time.Millisecond
	// saturationRatio is the ratio of average latency to service time at which the
	// queue signal reaches 1.
	saturationRatio = 2.5
	// initialShare is the initial window as a share of the fair one when there are
	// other senders, whose windows have to shrink first.
	initialShare = 0.25
	// shedFactor multiplies the window when the leaf sheds.
	shedFactor = 0.7
	// minWindow ensures that a sender continues to send and to receive feedback.
	minWindow = 0.02
)

// Limit is the state of one sender to one leaf.
type Limit struct {
	cfg      Config
	window   float64
	inFlight int
	latency  float64 // moving average, in seconds
	updated  time.Time
	nextSend time.Time
	shedAt   time.Time
}

// New returns the limit for a sender that starts at now. offset, in [0, 1),
// spreads the first subrequests of different senders over time.
func New(cfg Config, now time.Time, offset float64) *Limit {
	l := &Limit{cfg: cfg, updated: now, latency: cfg.ServiceTime.Seconds()}
	if cfg.Senders <= 1 {
		l.setWindow(l.fairShare())
	} else {
		l.setWindow(initialShare * l.fairShare())
	}
	l.nextSend = now.Add(time.Duration(offset * float64(l.interval())))
	return l
}

// SetSenders changes the expected number of senders.
func (l *Limit) SetSenders(senders int) { l.cfg.Senders = senders }

// fairShare returns the number of slots for each expected sender.
func (l *Limit) fairShare() float64 {
	return float64(l.cfg.Slots) / float64(max(l.cfg.Senders, 1))
}

// Window returns the mean number of subrequests that the sender may have in flight;
// below 1 the sender pauses between subrequests.
func (l *Limit) Window() float64 { return l.window }

// interval returns the time between two sends at which the window is fully used.
func (l *Limit) interval() time.Duration {
	return time.Duration(l.latency / l.window * float64(time.Second))
}

// Acquire reports whether a subrequest may be sent at now and counts it as in flight.
// If not, it returns the time of the next attempt; a zero time means after the next
// reply.
func (l *Limit) Acquire(now time.Time) (bool, time.Time) {
	if l.inFlight >= int(math.Ceil(l.window)) {
		return false, time.Time{}
	}
	if now.Before(l.nextSend) {
		return false, l.nextSend
	}
	l.inFlight++
	l.nextSend = later(l.nextSend, now.Add(-l.interval())).Add(l.interval())
	return true, time.Time{}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Replied records a reply that was received latency after its subrequest was sent.
func (l *Limit) Replied(now time.Time, latency time.Duration) {
	l.inFlight--
	elapsed := now.Sub(l.updated).Seconds()
	l.updated = now
	// A reply has a higher weight for a sender that receives few replies.
	weight := 1 - math.Exp(-max(elapsed, latency.Seconds())/latencyTimeConstant.Seconds())
	l.latency += weight * (latency.Seconds() - l.latency)
	elapsed = min(elapsed, maxUpdateInterval.Seconds())
	increase := growth * l.fairShare() * elapsed
	decrease := l.window * (1 - math.Exp(-decay*l.queueSignal()*elapsed))
	l.setWindow(l.window + increase - decrease)
}

// maxUpdateInterval bounds the time that counts towards one window update, and thus
// the growth after a pause without replies.
const maxUpdateInterval = 250 * time.Millisecond

// queueSignal returns how much queueing the replies indicate, in [0, 1].
func (l *Limit) queueSignal() float64 {
	return min(l.latency/(saturationRatio*l.cfg.ServiceTime.Seconds()), 1)
}

// Shed records that the leaf refused a subrequest at now. Several refusals within one
// average latency count once.
func (l *Limit) Shed(now time.Time) {
	l.inFlight--
	if now.Sub(l.shedAt).Seconds() < l.latency {
		return
	}
	l.shedAt = now
	l.setWindow(l.window * shedFactor)
}

// Cancelled records that a subrequest ended without a reply.
func (l *Limit) Cancelled() { l.inFlight-- }

func (l *Limit) setWindow(w float64) {
	l.window = min(max(w, minWindow), float64(max(l.cfg.Slots, 1))*maxWindowFactor)
}

// maxWindowFactor is the maximum window as a multiple of the slots.
const maxWindowFactor = 4.0
