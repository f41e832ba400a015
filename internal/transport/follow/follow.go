// Package follow keeps up with one kind of the platform's objects.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/backoff"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// Follower lists a kind, watches from the list's version, resumes a broken watch
// from the last version and lists again when that is too old.
type Follower struct {
	Client platform.Client
	Kind   platform.Kind
	// Backoff bounds the waits after failures.
	Backoff backoff.Policy
	// Listed and Changed receive what the platform says, in order.
	Listed  func(platform.Listing)
	Changed func(platform.Event)
	// Failed is told of each failure before the wait.
	Failed func(err error)
	// Reached is told of each answer of the platform; it may be nil.
	Reached func()
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	wait := backoff.New(f.Backoff)
	var version uint64
	known := false
	for ctx.Err() == nil {
		start := time.Now()
		var err error
		if !known {
			version, err = f.list(ctx)
			known = err == nil
		}
		if known {
			version, err = f.watch(ctx, version)
		}
		if ctx.Err() != nil {
			return
		}
		f.Failed(err)
		if errors.Is(err, platform.ErrTooOld) && known {
			// The platform answers, so what was missed is read at once.
			known = false
			continue
		}
		Sleep(ctx, wait.Next(time.Since(start), rand.Float64()))
	}
}

func (f *Follower) list(ctx context.Context) (uint64, error) {
	listing, err := f.Client.List(ctx, f.Kind)
	if err != nil {
		return 0, err
	}
	f.reached()
	f.Listed(listing)
	return listing.Version, nil
}

// watch returns the version from which the next watch resumes.
func (f *Follower) watch(ctx context.Context, version uint64) (uint64, error) {
	err := f.Client.Watch(ctx, f.Kind, version, func(event platform.Event) error {
		f.reached()
		version = max(version, event.Object.Version)
		if !event.Progress {
			f.Changed(event)
		}
		return nil
	})
	return version, err
}

func (f *Follower) reached() {
	if f.Reached != nil {
		f.Reached()
	}
}

// Sleep waits, or returns early when ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
