package share

import "time"

const (
	// OpenInterval is the minimum time between two connections that a node opens
	// to one leaf, so that a growing share never leads to a burst. It is also the
	// minimum time between the loss of a connection and its replacement.
	OpenInterval = 100 * time.Millisecond
	// initialRefusalDelay is the delay after the first refused connection.
	initialRefusalDelay = 500 * time.Millisecond
	// maxRefusalDelay bounds the delay, which doubles with each refusal.
	maxRefusalDelay = 16 * time.Second
)

// Action is an instruction of a Pool to its caller.
type Action int

// Actions of a pool.
const (
	// NoAction means that there is nothing to do now.
	NoAction Action = iota
	// Open means that the caller opens one connection.
	Open
	// Close means that the caller closes one connection as soon as it is idle.
	Close
)

// Pool decides when one node opens and closes connections to one leaf. It keeps
// as many open as allowed, before they are needed. A connection refused by the leaf
// counts as a limit of the leaf, not as a failure.
type Pool struct {
	allowed      int
	open         int
	opening      int
	nextOpen     time.Time
	refusalDelay time.Duration
}

// NewPool returns a pool without connections. The first connection is opened
// offset after now at the earliest; different nodes should use different offsets.
func NewPool(now time.Time, offset time.Duration) *Pool {
	return &Pool{nextOpen: now.Add(offset), refusalDelay: initialRefusalDelay}
}

// SetAllowed changes the maximum number of connections that the node may hold.
func (p *Pool) SetAllowed(count int) { p.allowed = count }

// Held returns the number of connections that are open or being opened.
func (p *Pool) Held() int { return p.open + p.opening }

// Next decides what to do at now. After Open the caller calls Opened or Refused, after
// Close it calls Closed. Call Next until it returns NoAction.
func (p *Pool) Next(now time.Time) Action {
	switch {
	case p.Held() > p.allowed && p.open > 0:
		return Close
	case p.Held() < p.allowed && !now.Before(p.nextOpen):
		p.opening++
		p.nextOpen = now.Add(OpenInterval)
		return Open
	default:
		return NoAction
	}
}

// Opened records that a connection is open.
func (p *Pool) Opened() {
	p.opening--
	p.open++
	p.refusalDelay = initialRefusalDelay
}

// Refused records that the leaf refused a connection at now.
func (p *Pool) Refused(now time.Time) {
	p.opening--
	p.nextOpen = now.Add(p.refusalDelay)
	p.refusalDelay = min(2*p.refusalDelay, maxRefusalDelay)
}

// Closed records that an open connection was closed at now, by either side. The
// leaf may count it until the run on it ends, so it is not replaced immediately.
func (p *Pool) Closed(now time.Time) {
	p.open--
	if earliest := now.Add(OpenInterval); p.nextOpen.Before(earliest) {
		p.nextOpen = earliest
	}
}

// NextOpen returns the earliest time of the next Open.
func (p *Pool) NextOpen() time.Time { return p.nextOpen }
