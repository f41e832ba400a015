package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/replica"
	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	contract "github.com/hickorydock/hickorydock/internal/protocol/upstream"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
	"github.com/hickorydock/hickorydock/internal/transport/discovery"
	"github.com/hickorydock/hickorydock/internal/transport/relay"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
	"github.com/hickorydock/hickorydock/internal/transport/upstream"
)

const (
	movingShards   = 20
	movingReplicas = 2
	moveInterval   = 500 * time.Millisecond
	moveSpread     = 300 * time.Millisecond
)

// moving is a set of leafs whose holdings move on while queries run.
type moving struct {
	*slotted
	holds   sync.Mutex
	held    map[string][]contract.Holding
	changes map[string]int
}

func (m *moving) set(id string, holdings ...contract.Holding) {
	m.holds.Lock()
	defer m.holds.Unlock()
	m.held[id] = holdings
	m.changes[id]++
}

func (m *moving) holdings(id string) ([]contract.Holding, string) {
	m.holds.Lock()
	defer m.holds.Unlock()
	return slices.Clone(m.held[id]), fmt.Sprint(m.changes[id])
}

func (m *moving) Manifest(_ context.Context, vm platform.VM) (contract.Manifest, error) {
	held, _ := m.holdings(vm.ID)
	return contract.Manifest{Leaf: vm.ID, Holdings: held}, nil
}

// Run answers with the leaf's snapshot at the start of the run, as a leaf does.
func (m *moving) Run(ctx context.Context, vm platform.VM, sub contract.Subrequest, left time.Duration, body []byte) upstream.Reply {
	held, tag := m.holdings(vm.ID)
	holds := slices.ContainsFunc(held, func(h contract.Holding) bool {
		return h.Snapshot == sub.Snapshot && slices.Contains(h.Shards, sub.Shard)
	})
	if !holds {
		manifest := &contract.Manifest{Leaf: vm.ID, Holdings: held}
		return upstream.Reply{Result: subrequest.SnapshotUnavailable, Sent: true, Holdings: tag, Manifest: manifest}
	}
	reply := m.slotted.Run(ctx, vm, sub, left, body)
	reply.Holdings = tag
	if reply.Result == subrequest.OK {
		reply.Items = []query.Item{[]byte(fmt.Sprintf("%q", sub.Snapshot))}
	}
	return reply
}

// layout is what all leafs hold after a move.
type layout struct {
	snapshot query.Snapshot
	shards   int
}

// holding is what the leafs of a position hold in a layout.
func (l layout) holding(position int) contract.Holding {
	h := contract.Holding{Service: "s", Snapshot: l.snapshot, ShardCount: l.shards}
	for s := range l.shards {
		if s%movingShards == position {
			h.Shards = append(h.Shards, s)
		}
	}
	return h
}

// next is the layout after move number n; the shard map splits and merges once.
func (l layout) next(n int) layout {
	l.snapshot.Version++
	switch n {
	case 6:
		l.snapshot.Generation++
		l.shards *= 2
	case 12:
		l.snapshot.Generation++
		l.shards /= 2
	}
	return l
}

// move gives every leaf the next layout within moveSpread of each tick.
func (m *moving) move(ctx context.Context, first layout) {
	old := first
	for n := 1; ctx.Err() == nil; n++ {
		time.Sleep(moveInterval - moveSpread)
		next := old.next(n)
		for r := range movingReplicas {
			for position := range movingShards {
				m.set(fmt.Sprintf("leaf-%d-%d", position, r), old.holding(position), next.holding(position))
				time.Sleep(moveSpread / (movingShards * movingReplicas))
			}
		}
		old = next
	}
}

// TestMovingVersions holds the target for versions that move during queries.
func TestMovingVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		m := &moving{slotted: newSlotted(1, 0), held: make(map[string][]contract.Holding), changes: make(map[string]int)}
		table := leaf.NewTable()
		store := shardmap.NewStore(table)
		d := discovery.New(m, store, table, moveInterval)
		first := layout{query.Snapshot{Generation: 1, Version: 1}, movingShards}
		var vms []platform.VM
		for position := range movingShards {
			for r := range movingReplicas {
				id := fmt.Sprintf("leaf-%d-%d", position, r)
				vms = append(vms, platform.VM{ID: id, Group: "g", Address: id})
				m.set(id, first.holding(position))
			}
		}
		d.SetVMs(vms)
		time.Sleep(time.Second)
		runner := relay.New(m, store, d, "az-1", replica.Choose, nil, tracing.Off())
		e := New(DefaultConfig(), store, runner, nil, tracing.Off())
		quiet, _ := askMoving(t, e)
		var mover sync.WaitGroup
		mover.Go(func() { m.move(ctx, first) })
		took, incomplete := askMoving(t, e)
		stop()
		mover.Wait()
		d.Close()
		p99, quietP99 := took[len(took)*99/100], quiet[len(quiet)*99/100]
		t.Logf("p99 %v, quiet %v, incomplete %d of %d", p99, quietP99, incomplete, len(took))
		if p99 > 2*quietP99 {
			t.Errorf("p99 %v, above twice %v without moves", p99, quietP99)
		}
		if float64(incomplete) > 0.001*float64(len(took)) {
			t.Errorf("%d of %d incomplete, above 0.1 %%", incomplete, len(took))
		}
		if e.Violations() != 0 {
			t.Errorf("%d invariants broken", e.Violations())
		}
	})
}

// askMoving sends queries and returns their sorted latencies and the number of
// answers that miss a shard. A mixed answer fails the test.
func askMoving(t *testing.T, e *Entry) ([]time.Duration, int) {
	const queries, rate = 3000, 300.0
	service := note.Service{Name: "s", UpstreamGroup: "g", Merge: note.MergeConcat, LongestWaitMS: 1000, HedgeShare: 0.05}
	arrivals := rand.New(rand.NewPCG(1, 3))
	var mu sync.Mutex
	var took []time.Duration
	incomplete := 0
	var running sync.WaitGroup
	for range queries {
		time.Sleep(time.Duration(arrivals.ExpFloat64() / rate * float64(time.Second)))
		running.Go(func() {
			begun := time.Now()
			a, err := e.Query(context.Background(), service, query.Request{Query: []byte("1")}, begun)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				t.Errorf("query: %v", err)
				return
			}
			took = append(took, time.Since(begun))
			if a.Coverage.Covered != a.Coverage.Total {
				incomplete++
			}
			for _, item := range a.Items {
				if string(item) != fmt.Sprintf("%q", a.Snapshot) {
					t.Errorf("answer of snapshot %s holds an item of %s", a.Snapshot, item)
				}
			}
		})
	}
	running.Wait()
	slices.Sort(took)
	return took, incomplete
}
