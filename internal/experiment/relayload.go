package experiment

import (
	"slices"

	"github.com/hickorydock/hickorydock/internal/coordination/ownership"
)

// relayLoad is the load on relays when every entry has the same load, every leaf
// is asked equally often, and entries prefer relays of their own availability
// zone. Its unit is one leaf's load.
type relayLoad struct {
	a *ownership.Assignment
	// zoneShare is each availability zone's share of the entries.
	zoneShare map[string]float64
	each      []float64
	mean      float64
	owned     [][]int // clusters by member
}

func newRelayLoad(a *ownership.Assignment) *relayLoad {
	l := &relayLoad{a: a, zoneShare: make(map[string]float64), each: make([]float64, len(a.Members)), owned: make([][]int, len(a.Members))}
	for _, m := range a.Members {
		l.zoneShare[m.AvailabilityZone] += 1 / float64(len(a.Members))
	}
	for i, c := range a.Clusters {
		l.add(l.each, c.Owners, float64(len(c.Leafs)))
		for _, m := range c.Owners {
			l.owned[m] = append(l.owned[m], i)
		}
	}
	for _, load := range l.each {
		l.mean += load / float64(len(l.each))
	}
	return l
}

// add spreads a cluster's load over owners: a zone's entries use the owners of
// their zone, or all owners alike when the zone has none.
func (l *relayLoad) add(to []float64, owners []int, weight float64) {
	for zone, share := range l.zoneShare {
		local := 0
		for _, m := range owners {
			if l.a.Members[m].AvailabilityZone == zone {
				local++
			}
		}
		for _, m := range owners {
			switch {
			case local == 0:
				to[m] += weight * share / float64(len(owners))
			case l.a.Members[m].AvailabilityZone == zone:
				to[m] += weight * share / float64(local)
			}
		}
	}
}

// losses returns the load of the busiest survivor, over the mean of all nodes
// before, for the worst loss of one node and of two, while the surviving owners
// of each leaf carry the load of the lost ones.
func (l *relayLoad) losses() (one, two float64) {
	work := slices.Clone(l.each)
	for i := range l.each {
		one = max(one, l.worst(work, i, i))
		for j := i + 1; j < len(l.each); j++ {
			if l.related(i, j) {
				two = max(two, l.worst(work, i, j))
			}
		}
	}
	return one / l.mean, max(one, two) / l.mean
}

// related reports whether the losses of i and j meet on a survivor.
func (l *relayLoad) related(i, j int) bool {
	for _, x := range l.owned[i] {
		for _, m := range l.a.Clusters[x].Owners {
			for _, y := range l.owned[j] {
				if m != i && slices.Contains(l.a.Clusters[y].Owners, m) {
					return true
				}
			}
		}
	}
	return false
}

// worst is the largest load after the loss of i and j. Work holds the loads
// before and is restored.
func (l *relayLoad) worst(work []float64, i, j int) float64 {
	affected := append(slices.Clone(l.owned[i]), l.owned[j]...)
	slices.Sort(affected)
	top := 0.0
	touched := make(map[int]bool)
	for _, x := range slices.Compact(affected) {
		c := l.a.Clusters[x]
		var left []int
		for _, m := range c.Owners {
			touched[m] = true
			if m != i && m != j {
				left = append(left, m)
			}
		}
		l.add(work, c.Owners, -float64(len(c.Leafs)))
		l.add(work, left, float64(len(c.Leafs)))
	}
	for m := range touched {
		if m != i && m != j {
			top = max(top, work[m])
		}
		work[m] = l.each[m]
	}
	return top
}
