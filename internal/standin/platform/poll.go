package platform

import (
	"context"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// Poll is a long poll: it returns the changes of a kind after version from as
// soon as there are any, or none after wait, and the version from which the next
// poll continues. It is meant for platforms that implement watches by long polls.
// With Faults.StalledWatches, a poll that is already waiting receives no changes.
func (p *Platform) Poll(ctx context.Context, kind platform.Kind, from uint64, wait time.Duration) ([]platform.Event, uint64, error) {
	if err := p.startCall(ctx, Call{MethodWatch, kind}); err != nil {
		return nil, 0, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for first := true; ; first = false {
		changes, nextChange, err := p.store.since(kind, from)
		if err != nil {
			return nil, 0, err
		}
		faults, faultsChanged := p.faultsAndChange()
		if len(changes) > 0 && (first || !faults.StalledWatches) {
			return eventsOf(changes), changes[len(changes)-1].version, p.waitForFaults(ctx)
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-timer.C:
			return nil, p.store.versionWithoutChanges(kind, from), p.waitForFaults(ctx)
		case <-nextChange:
		case <-faultsChanged:
		}
	}
}

// eventsOf returns the events of changes, each with the version of its change. For a
// deletion, that is newer than the version of the deleted object.
func eventsOf(changes []change) []platform.Event {
	events := make([]platform.Event, len(changes))
	for i, c := range changes {
		events[i] = c.event
		events[i].Object.Version = c.version
	}
	return events
}

// Page returns up to limit objects of a kind whose names sort after a name, and
// whether more follow.
func (p *Platform) Page(ctx context.Context, kind platform.Kind, after string, limit int) (platform.Listing, bool, error) {
	listing, err := run(ctx, p, Call{MethodList, kind}, func() (platform.Listing, error) { return p.store.list(kind), nil })
	if err != nil {
		return platform.Listing{}, false, err
	}
	for len(listing.Objects) > 0 && listing.Objects[0].Name <= after {
		listing.Objects = listing.Objects[1:]
	}
	more := len(listing.Objects) > limit
	listing.Objects = listing.Objects[:min(limit, len(listing.Objects))]
	return listing, more, nil
}

// Compact drops the changes of all kinds; a watch from an earlier version then
// fails with ErrTooOld. It increases the version first, so that a watch from the
// version before Compact fails too.
func (p *Platform) Compact() {
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	p.store.version++
	p.store.dropChanges()
}

// versionWithoutChanges returns the version of the store, which every change of any kind
// increases, or from if the kind has changed since from.
func (s *store) versionWithoutChanges(kind platform.Kind, from uint64) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	log := s.logOf(kind)
	if n := len(log.changes); n > 0 && log.changes[n-1].version > from || from < log.compacted {
		return from
	}
	return max(from, s.version)
}

// currentVersion returns the version of the store.
func (s *store) currentVersion() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}
