package replica

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
)

// faultyLoad is the load on the two leafs of a shard: nodes that each keep their own
// records send requests, and each leaf fails a share of what it receives.
type faultyLoad struct {
	nodes    int
	share    [2]float64 // probability that a leaf fails a request
	as       leaf.Result
	received [2]int
	failed   [2]int
}

const (
	faultyRequests = 900 // in faultyPeriod
	faultyPeriod   = 10 * time.Second
	faultyWork     = 15 * time.Millisecond
)

// run sends the requests evenly over time. A request that is shed is answered at once,
// any other one after faultyWork.
func (l *faultyLoad) run() {
	random := rand.New(rand.NewPCG(1, 2))
	records := make([][]shardmap.Replica, l.nodes)
	for i := range records {
		records[i] = []shardmap.Replica{newReplica("a", faultyWork, 0, 0), newReplica("b", faultyWork, 0, 0)}
	}
	for i := range faultyRequests {
		now := start.Add(time.Duration(i) * faultyPeriod / faultyRequests)
		node := records[random.IntN(l.nodes)]
		zone := []string{"a", "b"}[random.IntN(2)]
		chosen := Choose(now, node, 0, zone, random.Uint64())
		record := node[chosen].Record
		l.received[chosen]++
		record.Begin(now)
		if random.Float64() < l.share[chosen] {
			l.failed[chosen]++
			record.End(now, time.Millisecond, l.as)
			continue
		}
		record.End(now, faultyWork, leaf.Answered)
	}
}

// TestSheddingLeafIsAvoided guards against a leaf that rejects most requests, and does
// so quickly, beside one that accepts them: retries for what it rejects must fit into
// the share of extra requests that upstreams allow.
func TestSheddingLeafIsAvoided(t *testing.T) {
	const retryShare = 0.2
	for _, nodes := range []int{1, 9} {
		load := faultyLoad{nodes: nodes, share: [2]float64{0.6, 0}, as: leaf.Shed}
		load.run()
		if most := int(retryShare * faultyRequests); load.failed[0] > most {
			t.Errorf("%d nodes: %d of %d requests were rejected, want at most %d", nodes, load.failed[0], faultyRequests, most)
		}
	}
}

// TestLossyLeafIsAvoided guards against a leaf that loses two of five replies beside one
// that loses none. Its other replies must not bring it back at once: a query over many
// such shards has no coverage to spare.
func TestLossyLeafIsAvoided(t *testing.T) {
	const spareShare = 0.05
	for _, nodes := range []int{1, 9} {
		load := faultyLoad{nodes: nodes, share: [2]float64{0.4, 0}, as: leaf.Errored}
		load.run()
		if most := int(spareShare * faultyRequests); load.failed[0] > most {
			t.Errorf("%d nodes: %d of %d replies were lost, want at most %d", nodes, load.failed[0], faultyRequests, most)
		}
	}
}

// TestFaultyLeafsShareTheLoad checks that two leafs that fail the same share of the
// requests, as when both are overloaded, still receive about the same number.
func TestFaultyLeafsShareTheLoad(t *testing.T) {
	for _, as := range []leaf.Result{leaf.Shed, leaf.Errored} {
		load := faultyLoad{nodes: 9, share: [2]float64{0.4, 0.4}, as: as}
		load.run()
		if less := min(load.received[0], load.received[1]); less < faultyRequests/3 {
			t.Errorf("result %d: the leafs received %v of %d requests", as, load.received, faultyRequests)
		}
	}
}
