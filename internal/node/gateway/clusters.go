package gateway

import (
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

// clusterShards groups the shards of a route by cluster.
func (r *relays) clusterShards(a *assignment, groups []string) []forward.Cluster {
	indexes := make(map[int]int)
	var clusters []forward.Cluster
	for shard, name := range groups {
		c := a.owners.ClusterOf(name)
		k, ok := indexes[c]
		if !ok {
			k = len(clusters)
			indexes[c] = k
			clusters = append(clusters, forward.Cluster{})
		}
		clusters[k].Shards = append(clusters[k].Shards, shard)
	}
	for i := range clusters {
		r.addOwners(a, &clusters[i], groups)
	}
	return clusters
}

// addOwners sets the relays of a cluster. Relays in the availability zones of its
// leafs are preferred, since a merged result is a fraction of the size of the leafs'
// results. If this node's zone has leafs, or no leaf is known, only the relays in this
// node's zone are preferred.
func (r *relays) addOwners(a *assignment, c *forward.Cluster, groups []string) {
	zones := r.leafZones(c.Shards, groups)
	if len(zones) == 0 || zones[r.zone] {
		zones = map[string]bool{r.zone: true}
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

// leafZones returns the availability zones in which at least half of the shards
// have a leaf.
func (r *relays) leafZones(shards []int, groups []string) map[string]bool {
	counts := make(map[string]int)
	for _, shard := range shards {
		seen := make(map[string]bool)
		for _, replica := range r.groups.Replicas(groups[shard]) {
			if zone := replica.VM.AvailabilityZone; !seen[zone] {
				seen[zone] = true
				counts[zone]++
			}
		}
	}
	zones := make(map[string]bool)
	for zone, n := range counts {
		if 2*n >= len(shards) {
			zones[zone] = true
		}
	}
	return zones
}
