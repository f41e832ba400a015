package mesh

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/state/mirror"
)

// fakePlatform is a platform whose watches poll a mirror.
type fakePlatform struct {
	platform.Client
	objects *mirror.Mirror
	down    atomic.Bool
	calls   atomic.Int64
	// evacuationCalls counts the watches of evacuations.
	evacuationCalls atomic.Int64
	mu              sync.Mutex
	version         uint64
}

func newPlatform() *fakePlatform {
	p := &fakePlatform{objects: mirror.New(), version: 1}
	for _, kind := range []platform.Kind{platform.KindRouting, platform.KindContact, platform.KindQuarantine, platform.KindEvacuation} {
		p.objects.Replace(kind, platform.Listing{Version: p.version}, time.Now())
	}
	return p
}

func (p *fakePlatform) set(value int) {
	p.put(platform.KindRouting, platform.RoutingName, []byte(strconv.Itoa(value)))
}

// put stores an object.
func (p *fakePlatform) put(kind platform.Kind, name string, value []byte) platform.Object {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	object := platform.Object{Kind: kind, Name: name, Version: p.version, Value: value}
	p.objects.Apply(kind, []platform.Event{{Object: object}}, p.version, time.Now())
	return object
}

// Create stores an object.
func (p *fakePlatform) Create(_ context.Context, kind platform.Kind, name string, value json.RawMessage) (platform.Object, error) {
	return p.put(kind, name, value), nil
}

// Update replaces an object.
func (p *fakePlatform) Update(_ context.Context, o platform.Object) (platform.Object, error) {
	return p.put(o.Kind, o.Name, o.Value), nil
}

// List returns all objects.
func (p *fakePlatform) List(_ context.Context, kind platform.Kind) (platform.Listing, error) {
	if p.down.Load() {
		return platform.Listing{}, platform.ErrUnavailable
	}
	listing, _, _ := p.objects.List(kind)
	return listing, nil
}

// Watch polls for changes.
func (p *fakePlatform) Watch(ctx context.Context, kind platform.Kind, from uint64, each func(platform.Event) error) error {
	for {
		p.calls.Add(1)
		if kind == platform.KindEvacuation {
			p.evacuationCalls.Add(1)
		}
		if p.down.Load() {
			return platform.ErrUnavailable
		}
		events, version, _, err := p.objects.Changes(ctx, kind, from, testWait)
		if err != nil {
			return err
		}
		if p.down.Load() {
			return platform.ErrUnavailable
		}
		for _, e := range append(events, platform.Event{Progress: true, Object: platform.Object{Version: version}}) {
			if err := each(e); err != nil {
				return err
			}
		}
		from = version
	}
}
