package entry

import (
	"context"
	"fmt"
	"math"
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
	"github.com/hickorydock/hickorydock/internal/transport/relay"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
	"github.com/hickorydock/hickorydock/internal/transport/upstream"
)

// simulatedLeafs simulates leafs whose runs wait for a slot and take a random time.
type simulatedLeafs struct {
	mu     sync.Mutex
	random *rand.Rand
	slots  map[string]chan struct{}
	runs   int
	// stragglerShare is the fraction of runs that take stragglerFactor times as long.
	stragglerShare float64
	// warmAt is the time from which a leaf that starts cold runs at full speed;
	// until then, its service times are coldFactor times as long.
	warmAt map[string]time.Time
	// slowdown maps a leaf to the factor of its service times.
	slowdown map[string]float64
	// runsByLeaf counts the runs of each leaf.
	runsByLeaf map[string]int
}

const (
	tailMedian      = 5 * time.Millisecond
	tailSigma       = 0.3
	stragglerFactor = 20
	coldFactor      = 10
	tailSlots       = 3
	tailShards      = 40
	tailQueries     = 3000
	// tailRate is half of the capacity in queries per second.
	tailRate   = 480
	tailWarmup = 300
)

func newSimulatedLeafs(seed uint64, stragglerShare float64) *simulatedLeafs {
	return &simulatedLeafs{
		random:         rand.New(rand.NewPCG(seed, 2)),
		slots:          make(map[string]chan struct{}),
		stragglerShare: stragglerShare,
		warmAt:         make(map[string]time.Time),
		slowdown:       make(map[string]float64),
		runsByLeaf:     make(map[string]int),
	}
}

// sample returns the slots of a leaf and a random service time.
func (s *simulatedLeafs) sample(id string) (chan struct{}, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slots[id] == nil {
		s.slots[id] = make(chan struct{}, tailSlots)
	}
	serviceTime := float64(tailMedian) * math.Exp(tailSigma*s.random.NormFloat64())
	if s.random.Float64() < s.stragglerShare {
		serviceTime *= stragglerFactor
	}
	if factor, ok := s.slowdown[id]; ok {
		serviceTime *= factor
	}
	if time.Now().Before(s.warmAt[id]) {
		serviceTime *= coldFactor
	}
	return s.slots[id], time.Duration(serviceTime)
}

func (s *simulatedLeafs) Run(ctx context.Context, vm platform.VM, _ contract.Subrequest, _ time.Duration, _ []byte) upstream.Reply {
	slot, serviceTime := s.sample(vm.ID)
	lost := upstream.Reply{Result: subrequest.ConnectionLost, Sent: true, Err: context.Canceled}
	select {
	case slot <- struct{}{}:
	case <-ctx.Done():
		return lost
	}
	defer func() { <-slot }()
	s.mu.Lock()
	s.runs++
	s.runsByLeaf[vm.ID]++
	s.mu.Unlock()
	timer := time.NewTimer(serviceTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		return upstream.Reply{Result: subrequest.OK, Sent: true}
	case <-ctx.Done():
		return lost
	}
}

// resetRunCounts clears the run count of each leaf and returns the total so far.
func (s *simulatedLeafs) resetRunCounts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.runsByLeaf)
	return s.runs
}

func (s *simulatedLeafs) totalRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs
}

func (s *simulatedLeafs) runCount(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runsByLeaf[id]
}

// tailResult is the latency quantile and the extra load of one simulation.
type tailResult struct {
	p99       time.Duration
	extraLoad float64
}

// tailOptions configure a simulation. A hedge share of 0 disables hedges and retries.
type tailOptions struct {
	seed       uint64
	leafs      *simulatedLeafs
	choose     replica.Chooser
	hedgeShare float64
	rate       float64 // queries/s
	queries    int
	// halfway is called when half of the queries are sent; it may be nil.
	halfway func(store *shardmap.Store)
}

// addLeaf adds a leaf that holds a shard. The index of the replica determines its
// availability zone.
func addLeaf(store *shardmap.Store, id string, shard, replicaIndex int) {
	vm := platform.VM{ID: id, Group: "g", AvailabilityZone: []string{"az-1", "az-2"}[(shard+replicaIndex)%2]}
	store.SetManifest(vm, contract.Manifest{Holdings: []contract.Holding{{
		Service: "s", Snapshot: query.Snapshot{Generation: 1, Version: 1}, ShardCount: tailShards, Shards: []int{shard},
	}}}, time.Now())
}

// runTail sends queries as a Poisson process through an entry in virtual time.
func runTail(o tailOptions) tailResult {
	seed, leafs, queries := o.seed, o.leafs, o.queries
	store := shardmap.NewStore(leaf.NewTable())
	for shard := range tailShards {
		for r := range 2 {
			addLeaf(store, fmt.Sprintf("leaf-%d-%d", shard, r), shard, r)
		}
	}
	runner := relay.New(leafs, store, nil, "az-1", o.choose, nil, tracing.Off())
	e := New(DefaultConfig(), store, runner, nil, tracing.Off())
	service := note.Service{Name: "s", UpstreamGroup: "g", Merge: note.MergeConcat, LongestWaitMS: 2000, HedgeShare: o.hedgeShare}
	var mu sync.Mutex
	var latencies []time.Duration
	var running sync.WaitGroup
	arrivals := rand.New(rand.NewPCG(seed, 3))
	warmupRuns := 0
	for i := range tailWarmup + queries {
		time.Sleep(time.Duration(arrivals.ExpFloat64() / o.rate * float64(time.Second)))
		if i == tailWarmup+queries/2 && o.halfway != nil {
			o.halfway(store)
		}
		if i == tailWarmup {
			warmupRuns = leafs.resetRunCounts()
		}
		running.Go(func() {
			start := time.Now()
			if _, err := e.Query(context.Background(), service, query.Request{Query: []byte("1")}, start); err != nil {
				panic(err)
			}
			mu.Lock()
			defer mu.Unlock()
			if i >= tailWarmup {
				latencies = append(latencies, time.Since(start))
			}
		})
	}
	running.Wait()
	slices.Sort(latencies)
	extraLoad := float64(leafs.totalRuns()-warmupRuns)/float64(queries*tailShards) - 1
	return tailResult{p99: latencies[len(latencies)*99/100], extraLoad: extraLoad}
}

// TestTailUnderStragglers checks the latency target for stragglers in virtual
// time, so that the load of the machine has no effect.
func TestTailUnderStragglers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		baseline := runTail(tailOptions{seed: 1, leafs: newSimulatedLeafs(1, 0.01), choose: replica.Random, hedgeShare: 0, rate: tailRate, queries: tailQueries})
		quiet := runTail(tailOptions{seed: 1, leafs: newSimulatedLeafs(1, 0), choose: replica.Choose, hedgeShare: 0.05, rate: tailRate, queries: 2 * tailQueries})
		policy := runTail(tailOptions{seed: 1, leafs: newSimulatedLeafs(1, 0.01), choose: replica.Choose, hedgeShare: 0.05, rate: tailRate, queries: 2 * tailQueries})
		t.Logf("baseline %v, quiet %v, policy %v", baseline, quiet, policy)
		if float64(policy.p99) > 0.25*float64(baseline.p99) {
			t.Errorf("p99 %v, above 0.25 of the baseline's %v", policy.p99, baseline.p99)
		}
		if float64(policy.p99) > 1.5*float64(quiet.p99) {
			t.Errorf("p99 %v, above 1.5 of %v without stragglers", policy.p99, quiet.p99)
		}
		if policy.extraLoad > 0.05 {
			t.Errorf("extra load %.3f, above 0.05", policy.extraLoad)
		}
	})
}

// TestSlowLeaf checks the latency target for a leaf that is permanently 10 times
// as slow, at a quarter of the capacity, since the other replica of its shard must
// serve twice its share.
func TestSlowLeaf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slowID = "leaf-7-0"
		quiet := runTail(tailOptions{seed: 1, leafs: newSimulatedLeafs(1, 0), choose: replica.Choose, hedgeShare: 0.05, rate: tailRate / 2, queries: tailQueries})
		leafs := newSimulatedLeafs(1, 0)
		leafs.slowdown[slowID] = 10
		got := runTail(tailOptions{seed: 1, leafs: leafs, choose: replica.Choose, hedgeShare: 0.05, rate: tailRate / 2, queries: tailQueries})
		share := float64(leafs.runCount(slowID)) / (tailQueries / 2)
		t.Logf("quiet %v, with a slow leaf %v, its share %.3f", quiet, got, share)
		if float64(got.p99) > 1.3*float64(quiet.p99) {
			t.Errorf("p99 %v, above 1.3 of %v", got.p99, quiet.p99)
		}
		if share > 0.05 {
			t.Errorf("the slow leaf got %.3f of its fair share, above 0.05", share)
		}
		if got.extraLoad > 0.05 {
			t.Errorf("extra load %.3f, above 0.05", got.extraLoad)
		}
	})
}

// TestColdLeafs replaces a quarter of the leafs at once by leafs that are 10
// times as slow for their first 2 s.
func TestColdLeafs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run := tailOptions{seed: 1, leafs: newSimulatedLeafs(1, 0), choose: replica.Choose, hedgeShare: 0.05, rate: tailRate / 2, queries: tailQueries}
		quiet := runTail(run)
		leafs := newSimulatedLeafs(1, 0)
		const warmupTime = 2 * time.Second
		run.leafs = leafs
		run.halfway = func(store *shardmap.Store) {
			for shard := range tailShards / 2 {
				store.Remove("g", fmt.Sprintf("leaf-%d-0", shard))
				id := fmt.Sprintf("new-%d", shard)
				leafs.mu.Lock()
				leafs.warmAt[id] = time.Now().Add(warmupTime)
				leafs.mu.Unlock()
				addLeaf(store, id, shard, 0)
			}
		}
		got := runTail(run)
		t.Logf("quiet %v, with cold leafs %v, runs of one %d", quiet, got, leafs.runCount("new-7"))
		if float64(got.p99) > 1.3*float64(quiet.p99) {
			t.Errorf("p99 %v, above 1.3 of %v", got.p99, quiet.p99)
		}
		if fair := tailQueries / 4; leafs.runCount("new-7") < fair/4 {
			t.Errorf("a leaf got %d runs after the replacement, it never warmed up", leafs.runCount("new-7"))
		}
	})
}
