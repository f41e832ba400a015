// Package follow lists and watches the objects of one kind on the platform.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/backoff"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// Watcher lists a kind, watches from the list's version, resumes an interrupted
// watch from the last version and lists again when that is too old.
type Watcher struct {
	Client platform.Client
	Kind   platform.Kind
	// Backoff sets the delays after failures.
	Backoff backoff.Policy
	// OnList and OnEvent receive the listings and events of the platform, in order.
	OnList  func(platform.Listing)
	OnEvent func(platform.Event)
	// OnError is called with each failure, before the delay.
	OnError func(err error)
	// OnTooOld is called when the changes since the last version are no longer available, so
	// that all objects are listed again. That is an answer, not a failure. It may be nil.
	OnTooOld func(err error)
	// OnReply is called for each listing and each event that the platform sends,
	// before OnList and OnEvent; it may be nil.
	OnReply func()
}

// Run lists and watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	delays := backoff.New(w.Backoff)
	var version uint64
	listed := false
	tooOld := 0 // watches in a row without a reply
	for ctx.Err() == nil {
		start := time.Now()
		var err error
		if !listed {
			version, err = w.list(ctx)
			listed = err == nil
		}
		replied := false
		if listed {
			version, replied, err = w.watch(ctx, version)
		}
		if ctx.Err() != nil {
			return
		}
		if replied {
			tooOld = 0
		}
		if errors.Is(err, platform.ErrTooOld) && listed {
			w.notifyTooOld(err)
			listed = false
			if tooOld++; tooOld > 1 {
				Sleep(ctx, delays.Next(time.Since(start), rand.Float64()))
			}
			continue
		}
		w.OnError(err)
		Sleep(ctx, delays.Next(time.Since(start), rand.Float64()))
	}
}

func (w *Watcher) list(ctx context.Context) (uint64, error) {
	listing, err := w.Client.List(ctx, w.Kind)
	if err != nil {
		return 0, err
	}
	w.notifyReply()
	w.OnList(listing)
	return listing.Version, nil
}

// watch returns the version from which the next watch resumes, and whether the platform replied.
func (w *Watcher) watch(ctx context.Context, version uint64) (reached uint64, replied bool, err error) {
	err = w.Client.Watch(ctx, w.Kind, version, func(event platform.Event) error {
		w.notifyReply()
		replied = true
		version = max(version, event.Object.Version)
		if !event.Progress {
			w.OnEvent(event)
		}
		return nil
	})
	return version, replied, err
}

func (w *Watcher) notifyReply() {
	if w.OnReply != nil {
		w.OnReply()
	}
}

func (w *Watcher) notifyTooOld(err error) {
	if w.OnTooOld != nil {
		w.OnTooOld(err)
	}
}

// Sleep waits for d, or returns early when ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
