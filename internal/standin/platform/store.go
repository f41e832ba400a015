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

// change is an entry of a changeLog.
type change struct {
	version uint64
	event   platform.Event
}

// changeLog is the bounded change log of one kind.
type changeLog struct {
	changes []change
	// compacted is the version of the newest change that was dropped.
	compacted uint64
	// nextChange is closed at the next change.
	nextChange chan struct{}
}

// store holds versioned objects. All fields are guarded by mu.
type store struct {
	mu      sync.Mutex
	logSize int // bound of each change log
	version uint64
	objects map[key]platform.Object
	logs    map[platform.Kind]*changeLog
}

func newStore(logSize int, era uint64) *store {
	return &store{
		logSize: logSize,
		version: firstVersion(era, 0),
		objects: make(map[key]platform.Object),
		logs:    make(map[platform.Kind]*changeLog),
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
	if err := s.checkVersion(object.Kind, object.Name, object.Version); err != nil {
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
	if err := s.checkVersion(kind, name, version); err != nil {
		return err
	}
	object := s.objects[key{kind, name}]
	delete(s.objects, key{kind, name})
	s.version++
	s.appendChange(kind, platform.Event{Deleted: true, Object: object})
	return nil
}

// checkVersion returns nil if the object is stored with the version given. The
// caller holds s.mu.
func (s *store) checkVersion(kind platform.Kind, name string, version uint64) error {
	stored, found := s.objects[key{kind, name}]
	if !found {
		return platform.ErrNotFound
	}
	if stored.Version != version {
		return platform.ErrConflict
	}
	return nil
}

// put stores an object under the next version and appends the change to the log.
// The caller holds s.mu.
func (s *store) put(kind platform.Kind, name string, value json.RawMessage) (platform.Object, error) {
	if len(value) > platform.MaxValueBytes {
		return platform.Object{}, platform.ErrTooLarge
	}
	s.version++
	object := platform.Object{Kind: kind, Name: name, Version: s.version, Value: slices.Clone(value)}
	s.objects[key{kind, name}] = object
	s.appendChange(kind, platform.Event{Object: object})
	return object, nil
}

// appendChange adds an event to the log of a kind, drops the oldest changes above
// the bound and wakes waiting watches. The caller holds s.mu.
func (s *store) appendChange(kind platform.Kind, event platform.Event) {
	log := s.logOf(kind)
	log.changes = append(log.changes, change{version: s.version, event: event})
	if excess := len(log.changes) - s.logSize; excess > 0 {
		log.compacted = log.changes[excess-1].version
		log.changes = slices.Delete(log.changes, 0, excess)
	}
	close(log.nextChange)
	log.nextChange = make(chan struct{})
}

// logOf returns the change log of a kind and creates it if necessary. The caller
// holds s.mu.
func (s *store) logOf(kind platform.Kind) *changeLog {
	log, found := s.logs[kind]
	if !found {
		log = &changeLog{nextChange: make(chan struct{})}
		s.logs[kind] = log
	}
	return log
}

// since returns the changes of a kind after version from, and a channel that is
// closed at the next one. It fails with ErrTooOld if the changes are no longer kept or if
// from is a version that the store never reached or has lost.
func (s *store) since(kind platform.Kind, from uint64) ([]change, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	log := s.logOf(kind)
	if from < log.compacted || from > s.version {
		return nil, nil, platform.ErrTooOld
	}
	first, _ := slices.BinarySearchFunc(log.changes, from+1, func(c change, version uint64) int {
		if c.version < version {
			return -1
		}
		return 1
	})
	return slices.Clone(log.changes[first:]), log.nextChange, nil
}
