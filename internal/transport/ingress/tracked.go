package ingress

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/eviction"
	"github.com/hickorydock/hickorydock/internal/state/memory"
)

const (
	// connectionBytes is what a connection costs: its goroutine, HTTP buffers and state.
	connectionBytes = 16 << 10
	// writeStep is the size in which answers are written; each step that a client reads renews the
	// time that it has for the next.
	writeStep = 32 << 10
)

// expired is a deadline in the past.
var expired = time.Unix(1, 0)

// tracked is a connection whose memory and state the limiter knows. It implements the writing side of
// net.Conn; reading is up to the type that embeds it.
type tracked struct {
	net.Conn
	limiter  *Limiter
	endpoint *Endpoint
	hold     *memory.Hold
	// request is the memory of the request in progress; it may outlive the connection.
	request atomic.Pointer[memory.Hold]

	mu    sync.Mutex
	state eviction.State
	since time.Time
	// evicted is true once the connection was chosen to be closed, evictedBytes what it held then.
	evicted      bool
	evictedBytes int64
	closed       bool
	// writeDeadline is the deadline that the server has set.
	writeDeadline time.Time
}

// init begins the life of a connection that an endpoint has admitted.
func (t *tracked) init(raw net.Conn, endpoint *Endpoint) {
	t.Conn, t.endpoint, t.limiter = raw, endpoint, endpoint.limiter
	t.hold = endpoint.limiter.pool.NewHold()
	t.state, t.since = eviction.Stalled, time.Now()
	t.limiter.add(t)
}

// candidate returns the connection as it is now.
func (t *tracked) candidate() eviction.Candidate {
	t.mu.Lock()
	c := eviction.Candidate{State: t.state, Since: t.since}
	if t.evicted {
		c.State = eviction.Working // it is being closed already
	}
	t.mu.Unlock()
	c.Bytes = t.hold.Used() + t.request.Load().Used()
	return c
}

// enter sets the state, which begins now.
func (t *tracked) enter(state eviction.State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = state
	t.since = time.Now()
}

// evict ends the connection unless its state is no longer that of the candidate. What waits for
// its client fails; a response that says so may still be written.
func (t *tracked) evict(c eviction.Candidate) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.evicted || t.closed || t.state != c.State || !t.since.Equal(c.Since) {
		return false
	}
	t.evicted = true
	t.evictedBytes = c.Bytes
	t.limiter.closing.Add(c.Bytes)
	t.endpoint.closing.Add(1)
	_ = t.Conn.SetReadDeadline(expired)
	if t.state == eviction.Unread {
		_ = t.Conn.SetWriteDeadline(expired)
	} else {
		_ = t.Conn.SetWriteDeadline(time.Now().Add(refuseTimeout))
	}
	return true
}

func (t *tracked) isEvicted() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.evicted
}

// setReadDeadline sets the deadline of reads, unless the connection is being closed.
func (t *tracked) setReadDeadline(at time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.evicted {
		return nil
	}
	return t.Conn.SetReadDeadline(at)
}

// SetWriteDeadline sets the deadline of writes besides that of answers that are not read.
func (t *tracked) SetWriteDeadline(at time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writeDeadline = at
	if t.evicted {
		return nil
	}
	return t.Conn.SetWriteDeadline(at)
}

// beginWrite begins the write of a part of an answer, which the client has to read in time.
func (t *tracked) beginWrite() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = eviction.Unread
	t.since = time.Now()
	if t.evicted {
		return
	}
	at := t.since.Add(t.endpoint.unreadTimeout())
	if !t.writeDeadline.IsZero() && t.writeDeadline.Before(at) {
		at = t.writeDeadline
	}
	_ = t.Conn.SetWriteDeadline(at)
}

func (t *tracked) currentState() eviction.State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state
}

// Write writes in steps. Meanwhile the connection is Unread.
func (t *tracked) Write(p []byte) (int, error) {
	defer t.enter(t.currentState())
	written := 0
	for {
		t.beginWrite()
		n, err := t.Conn.Write(p[written:min(len(p), written+writeStep)])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// setRequest sets the memory of the request in progress and gives back that of the last one.
func (t *tracked) setRequest(hold *memory.Hold) {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		hold.Release()
		return
	}
	last := t.request.Swap(hold)
	t.mu.Unlock()
	last.Release()
}

// CloseWrite ends the sending side, which net/http does before it closes a connection whose client
// may still send.
func (t *tracked) CloseWrite() error {
	if c, ok := t.Conn.(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return nil
}

// Close closes the connection and gives back its memory.
func (t *tracked) Close() error {
	err := t.Conn.Close()
	t.mu.Lock()
	first := !t.closed
	t.closed = true
	evicted, evictedBytes := t.evicted, t.evictedBytes
	t.mu.Unlock()
	if !first {
		return err
	}
	t.limiter.remove(t)
	t.endpoint.open.Add(-1)
	t.hold.Release()
	t.request.Swap(nil).Release()
	t.limiter.closing.Add(-evictedBytes)
	if evicted {
		t.endpoint.closing.Add(-1)
	}
	return err
}
