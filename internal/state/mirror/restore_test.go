package mirror

import (
	"errors"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// version returns the version of a revision in an era.
func version(era, revision uint64) uint64 {
	v, err := platform.NewVersion(era, revision)
	if err != nil {
		panic(err)
	}
	return v
}

// TestRestoredPlatform: the platform lost changes and assigned their revisions again. The
// list of the new era replaces the copy although its revision is lower, and a watcher that
// has seen lost changes lists again.
func TestRestoredPlatform(t *testing.T) {
	m := New()
	now := time.Now()
	m.Replace(testKind, platform.Listing{Version: version(1, 20), Objects: []platform.Object{object("kept", "1"), object("lost", "1")}}, now)
	if !m.Replace(testKind, platform.Listing{Version: version(2, 15), Objects: []platform.Object{object("kept", "1")}}, now) {
		t.Fatal("list of the new era was ignored")
	}
	if listing, _, _ := m.List(testKind); len(listing.Objects) != 1 || m.Era(testKind) != 2 {
		t.Errorf("listing %+v", listing)
	}
	for _, from := range []uint64{version(1, 5), version(1, 20), version(1, 30)} {
		if _, _, _, err := m.Changes(t.Context(), testKind, from, 0); !errors.Is(err, platform.ErrTooOld) {
			t.Errorf("changes from revision %d of the earlier era: %v", platform.Revision(from), err)
		}
	}
	if m.Replace(testKind, platform.Listing{Version: version(1, 30), Objects: []platform.Object{object("lost", "1")}}, now) {
		t.Error("a late list of the earlier era was accepted")
	}
	m.Apply(testKind, []platform.Event{{Object: object("lost", "2")}}, version(1, 31), now)
	if listing, _, _ := m.List(testKind); len(listing.Objects) != 1 {
		t.Errorf("listing %+v after late replies of the earlier era", listing)
	}
}

// TestSourceInEarlierEra: a node that knows of a restore must not take a source that does
// not as confirmation of its copy.
func TestSourceInEarlierEra(t *testing.T) {
	m := New()
	m.Replace(testKind, platform.Listing{Version: version(1, 20)}, time.Now())
	if _, _, _, err := m.Changes(t.Context(), testKind, version(2, 3), 0); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("changes from a later era: %v", err)
	}
}

// TestHigherValueIsKept: an object whose higher value was in force is not replaced by the
// lower one of an older copy, nor removed by a copy without it.
func TestHigherValueIsKept(t *testing.T) {
	m := New()
	m.Keep(testKind, func(held, next platform.Object) bool { return string(held.Value) > string(next.Value) })
	now := time.Now()
	m.Replace(testKind, platform.Listing{Version: version(1, 20), Objects: []platform.Object{object("a", "7"), object("b", "2")}}, now)
	m.Replace(testKind, platform.Listing{Version: version(2, 10), Objects: []platform.Object{object("a", "6")}}, now)
	m.Apply(testKind, []platform.Event{{Object: object("a", "5")}}, version(2, 11), now)
	listing, _, _ := m.List(testKind)
	if len(listing.Objects) != 2 || string(listing.Objects[0].Value) != "7" {
		t.Errorf("listing %+v", listing)
	}
	m.Apply(testKind, []platform.Event{{Object: object("a", "8")}, {Deleted: true, Object: object("b", "2")}}, version(2, 12), now)
	if listing, _, _ = m.List(testKind); len(listing.Objects) != 1 || string(listing.Objects[0].Value) != "8" {
		t.Errorf("listing %+v after changes of the new era", listing)
	}
}

// history is a model of a store with its whole history in the current era.
type history struct {
	era, revision, firstRevision uint64
	objects                      map[string]string
	events                       []platform.Event // of the current era, by revision
}

func (h *history) change(name, value string) {
	h.revision++
	event := platform.Event{Deleted: value == "", Object: object(name, value)}
	event.Object.Version = version(h.era, h.revision)
	if value == "" {
		delete(h.objects, name)
	} else {
		h.objects[name] = value
	}
	h.events = append(h.events, event)
}

func (h *history) listing() platform.Listing {
	listing := platform.Listing{Version: version(h.era, h.revision)}
	for name, value := range h.objects {
		listing.Objects = append(listing.Objects, object(name, value))
	}
	return listing
}

// restore goes back to a copy and starts an era.
func (h *history) restore(c history) {
	*h = history{era: h.era + 1, revision: c.revision, firstRevision: c.revision, objects: maps.Clone(c.objects)}
}

// follower is a node's copy, which reads the store or another node's copy.
type follower struct {
	mirror *Mirror
	from   uint64
	listed bool
}

// readStore reads the store as a reader of the platform does.
func (f *follower) readStore(h *history) {
	if f.listed && platform.Era(f.from) == h.era && platform.Revision(f.from) >= h.firstRevision {
		var changes []platform.Event
		for _, e := range h.events {
			if e.Object.Version > f.from {
				changes = append(changes, e)
			}
		}
		f.from = version(h.era, h.revision)
		f.mirror.Apply(testKind, changes, f.from, time.Now())
		return
	}
	f.list(h.listing())
}

// list takes a listing unless the copy is of a later version.
func (f *follower) list(listing platform.Listing) {
	if f.mirror.Replace(testKind, listing, time.Now()) {
		f.from = listing.Version
		f.listed = true
	}
}

// readPeer reads another node's copy as a node that is not a reader does.
func (f *follower) readPeer(t *rapid.T, source *follower) {
	if f.listed {
		changes, reached, _, err := source.mirror.Changes(t.Context(), testKind, f.from, 0)
		switch {
		case err == nil:
			f.mirror.AddGaps(testKind, source.mirror.Gaps(testKind, f.from))
			f.from = max(f.from, reached)
			f.mirror.Apply(testKind, changes, f.from, time.Now())
			return
		case !errors.Is(err, platform.ErrTooOld):
			return
		}
	}
	if listing, _, ok := source.mirror.List(testKind); ok {
		f.list(listing)
	}
}

func (f *follower) values() map[string]string {
	listing, _, _ := f.mirror.List(testKind)
	values := map[string]string{}
	for _, o := range listing.Objects {
		values[o.Name] = string(o.Value)
	}
	return values
}

// TestChangesAcrossMissedVersions guards against an object that was added and removed while a
// node saw neither, and that stays with a node which follows it and had seen the addition.
func TestChangesAcrossMissedVersions(t *testing.T) {
	at := func(v uint64, objects ...platform.Object) platform.Listing {
		return platform.Listing{Version: v, Objects: objects}
	}
	now := time.Now()
	source, middle := New(), New()
	source.Replace(testKind, at(1), now)
	middle.Replace(testKind, at(1), now)
	source.Replace(testKind, at(3), now)
	changes, version, _, err := source.Changes(t.Context(), testKind, 1, 0)
	if err != nil || len(changes) != 0 || version != 3 {
		t.Errorf("from the version before: %d changes up to %d, %v", len(changes), version, err)
	}
	middle.AddGaps(testKind, source.Gaps(testKind, 1))
	middle.Apply(testKind, changes, version, now)
	for name, m := range map[string]*Mirror{"the node that missed it": source, "one that follows it": middle} {
		if _, _, _, err := m.Changes(t.Context(), testKind, 2, 0); !errors.Is(err, platform.ErrTooOld) {
			t.Errorf("%s, from a version that it has not seen: %v", name, err)
		}
		if _, _, _, err := m.Changes(t.Context(), testKind, 3, 0); err != nil {
			t.Errorf("%s, from the newest version: %v", name, err)
		}
	}
}

// TestRandomRestores: in random orders of changes, restores, reads among nodes that are in
// different eras and late replies, no copy goes back, and all agree with the store once
// each has read its source.
func TestRandomRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &history{era: 1, revision: 1, objects: map[string]string{}}
		older := history{revision: 1, objects: map[string]string{}}
		late := store.listing()
		nodes := make([]*follower, 4)
		for i := range nodes {
			nodes[i] = &follower{mirror: New()}
		}
		node := func(name string) *follower { return nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, name)] }
		reached := make([]uint64, len(nodes))
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
				store.change(name, rapid.SampledFrom([]string{"1", "2", "3", ""}).Draw(t, "value"))
			},
			"copy":    func(*rapid.T) { older = history{revision: store.revision, objects: maps.Clone(store.objects)} },
			"restore": func(*rapid.T) { store.restore(older) },
			"send":    func(*rapid.T) { late = store.listing() },
			"late":    func(t *rapid.T) { node("node").list(late) },
			"read":    func(t *rapid.T) { nodes[rapid.IntRange(0, 1).Draw(t, "reader")].readStore(store) },
			"follow":  func(t *rapid.T) { node("node").readPeer(t, node("source")) },
			"": func(t *rapid.T) {
				for i, n := range nodes {
					listing, _, _ := n.mirror.List(testKind)
					if listing.Version < reached[i] {
						t.Fatalf("node %d went back from %d to %d", i, reached[i], listing.Version)
					}
					reached[i] = listing.Version
				}
			},
		})
		for i, n := range nodes {
			if i < 2 {
				n.readStore(store)
			} else {
				n.readPeer(t, nodes[i-1])
				n.readPeer(t, nodes[i-1])
			}
			if got := n.values(); !maps.Equal(got, store.objects) {
				t.Fatalf("node %d has %v, the store has %v", i, got, store.objects)
			}
		}
	})
}

// TestVersionsOfEras: a version holds its era and its revision, and eras go first.
func TestVersionsOfEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) (era, revision uint64) {
			return rapid.Uint64Range(0, platform.MaxEra).Draw(t, name+" era"), rapid.Uint64Range(0, platform.MaxRevision).Draw(t, name+" revision")
		}
		era1, revision1 := draw("first")
		era2, revision2 := draw("second")
		v1, v2 := version(era1, revision1), version(era2, revision2)
		if platform.Era(v1) != era1 || platform.Revision(v1) != revision1 {
			t.Fatalf("version of %d, %d holds %d, %d", era1, revision1, platform.Era(v1), platform.Revision(v1))
		}
		if before := era1 < era2 || era1 == era2 && revision1 < revision2; before != (v1 < v2) {
			t.Fatal("order of versions is not that of eras and revisions")
		}
	})
	for _, tooLarge := range [][2]uint64{{platform.MaxEra + 1, 0}, {0, platform.MaxRevision + 1}} {
		if _, err := platform.NewVersion(tooLarge[0], tooLarge[1]); err == nil {
			t.Errorf("version of %v", tooLarge)
		}
	}
}
