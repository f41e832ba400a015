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

// soakFleet is the demo with the state that changes while faults are injected.
type soakFleet struct {
	demo    *Demo
	indexes []*soakIndex

	mu             sync.Mutex
	positions      []*soakPosition
	nodeIDs        [demoNodes]string
	replacing      [demoNodes]bool // nodes that are being replaced
	nodesStarted   int             // including the first ones
	stoppedNodes   []*node.Node
	platformFaults []*platformFault
	outages        []interval
	laterStarts    []time.Time // start times of nodes after the first ones
	firstErr       error
	counts         map[string]int

	drains, lateSubrequests, drainsChecked, drainsSkipped int
}

// interval is a period of time that has ended.
type interval struct{ begin, end time.Time }

// soakPosition is a position in the index that one leaf after another serves.
type soakPosition struct {
	group        string
	options      leaf.Options
	shard        int
	leaf         *leaf.Leaf
	holdings     []upstream.Holding
	draining     bool
	denyingLeaf  *leaf.Leaf // the leaf whose manifest reports no drain while it drains
	replacements int        // number of replaced leafs
}

// soakIndex is the index of a service and all its layouts so far.
type soakIndex struct {
	service string
	shards  int // of the first layout

	moveMu  sync.Mutex // held while leafs change to a layout
	current layout
	layouts map[query.Snapshot]int // guarded by soakFleet.mu
}

func newSoakFleet(d *Demo) *soakFleet {
	f := &soakFleet{demo: d, nodesStarted: demoNodes, counts: make(map[string]int)}
	for _, g := range demoGroups {
		f.addIndex(g.name, g.shards)
		for shard := range g.shards {
			for replica := range g.replicas {
				f.addPosition(g.name, shard, g.leaf(shard, replica))
			}
		}
	}
	for i := range f.nodeIDs {
		f.nodeIDs[i] = fmt.Sprintf("node-%d", i)
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
		service: service, shards: shards, current: first, layouts: map[query.Snapshot]int{firstSnapshot: shards},
	})
}

func (f *soakFleet) addPosition(group string, shard int, o leaf.Options) {
	f.positions = append(f.positions, &soakPosition{
		group: group, options: o, shard: shard, leaf: f.demo.leafs[len(f.positions)], holdings: o.Holdings,
	})
}

// recordError keeps the first error of an operation of the run itself, such as the
// start of a node.
func (f *soakFleet) recordError(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.firstErr = firstError(f.firstErr, err)
}

func (f *soakFleet) failure() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.firstErr
}

// pickPosition returns a random position and its current leaf.
func (f *soakFleet) pickPosition(random *rand.Rand) (*soakPosition, *leaf.Leaf) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.positions[random.IntN(len(f.positions))]
	return p, p.leaf
}

// moveIndex gives the leafs of an index the next layout, each at a different time.
func (f *soakFleet) moveIndex(ctx context.Context, x *soakIndex, repartition bool) {
	x.moveMu.Lock()
	defer x.moveMu.Unlock()
	next := x.current
	next.snapshot.Version++
	if repartition {
		next.snapshot.Generation++
		next.shards = 3*x.shards - x.current.shards // between the first count and its double
	}
	f.mu.Lock()
	x.layouts[next.snapshot] = next.shards
	f.mu.Unlock()
	for _, p := range f.positions {
		if p.group != x.service {
			continue
		}
		sleepUntil(ctx, time.Now().Add(versionsSpread/time.Duration(len(f.positions))))
		f.mu.Lock()
		p.holdings = []upstream.Holding{x.holding(x.current, p.shard), x.holding(next, p.shard)}
		p.leaf.SetHoldings(p.holdings)
		f.mu.Unlock()
	}
	x.current = next
}

// holding returns the holding of the leafs of a position in a layout.
func (x *soakIndex) holding(l layout, shard int) upstream.Holding {
	h := upstream.Holding{Service: x.service, Snapshot: l.snapshot, ShardCount: l.shards}
	for s := shard; s < l.shards; s += x.shards {
		h.Shards = append(h.Shards, s)
	}
	return h
}

// replaceLeaf crashes the leaf of a position and after down starts another one at a
// new address, under the previous ID or a new one.
func (f *soakFleet) replaceLeaf(ctx context.Context, p *soakPosition, old *leaf.Leaf, down time.Duration, rename bool) {
	old.Close()
	sleepUntil(ctx, time.Now().Add(down))
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.leaf != old {
		return // replaced meanwhile
	}
	p.replacements++
	o := p.options
	o.Seed += uint64(1000 * p.replacements)
	o.Holdings = p.holdings
	if rename {
		o.ID = fmt.Sprintf("%s-r%d", p.options.ID, p.replacements)
	}
	if o.ID != old.ID() {
		f.firstErr = firstError(f.firstErr, f.demo.removeVM(old.ID()))
	}
	successor := leaf.New(o)
	if err := f.demo.startLeaf(p.group, successor); err != nil {
		f.firstErr = firstError(f.firstErr, err)
		return
	}
	p.leaf = successor
}

// setVMState changes the state of the leaf of a position in the VM list.
func (f *soakFleet) setVMState(p *soakPosition, l *leaf.Leaf, state platform.VMState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.leaf != l {
		return // replaced meanwhile
	}
	vm := platform.VM{ID: l.ID(), Group: p.group, Address: f.demo.addresses[l.ID()], AvailabilityZone: l.AvailabilityZone(), State: state}
	f.firstErr = firstError(f.firstErr, f.demo.platform.Set(platform.KindVM, l.ID(), vm))
}

// reserveNode reserves a node for replacement; ok is false if limit nodes already are.
func (f *soakFleet) reserveNode(random *rand.Rand, limit int) (i int, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	reserved := 0
	for _, busy := range f.replacing {
		if busy {
			reserved++
		}
	}
	i = random.IntN(demoNodes)
	for f.replacing[i] && reserved < demoNodes {
		i = (i + 1) % demoNodes
	}
	if reserved >= limit {
		return 0, false
	}
	f.replacing[i] = true
	return i, true
}

// launchNode starts a node under a new ID and returns both.
func (f *soakFleet) launchNode(ctx context.Context) (*node.Node, string, error) {
	f.mu.Lock()
	settings := f.demo.nodeSettings(f.nodesStarted)
	f.nodesStarted++
	f.laterStarts = append(f.laterStarts, time.Now())
	f.mu.Unlock()
	n, err := f.demo.launch(ctx, settings, io.Discard)
	return n, settings.Node.ID, err
}

// allNodes returns the running nodes and the stopped ones.
func (f *soakFleet) allNodes() []*node.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append(append([]*node.Node(nil), f.stoppedNodes...), f.demo.nodes...)
}
