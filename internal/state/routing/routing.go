// Package routing holds the routing table in force on a node. Readers take an
// immutable index without a lock; its version never decreases.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/hickorydock/hickorydock/internal/protocol/route"
)

// Index is a table that is ready for look-ups. It is immutable.
type Index struct {
	Table route.Table
	hosts map[string][]*route.Route // longest prefix first
}

// NewIndex returns the index of a table. Routes that cannot be used are left out
// and handed to refused, which may be nil.
func NewIndex(table route.Table, refused func(r *route.Route, err error)) *Index {
	index := &Index{Table: table, hosts: make(map[string][]*route.Route)}
	for i := range table.Routes {
		r := &table.Routes[i]
		if err := r.Validate(); err != nil {
			if refused != nil {
				refused(r, err)
			}
			continue
		}
		host := strings.ToLower(r.Host)
		index.hosts[host] = append(index.hosts[host], r)
	}
	for _, routes := range index.hosts {
		slices.SortStableFunc(routes, func(a, b *route.Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	return index
}

// Find returns the route of a host with the longest prefix of path, or nil.
func (x *Index) Find(host, path string) *route.Route {
	for _, r := range x.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Store holds the index in force. It is safe for concurrent use.
type Store struct {
	current atomic.Pointer[Index]
	writing sync.Mutex
}

// Current returns the index in force, or nil before the first Put.
func (s *Store) Current() *Index { return s.current.Load() }

// Put brings an index into force. It refuses, with false, a version that is not
// above the one in force.
func (s *Store) Put(next *Index) bool {
	s.writing.Lock()
	defer s.writing.Unlock()
	if old := s.current.Load(); old != nil && next.Table.Version <= old.Table.Version {
		return false
	}
	s.current.Store(next)
	return true
}
