package replica

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
)

// shedLoad is the load on the two leafs of a shard: nodes that each keep their own
// records send requests, and each leaf sheds a share of what it receives.
type shedLoad struct {
	nodes    int
	shed     [2]float64 // probability that a leaf sheds a request
	received [2]int
	sheds    [2]int
}

const (
	shedRequests = 900 // in shedPeriod
	shedPeriod   = 10 * time.Second
	shedWork     = 15 * time.Millisecond
)

// run sends the requests evenly over time. A request that is shed is answered at once,
// any other one after shedWork.
func (l *shedLoad) run() {
	random := rand.New(rand.NewPCG(1, 2))
	records := make([][]shardmap.Replica, l.nodes)
	for i := range records {
		records[i] = []shardmap.Replica{newReplica("a", shedWork, 0, 0), newReplica("b", shedWork, 0, 0)}
	}
	for i := range shedRequests {
		now := start.Add(time.Duration(i) * shedPeriod / shedRequests)
		node := records[random.IntN(l.nodes)]
		zone := []string{"a", "b"}[random.IntN(2)]
		chosen := Choose(now, node, 0, zone, random.Uint64())
		record := node[chosen].Record
		l.received[chosen]++
		record.Begin(now)
		if random.Float64() < l.shed[chosen] {
			l.sheds[chosen]++
			record.End(now, time.Millisecond, leaf.Shed)
			continue
		}
		record.End(now, shedWork, leaf.Answered)
	}
}

// TestSheddingLeafIsAvoided guards against a leaf that rejects most requests, and does
// so quickly, beside one that accepts them: retries for what it rejects must fit into
// the share of extra requests that upstreams allow.
func TestSheddingLeafIsAvoided(t *testing.T) {
	const retryShare = 0.2
	for _, nodes := range []int{1, 9} {
		load := shedLoad{nodes: nodes, shed: [2]float64{0.6, 0}}
		load.run()
		if most := int(retryShare * shedRequests); load.sheds[0] > most {
			t.Errorf("%d nodes: %d of %d requests were rejected, want at most %d", nodes, load.sheds[0], shedRequests, most)
		}
	}
}

// TestSheddingLeafsShareTheLoad checks that two leafs that reject the same share of the
// requests, as when both are overloaded, still receive about the same number.
func TestSheddingLeafsShareTheLoad(t *testing.T) {
	load := shedLoad{nodes: 9, shed: [2]float64{0.4, 0.4}}
	load.run()
	if less := min(load.received[0], load.received[1]); less < shedRequests/3 {
		t.Errorf("the leafs received %v of %d requests", load.received, shedRequests)
	}
}
