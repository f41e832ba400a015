// Package group stores the leafs of each upstream group as the platform lists
// them. Readers take an immutable list of replicas; the groups are divided among
// shards, each with its own lock.
package group

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorydock/hickorydock/internal/protocol/route"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
)

// storeShards is the number of locks of a Store; a power of two.
const storeShards = 16

// Store holds the leafs by group. It is safe for concurrent use.
type Store struct {
	table  *leaf.Table
	shards [storeShards]shard

	mu    sync.Mutex            // guards leafs
	leafs map[string]route.Leaf // by identifier
}

type shard struct {
	mu       sync.RWMutex
	replicas map[string][]shardmap.Replica
}

// NewStore returns an empty store whose replicas share the records of table.
func NewStore(table *leaf.Table) *Store {
	s := &Store{table: table, leafs: make(map[string]route.Leaf)}
	for i := range s.shards {
		s.shards[i].replicas = make(map[string][]shardmap.Replica)
	}
	return s
}

func (s *Store) shard(group string) *shard {
	return &s.shards[xxhash.Sum64String(group)%storeShards]
}

// Replicas returns the leafs of a group, ordered by identifier. Callers must not
// change the list.
func (s *Store) Replicas(group string) []shardmap.Replica {
	sh := s.shard(group)
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	return sh.replicas[group]
}

// Find returns a leaf by its identifier.
func (s *Store) Find(id string) (route.Leaf, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leafs[id]
	return l, ok
}

// Record returns the record of a leaf of the store.
func (s *Store) Record(id string) *leaf.Record { return s.table.Record(id) }

// All returns every leaf, ordered by identifier.
func (s *Store) All() []route.Leaf {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]route.Leaf, 0, len(s.leafs))
	for _, id := range slices.Sorted(maps.Keys(s.leafs)) {
		all = append(all, s.leafs[id])
	}
	return all
}

// Each calls visit with every leaf and its record, ordered by identifier.
func (s *Store) Each(visit func(route.Leaf, *leaf.Record)) {
	for _, l := range s.All() {
		visit(l, s.table.Record(l.VM.ID))
	}
}

// ForgetFailures drops what failed subrequests say about each leaf.
func (s *Store) ForgetFailures() {
	s.Each(func(_ route.Leaf, record *leaf.Record) { record.ForgetFailures() })
}

// Put adds or replaces a leaf and returns its record. A leaf whose incarnation,
// address or group changed starts with an empty record. prepare, which may be nil, sets up
// the record before the leaf can be chosen.
func (s *Store) Put(l route.Leaf, prepare func(*leaf.Record)) *leaf.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.leafs[l.VM.ID]
	if known && (old.Incarnation != l.Incarnation || old.VM.Address != l.VM.Address || old.VM.Group != l.VM.Group) {
		s.remove(old)
	}
	s.leafs[l.VM.ID] = l
	record := s.table.Record(l.VM.ID)
	if prepare != nil {
		prepare(record)
	}
	s.updateReplicas(l.VM.Group, func(list []shardmap.Replica) []shardmap.Replica {
		return append(without(list, l.VM.ID), shardmap.Replica{VM: l.VM, Record: record})
	})
	return record
}

// Remove removes a leaf and returns its last entry.
func (s *Store) Remove(id string) (route.Leaf, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.leafs[id]
	if known {
		s.remove(old)
	}
	return old, known
}

// remove removes a leaf and its record, which it marks for requests in progress. The caller
// holds s.mu.
func (s *Store) remove(l route.Leaf) {
	delete(s.leafs, l.VM.ID)
	s.table.Record(l.VM.ID).MarkRemoved()
	s.table.Delete(l.VM.ID)
	s.updateReplicas(l.VM.Group, func(list []shardmap.Replica) []shardmap.Replica { return without(list, l.VM.ID) })
}

// updateReplicas replaces the list of a group by the result of update on a copy.
func (s *Store) updateReplicas(group string, update func([]shardmap.Replica) []shardmap.Replica) {
	sh := s.shard(group)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	list := update(slices.Clone(sh.replicas[group]))
	if len(list) == 0 {
		delete(sh.replicas, group)
		return
	}
	slices.SortFunc(list, func(a, b shardmap.Replica) int { return strings.Compare(a.VM.ID, b.VM.ID) })
	sh.replicas[group] = list
}

func without(list []shardmap.Replica, id string) []shardmap.Replica {
	return slices.DeleteFunc(list, func(r shardmap.Replica) bool { return r.VM.ID == id })
}
