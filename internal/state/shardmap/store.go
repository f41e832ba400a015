package shardmap

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/protocol/upstream"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
)

// denialTTL is how long a leaf's reply that it does not hold a snapshot
// overrides manifests that still list it.
const denialTTL = 2 * time.Second

// denial identifies a snapshot that a leaf replied that it does not hold.
type denial struct {
	service  string
	snapshot query.Snapshot
}

type leafState struct {
	vm       platform.VM
	record   *leaf.Record
	manifest upstream.Manifest
	denials  map[denial]time.Time // to the end of each
}

func (l *leafState) isDenied(service string, snapshot query.Snapshot) bool {
	_, ok := l.denials[denial{service, snapshot}]
	return ok
}

// Store holds the leafs of each upstream group, with one lock per group.
// Readers of views take no lock beyond the lookup of the group.
type Store struct {
	table  *leaf.Table
	groups sync.Map // group name -> *group
}

type group struct {
	mu    sync.Mutex
	leafs map[string]*leafState
	views atomic.Pointer[map[string]*View]
}

// NewStore returns an empty store whose replicas refer to records of table.
func NewStore(table *leaf.Table) *Store {
	return &Store{table: table}
}

func (s *Store) group(name string) *group {
	if g, ok := s.groups.Load(name); ok {
		return g.(*group)
	}
	created := &group{leafs: make(map[string]*leafState)}
	empty := make(map[string]*View)
	created.views.Store(&empty)
	g, _ := s.groups.LoadOrStore(name, created)
	return g.(*group)
}

// View returns the current view of a service, or nil when no leaf holds it.
func (s *Store) View(groupName, service string) *View {
	return (*s.group(groupName).views.Load())[service]
}

// SetManifest records a leaf's manifest, received at now.
func (s *Store) SetManifest(vm platform.VM, manifest upstream.Manifest, now time.Time) {
	g := s.group(vm.Group)
	g.mu.Lock()
	defer g.mu.Unlock()
	l, ok := g.leafs[vm.ID]
	if !ok {
		l = &leafState{denials: make(map[denial]time.Time)}
		g.leafs[vm.ID] = l
	}
	expired := l.expireDenials(now)
	unchanged := ok && !expired && l.vm == vm && equalHoldings(l.manifest.Holdings, manifest.Holdings)
	l.vm = vm
	l.record = s.table.Record(vm.ID)
	l.manifest = manifest
	if !unchanged {
		g.rebuild()
	}
}

// Deny records that a leaf replied at now that it does not hold a snapshot.
// Manifests that still list the snapshot are overridden for denialTTL.
func (s *Store) Deny(vm platform.VM, service string, snapshot query.Snapshot, now time.Time) {
	g := s.group(vm.Group)
	g.mu.Lock()
	defer g.mu.Unlock()
	l, ok := g.leafs[vm.ID]
	if !ok {
		return
	}
	_, known := l.denials[denial{service, snapshot}]
	l.denials[denial{service, snapshot}] = now.Add(denialTTL)
	if !known {
		g.rebuild()
	}
}

// Remove removes a leaf from its group.
func (s *Store) Remove(groupName, id string) {
	g := s.group(groupName)
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.leafs[id]; !ok {
		return
	}
	delete(g.leafs, id)
	s.table.Delete(id)
	g.rebuild()
}

func (l *leafState) expireDenials(now time.Time) bool {
	expired := false
	for d, end := range l.denials {
		if now.After(end) {
			delete(l.denials, d)
			expired = true
		}
	}
	return expired
}

func equalHoldings(a, b []upstream.Holding) bool {
	return slices.EqualFunc(a, b, func(x, y upstream.Holding) bool {
		return x.Service == y.Service && x.Snapshot == y.Snapshot &&
			x.ShardCount == y.ShardCount && slices.Equal(x.Shards, y.Shards)
	})
}

// rebuild rebuilds the views of all services of the group. The caller holds g.mu.
func (g *group) rebuild() {
	leafs := make([]*leafState, 0, len(g.leafs))
	for _, l := range g.leafs {
		leafs = append(leafs, l)
	}
	slices.SortFunc(leafs, func(a, b *leafState) int { return cmp.Compare(a.vm.ID, b.vm.ID) })
	views := buildViews(leafs)
	g.views.Store(&views)
}
