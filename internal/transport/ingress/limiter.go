// Package ingress bounds what clients make a process hold at each address that it listens on:
// the number of connections, the time and size of heads, the time of idle connections and unread
// answers, and over all of them memory and descriptors.
//
// A Conn receives the head of a request itself and hands it to net/http when it is complete, so
// that a head costs what it has in bytes until then, and what it costs parsed is known and taken
// before. When memory or connections run out, connections are closed in the order of package
// eviction; what cannot be taken then is refused with 503 before anything has run.
package ingress

import (
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/hickorydock/hickorydock/internal/coordination/eviction"
	"github.com/hickorydock/hickorydock/internal/state/memory"
)

const (
	// reclaimShare is the share of the pool that is reclaimed beyond what is needed, so that many
	// requests at once do not cause a search each.
	reclaimShare = 1.0 / 32
	// searchPause is the time after a search without a result in which there is no other one.
	searchPause = 10 * time.Millisecond
)

// Observer counts what is closed and refused. It is implemented by the metrics.
type Observer interface {
	// ConnectionClosed counts a connection that was closed or refused at an address.
	ConnectionClosed(endpoint, reason string)
}

// Reasons for which a connection is closed or a request refused.
const (
	reasonTooMany  = "too_many"
	reasonEvicted  = "evicted"
	reasonMemory   = "memory"
	reasonLongHead = "long_head"
	reasonSlowHead = "slow_head"
	reasonUnknown  = "unknown"
)

// Limiter is what all addresses of a process share. It is safe for concurrent use.
type Limiter struct {
	plan     eviction.Plan
	pool     *memory.Pool
	observer Observer
	log      log.Interface

	// reclaiming is held while connections are chosen. It guards nothingUntil.
	reclaiming sync.Mutex
	// nothingUntil is until when there is nothing to reclaim.
	nothingUntil time.Time
	// closing is the memory of connections that were chosen and have not ended.
	closing atomic.Int64
	seed    maphash.Seed
	shards  [connShards]connShard
}

// connShards is the number of parts of the set of connections, each with its own lock.
const connShards = 16

type connShard struct {
	mu    sync.Mutex
	conns map[*tracked]struct{}
}

// NewLimiter returns the limiter of a process.
func NewLimiter(plan eviction.Plan, observer Observer, logger log.Interface) *Limiter {
	l := &Limiter{plan: plan, pool: memory.NewPool(plan.ClientBytes), observer: observer, log: logger, seed: maphash.MakeSeed()}
	for i := range l.shards {
		l.shards[i].conns = make(map[*tracked]struct{})
	}
	l.pool.SetReclaimer(l)
	return l
}

// Plan returns the division of memory and descriptors.
func (l *Limiter) Plan() eviction.Plan { return l.plan }

// Pool returns the memory that clients may make the process hold.
func (l *Limiter) Pool() *memory.Pool { return l.pool }

func (l *Limiter) shard(t *tracked) *connShard {
	return &l.shards[maphash.Comparable(l.seed, t)%connShards]
}

func (l *Limiter) add(t *tracked) {
	s := l.shard(t)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[t] = struct{}{}
}

func (l *Limiter) remove(t *tracked) {
	s := l.shard(t)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, t)
}

// connections returns the connections of one address, or of all if endpoint is nil.
func (l *Limiter) connections(endpoint *Endpoint) []*tracked {
	var all []*tracked
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for t := range s.conns {
			if endpoint == nil || t.endpoint == endpoint {
				all = append(all, t)
			}
		}
		s.mu.Unlock()
	}
	return all
}

// Reclaim closes connections that hold n bytes at least, and some more. It implements
// memory.Reclaimer.
func (l *Limiter) Reclaim(n int64) bool {
	l.reclaiming.Lock()
	defer l.reclaiming.Unlock()
	missing := n - l.closing.Load()
	if now := time.Now(); missing > 0 && !now.Before(l.nothingUntil) {
		if l.evict(nil, missing+int64(reclaimShare*float64(l.pool.Limit())), 0) == 0 {
			l.nothingUntil = now.Add(searchPause)
		}
	}
	return l.closing.Load() > 0
}

// evict closes connections of an address, or of all if endpoint is nil, and returns their number.
func (l *Limiter) evict(endpoint *Endpoint, bytes int64, count int) int {
	now := time.Now()
	conns := l.connections(endpoint)
	candidates := make([]eviction.Candidate, len(conns))
	for i, t := range conns {
		candidates[i] = t.candidate()
	}
	closed := 0
	for _, i := range eviction.Choose(now, candidates, bytes, count) {
		if !conns[i].evict(candidates[i]) {
			continue
		}
		closed++
		l.closed(conns[i].endpoint, reasonEvicted)
	}
	return closed
}

// closed counts and logs a connection that the process has closed for a reason.
func (l *Limiter) closed(endpoint *Endpoint, reason string) {
	l.observer.ConnectionClosed(endpoint.cfg.Name, reason)
	l.log.WithFields(log.Fields{"endpoint": endpoint.cfg.Name, "reason": reason, "connections": endpoint.open.Load(), "held": l.pool.Used(), "limit": l.pool.Limit()}).Info("client's connection closed")
}
