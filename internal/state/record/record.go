// Package record caches settled claims of commands, so that a repeat at the
// same node needs no call to the platform. It is sharded; each shard has its
// own lock and evicts its oldest records when it is full.
package record

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorydock/hickorydock/internal/protocol/command"
)

const (
	shardCount = 16
	// recordBytes is the assumed size of a record without its items.
	recordBytes = 1 << 10
)

// Cache holds settled claims by name. It is safe for concurrent use.
type Cache struct {
	retention time.Duration
	shards    [shardCount]shard
}

type shard struct {
	mu     sync.Mutex
	limit  int // bytes
	size   int // bytes
	byName map[string]entry
	order  []string // the names in byName, oldest first
}

type entry struct {
	record command.Record
	size   int
}

// New returns a cache of at most maxBytes in which a record expires retention
// after it was settled.
func New(maxBytes int, retention time.Duration) *Cache {
	c := &Cache{retention: retention}
	for i := range c.shards {
		c.shards[i].limit = maxBytes / shardCount
		c.shards[i].byName = make(map[string]entry)
	}
	return c
}

func (c *Cache) shard(name string) *shard {
	return &c.shards[xxhash.Sum64String(name)%shardCount]
}

// Get returns the record of a name that is still valid at now.
func (c *Cache) Get(name string, now time.Time) (command.Record, bool) {
	s := c.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.byName[name]
	if !ok || !now.Before(e.record.SettledAt.Add(c.retention)) {
		return command.Record{}, false
	}
	return e.record, true
}

// Put stores a settled record; records that are not settled are ignored.
func (c *Cache) Put(name string, r command.Record) {
	if !r.Settled() {
		return
	}
	e := entry{record: r, size: sizeOf(r)}
	s := c.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.byName[name]; ok {
		s.size -= old.size
	} else {
		s.order = append(s.order, name)
	}
	s.byName[name] = e
	s.size += e.size
	for s.size > s.limit && len(s.order) > 0 {
		s.evictOldest()
	}
}

// evictOldest removes one record. The caller holds s.mu.
func (s *shard) evictOldest() {
	name := s.order[0]
	s.order = s.order[1:]
	s.size -= s.byName[name].size
	delete(s.byName, name)
}

func sizeOf(r command.Record) int {
	size := recordBytes
	if r.Answer != nil {
		for _, item := range r.Answer.Items {
			size += len(item)
		}
	}
	return size
}
