package platform

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

type key struct {
	kind platform.Kind
	name string
}

// change is one entry of a kind's change log.
type change struct {
	version uint64
	event   platform.Event
}

// feed is the bounded change log of one kind.
type feed struct {
	changes []change
	// forgotten is the version of the newest change that was dropped.
	forgotten uint64
	// wake is closed at the next change.
	wake chan struct{}
}

// store holds versioned objects. All fields are guarded by mu.
type store struct {
	mu      sync.Mutex
	limit   int
	version uint64
	objects map[key]platform.Object
	feeds   map[platform.Kind]*feed
}

func newStore(limit int) *store {
	return &store{
		limit:   limit,
		objects: make(map[key]platform.Object),
		feeds:   make(map[platform.Kind]*feed),
	}
}

func (s *store) get(kind platform.Kind, name string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, found := s.objects[key{kind, name}]
	if !found {
		return platform.Object{}, platform.ErrNotFound
	}
	return object, nil
}

func (s *store) list(kind platform.Kind) platform.Listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	listing := platform.Listing{Version: s.version, Objects: []platform.Object{}}
	for k, object := range s.objects {
		if k.kind == kind {
			listing.Objects = append(listing.Objects, object)
		}
	}
	slices.SortFunc(listing.Objects, func(a, b platform.Object) int {
		return strings.Compare(a.Name, b.Name)
	})
	return listing
}

func (s *store) create(kind platform.Kind, name string, value json.RawMessage) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.objects[key{kind, name}]; found {
		return platform.Object{}, platform.ErrExists
	}
	return s.put(kind, name, value)
}

func (s *store) update(object platform.Object) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.matches(object.Kind, object.Name, object.Version); err != nil {
		return platform.Object{}, err
	}
	return s.put(object.Kind, object.Name, object.Value)
}

func (s *store) set(kind platform.Kind, name string, value json.RawMessage) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(kind, name, value)
}

func (s *store) remove(kind platform.Kind, name string, version uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.matches(kind, name, version); err != nil {
		return err
	}
	object := s.objects[key{kind, name}]
	delete(s.objects, key{kind, name})
	s.version++
	s.record(kind, platform.Event{Deleted: true, Object: object})
	return nil
}

// matches requires mu.
func (s *store) matches(kind platform.Kind, name string, version uint64) error {
	stored, found := s.objects[key{kind, name}]
	if !found {
		return platform.ErrNotFound
	}
	if stored.Version != version {
		return platform.ErrConflict
	}
	return nil
}

// put requires mu.
func (s *store) put(kind platform.Kind, name string, value json.RawMessage) (platform.Object, error) {
	if len(value) > platform.MaxValueBytes {
		return platform.Object{}, platform.ErrTooLarge
	}
	s.version++
	object := platform.Object{Kind: kind, Name: name, Version: s.version, Value: slices.Clone(value)}
	s.objects[key{kind, name}] = object
	s.record(kind, platform.Event{Object: object})
	return object, nil
}

// record requires mu.
func (s *store) record(kind platform.Kind, event platform.Event) {
	f := s.feed(kind)
	f.changes = append(f.changes, change{version: s.version, event: event})
	if excess := len(f.changes) - s.limit; excess > 0 {
		f.forgotten = f.changes[excess-1].version
		f.changes = slices.Delete(f.changes, 0, excess)
	}
	close(f.wake)
	f.wake = make(chan struct{})
}

// feed requires mu.
func (s *store) feed(kind platform.Kind) *feed {
	f, found := s.feeds[kind]
	if !found {
		f = &feed{wake: make(chan struct{})}
		s.feeds[kind] = f
	}
	return f
}

// since returns the changes of a kind after version from, and a channel that is
// closed at the next one.
func (s *store) since(kind platform.Kind, from uint64) ([]change, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.feed(kind)
	if from < f.forgotten {
		return nil, nil, platform.ErrTooOld
	}
	first, _ := slices.BinarySearchFunc(f.changes, from+1, func(c change, version uint64) int {
		if c.version < version {
			return -1
		}
		return 1
	})
	return slices.Clone(f.changes[first:]), f.wake, nil
}
