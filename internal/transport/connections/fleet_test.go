package connections

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

const (
	fleetNodes = 7
	// fleetLag is the longest time until a node sees a change.
	fleetLag = time.Second
	// listLag is the longest time until the platform lists a started node or drops a stopped one.
	listLag = 2 * time.Second
	// fleetSpan is the virtual duration of one run.
	fleetSpan = 2 * time.Minute
)

// fleet is a set of nodes that receive each change of the platform's list and of
// the catalogue with a random delay.
type fleet struct {
	t            *testing.T
	random       *rand.Rand
	leaf         platform.VM
	running      sync.WaitGroup
	nextID       int
	nodes        map[int]*fleetNode
	listed       map[int]bool
	limit        int
	formerLimits []formerLimit
}

type fleetNode struct {
	shares *Shares
	leafs  *fakeLeafClient
	cancel context.CancelFunc
	ctx    context.Context
	// lastList and lastCatalogue are the times of the latest deliveries: changes
	// are received in order.
	lastList, lastCatalogue time.Time
}

// formerLimit is a cap of the leaf that the catalogue stated until a time.
type formerLimit struct {
	limit int
	until time.Time
}

// sortedKeys returns the keys in order, so that every run of a seed makes the
// same changes.
func sortedKeys[V any](m map[int]V) []int { return slices.Sorted(maps.Keys(m)) }

func (f *fleet) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(limit)))
}

// deliver calls act after a random delay of at most maxLag and after *last, unless
// ctx ends first.
func (f *fleet) deliver(ctx context.Context, last *time.Time, maxLag time.Duration, act func()) {
	at := time.Now().Add(f.randomDuration(maxLag))
	if at.Before(*last) {
		at = last.Add(time.Nanosecond)
	}
	*last = at
	f.running.Go(func() {
		time.Sleep(time.Until(at))
		if ctx.Err() == nil {
			act()
		}
	})
}

func (f *fleet) start() {
	id := f.nextID
	f.nextID++
	n := &fleetNode{leafs: newFakeLeafClient()}
	n.shares = New(n.leafs, nodeVM(id).ID, settleTime, time.Now())
	n.ctx, n.cancel = context.WithCancel(f.t.Context())
	f.running.Go(func() { n.shares.Run(n.ctx) })
	f.nodes[id] = n
	f.sendList(n)
	f.sendCatalogue(n)
}

func (f *fleet) stop(id int) {
	f.nodes[id].cancel()
	delete(f.nodes, id)
}

// setListed adds a node to the platform's list or removes it, and sends the list to
// every node.
func (f *fleet) setListed(id int, present bool) {
	delete(f.listed, id)
	if present {
		f.listed[id] = true
	}
	for _, id := range sortedKeys(f.nodes) {
		f.sendList(f.nodes[id])
	}
}

func (f *fleet) sendList(n *fleetNode) {
	vms := []platform.VM{f.leaf}
	for id := range f.listed {
		vms = append(vms, nodeVM(id))
	}
	f.deliver(n.ctx, &n.lastList, fleetLag, func() { n.shares.SetVMs(vms) })
}

func (f *fleet) sendCatalogue(n *fleetNode) {
	c := note.Catalogue{Services: []note.Service{service("s", "g", f.limit)}}
	f.deliver(n.ctx, &n.lastCatalogue, fleetLag, func() { n.shares.SetCatalogue(c) })
}

func (f *fleet) setLimit(limit int) {
	f.formerLimits = append(f.formerLimits, formerLimit{f.limit, time.Now()})
	f.limit = limit
	for _, id := range sortedKeys(f.nodes) {
		f.sendCatalogue(f.nodes[id])
	}
}

// check checks that the nodes hold no more connections to the leaf than its cap
// allows. An earlier, higher cap still counts until every node must have received
// the lower one.
func (f *fleet) check(seed uint64) {
	limit := f.limit
	for _, old := range f.formerLimits {
		if time.Since(old.until) <= fleetLag {
			limit = max(limit, old.limit)
		}
	}
	sum := 0
	for _, n := range f.nodes {
		sum += max(n.leafs.count(f.leaf.Address), 0)
	}
	if sum > limit {
		f.t.Fatalf("seed %d: %d connections at a leaf with cap %d", seed, sum, limit)
	}
}

// step makes one change of the fleet.
func (f *fleet) step() {
	switch f.random.IntN(6) {
	case 0: // a node is replaced: the old one stops, the new one is listed later
		f.replace(1)
	case 1: // all are replaced at once
		f.replace(len(f.nodes))
	case 2:
		f.setLimit([]int{10, 25, 40, 100}[f.random.IntN(4)])
	case 3: // one more node runs for a while
		if len(f.nodes) <= fleetNodes {
			f.start()
		}
	case 4: // the platform lists all running nodes
		for _, id := range sortedKeys(f.nodes) {
			if !f.listed[id] {
				f.setListed(id, true)
			}
		}
	case 5: // the platform removes stopped nodes from its list
		for _, id := range sortedKeys(f.listed) {
			if f.nodes[id] == nil {
				f.setListed(id, false)
			}
		}
	}
}

func (f *fleet) replace(count int) {
	for _, id := range sortedKeys(f.nodes)[:count] {
		f.stop(id)
		f.start()
	}
}

// TestCapHoldsOverTheFleet checks the cap of a leaf while nodes start, stop, are
// listed late and receive every change up to 1 s apart.
func TestCapHoldsOverTheFleet(t *testing.T) {
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) { runFleet(t, seed) })
	}
}

func runFleet(t *testing.T, seed uint64) {
	f := &fleet{t: t, random: rand.New(rand.NewPCG(seed, 1)), leaf: leafVM("l", "g"), nodes: make(map[int]*fleetNode), listed: make(map[int]bool), limit: 25}
	for range fleetNodes {
		f.start()
	}
	maxCount := 0
	end := time.Now().Add(fleetSpan)
	next := time.Now()
	for time.Now().Before(end) {
		if !time.Now().Before(next) {
			f.step()
			next = time.Now().Add(f.randomDuration(listLag))
		}
		advance(10 * time.Millisecond)
		f.check(seed)
		for _, n := range f.nodes {
			maxCount = max(maxCount, n.leafs.count(f.leaf.Address))
		}
	}
	if maxCount == 0 {
		t.Errorf("seed %d: no node had a connection", seed)
	}
	for _, id := range sortedKeys(f.nodes) {
		f.stop(id)
	}
	f.running.Wait()
}
