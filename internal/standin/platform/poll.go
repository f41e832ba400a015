package platform

import (
	"context"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// Poll returns the changes of a kind after a version as soon as there is one, or
// none after wait, and the version to go on from. It is for platforms whose
// watches are calls that wait. While watches are deaf, a poll that waits hears
// nothing.
func (p *Platform) Poll(ctx context.Context, kind platform.Kind, from uint64, wait time.Duration) ([]platform.Event, uint64, error) {
	if err := p.enter(ctx, Call{MethodWatch, kind}); err != nil {
		return nil, 0, err
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for first := true; ; first = false {
		changes, wake, err := p.store.since(kind, from)
		if err != nil {
			return nil, 0, err
		}
		faults, changed := p.faultsAndChange()
		if len(changes) > 0 && (first || !faults.StalledWatches) {
			return eventsOf(changes), changes[len(changes)-1].version, p.await(ctx)
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-deadline.C:
			if len(changes) == 0 {
				from = max(from, p.store.current())
			}
			return nil, from, p.await(ctx)
		case <-wake:
		case <-changed:
		}
	}
}

func eventsOf(changes []change) []platform.Event {
	events := make([]platform.Event, len(changes))
	for i, c := range changes {
		events[i] = c.event
		events[i].Object.Version = c.version
	}
	return events
}

// Page returns up to most objects of a kind whose names come after a name, and
// whether more follow.
func (p *Platform) Page(ctx context.Context, kind platform.Kind, after string, most int) (platform.Listing, bool, error) {
	listing, err := run(ctx, p, Call{MethodList, kind}, func() (platform.Listing, error) { return p.store.list(kind), nil })
	if err != nil {
		return platform.Listing{}, false, err
	}
	for len(listing.Objects) > 0 && listing.Objects[0].Name <= after {
		listing.Objects = listing.Objects[1:]
	}
	more := len(listing.Objects) > most
	listing.Objects = listing.Objects[:min(most, len(listing.Objects))]
	return listing, more, nil
}

// Compact drops the history of all kinds; watches from before then fail with
// ErrTooOld.
func (p *Platform) Compact() {
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	p.store.version++
	for _, f := range p.store.feeds {
		f.changes = nil
		f.forgotten = p.store.version
		close(f.wake)
		f.wake = make(chan struct{})
	}
}

// current is the store's version.
func (s *store) current() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}
