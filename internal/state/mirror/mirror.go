// Package mirror holds a node's copy of the platform's objects with their latest
// changes, so that other nodes can watch them at this node. Each kind has its own
// lock. A copy never goes back to a lower version; see platform.NewVersion for the order
// of versions when the platform is restored from an older copy of its own.
package mirror

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

const (
	// maxChanges is the number of changes retained for each kind.
	maxChanges = 2000
	// maxChangeBytes is the size of the values in the changes retained for each kind. The last
	// change stays, whatever its size. All of them fit into one message to another node.
	maxChangeBytes = 2 << 20
)

// Mirror holds the objects of several kinds. It is safe for concurrent use.
type Mirror struct {
	mu    sync.Mutex // guards kinds
	kinds map[platform.Kind]*kind
}

// kind holds the objects and changes of one kind.
type kind struct {
	mu      sync.Mutex
	known   bool
	objects map[string]platform.Object
	changes []platform.Event // by increasing version
	// changeBytes is the size of the values in changes.
	changeBytes int
	// oldest is the version after which all changes are retained.
	oldest  uint64
	version uint64
	gaps    []Gap // by time
	// confirmed is when the platform last confirmed this state.
	confirmed time.Time
	wake      chan struct{} // closed at the next change
	// keep is set by Mirror.Keep.
	keep func(held, next platform.Object) bool
}

// New returns an empty mirror.
func New() *Mirror { return &Mirror{kinds: make(map[platform.Kind]*kind)} }

func (m *Mirror) kind(name platform.Kind) *kind {
	m.mu.Lock()
	defer m.mu.Unlock()
	k, ok := m.kinds[name]
	if !ok {
		k = &kind{objects: make(map[string]platform.Object), wake: make(chan struct{})}
		m.kinds[name] = k
	}
	return k
}

// Keep makes a kind keep a held object instead of the next one of the same name while
// keep returns true, for objects whose values the platform may only raise. It also keeps
// held objects that are missing after a restore of the platform. It must be called before
// the first Replace.
func (m *Mirror) Keep(name platform.Kind, keep func(held, next platform.Object) bool) {
	k := m.kind(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.keep = keep
}

// Replace stores a list that the platform confirmed at the given time and returns true.
// Watchers receive the differences as changes of the list's version, or list again if the
// platform was restored. Replace returns false for a list older than the stored one, which
// it ignores.
func (m *Mirror) Replace(name platform.Kind, listing platform.Listing, confirmed time.Time) bool {
	k := m.kind(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.known && listing.Version < k.version {
		return false
	}
	restored := k.known && platform.Era(listing.Version) > platform.Era(k.version)
	next := make(map[string]platform.Object, len(listing.Objects))
	for _, object := range listing.Objects {
		next[object.Name] = object
	}
	k.keepHeld(next, restored)
	if k.known && !restored {
		k.recordDifference(next, listing.Version)
		k.addGap(Gap{After: k.version, Before: listing.Version})
	} else {
		// A watcher may have seen changes that this node has not and that were lost.
		k.changes = nil
		k.changeBytes = 0
		k.gaps = nil
		k.oldest = listing.Version
		k.notify()
	}
	k.objects = next
	k.known = true
	k.advance(listing.Version, confirmed)
	return true
}

// keepHeld puts the objects that Keep demands into next. The caller holds k.mu.
func (k *kind) keepHeld(next map[string]platform.Object, restored bool) {
	if k.keep == nil {
		return
	}
	for id, held := range k.objects {
		object, listed := next[id]
		if listed && k.keep(held, object) || !listed && restored {
			next[id] = held
		}
	}
}

// recordDifference records the changes that lead to next. The caller holds k.mu.
func (k *kind) recordDifference(next map[string]platform.Object, version uint64) {
	for id, old := range k.objects {
		if _, ok := next[id]; !ok {
			old.Version = version
			k.record(platform.Event{Deleted: true, Object: old})
		}
	}
	for id, object := range next {
		if old, ok := k.objects[id]; !ok || !bytes.Equal(old.Value, object.Value) {
			object.Version = version
			k.record(platform.Event{Object: object})
		}
	}
}

// Apply applies the changes up to a version that the platform confirmed at the
// given time; without changes it only advances the version.
func (m *Mirror) Apply(name platform.Kind, changes []platform.Event, version uint64, confirmed time.Time) {
	k := m.kind(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.known || version < k.version {
		return
	}
	if version > k.version {
		for _, event := range changes {
			k.apply(event, version)
		}
	}
	k.advance(version, confirmed)
}

// apply applies one change; all changes of one version are applied under one lock.
// An object rewritten with the same value, as by a heartbeat, is not a change. The
// caller holds k.mu.
func (k *kind) apply(event platform.Event, version uint64) {
	old, held := k.objects[event.Object.Name]
	if held && !event.Deleted && (bytes.Equal(old.Value, event.Object.Value) || k.keep != nil && k.keep(old, event.Object)) {
		old.Heartbeat = max(old.Heartbeat, event.Object.Heartbeat)
		k.objects[event.Object.Name] = old
		return
	}
	if event.Deleted {
		delete(k.objects, event.Object.Name)
	} else {
		k.objects[event.Object.Name] = event.Object
	}
	event.Object.Version = version
	k.record(event)
}

// record appends a change and discards the oldest ones above maxChanges and maxChangeBytes. The
// caller holds k.mu.
func (k *kind) record(event platform.Event) {
	k.changes = append(k.changes, event)
	k.changeBytes += len(event.Object.Value)
	excess, bytes := 0, k.changeBytes
	for kept := len(k.changes); kept > maxChanges || bytes > maxChangeBytes && kept > 1; kept-- {
		bytes -= len(k.changes[excess].Object.Value)
		excess++
	}
	if excess > 0 {
		k.discardUpTo(k.changes[excess-1].Object.Version)
	}
}

// discardUpTo discards the changes up to a version, all of which no longer reach back to the
// version before them. The caller holds k.mu.
func (k *kind) discardUpTo(version uint64) {
	k.oldest = version
	k.changes = slices.DeleteFunc(k.changes, func(e platform.Event) bool {
		if e.Object.Version > version {
			return false
		}
		k.changeBytes -= len(e.Object.Value)
		return true
	})
	k.gaps = slices.DeleteFunc(k.gaps, func(g Gap) bool { return g.Before <= version })
}

// notify wakes the waiting calls of AwaitKnown and Changes. The caller holds k.mu.
func (k *kind) notify() {
	close(k.wake)
	k.wake = make(chan struct{})
}

// advance raises the version and the time of confirmation, and wakes the waiting
// calls. The caller holds k.mu.
func (k *kind) advance(version uint64, confirmed time.Time) {
	if version > k.version {
		k.version = version
		k.notify()
	}
	if confirmed.After(k.confirmed) {
		k.confirmed = confirmed
	}
}

// Confirmed is when the platform last confirmed a kind; zero when it is unknown.
func (m *Mirror) Confirmed(name platform.Kind) time.Time {
	k := m.kind(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.confirmed
}

// Era is the era of a kind's version; 0 when it is unknown.
func (m *Mirror) Era(name platform.Kind) uint64 {
	k := m.kind(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	return platform.Era(k.version)
}

// List returns all objects of a kind, sorted by name. ok is false while the kind
// is unknown.
func (m *Mirror) List(name platform.Kind) (listing platform.Listing, confirmed time.Time, ok bool) {
	k := m.kind(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.known {
		return platform.Listing{}, time.Time{}, false
	}
	objects := slices.SortedFunc(maps.Values(k.objects), func(a, b platform.Object) int {
		return strings.Compare(a.Name, b.Name)
	})
	return platform.Listing{Objects: objects, Version: k.version}, k.confirmed, true
}

// AwaitKnown waits until a kind is known, at most for wait.
func (m *Mirror) AwaitKnown(ctx context.Context, name platform.Kind, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	k := m.kind(name)
	for {
		k.mu.Lock()
		known, wake := k.known, k.wake
		k.mu.Unlock()
		if known {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-wake:
		}
	}
}

// Changes waits until a kind has changes after a version, at most for wait. It
// returns the changes and the version to continue from. It fails with ErrTooOld
// when they are no longer retained or from lies in a gap, and with ErrUnavailable while the kind is
// unknown or this node's copy is of an earlier era than from.
func (m *Mirror) Changes(ctx context.Context, name platform.Kind, from uint64, wait time.Duration) (changes []platform.Event, version uint64, confirmed time.Time, err error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	k := m.kind(name)
	for {
		k.mu.Lock()
		known, era, wake := k.known, platform.Era(k.version), k.wake
		tooOld := from < k.oldest || k.isInGap(from)
		changes, version, confirmed = k.changesSince(from), max(k.version, from), k.confirmed
		k.mu.Unlock()
		switch {
		case !known, era < platform.Era(from):
			return nil, 0, time.Time{}, platform.ErrUnavailable
		case tooOld:
			return nil, 0, time.Time{}, platform.ErrTooOld
		case len(changes) > 0:
			return changes, version, confirmed, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, time.Time{}, ctx.Err()
		case <-timer.C:
			return nil, version, confirmed, nil
		case <-wake:
		}
	}
}

// changesSince returns the retained changes after a version. The caller holds k.mu.
func (k *kind) changesSince(from uint64) []platform.Event {
	first, _ := slices.BinarySearchFunc(k.changes, from+1, func(e platform.Event, version uint64) int {
		if e.Object.Version < version {
			return -1
		}
		return 1
	})
	return slices.Clone(k.changes[first:])
}
