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

// movingLeafs is a set of leafs whose holdings change while queries run.
type movingLeafs struct {
	*simulatedLeafs
	holdingsMu     sync.Mutex
	holdingsByLeaf map[string][]contract.Holding
	changes        map[string]int
}

func (m *movingLeafs) set(id string, holdings ...contract.Holding) {
	m.holdingsMu.Lock()
	defer m.holdingsMu.Unlock()
	m.holdingsByLeaf[id] = holdings
	m.changes[id]++
}

func (m *movingLeafs) holdings(id string) ([]contract.Holding, string) {
	m.holdingsMu.Lock()
	defer m.holdingsMu.Unlock()
	return slices.Clone(m.holdingsByLeaf[id]), fmt.Sprint(m.changes[id])
}

func (m *movingLeafs) Manifest(_ context.Context, vm platform.VM) (contract.Manifest, error) {
	held, _ := m.holdings(vm.ID)
	return contract.Manifest{Leaf: vm.ID, Holdings: held}, nil
}

// Run replies from the snapshot that the leaf holds at the start of the run, as a
// real leaf does.
func (m *movingLeafs) Run(ctx context.Context, vm platform.VM, sub contract.Subrequest, remaining time.Duration, body []byte) upstream.Reply {
	held, tag := m.holdings(vm.ID)
	isHeld := slices.ContainsFunc(held, func(h contract.Holding) bool {
		return h.Snapshot == sub.Snapshot && slices.Contains(h.Shards, sub.Shard)
	})
	if !isHeld {
		manifest := &contract.Manifest{Leaf: vm.ID, Holdings: held}
		return upstream.Reply{Result: subrequest.SnapshotUnavailable, Sent: true, Holdings: tag, Manifest: manifest}
	}
	reply := m.simulatedLeafs.Run(ctx, vm, sub, remaining, body)
	reply.Holdings = tag
	if reply.Result == subrequest.OK {
		reply.Items = []query.Item{[]byte(fmt.Sprintf("%q", sub.Snapshot))}
	}
	return reply
}

// layout is the snapshot and the number of shards that the leafs hold after a move.
type layout struct {
	snapshot query.Snapshot
	shards   int
}

// holding returns the holding of the leafs of a position in a layout.
func (l layout) holding(position int) contract.Holding {
	h := contract.Holding{Service: "s", Snapshot: l.snapshot, ShardCount: l.shards}
	for s := range l.shards {
		if s%movingShards == position {
			h.Shards = append(h.Shards, s)
		}
	}
	return h
}

// next returns the layout after move number n; the shard map splits and merges once.
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

// move changes every leaf to the next layout every moveInterval, spread over moveSpread.
func (m *movingLeafs) move(ctx context.Context, first layout) {
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

// TestMovingVersions checks the targets for latency and coverage while index
// versions change during queries.
func TestMovingVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		m := &movingLeafs{simulatedLeafs: newSimulatedLeafs(1, 0), holdingsByLeaf: make(map[string][]contract.Holding), changes: make(map[string]int)}
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
		quiet, _ := runMovingQueries(t, e)
		var mover sync.WaitGroup
		mover.Go(func() { m.move(ctx, first) })
		latencies, incomplete := runMovingQueries(t, e)
		stop()
		mover.Wait()
		d.Close()
		p99, quietP99 := latencies[len(latencies)*99/100], quiet[len(quiet)*99/100]
		t.Logf("p99 %v, quiet %v, incomplete %d of %d", p99, quietP99, incomplete, len(latencies))
		if p99 > 2*quietP99 {
			t.Errorf("p99 %v, above twice %v without moves", p99, quietP99)
		}
		if float64(incomplete) > 0.001*float64(len(latencies)) {
			t.Errorf("%d of %d incomplete, above 0.1 %%", incomplete, len(latencies))
		}
		if e.Violations() != 0 {
			t.Errorf("%d invariants violated", e.Violations())
		}
	})
}

// runMovingQueries sends queries and returns their sorted latencies and the number
// of answers that miss a shard. An answer with items of several snapshots fails the
// test.
func runMovingQueries(t *testing.T, e *Entry) ([]time.Duration, int) {
	const queries, rate = 3000, 300.0
	service := note.Service{Name: "s", UpstreamGroup: "g", Merge: note.MergeConcat, LongestWaitMS: 1000, HedgeShare: 0.05}
	arrivals := rand.New(rand.NewPCG(1, 3))
	var mu sync.Mutex
	var latencies []time.Duration
	incomplete := 0
	var running sync.WaitGroup
	for range queries {
		time.Sleep(time.Duration(arrivals.ExpFloat64() / rate * float64(time.Second)))
		running.Go(func() {
			start := time.Now()
			a, err := e.Query(context.Background(), service, query.Request{Query: []byte("1")}, start)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				t.Errorf("query: %v", err)
				return
			}
			latencies = append(latencies, time.Since(start))
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
	slices.Sort(latencies)
	return latencies, incomplete
}
