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

// slotted imitates leafs whose runs wait for a slot and take a random time.
type slotted struct {
	mu     sync.Mutex
	random *rand.Rand
	slots  map[string]chan struct{}
	runs   int
	// straggle is the share of runs that take stragglerFactor times as long.
	straggle float64
	// warmAt is when a leaf that starts cold runs at full speed; before, its
	// service times are coldFactor times as long.
	warmAt map[string]time.Time
	// slow maps a leaf to the factor of its service times.
	slow map[string]float64
	// runsOf counts the runs of each leaf.
	runsOf map[string]int
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

func newSlotted(seed uint64, straggle float64) *slotted {
	return &slotted{
		random:   rand.New(rand.NewPCG(seed, 2)),
		slots:    make(map[string]chan struct{}),
		straggle: straggle,
		warmAt:   make(map[string]time.Time),
		slow:     make(map[string]float64),
		runsOf:   make(map[string]int),
	}
}

// draw returns the slots of a leaf and the service time of one run.
func (s *slotted) draw(id string) (chan struct{}, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slots[id] == nil {
		s.slots[id] = make(chan struct{}, tailSlots)
	}
	took := float64(tailMedian) * math.Exp(tailSigma*s.random.NormFloat64())
	if s.random.Float64() < s.straggle {
		took *= stragglerFactor
	}
	if factor, ok := s.slow[id]; ok {
		took *= factor
	}
	if time.Now().Before(s.warmAt[id]) {
		took *= coldFactor
	}
	return s.slots[id], time.Duration(took)
}

func (s *slotted) Run(ctx context.Context, vm platform.VM, _ contract.Subrequest, _ time.Duration, _ []byte) upstream.Reply {
	slot, took := s.draw(vm.ID)
	lost := upstream.Reply{Result: subrequest.ConnectionLost, Sent: true, Err: context.Canceled}
	select {
	case slot <- struct{}{}:
	case <-ctx.Done():
		return lost
	}
	defer func() { <-slot }()
	s.mu.Lock()
	s.runs++
	s.runsOf[vm.ID]++
	s.mu.Unlock()
	timer := time.NewTimer(took)
	defer timer.Stop()
	select {
	case <-timer.C:
		return upstream.Reply{Result: subrequest.OK, Sent: true}
	case <-ctx.Done():
		return lost
	}
}

// restart clears the runs of each leaf and returns the runs so far.
func (s *slotted) restart() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.runsOf)
	return s.runs
}

func (s *slotted) total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs
}

func (s *slotted) count(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runsOf[id]
}

// tailFigures are the latency quantile and the extra load of one run.
type tailFigures struct {
	p99   time.Duration
	extra float64
}

// tailOptions describe a run. A hedge share of 0 turns hedges and retries off.
type tailOptions struct {
	seed       uint64
	leafs      *slotted
	choose     replica.Chooser
	hedgeShare float64
	rate       float64 // queries/s
	queries    int
	// halfway is called when half of the queries are sent; nil does nothing.
	halfway func(store *shardmap.Store)
}

// enter adds a leaf that holds a shard.
func enter(store *shardmap.Store, id string, shard, r int) {
	vm := platform.VM{ID: id, Group: "g", AvailabilityZone: []string{"az-1", "az-2"}[(shard+r)%2]}
	store.SetManifest(vm, contract.Manifest{Holdings: []contract.Holding{{
		Service: "s", Snapshot: query.Snapshot{Generation: 1, Version: 1}, ShardCount: tailShards, Shards: []int{shard},
	}}}, time.Now())
}

// runTail sends queries as a Poisson process through an entry in virtual time.
func runTail(o tailOptions) tailFigures {
	seed, leafs, queries := o.seed, o.leafs, o.queries
	store := shardmap.NewStore(leaf.NewTable())
	for shard := range tailShards {
		for r := range 2 {
			enter(store, fmt.Sprintf("leaf-%d-%d", shard, r), shard, r)
		}
	}
	runner := relay.New(leafs, store, nil, "az-1", o.choose, nil, tracing.Off())
	e := New(DefaultConfig(), store, runner, nil, tracing.Off())
	service := note.Service{Name: "s", UpstreamGroup: "g", Merge: note.MergeConcat, LongestWaitMS: 2000, HedgeShare: o.hedgeShare}
	var mu sync.Mutex
	var took []time.Duration
	var running sync.WaitGroup
	arrivals := rand.New(rand.NewPCG(seed, 3))
	before := 0
	for i := range tailWarmup + queries {
		time.Sleep(time.Duration(arrivals.ExpFloat64() / o.rate * float64(time.Second)))
		if i == tailWarmup+queries/2 && o.halfway != nil {
			o.halfway(store)
		}
		if i == tailWarmup {
			before = leafs.restart()
		}
		running.Go(func() {
			begun := time.Now()
			if _, err := e.Query(context.Background(), service, query.Request{Query: []byte("1")}, begun); err != nil {
				panic(err)
			}
			mu.Lock()
			defer mu.Unlock()
			if i >= tailWarmup {
				took = append(took, time.Since(begun))
			}
		})
	}
	running.Wait()
	slices.Sort(took)
	extra := float64(leafs.total()-before)/float64(queries*tailShards) - 1
	return tailFigures{p99: took[len(took)*99/100], extra: extra}
}

// TestTailUnderStragglers holds the target for stragglers in virtual time,
// where the machine's load does not count.
func TestTailUnderStragglers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		baseline := runTail(tailOptions{seed: 1, leafs: newSlotted(1, 0.01), choose: replica.Random, hedgeShare: 0, rate: tailRate, queries: tailQueries})
		quiet := runTail(tailOptions{seed: 1, leafs: newSlotted(1, 0), choose: replica.Choose, hedgeShare: 0.05, rate: tailRate, queries: 2 * tailQueries})
		policy := runTail(tailOptions{seed: 1, leafs: newSlotted(1, 0.01), choose: replica.Choose, hedgeShare: 0.05, rate: tailRate, queries: 2 * tailQueries})
		t.Logf("baseline %v, quiet %v, policy %v", baseline, quiet, policy)
		if float64(policy.p99) > 0.25*float64(baseline.p99) {
			t.Errorf("p99 %v, above 0.25 of the baseline's %v", policy.p99, baseline.p99)
		}
		if float64(policy.p99) > 1.5*float64(quiet.p99) {
			t.Errorf("p99 %v, above 1.5 of %v without stragglers", policy.p99, quiet.p99)
		}
		if policy.extra > 0.05 {
			t.Errorf("extra load %.3f, above 0.05", policy.extra)
		}
	})
}

// TestSlowLeaf holds the target for a leaf that is 10 times slow for good: at a
// quarter load, since its partner must carry twice its share.
func TestSlowLeaf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slowID = "leaf-7-0"
		quiet := runTail(tailOptions{seed: 1, leafs: newSlotted(1, 0), choose: replica.Choose, hedgeShare: 0.05, rate: tailRate / 2, queries: tailQueries})
		leafs := newSlotted(1, 0)
		leafs.slow[slowID] = 10
		got := runTail(tailOptions{seed: 1, leafs: leafs, choose: replica.Choose, hedgeShare: 0.05, rate: tailRate / 2, queries: tailQueries})
		share := float64(leafs.count(slowID)) / (tailQueries / 2)
		t.Logf("quiet %v, with a slow leaf %v, its share %.3f", quiet, got, share)
		if float64(got.p99) > 1.3*float64(quiet.p99) {
			t.Errorf("p99 %v, above 1.3 of %v", got.p99, quiet.p99)
		}
		if share > 0.05 {
			t.Errorf("the slow leaf got %.3f of its fair share, above 0.05", share)
		}
		if got.extra > 0.05 {
			t.Errorf("extra load %.3f, above 0.05", got.extra)
		}
	})
}

// TestColdLeafs replaces a quarter of the leafs at once by leafs that are 10
// times slow for their first 2 s.
func TestColdLeafs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run := tailOptions{seed: 1, leafs: newSlotted(1, 0), choose: replica.Choose, hedgeShare: 0.05, rate: tailRate / 2, queries: tailQueries}
		quiet := runTail(run)
		leafs := newSlotted(1, 0)
		const cold = 2 * time.Second
		run.leafs = leafs
		run.halfway = func(store *shardmap.Store) {
			for shard := range tailShards / 2 {
				store.Remove("g", fmt.Sprintf("leaf-%d-0", shard))
				id := fmt.Sprintf("new-%d", shard)
				leafs.mu.Lock()
				leafs.warmAt[id] = time.Now().Add(cold)
				leafs.mu.Unlock()
				enter(store, id, shard, 0)
			}
		}
		got := runTail(run)
		t.Logf("quiet %v, with cold leafs %v, runs of one %d", quiet, got, leafs.count("new-7"))
		if float64(got.p99) > 1.3*float64(quiet.p99) {
			t.Errorf("p99 %v, above 1.3 of %v", got.p99, quiet.p99)
		}
		if fair := tailQueries / 4; leafs.count("new-7") < fair/4 {
			t.Errorf("a leaf got %d runs after the replacement, it never warmed up", leafs.count("new-7"))
		}
	})
}
