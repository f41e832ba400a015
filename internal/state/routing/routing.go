// Package routing holds the current routing table of a node. Readers take an
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

// Index is a routing table prepared for lookups. It is immutable.
type Index struct {
	Table route.Table
	hosts map[string][]*route.Route // longest prefix first
}

// NewIndex returns the index of a table. Invalid routes are left out and passed
// to onInvalid, which may be nil.
func NewIndex(table route.Table, onInvalid func(r *route.Route, err error)) *Index {
	index := &Index{Table: table, hosts: make(map[string][]*route.Route)}
	for i := range table.Routes {
		r := &table.Routes[i]
		if err := r.Validate(); err != nil {
			if onInvalid != nil {
				onInvalid(r, err)
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

// Find returns the route of a host with the longest prefix of path, or nil. The path is compared
// as it was sent: an escaped slash separates no segments.
func (x *Index) Find(host, path string) *route.Route {
	for _, r := range x.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Store holds the current index. It is safe for concurrent use.
type Store struct {
	current atomic.Pointer[Index]
	writeMu sync.Mutex
}

// Current returns the current index, or nil before the first Put.
func (s *Store) Current() *Index { return s.current.Load() }

// Put makes an index current. It returns false and changes nothing when the
// version is not above that of the current index.
func (s *Store) Put(next *Index) bool {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if old := s.current.Load(); old != nil && next.Table.Version <= old.Table.Version {
		return false
	}
	s.current.Store(next)
	return true
}
