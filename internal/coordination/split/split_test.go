package split

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/hickorydock/hickorydock/internal/protocol/route"
)

// TestSharesOfManyNodes checks the proportions over the requests of all nodes
// together, also in short sequences, although each node counts only its own requests.
func TestSharesOfManyNodes(t *testing.T) {
	const nodes = 7
	const requests = 300
	const tolerance = 0.05 // half the deviation that users of a split accept
	shares := []route.Share{{Group: "a", Weight: 9}, {Group: "b", Weight: 1}}
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		splitters := make([]*Splitter, nodes)
		for i := range splitters {
			splitters[i] = New(shares, random.Float64)
		}
		counts := map[string]int{}
		for range requests {
			counts[splitters[random.IntN(nodes)].Next(shares)]++
		}
		if got := float64(counts["a"]) / requests; math.Abs(got-0.9) > tolerance {
			t.Errorf("seed %d: share of a is %.3f, want 0.9", seed, got)
		}
	}
}

func TestNonPositiveWeights(t *testing.T) {
	s := New(nil, rand.Float64)
	if got := s.Next([]route.Share{{Group: "a"}, {Group: "b", Weight: -1}}); got != "" {
		t.Errorf("group %q of a split without a positive weight", got)
	}
	shares := []route.Share{{Group: "a"}, {Group: "b", Weight: 2}}
	for range 10 {
		if got := s.Next(shares); got != "b" {
			t.Errorf("group %q, want the only one with a positive weight", got)
		}
	}
}

func TestChangedWeightsApplyImmediately(t *testing.T) {
	s := New(nil, rand.Float64)
	even := []route.Share{{Group: "a", Weight: 1}, {Group: "b", Weight: 1}}
	for range 1000 {
		s.Next(even)
	}
	skewed := []route.Share{{Group: "a", Weight: 1}, {Group: "b", Weight: 3}}
	counts := map[string]int{}
	for range 100 {
		counts[s.Next(skewed)]++
	}
	if counts["b"] < 73 || counts["b"] > 77 {
		t.Errorf("%v, want 25 and 75", counts)
	}
}
