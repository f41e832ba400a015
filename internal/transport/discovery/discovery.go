// Package discovery fetches the manifests of the leafs in the platform's VM
// list and keeps the shard map current. One goroutine per leaf polls it at a
// jittered interval. The last manifest of a leaf that stops replying is kept until
// the leaf is removed from the platform's list: if it is outdated, the leaf's replies
// to subrequests override it.
package discovery

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/drain"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	contract "github.com/hickorydock/hickorydock/internal/protocol/upstream"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
)

// Source fetches a leaf's manifest; upstream.Client implements it.
type Source interface {
	Manifest(ctx context.Context, vm platform.VM) (contract.Manifest, error)
}

// Discovery polls leafs. Its methods are safe for concurrent use.
type Discovery struct {
	source   Source
	store    *shardmap.Store
	table    *leaf.Table
	interval time.Duration

	mu      sync.Mutex
	base    context.Context
	polled  map[string]leafPoll // by VM identifier
	running sync.WaitGroup
}

// leafPoll is the running poll of one leaf.
type leafPoll struct {
	vm     platform.VM
	cancel context.CancelFunc
	// refresh triggers a fetch before the interval has elapsed; its capacity is 1.
	refresh chan struct{}
}

// New returns a discovery that polls each leaf at intervals of 0.5 to 1.5 times
// interval.
func New(source Source, store *shardmap.Store, table *leaf.Table, interval time.Duration) *Discovery {
	ctx := context.Background()
	return &Discovery{source: source, store: store, table: table, interval: interval, base: ctx, polled: make(map[string]leafPoll)}
}

// SetVMs applies the platform's list of VMs. It starts polls of new leafs and stops
// those of leafs that were removed. A leaf whose entry changed gets a new poll; if its
// address changed, its manifest is removed.
func (d *Discovery) SetVMs(vms []platform.VM) {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		if vm.Group == platform.NodeGroup {
			continue
		}
		listed[vm.ID] = true
		d.startPoll(vm)
	}
	for id, p := range d.polled {
		if listed[id] {
			continue
		}
		p.cancel()
		delete(d.polled, id)
		d.store.Remove(p.vm.Group, id)
	}
}

// startPoll polls a leaf, unless a poll with the same entry of the list is running.
func (d *Discovery) startPoll(vm platform.VM) {
	old, ok := d.polled[vm.ID]
	if ok && old.vm == vm {
		return
	}
	if ok {
		old.cancel()
	}
	if ok && old.vm.Address != vm.Address {
		d.store.Remove(old.vm.Group, vm.ID)
	}
	d.table.Record(vm.ID).UpdateDrain(func(old leaf.DrainState) leaf.DrainState {
		return drain.OnList(old, vm.State == platform.VMLeaving)
	})
	ctx, cancel := context.WithCancel(d.base)
	p := leafPoll{vm, cancel, make(chan struct{}, 1)}
	d.polled[vm.ID] = p
	d.running.Add(1)
	go d.poll(ctx, p)
}

// Refresh triggers a fetch of the manifest of a leaf. Calls while a fetch is pending
// are combined into one.
func (d *Discovery) Refresh(id string) {
	d.mu.Lock()
	p, ok := d.polled[id]
	d.mu.Unlock()
	if !ok {
		return
	}
	select {
	case p.refresh <- struct{}{}:
	default:
	}
}

// poll fetches the manifest of one leaf until ctx ends.
func (d *Discovery) poll(ctx context.Context, p leafPoll) {
	defer d.running.Done()
	for {
		d.fetch(ctx, p.vm)
		jitter := 0.5 + rand.Float64()
		timer := time.NewTimer(time.Duration(jitter * float64(d.interval)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-p.refresh:
			timer.Stop()
		}
	}
}

func (d *Discovery) fetch(ctx context.Context, vm platform.VM) {
	start := time.Now()
	manifest, err := d.source.Manifest(ctx, vm)
	if err != nil || ctx.Err() != nil {
		return
	}
	d.store.SetManifest(vm, manifest, time.Now())
	d.table.Record(vm.ID).UpdateDrain(func(old leaf.DrainState) leaf.DrainState {
		return drain.OnManifest(old, manifest.Draining, manifest.Incarnation, start)
	})
}

// VMs returns the polled leafs in no particular order.
func (d *Discovery) VMs() []platform.VM {
	d.mu.Lock()
	defer d.mu.Unlock()
	vms := make([]platform.VM, 0, len(d.polled))
	for _, p := range d.polled {
		vms = append(vms, p.vm)
	}
	return vms
}

// Close stops all polls and waits for them.
func (d *Discovery) Close() {
	d.SetVMs(nil)
	d.running.Wait()
}
