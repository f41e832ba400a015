// Package catalogue holds the current catalogue of a node. Readers take an
// immutable snapshot without a lock; its revision never decreases.
package catalogue

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/hickorydock/hickorydock/internal/protocol/note"
)

// storeState is one immutable state of the store.
type storeState struct {
	catalogue note.Catalogue
	services  map[string]note.Service
	// known is false until a first catalogue was stored.
	known bool
	// replaced is closed when a newer catalogue replaces this one.
	replaced chan struct{}
}

// Store holds the current catalogue. It is safe for concurrent use.
type Store struct {
	current atomic.Pointer[storeState]
	writeMu sync.Mutex
}

// New returns a store with an empty catalogue of revision 0 that is not known yet.
func New() *Store {
	s := &Store{}
	s.current.Store(&storeState{replaced: make(chan struct{})})
	return s
}

// Current returns the current catalogue. Callers must not change it. known is
// false until the first Put.
func (s *Store) Current() (current note.Catalogue, known bool) {
	state := s.current.Load()
	return state.catalogue, state.known
}

// Find returns a service of the current catalogue.
func (s *Store) Find(name string) (note.Service, bool) {
	service, found := s.current.Load().services[name]
	return service, found
}

// Revision returns the revision of the current catalogue.
func (s *Store) Revision() uint64 {
	return s.current.Load().catalogue.Revision
}

// Put makes a catalogue current. It returns false and changes nothing when the
// revision is not above the current one; the first catalogue is always accepted.
func (s *Store) Put(next note.Catalogue) bool {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	old := s.current.Load()
	if old.known && next.Revision <= old.catalogue.Revision {
		return false
	}
	state := &storeState{
		catalogue: next,
		services:  make(map[string]note.Service, len(next.Services)),
		known:     true,
		replaced:  make(chan struct{}),
	}
	for _, service := range next.Services {
		state.services[service.Name] = service
	}
	s.current.Store(state)
	close(old.replaced)
	return true
}

// Wait returns the current catalogue once it is known and its revision is at
// least revision, or the context's error.
func (s *Store) Wait(ctx context.Context, revision uint64) (note.Catalogue, error) {
	for {
		state := s.current.Load()
		if state.known && state.catalogue.Revision >= revision {
			return state.catalogue, nil
		}
		select {
		case <-ctx.Done():
			return note.Catalogue{}, ctx.Err()
		case <-state.replaced:
		}
	}
}

// Watch calls onCatalogue for the current catalogue, once known, and for the newest
// one after every change, until ctx ends. Catalogues that are replaced while
// onCatalogue runs are skipped.
func (s *Store) Watch(ctx context.Context, onCatalogue func(note.Catalogue)) error {
	next := uint64(0)
	for {
		current, err := s.Wait(ctx, next)
		if err != nil {
			return err
		}
		onCatalogue(current)
		next = current.Revision + 1
	}
}
