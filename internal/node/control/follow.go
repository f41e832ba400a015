package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/backoff"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// follower keeps up with one kind of objects: it lists, watches from the list's
// version, resumes a broken watch from the last version and lists again when
// that is too old.
type follower struct {
	client platform.Client
	kind   platform.Kind
	// listed and changed receive what the platform says, in order.
	listed  func(platform.Listing)
	changed func(platform.Event)
	// failed is told of each failure before the wait.
	failed func(err error)
}

// run follows until ctx ends.
func (f *follower) run(ctx context.Context) {
	wait := backoff.New(backoff.PlatformReturn)
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
		if errors.Is(err, platform.ErrTooOld) {
			known = false
		}
		f.failed(err)
		sleep(ctx, wait.Next(time.Since(start), rand.Float64()))
	}
}

func (f *follower) list(ctx context.Context) (uint64, error) {
	listing, err := f.client.List(ctx, f.kind)
	if err != nil {
		return 0, err
	}
	f.listed(listing)
	return listing.Version, nil
}

// watch returns the version from which the next watch resumes.
func (f *follower) watch(ctx context.Context, version uint64) (uint64, error) {
	err := f.client.Watch(ctx, f.kind, version, func(event platform.Event) error {
		f.changed(event)
		version = max(version, event.Object.Version)
		return nil
	})
	return version, err
}

// sleep returns early when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
