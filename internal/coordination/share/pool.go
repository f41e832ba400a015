package share

import "time"

const (
	// OpenInterval is the least time between two connections that a node opens
	// to one leaf, so that shares which grow never lead to a burst. It is also the
	// least time between the loss of a connection and the next one.
	OpenInterval = 100 * time.Millisecond
	// refusedPause is the first wait after a leaf refused a connection.
	refusedPause = 500 * time.Millisecond
	// longestRefusedPause bounds the wait, which doubles with each refusal.
	longestRefusedPause = 16 * time.Second
)

// Action is what a pool wants done.
type Action int

// Actions of a pool.
const (
	// NoAction means that nothing is to be done now.
	NoAction Action = iota
	// Open means that one connection is to be opened.
	Open
	// Close means that one connection is to be closed as soon as it is idle.
	Close
)

// Pool decides when one node opens and closes connections to one leaf. It keeps
// as many open as allowed, ahead of need. A refusal by the leaf is a limit and
// not a failure of the leaf.
type Pool struct {
	allowed  int
	open     int
	opening  int
	nextOpen time.Time
	pause    time.Duration
}

// NewPool returns a pool without connections. The first connection is opened
// offset after now at the earliest; offsets of different nodes should differ.
func NewPool(now time.Time, offset time.Duration) *Pool {
	return &Pool{nextOpen: now.Add(offset), pause: refusedPause}
}

// SetAllowed changes the number of connections that the node may hold.
func (p *Pool) SetAllowed(count int) { p.allowed = count }

// Held counts connections that are open or being opened.
func (p *Pool) Held() int { return p.open + p.opening }

// Next decides what to do at now. After Open the caller reports Opened, Refused
// or Failed; after Close it reports Closed. Call it until it returns Keep.
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

// Opened reports that a connection is open.
func (p *Pool) Opened() {
	p.opening--
	p.open++
	p.pause = refusedPause
}

// Refused reports that the leaf refused a connection at now.
func (p *Pool) Refused(now time.Time) {
	p.opening--
	p.nextOpen = now.Add(p.pause)
	p.pause = min(2*p.pause, longestRefusedPause)
}

// Closed reports that an open connection is closed at now, by either side. The
// leaf may count it until the run on it ends, so it is not replaced at once.
func (p *Pool) Closed(now time.Time) {
	p.open--
	if soonest := now.Add(OpenInterval); p.nextOpen.Before(soonest) {
		p.nextOpen = soonest
	}
}

// NextOpen is the earliest time of the next Open.
func (p *Pool) NextOpen() time.Time { return p.nextOpen }
