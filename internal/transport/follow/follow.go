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

// Watcher lists a kind, watches from the list's version, resumes a broken watch
// from the last version and lists again when that is too old.
type Watcher struct {
	Client platform.Client
	Kind   platform.Kind
	// Backoff bounds the waits after failures.
	Backoff backoff.Policy
	// OnList and OnEvent receive the listings and events of the platform, in order.
	OnList  func(platform.Listing)
	OnEvent func(platform.Event)
	// OnError is called with each failure, before the wait.
	OnError func(err error)
	// OnReply is called for each reply of the platform; it may be nil.
	OnReply func()
}

// Run follows until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	delays := backoff.New(w.Backoff)
	var version uint64
	known := false
	for ctx.Err() == nil {
		start := time.Now()
		var err error
		if !known {
			version, err = w.list(ctx)
			known = err == nil
		}
		if known {
			version, err = w.watch(ctx, version)
		}
		if ctx.Err() != nil {
			return
		}
		w.OnError(err)
		if errors.Is(err, platform.ErrTooOld) && known {
			// The platform answers, so what was missed is read at once.
			known = false
			continue
		}
		Sleep(ctx, delays.Next(time.Since(start), rand.Float64()))
	}
}

func (w *Watcher) list(ctx context.Context) (uint64, error) {
	listing, err := w.Client.List(ctx, w.Kind)
	if err != nil {
		return 0, err
	}
	w.replied()
	w.OnList(listing)
	return listing.Version, nil
}

// watch returns the version from which the next watch resumes.
func (w *Watcher) watch(ctx context.Context, version uint64) (uint64, error) {
	err := w.Client.Watch(ctx, w.Kind, version, func(event platform.Event) error {
		w.replied()
		version = max(version, event.Object.Version)
		if !event.Progress {
			w.OnEvent(event)
		}
		return nil
	})
	return version, err
}

func (w *Watcher) replied() {
	if w.OnReply != nil {
		w.OnReply()
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
