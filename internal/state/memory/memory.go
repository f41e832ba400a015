// Package memory accounts for the memory that clients make a process hold: connections, heads,
// bodies and answers, each counted with what it costs in the heap. Holders take memory before
// they use it and give it back when they end, whatever path they take. All types are safe for
// concurrent use.
package memory

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// SmallBytes is the size up to which a holder counts as small.
	SmallBytes = 64 << 10
	// smallShare is the share of a pool that only small holders may use, so that large requests
	// leave room for ordinary ones.
	smallShare = 0.25
	// reclaimTimeout bounds the wait for memory that is being given back.
	reclaimTimeout = 250 * time.Millisecond
)

// Reclaimer makes holders that may be ended give back memory.
type Reclaimer interface {
	// Reclaim ends holders of at least n bytes, without waiting for their end, and reports
	// whether any memory is about to be given back.
	Reclaim(n int64) bool
}

// Pool is an amount of memory, in bytes, that holders share.
type Pool struct {
	limit, largeLimit int64
	used              atomic.Int64
	reclaimer         atomic.Pointer[Reclaimer]

	mu      sync.Mutex
	waiting int
	freed   chan struct{} // closed when memory is given back while holders wait
}

// NewPool returns a pool of limit bytes.
func NewPool(limit int64) *Pool {
	return &Pool{limit: limit, largeLimit: limit - int64(smallShare*float64(limit)), freed: make(chan struct{})}
}

// SetReclaimer sets what frees memory when the pool has none left.
func (p *Pool) SetReclaimer(r Reclaimer) { p.reclaimer.Store(&r) }

// Limit returns the size of the pool in bytes.
func (p *Pool) Limit() int64 { return p.limit }

// Used returns the bytes that are held.
func (p *Pool) Used() int64 { return p.used.Load() }

// tryTake takes n bytes if no more than limit are then held.
func (p *Pool) tryTake(n, limit int64) bool {
	for {
		used := p.used.Load()
		if used+n > limit {
			return false
		}
		if p.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// take takes n bytes, if need be after others have given back memory.
func (p *Pool) take(n int64, small bool) bool {
	limit := p.largeLimit
	if small {
		limit = p.limit
	}
	if p.tryTake(n, limit) {
		return true
	}
	reclaimer := p.reclaimer.Load()
	if reclaimer == nil || n > limit {
		return false
	}
	return p.takeReclaimed(n, limit, *reclaimer)
}

// takeReclaimed takes n bytes once holders have given back enough, unless there is nothing to
// reclaim or it takes too long.
func (p *Pool) takeReclaimed(n, limit int64, reclaimer Reclaimer) bool {
	timer := time.NewTimer(reclaimTimeout)
	defer timer.Stop()
	for {
		freed := p.beginWait()
		if p.tryTake(n, limit) {
			p.endWait()
			return true
		}
		if !reclaimer.Reclaim(p.used.Load() + n - limit) {
			p.endWait()
			return p.tryTake(n, limit)
		}
		select {
		case <-freed:
			p.endWait()
		case <-timer.C:
			p.endWait()
			return p.tryTake(n, limit)
		}
	}
}

// beginWait returns a channel that is closed when memory is given back.
func (p *Pool) beginWait() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting++
	return p.freed
}

func (p *Pool) endWait() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting--
}

func (p *Pool) give(n int64) {
	if n == 0 {
		return
	}
	p.used.Add(-n)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting > 0 {
		close(p.freed)
		p.freed = make(chan struct{})
	}
}

// Hold is the memory of one holder. A nil Hold accounts for nothing, and all that it is asked for
// is granted.
type Hold struct {
	pool *Pool

	// used is what the holder has. It is read without the lock, which is held while others are
	// made to give memory back.
	used atomic.Int64

	mu sync.Mutex
	// taken is what the holder has of the pool: used and what is reserved.
	taken int64
	// users is the number of users that have to call Release.
	users int
}

// NewHold returns an empty holder with one user.
func (p *Pool) NewHold() *Hold {
	if p == nil {
		return nil
	}
	return &Hold{pool: p, users: 1}
}

// Grow takes n further bytes and reports whether it could. After Release it takes none.
func (h *Hold) Grow(n int64) bool {
	if h == nil {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.takeLocked(h.used.Load() + n) {
		return false
	}
	h.used.Add(n)
	return true
}

// Reserve takes memory for n bytes, by which the holder will grow later.
func (h *Hold) Reserve(n int64) bool {
	if h == nil {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.takeLocked(h.used.Load() + n)
}

// takeLocked makes sure that total bytes are taken. The caller holds mu.
func (h *Hold) takeLocked(total int64) bool {
	if h.users == 0 {
		return false
	}
	if missing := total - h.taken; missing > 0 {
		if !h.pool.take(missing, total <= SmallBytes) {
			return false
		}
		h.taken = total
	}
	return true
}

// Shrink gives n bytes back.
func (h *Hold) Shrink(n int64) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	n = min(n, h.used.Load())
	h.used.Add(-n)
	h.taken -= n
	h.pool.give(n)
}

// Used returns the bytes that the holder has grown by.
func (h *Hold) Used() int64 {
	if h == nil {
		return 0
	}
	return h.used.Load()
}

// Share adds a user, which calls Release too. It has no effect after the last Release.
func (h *Hold) Share() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.users > 0 {
		h.users++
	}
}

// Release ends one use of the memory; the last one gives it back. Further calls have no effect.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.users == 0 {
		return
	}
	h.users--
	if h.users > 0 {
		return
	}
	h.pool.give(h.taken)
	h.used.Store(0)
	h.taken = 0
}
