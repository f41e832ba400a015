package experiment

import (
	"context"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorydock/hickorydock/internal/coordination/ownership"
)

var ownershipExperiment = Experiment{
	Name:    "ownership",
	Summary: "relay assignment at 7, 70 and 610 nodes, by the number of leafs that share their relays",
	Target:  "default configuration: a leaving or joining node moves at most 3 times its own share; busiest node after one loss at most twice, after two losses at most 3 times the mean at 610 nodes",
	Run:     runOwnership,
}

// fleetSize is a size of the fleet for the tables.
type fleetSize struct {
	nodes int
	zones int
	// groups and shards determine the leafs: each shard has 2 replicas.
	groups, shards int
}

// fleetSizes are today's fleet size and those of the design. Leafs grow in proportion
// to nodes; at 610 nodes 5 groups of 290 shards make 2,900 leafs.
var fleetSizes = []fleetSize{{7, 4, 54, 1}, {70, 6, 1, 166}, {610, 6, 5, 290}}

// clusterSizes are the compared numbers of leafs that share their owners.
var clusterSizes = []int{1, 4, ownership.DefaultClusterSize, 64}

const racksPerZone = 10

func (f fleetSize) members() []ownership.Member {
	var out []ownership.Member
	for i := range f.nodes {
		zone := i % f.zones
		out = append(out, ownership.Member{
			ID:               fmt.Sprintf("node-%d", i),
			AvailabilityZone: fmt.Sprintf("az-%d", zone),
			Rack:             fmt.Sprintf("az-%d/rack-%d", zone, i/f.zones%racksPerZone),
		})
	}
	return out
}

func (f fleetSize) leafs() []ownership.Leaf {
	var out []ownership.Leaf
	for g := range f.groups {
		for s := range f.shards {
			for r := range 2 {
				out = append(out, ownership.Leaf{
					ID:    fmt.Sprintf("leaf-%d-%d-%d", g, s, r),
					Group: fmt.Sprintf("group-%d", g),
					Key:   fmt.Sprintf("shard-%d", s),
				})
			}
		}
	}
	return out
}

func runOwnership(ctx context.Context, _ uint64) (Result, error) {
	var result Result
	for _, size := range fleetSizes {
		for _, cluster := range clusterSizes {
			if err := ctx.Err(); err != nil {
				return result, err
			}
			cfg := ownership.DefaultConfig()
			cfg.ClusterSize = cluster
			row, err := measureOwnership(size, cfg)
			if err != nil {
				return result, err
			}
			result.Policy = append(result.Policy, row.figures(fmt.Sprintf("nodes_%d_cluster_%d_", size.nodes, cluster))...)
			if cluster == ownership.DefaultClusterSize {
				result.Checks = append(result.Checks, row.checks(size.nodes)...)
			}
		}
	}
	return result, nil
}

// ownershipRow is the measurement of one fleet size and cluster size.
type ownershipRow struct {
	relaysPerQuery float64
	// maxLoad, oneLoss and twoLosses are the load of the busiest node over the mean of
	// all nodes: without a loss, after the worst loss of one node and of two.
	maxLoad, oneLoss, twoLosses float64
	// leaveMoves and joinMoves are the changed pairs of leaf and owner over a node's
	// mean number of such pairs.
	leaveMoves, joinMoves float64
	overflows             int
}

func (r ownershipRow) figures(prefix string) []Figure {
	return []Figure{
		{prefix + "relays_per_query", r.relaysPerQuery},
		{prefix + "load_max_over_mean", r.maxLoad},
		{prefix + "one_loss_max_over_mean", r.oneLoss},
		{prefix + "two_losses_max_over_mean", r.twoLosses},
		{prefix + "leave_moves_over_part", r.leaveMoves},
		{prefix + "join_moves_over_part", r.joinMoves},
		{prefix + "overflows", float64(r.overflows)},
	}
}

func (r ownershipRow) checks(nodes int) []Check {
	prefix := fmt.Sprintf("nodes_%d_", nodes)
	checks := []Check{
		AtMost(prefix+"leave_moves_over_part", r.leaveMoves, 3),
		AtMost(prefix+"join_moves_over_part", r.joinMoves, 3),
		AtMost(prefix+"overflows", float64(r.overflows), 0),
	}
	if nodes == fleetSizes[len(fleetSizes)-1].nodes {
		checks = append(checks,
			AtMost(prefix+"one_loss_max_over_mean", r.oneLoss, 2),
			AtMost(prefix+"two_losses_max_over_mean", r.twoLosses, 3))
	}
	return checks
}

func measureOwnership(size fleetSize, cfg ownership.Config) (ownershipRow, error) {
	members, leafs := size.members(), size.leafs()
	a, err := ownership.Assign(members, leafs, cfg)
	if err != nil {
		return ownershipRow{}, err
	}
	load := newRelayLoad(a)
	row := ownershipRow{relaysPerQuery: relaysPerQuery(a, "group-0/"), overflows: a.Overflows}
	row.maxLoad = slices.Max(load.perNode) / load.mean
	row.oneLoss, row.twoLosses = load.maxAfterLosses()
	row.leaveMoves, row.joinMoves, err = moveRatios(a, leafs, cfg)
	return row, err
}

// relaysPerQuery is the mean number of relays that an entry sends batches to for
// a query over every shard of one group.
func relaysPerQuery(a *ownership.Assignment, group string) float64 {
	total := 0
	for entry := range a.Members {
		relays := make(map[int]bool)
		for _, c := range a.Clusters {
			if len(c.Name) >= len(group) && c.Name[:len(group)] == group {
				relays[preferredOwner(a, entry, c)] = true
			}
		}
		total += len(relays)
	}
	return float64(total) / float64(len(a.Members))
}

// preferredOwner is the owner that an entry uses for a cluster: one in its own
// availability zone, or else one chosen by hash so that entries differ.
func preferredOwner(a *ownership.Assignment, entry int, c ownership.Cluster) int {
	for _, m := range c.Owners {
		if a.Members[m].AvailabilityZone == a.Members[entry].AvailabilityZone {
			return m
		}
	}
	hash := xxhash.Sum64String(a.Members[entry].ID + c.Name)
	return c.Owners[hash%uint64(len(c.Owners))]
}

// moveRatios returns how many pairs of leaf and owner change when one node leaves or
// joins, over the mean number of pairs of a node, as the mean over several nodes.
func moveRatios(a *ownership.Assignment, leafs []ownership.Leaf, cfg ownership.Config) (leave, join float64, err error) {
	pairs := len(leafs) * len(a.Clusters[0].Owners)
	pairsPerNode := float64(pairs) / float64(len(a.Members))
	const samples = 5
	for i := range samples {
		leaving := i * len(a.Members) / samples
		without := slices.Delete(slices.Clone(a.Members), leaving, leaving+1)
		b, err := ownership.Assign(without, leafs, cfg)
		if err != nil {
			return 0, 0, err
		}
		leave += float64(countMoved(a, b, leafs)) / pairsPerNode / samples
		with := append(slices.Clone(a.Members), ownership.Member{
			ID:               fmt.Sprintf("late-%d", i),
			AvailabilityZone: a.Members[leaving].AvailabilityZone,
			Rack:             a.Members[leaving].Rack,
		})
		if b, err = ownership.Assign(with, leafs, cfg); err != nil {
			return 0, 0, err
		}
		join += float64(countMoved(a, b, leafs)) / pairsPerNode / samples
	}
	return leave, join, nil
}

// countMoved counts the pairs of leaf and owner in b that a does not have.
func countMoved(a, b *ownership.Assignment, leafs []ownership.Leaf) int {
	count := 0
	for _, l := range leafs {
		old := a.OwnersOf(l.ID)
		for _, m := range b.OwnersOf(l.ID) {
			if !slices.Contains(old, m) {
				count++
			}
		}
	}
	return count
}
