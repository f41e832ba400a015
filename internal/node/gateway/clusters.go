package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/route"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
	"github.com/hickorydock/hickorydock/internal/transport/forward"
)

// routeClusters are the clusters of a route, computed from the leafs known at
// computedAt.
type routeClusters struct {
	clusters   []forward.Cluster
	computedAt time.Time
}

// clustersTTL is how long the clusters of a route are cached. They depend on the
// availability zones of the leafs, which take seconds to start and to leave.
const clustersTTL = time.Second

// Clusters implements forward.Relays.
func (r *relays) Clusters(rt *route.Route) []forward.Cluster {
	a := r.assignment()
	if a == nil || a.owners == nil {
		return nil
	}
	now := time.Now()
	if cached, ok := a.clusters.Load(rt); ok && now.Sub(cached.(*routeClusters).computedAt) < clustersTTL {
		return cached.(*routeClusters).clusters
	}
	clusters := r.clusterShards(a, rt.Shards)
	a.clusters.Store(rt, &routeClusters{clusters, now})
	return clusters
}

// clusterShards groups the shards of a route by cluster, and those of a cluster by the
// availability zone in which their results are merged.
func (r *relays) clusterShards(a *assignment, groups []string) []forward.Cluster {
	var parts []forward.Cluster
	for _, shards := range shardsByCluster(a, groups) {
		for _, part := range splitByZone(shards, r.zone, r.shardZones(shards, groups)) {
			c := forward.Cluster{Shards: part}
			r.addOwners(a, &c, groups)
			parts = append(parts, c)
		}
	}
	return parts
}

// shardsByCluster returns the shards of each cluster, as indexes into groups.
func shardsByCluster(a *assignment, groups []string) [][]int {
	indexes := make(map[int]int)
	var clusters [][]int
	for shard, name := range groups {
		c := a.owners.ClusterOf(name)
		k, ok := indexes[c]
		if !ok {
			k = len(clusters)
			indexes[c] = k
			clusters = append(clusters, nil)
		}
		clusters[k] = append(clusters[k], shard)
	}
	return clusters
}

// zoneSet is a set of availability zones.
type zoneSet map[string]bool

// shardZones returns the zones in which each of the shards has a leaf in service.
func (r *relays) shardZones(shards []int, groups []string) map[int]zoneSet {
	zones := make(map[int]zoneSet, len(shards))
	for _, shard := range shards {
		zones[shard] = make(zoneSet)
		for _, replica := range r.groups.Replicas(groups[shard]) {
			if stats := replica.Record.Stats(); !stats.IsWithdrawn() {
				zones[shard][replica.VM.AvailabilityZone] = true
			}
		}
	}
	return zones
}

// minPart is the least number of shards that go to a relay of their own so that their
// results are merged in a zone of their leafs.
const minPart = 3

// splitByZone divides the shards of a cluster into parts that have leafs in a common
// zone: first those with leafs in this node's zone, then those in the zone of most of the
// others. Few shards that are left stay with the last part.
func splitByZone(shards []int, own string, zones map[int]zoneSet) [][]int {
	var parts [][]int
	zone := own
	for first := true; ; first = false {
		in, rest := divide(shards, func(shard int) bool { return zones[shard][zone] })
		few := len(in) < minPart
		switch {
		case few && first:
		case few, len(rest) < minPart:
			return append(parts, shards)
		default:
			parts = append(parts, in)
			shards = rest
		}
		zone = mostCommonZone(shards, zones)
	}
}

// divide separates the shards that satisfy a condition from the others.
func divide(shards []int, condition func(shard int) bool) (in, rest []int) {
	for _, shard := range shards {
		if condition(shard) {
			in = append(in, shard)
		} else {
			rest = append(rest, shard)
		}
	}
	return in, rest
}

// zoneCounts returns the number of shards with a leaf in each zone.
func zoneCounts(shards []int, zones map[int]zoneSet) map[string]int {
	counts := make(map[string]int)
	for _, shard := range shards {
		for zone := range zones[shard] {
			counts[zone]++
		}
	}
	return counts
}

// mostCommonZone returns the zone in which most shards have a leaf, the first by name of
// equal ones; it is empty if no leaf is known.
func mostCommonZone(shards []int, zones map[int]zoneSet) string {
	counts := zoneCounts(shards, zones)
	most := ""
	for _, zone := range slices.Sorted(maps.Keys(counts)) {
		if counts[zone] > counts[most] {
			most = zone
		}
	}
	return most
}

// addOwners sets the relays of a cluster. Relays in the availability zones of its
// leafs are preferred, since a merged result is a fraction of the size of the leafs'
// results. If this node's zone has leafs, or no leaf is known, only the relays in this
// node's zone are preferred.
func (r *relays) addOwners(a *assignment, c *forward.Cluster, groups []string) {
	zones := r.leafZones(c.Shards, groups)
	if len(zones) == 0 || zones[r.zone] {
		zones = zoneSet{r.zone: true}
	}
	for _, m := range a.owners.OwnersOf(groups[c.Shards[0]]) {
		owner := shardmap.Replica{VM: platform.VM{ID: m.ID, AvailabilityZone: m.AvailabilityZone}, Record: r.records.Record(m.ID)}
		switch {
		case m.ID == r.node && zones[r.zone]:
			c.Direct = true
		case m.ID == r.node:
		case zones[m.AvailabilityZone]:
			c.Preferred = append(c.Preferred, owner)
		default:
			c.Fallback = append(c.Fallback, owner)
		}
	}
}

// leafZones returns the zones in which nearly as many shards have a leaf as in any other.
func (r *relays) leafZones(shards []int, groups []string) zoneSet {
	counts := zoneCounts(shards, r.shardZones(shards, groups))
	most := 0
	for _, n := range counts {
		most = max(most, n)
	}
	zones := make(zoneSet)
	for zone, n := range counts {
		if float64(n) >= nearlyAll*float64(most) {
			zones[zone] = true
		}
	}
	return zones
}

// nearlyAll is the share of the shards without leafs that are just being replaced.
const nearlyAll = 0.8
