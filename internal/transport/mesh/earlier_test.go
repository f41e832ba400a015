package mesh

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/backoff"
	"github.com/hickorydock/hickorydock/internal/coordination/reader"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/transport/follow"
)

// TestEvacuationsBesideEarlierRelease guards against nodes that miss an evacuation, or that all
// watch the platform, while half of the nodes do not follow evacuations.
func TestEvacuationsBesideEarlierRelease(t *testing.T) {
	const count = 12
	store := newPlatform()
	nodes := startNodes(t, count, func(int) platform.Client { return store })
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	var informed atomic.Int64
	for i := 1; i < count; i += 2 { // the others follow no evacuations
		w := &follow.Watcher{
			Client: nodes[i].client, Kind: platform.KindEvacuation, Backoff: backoff.PlatformFollow,
			OnList:  func(l platform.Listing) { informed.Add(int64(len(l.Objects))) },
			OnEvent: func(platform.Event) { informed.Add(1) },
			OnError: func(error) {},
		}
		running.Go(func() { w.Run(ctx) })
	}
	time.Sleep(3 * time.Second) // until all have found sources
	before := store.evacuationCalls.Load()
	const length = 4 * time.Second
	time.Sleep(length)
	calls := store.evacuationCalls.Load() - before
	if most := int64(reader.Count * (length/testWait + 1)); calls > most {
		t.Errorf("%d watches of the platform in %v, want at most %d", calls, length, most)
	}
	store.put(platform.KindEvacuation, "az-1", []byte("{}"))
	time.Sleep(time.Second)
	if got := informed.Load(); got != count/2 {
		t.Errorf("%d of %d nodes have heard of an evacuation", got, count/2)
	}
}
