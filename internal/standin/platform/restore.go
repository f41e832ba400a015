package platform

import (
	"maps"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// Copy is a copy of a store's objects.
type Copy struct {
	objects map[key]platform.Object
	version uint64
}

// Copy returns a copy of the current objects.
func (p *Platform) Copy() Copy {
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	return Copy{objects: maps.Clone(p.store.objects), version: p.store.version}
}

// Restore replaces all objects by those of a copy. The changes since the copy are lost, and
// a new era begins in which their revisions are assigned again.
func (p *Platform) Restore(c Copy) {
	s := p.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects = maps.Clone(c.objects)
	s.version = firstVersion(platform.Era(s.version)+1, platform.Revision(c.version))
	s.dropChanges()
}

// Era returns the current era.
func (p *Platform) Era() uint64 { return platform.Era(p.store.currentVersion()) }

// firstVersion returns the version at which an era begins. It panics if the era is out of
// range, which only a test can bring about.
func firstVersion(era, revision uint64) uint64 {
	version, err := platform.NewVersion(era, revision)
	if err != nil {
		panic(err)
	}
	return version
}

// dropChanges drops the changes of all kinds up to the current version and wakes waiting
// watches. The caller holds s.mu.
func (s *store) dropChanges() {
	for _, log := range s.logs {
		log.changes = nil
		log.compacted = s.version
		close(log.nextChange)
		log.nextChange = make(chan struct{})
	}
}
