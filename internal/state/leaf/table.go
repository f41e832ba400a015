package leaf

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// tableShards is the number of locks of a Table; a power of two.
const tableShards = 32

// Table finds records by leaf identifier. It is safe for concurrent use.
type Table struct {
	shards [tableShards]tableShard
}

type tableShard struct {
	mu      sync.Mutex
	records map[string]*Record
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	for i := range t.shards {
		t.shards[i].records = make(map[string]*Record)
	}
	return t
}

func (t *Table) shard(id string) *tableShard {
	return &t.shards[xxhash.Sum64String(id)%tableShards]
}

// Record returns the record of a leaf, creating it if there is none.
func (t *Table) Record(id string) *Record {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[id]
	if !ok {
		r = &Record{}
		s.records[id] = r
	}
	return r
}

// Delete removes the record of a leaf.
func (t *Table) Delete(id string) {
	s := t.shard(id)
	s.mu.Lock()
	delete(s.records, id)
	s.mu.Unlock()
}
