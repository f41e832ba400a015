package mesh

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/reader"
	messages "github.com/hickorydock/hickorydock/internal/protocol/membership"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

const (
	// cutWait is how long a watch waits, and thus how late a change may be that it misses.
	cutWait = 900 * time.Millisecond
	// testHeartbeat is the time between two heartbeats of a leaf.
	testHeartbeat = 1200 * time.Millisecond
)

// cuttingPlatform is one node's way to a platform, which can cut off watches that wait.
type cuttingPlatform struct {
	*fakePlatform
	mu      sync.Mutex
	waiting map[int]context.CancelCauseFunc
	next    int
	// failedLists is the number of lists that fail next, and away fails all calls.
	failedLists atomic.Int64
	away        atomic.Bool
}

func newCuttingPlatform(p *fakePlatform) *cuttingPlatform {
	return &cuttingPlatform{fakePlatform: p, waiting: make(map[int]context.CancelCauseFunc)}
}

func (p *cuttingPlatform) watchWait() time.Duration { return cutWait }

// cut ends the watches that wait with an error.
func (p *cuttingPlatform) cut(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, cancel := range p.waiting {
		cancel(err)
	}
}

func (p *cuttingPlatform) List(ctx context.Context, kind platform.Kind) (platform.Listing, error) {
	if p.away.Load() || p.failedLists.Add(-1) >= 0 {
		return platform.Listing{}, platform.ErrUnavailable
	}
	return p.fakePlatform.List(ctx, kind)
}

func (p *cuttingPlatform) Watch(ctx context.Context, kind platform.Kind, from uint64, each func(platform.Event) error) error {
	for {
		version, err := p.wait(ctx, kind, from, cutWait, each)
		if err != nil {
			return err
		}
		from = version
	}
}

func (p *cuttingPlatform) Poll(ctx context.Context, kind platform.Kind, from uint64, each func(platform.Event) error) error {
	_, err := p.wait(ctx, kind, from, 0, each)
	return err
}

func (p *cuttingPlatform) wait(ctx context.Context, kind platform.Kind, from uint64, wait time.Duration, each func(platform.Event) error) (uint64, error) {
	waitCtx, cancel := context.WithCancelCause(ctx)
	p.mu.Lock()
	p.next++
	id := p.next
	if wait > 0 {
		p.waiting[id] = cancel
	}
	p.mu.Unlock()
	defer func() {
		cancel(nil)
		p.mu.Lock()
		delete(p.waiting, id)
		p.mu.Unlock()
	}()
	if p.away.Load() || p.down.Load() {
		return from, platform.ErrUnavailable
	}
	events, version, _, err := p.objects.Changes(waitCtx, kind, from, wait)
	switch {
	case p.away.Load() || p.down.Load():
		return from, platform.ErrUnavailable
	case ctx.Err() == nil && waitCtx.Err() != nil:
		return from, context.Cause(waitCtx)
	case err != nil:
		return from, err
	}
	for _, e := range append(events, platform.Event{Progress: true, Object: platform.Object{Version: version}}) {
		if err := each(e); err != nil {
			return from, err
		}
	}
	return version, nil
}

// cutRig is a fleet whose ways to the platform can be cut one by one.
type cutRig struct {
	store *fakePlatform
	ways  []*cuttingPlatform
	nodes []*node
	// readers are the indices of the nodes that read the platform.
	readers []int
}

func newCutRig(t *testing.T, count int) *cutRig {
	t.Helper()
	r := &cutRig{store: newPlatform()}
	r.store.set(1)
	var members []messages.Member
	for i := range count {
		members = append(members, messages.Member{ID: fmt.Sprintf("n%d", i), AvailabilityZone: fmt.Sprintf("az-%d", i%2), State: messages.Alive})
		r.ways = append(r.ways, newCuttingPlatform(r.store))
	}
	for i, m := range members {
		if slices.Contains(reader.Readers(members, nil), m.ID) {
			r.readers = append(r.readers, i)
		}
	}
	r.nodes = startConfigured(t, count, func(i int) platform.Client { return r.ways[i] }, func(_ int, m *Mesh) { m.cfg.Heartbeat = testHeartbeat })
	awaitAll(t, r.nodes, "1", 5*time.Second)
	time.Sleep(cutWait + 100*time.Millisecond) // until the nodes that started from the platform follow the readers
	return r
}

// checkOutages checks which nodes know of an outage that ended after a time.
func (r *cutRig) checkOutages(t *testing.T, after time.Time, want bool) {
	t.Helper()
	for _, n := range r.nodes {
		if ended := n.client.OutageEnded(platform.KindRouting); ended.After(after) != want {
			t.Errorf("%s knows of an outage that ended at %v; want one after %v: %t", n.cfg.Node, ended, after, want)
		}
	}
}

var errBrokenReply = fmt.Errorf("%w: unreadable reply", platform.ErrUnavailable)

// TestCutWatches guards against changes that reach no node because readers whose watches are cut
// off leave the platform to others, and against an outage for which such cuts are taken.
func TestCutWatches(t *testing.T) {
	type cuts struct {
		name string
		err  error
		// times is the number of cuts before the change; gap is the pause between two of them.
		times int
		gap   time.Duration
		// lasting goes on with the cuts after the change.
		lasting     bool
		failedLists int64
	}
	tests := []cuts{
		{name: "once", err: platform.ErrUnavailable, times: 1},
		{name: "in series", err: platform.ErrUnavailable, times: 6, gap: 15 * time.Millisecond},
		{name: "all the time", err: platform.ErrUnavailable, times: 20, gap: 40 * time.Millisecond, lasting: true},
		{name: "after the change", err: platform.ErrUnavailable, lasting: true, gap: 40 * time.Millisecond},
		{name: "broken replies", err: errBrokenReply, times: 3, gap: 30 * time.Millisecond},
		{name: "history gone", err: platform.ErrTooOld, times: 2, gap: 30 * time.Millisecond},
		{name: "history gone and lists fail", err: platform.ErrTooOld, times: 1, failedLists: 3},
	}
	for _, both := range []bool{false, true} {
		for _, test := range tests {
			t.Run(fmt.Sprintf("%s, both readers %t", test.name, both), func(t *testing.T) {
				r := newCutRig(t, 6)
				before := time.Now()
				cut := r.readers[:1]
				if both {
					cut = r.readers
				}
				cutAll := func() {
					for _, i := range cut {
						r.ways[i].cut(test.err)
					}
				}
				for _, i := range cut {
					r.ways[i].failedLists.Store(test.failedLists)
				}
				for range test.times {
					cutAll()
					time.Sleep(test.gap)
				}
				time.Sleep(20 * time.Millisecond)
				stop := make(chan struct{})
				var cutting sync.WaitGroup
				if test.lasting {
					cutting.Go(func() {
						for ticker := time.NewTicker(test.gap); ; {
							cutAll()
							select {
							case <-stop:
								ticker.Stop()
								return
							case <-ticker.C:
							}
						}
					})
				}
				r.store.set(2)
				awaitAll(t, r.nodes, "2", cutWait)
				close(stop)
				cutting.Wait()
				r.checkOutages(t, before, false)
			})
		}
	}
}

// TestOutageIsKnownToAll guards against nodes that do not know of an outage in which registrations
// may have expired, because they follow others and only those call the platform.
func TestOutageIsKnownToAll(t *testing.T) {
	r := newCutRig(t, 6)
	r.store.down.Store(true)
	time.Sleep(testHeartbeat + cutWait)
	back := time.Now()
	r.store.down.Store(false)
	r.store.set(2)
	awaitAll(t, r.nodes, "2", 3*time.Second)
	r.checkOutages(t, back, true)
}

// TestLostWayIsAnOutage guards against a node whose own way to the platform is lost and that takes
// registrations that expired meanwhile for removals, and against others that keep removed leafs
// because of it.
func TestLostWayIsAnOutage(t *testing.T) {
	r := newCutRig(t, 4)
	lost := r.readers[0]
	before := time.Now()
	r.ways[lost].away.Store(true)
	r.ways[lost].cut(platform.ErrUnavailable)
	time.Sleep(testHeartbeat + 200*time.Millisecond)
	r.store.set(2)
	awaitAll(t, r.nodes, "2", cutWait)
	for i, n := range r.nodes {
		if known := n.client.OutageEnded(platform.KindRouting).After(before); known != (i == lost) {
			t.Errorf("%s knows of an outage: %t; want only %s to", n.cfg.Node, known, r.nodes[lost].cfg.Node)
		}
	}
}

// TestStopBesideCutWatches guards against a change that is lost because the watches are cut off
// while one of the readers leaves.
func TestStopBesideCutWatches(t *testing.T) {
	r := newCutRig(t, 6)
	for range 4 {
		for _, i := range r.readers {
			r.ways[i].cut(errors.Join(platform.ErrUnavailable, context.Canceled))
		}
		r.nodes[r.readers[0]].Leave()
		time.Sleep(10 * time.Millisecond)
	}
	r.store.set(2)
	awaitAll(t, r.nodes, "2", cutWait)
}
