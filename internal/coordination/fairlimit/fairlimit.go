// Package fairlimit divides a leaf's slots among senders that know nothing of
// each other. Each sender has a window of subrequests in flight that grows
// additively and shrinks in proportion to the queueing that its replies show, and
// more sharply when the leaf sheds. Senders with the same rules settle on the
// same window. A Limit takes events with their time and is used by one goroutine
// at a time.
package fairlimit

import (
	"math"
	"time"
)

// Config fixes the rules of a sender. Senders to one leaf should agree on them.
type Config struct {
	// Senders is the expected number of senders to the leaf. It sets the first
	// window and the speed of growth; a wrong number is corrected by feedback.
	Senders int
	// Slots is the number of subrequests that the leaf runs at once.
	Slots int
	// ServiceTime is the usual latency of the leaf without queueing.
	ServiceTime time.Duration
}

const (
	// growth is the sum over all expected senders of what their windows gain per
	// second, for each slot.
	growth = 3.0
	// decay is the rate per second at which a window shrinks when the queue
	// signal is 1.
	decay = 4.0
	// latencyTime is the time constant of the averaged latency.
	latencyTime = 300 * time.Millisecond
	// fullRatio is the ratio of averaged latency to the service time at which the
	// queue signal reaches 1.
	fullRatio = 2.5
	// firstShare is the first window as a share of the fair one, when there are
	// other senders; they have to make room first.
	firstShare = 0.25
	// shedFactor multiplies the window when the leaf sheds.
	shedFactor = 0.7
	// smallestWindow keeps a sender probing.
	smallestWindow = 0.02
)

// Limit is the state of one sender to one leaf.
type Limit struct {
	cfg      Config
	window   float64
	inFlight int
	latency  float64 // averaged, in seconds
	updated  time.Time
	nextSend time.Time
	shedAt   time.Time
}

// New returns the limit of a sender that starts at now. Offset, in [0, 1),
// spreads the first subrequests of different senders.
func New(cfg Config, now time.Time, offset float64) *Limit {
	l := &Limit{cfg: cfg, updated: now, latency: cfg.ServiceTime.Seconds()}
	if cfg.Senders <= 1 {
		l.setWindow(l.fairShare())
	} else {
		l.setWindow(firstShare * l.fairShare())
	}
	l.nextSend = now.Add(time.Duration(offset * float64(l.interval())))
	return l
}

// SetSenders changes the expected number of senders.
func (l *Limit) SetSenders(senders int) { l.cfg.Senders = senders }

// fairShare is the slots for each expected sender.
func (l *Limit) fairShare() float64 {
	return float64(l.cfg.Slots) / float64(max(l.cfg.Senders, 1))
}

// Window is the mean number of subrequests that the sender may have in flight;
// below 1 it waits between subrequests.
func (l *Limit) Window() float64 { return l.window }

// interval is the time between two sends that fills the window.
func (l *Limit) interval() time.Duration {
	return time.Duration(l.latency / l.window * float64(time.Second))
}

// Acquire asks to send at now. It reports false with the time to ask again when
// the window does not allow it; without such a time, the next reply decides.
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

// Replied records a reply that came latency after its sending.
func (l *Limit) Replied(now time.Time, latency time.Duration) {
	l.inFlight--
	elapsed := now.Sub(l.updated).Seconds()
	l.updated = now
	// A sender with rare replies weighs each of them more.
	weight := 1 - math.Exp(-max(elapsed, latency.Seconds())/latencyTime.Seconds())
	l.latency += weight * (latency.Seconds() - l.latency)
	elapsed = min(elapsed, longestStep.Seconds())
	gain := growth * l.fairShare() * elapsed
	loss := l.window * (1 - math.Exp(-decay*l.signal()*elapsed))
	l.setWindow(l.window + gain - loss)
}

// longestStep bounds the growth after a pause without replies.
const longestStep = 250 * time.Millisecond

// signal is how much queueing the replies show, in [0, 1].
func (l *Limit) signal() float64 {
	return min(l.latency/(fullRatio*l.cfg.ServiceTime.Seconds()), 1)
}

// Shed records that the leaf refused a subrequest at now. Refusals within one
// latency count once.
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
	l.window = min(max(w, smallestWindow), float64(max(l.cfg.Slots, 1))*largestWindow)
}

// largestWindow bounds a window as a multiple of the slots.
const largestWindow = 4.0
