package experiment

import (
	"slices"

	"github.com/hickorydock/hickorydock/internal/coordination/ownership"
)

// relayLoad is the load on relays when every entry has the same load, every leaf
// receives equally many subrequests, and entries prefer relays of their own
// availability zone. Its unit is the load of one leaf.
type relayLoad struct {
	assignment *ownership.Assignment
	// zoneShare is each availability zone's share of the entries.
	zoneShare     map[string]float64
	perNode       []float64
	mean          float64
	ownedClusters [][]int // clusters by member
}

func newRelayLoad(a *ownership.Assignment) *relayLoad {
	l := &relayLoad{assignment: a, zoneShare: make(map[string]float64), perNode: make([]float64, len(a.Members)), ownedClusters: make([][]int, len(a.Members))}
	for _, m := range a.Members {
		l.zoneShare[m.AvailabilityZone] += 1 / float64(len(a.Members))
	}
	for i, c := range a.Clusters {
		l.addLoad(l.perNode, c.Owners, float64(len(c.Leafs)))
		for _, m := range c.Owners {
			l.ownedClusters[m] = append(l.ownedClusters[m], i)
		}
	}
	for _, load := range l.perNode {
		l.mean += load / float64(len(l.perNode))
	}
	return l
}

// addLoad adds the load of a cluster to the loads of its owners: the entries of a zone use
// the owners in their zone, or all owners equally if the zone has none.
func (l *relayLoad) addLoad(loads []float64, owners []int, weight float64) {
	for zone, share := range l.zoneShare {
		local := 0
		for _, m := range owners {
			if l.assignment.Members[m].AvailabilityZone == zone {
				local++
			}
		}
		for _, m := range owners {
			switch {
			case local == 0:
				loads[m] += weight * share / float64(len(owners))
			case l.assignment.Members[m].AvailabilityZone == zone:
				loads[m] += weight * share / float64(local)
			}
		}
	}
}

// maxAfterLosses returns the load of the busiest survivor, over the mean of all nodes
// before, for the worst loss of one node and of two. The surviving owners of each
// leaf take over the load of the lost ones.
func (l *relayLoad) maxAfterLosses() (one, two float64) {
	loads := slices.Clone(l.perNode)
	for i := range l.perNode {
		one = max(one, l.maxLoadAfter(loads, i, i))
		for j := i + 1; j < len(l.perNode); j++ {
			if l.haveCommonSurvivor(i, j) {
				two = max(two, l.maxLoadAfter(loads, i, j))
			}
		}
	}
	return one / l.mean, max(one, two) / l.mean
}

// haveCommonSurvivor reports whether a node other than i shares clusters with both i
// and j, so that their losses can add up there.
func (l *relayLoad) haveCommonSurvivor(i, j int) bool {
	for _, x := range l.ownedClusters[i] {
		for _, m := range l.assignment.Clusters[x].Owners {
			for _, y := range l.ownedClusters[j] {
				if m != i && slices.Contains(l.assignment.Clusters[y].Owners, m) {
					return true
				}
			}
		}
	}
	return false
}

// maxLoadAfter is the largest load after the loss of i and j. The slice loads holds
// the loads before the loss and is restored.
func (l *relayLoad) maxLoadAfter(loads []float64, i, j int) float64 {
	affected := append(slices.Clone(l.ownedClusters[i]), l.ownedClusters[j]...)
	slices.Sort(affected)
	highest := 0.0
	affectedNodes := make(map[int]bool)
	for _, x := range slices.Compact(affected) {
		c := l.assignment.Clusters[x]
		var remaining []int
		for _, m := range c.Owners {
			affectedNodes[m] = true
			if m != i && m != j {
				remaining = append(remaining, m)
			}
		}
		l.addLoad(loads, c.Owners, -float64(len(c.Leafs)))
		l.addLoad(loads, remaining, float64(len(c.Leafs)))
	}
	for m := range affectedNodes {
		if m != i && m != j {
			highest = max(highest, loads[m])
		}
		loads[m] = l.perNode[m]
	}
	return highest
}
