package experiment

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hickorydock/hickorydock/internal/node"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/protocol/upstream"
	"github.com/hickorydock/hickorydock/internal/standin/leaf"
)

// soakFleet is the demo with what changes in it while faults happen.
type soakFleet struct {
	demo    *Demo
	indexes []*soakIndex

	mu      sync.Mutex
	places  []*soakPosition
	names   [demoNodes]string
	busy    [demoNodes]bool // nodes that are being replaced
	started int             // nodes ever
	retired []*node.Node
	faulty  []*platformFault
	outages []span
	starts  []time.Time // of nodes after the first ones
	failed  error
	counts  map[string]int

	drains, lateSubrequests, drainsChecked, drainsSkipped int
}

// span is a stretch of time; a zero end is still to come.
type span struct{ begin, end time.Time }

// soakPosition is where one leaf after another serves the same part of an index.
type soakPosition struct {
	group    string
	options  leaf.Options
	shard    int
	leaf     *leaf.Leaf
	holdings []upstream.Holding
	draining bool
	denier   *leaf.Leaf // its manifest denies that it drains
	number   int        // of replacements
}

// soakIndex is the index of a service and all its layouts so far.
type soakIndex struct {
	service string
	shards  int // of the first layout

	moving  sync.Mutex // held while leafs take up a layout
	now     layout
	layouts map[query.Snapshot]int // guarded by soakFleet.mu
}

func newSoakFleet(d *Demo) *soakFleet {
	f := &soakFleet{demo: d, started: demoNodes, counts: make(map[string]int)}
	for _, g := range demoGroups {
		f.addIndex(g.name, g.shards)
		for shard := range g.shards {
			for replica := range g.replicas {
				f.addPosition(g.name, shard, g.leaf(shard, replica))
			}
		}
	}
	for i := range f.names {
		f.names[i] = fmt.Sprintf("node-%d", i)
	}
	f.addIndex(demoComplaints.Name, 1)
	for replica := range commandReplicas {
		f.addPosition(demoComplaints.UpstreamGroup, 0, complaintsLeaf(replica))
	}
	return f
}

func (f *soakFleet) addIndex(service string, shards int) {
	first := layout{firstSnapshot, shards}
	f.indexes = append(f.indexes, &soakIndex{
		service: service, shards: shards, now: first, layouts: map[query.Snapshot]int{firstSnapshot: shards},
	})
}

func (f *soakFleet) addPosition(group string, shard int, o leaf.Options) {
	f.places = append(f.places, &soakPosition{
		group: group, options: o, shard: shard, leaf: f.demo.leafs[len(f.places)], holdings: o.Holdings,
	})
}

// fail keeps the first error of the stand-ins themselves.
func (f *soakFleet) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failed = firstError(f.failed, err)
}

func (f *soakFleet) failure() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failed
}

// pick returns a place and the leaf that serves there now.
func (f *soakFleet) pick(random *rand.Rand) (*soakPosition, *leaf.Leaf) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.places[random.IntN(len(f.places))]
	return p, p.leaf
}

// move gives the leafs of an index the next layout, each at its own moment.
func (f *soakFleet) move(ctx context.Context, x *soakIndex, repartition bool) {
	x.moving.Lock()
	defer x.moving.Unlock()
	next := x.now
	next.snapshot.Version++
	if repartition {
		next.snapshot.Generation++
		next.shards = 3*x.shards - x.now.shards // between the first count and its double
	}
	f.mu.Lock()
	x.layouts[next.snapshot] = next.shards
	f.mu.Unlock()
	for _, p := range f.places {
		if p.group != x.service {
			continue
		}
		sleepUntil(ctx, time.Now().Add(versionsSpread/time.Duration(len(f.places))))
		f.mu.Lock()
		p.holdings = []upstream.Holding{x.holding(x.now, p.shard), x.holding(next, p.shard)}
		p.leaf.SetHoldings(p.holdings)
		f.mu.Unlock()
	}
	x.now = next
}

// holding is what the leafs of a place hold in a layout.
func (x *soakIndex) holding(l layout, shard int) upstream.Holding {
	h := upstream.Holding{Service: x.service, Snapshot: l.snapshot, ShardCount: l.shards}
	for s := shard; s < l.shards; s += x.shards {
		h.Shards = append(h.Shards, s)
	}
	return h
}

// replaceLeaf crashes the leaf of a place and later starts another one at a new
// address, under the old name or a new one.
func (f *soakFleet) replaceLeaf(ctx context.Context, p *soakPosition, old *leaf.Leaf, down time.Duration, rename bool) {
	old.Close()
	sleepUntil(ctx, time.Now().Add(down))
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.leaf != old {
		return // replaced meanwhile
	}
	p.number++
	o := p.options
	o.Seed += uint64(1000 * p.number)
	o.Holdings = p.holdings
	if rename {
		o.ID = fmt.Sprintf("%s-r%d", p.options.ID, p.number)
	}
	if o.ID != old.ID() {
		f.failed = firstError(f.failed, f.demo.forget(old.ID()))
	}
	successor := leaf.New(o)
	if err := f.demo.startLeaf(p.group, successor); err != nil {
		f.failed = firstError(f.failed, err)
		return
	}
	p.leaf = successor
}

// setVMState changes what the platform's list says of the leaf of a place.
func (f *soakFleet) setVMState(p *soakPosition, l *leaf.Leaf, state platform.VMState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.leaf != l {
		return // replaced meanwhile
	}
	vm := platform.VM{ID: l.ID(), Group: p.group, Address: f.demo.addresses[l.ID()], AvailabilityZone: l.AvailabilityZone(), State: state}
	f.failed = firstError(f.failed, f.demo.platform.Set(platform.KindVM, l.ID(), vm))
}

// reserveNode reserves a node for replacement; ok is false when too many are.
func (f *soakFleet) reserveNode(random *rand.Rand, most int) (i int, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	taken := 0
	for _, b := range f.busy {
		if b {
			taken++
		}
	}
	i = random.IntN(demoNodes)
	for f.busy[i] && taken < demoNodes {
		i = (i + 1) % demoNodes
	}
	if taken >= most {
		return 0, false
	}
	f.busy[i] = true
	return i, true
}

// launchNode starts a successor of node i under a new name.
func (f *soakFleet) launchNode(ctx context.Context) (*node.Node, string, error) {
	f.mu.Lock()
	settings := f.demo.nodeSettings(f.started)
	f.started++
	f.starts = append(f.starts, time.Now())
	f.mu.Unlock()
	n, err := f.demo.launch(ctx, settings, io.Discard)
	return n, settings.Node.ID, err
}

// allNodes are the nodes that run and those that were stopped.
func (f *soakFleet) allNodes() []*node.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append(append([]*node.Node(nil), f.retired...), f.demo.nodes...)
}
