package follow

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/backoff"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// forgetful is a platform that has no history for any watch.
type forgetful struct {
	platform.Client
	lists atomic.Int64
}

func (p *forgetful) List(context.Context, platform.Kind) (platform.Listing, error) {
	p.lists.Add(1)
	return platform.Listing{}, nil
}

func (p *forgetful) Watch(context.Context, platform.Kind, uint64, func(platform.Event) error) error {
	return platform.ErrTooOld
}

// TestHistoryGoneInSeries guards against a list for each of the watches that end with a history that
// is gone, without a pause between them. The first one is followed by a list at once.
func TestHistoryGoneInSeries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &forgetful{}
		w := &Watcher{Client: p, Backoff: backoff.PlatformFollow, OnList: func(platform.Listing) {}, OnError: func(error) {}}
		ctx, cancel := context.WithCancel(t.Context())
		go w.Run(ctx)
		synctest.Wait()
		if lists := p.lists.Load(); lists != 2 {
			t.Errorf("%d lists at once, want one and another after the first watch", lists)
		}
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if lists := p.lists.Load(); lists > 2+10*2 {
			t.Errorf("%d lists in 10 s, want at most 2 a second", lists)
		}
		cancel()
	})
}
