// Package shardmap maps the shards of each snapshot to the leafs that hold them.
// Discovery writes the store; queries read immutable views without locks.
package shardmap

import (
	"math"
	"slices"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
)

// Replica is a leaf that holds a shard.
type Replica struct {
	VM     platform.VM
	Record *leaf.Record
}

// SnapshotView lists the replicas of every shard of one snapshot. It is immutable.
type SnapshotView struct {
	Snapshot query.Snapshot
	// Replicas is indexed by shard; an empty list means that no leaf is known.
	Replicas [][]Replica
	// Covered is the number of shards with at least one replica.
	Covered int
	// ExpectedCoverage is the share of shards that are expected to answer, in [0, 1]; a
	// shard with more replicas counts more.
	ExpectedCoverage float64
}

// lossRate is the assumed probability that one replica does not answer.
const lossRate = 0.01

// ShardCount is the number of shards of the snapshot's map generation.
func (v *SnapshotView) ShardCount() int { return len(v.Replicas) }

// View lists the known snapshots of a service, newest first. It is immutable.
type View struct {
	Snapshots []*SnapshotView
}

// holder is one leaf's holding of one snapshot.
type holder struct {
	leaf       *leafState
	shards     []int
	shardCount int
}

// buildViews groups the holdings of all services by service and snapshot, in the
// order of leafs.
func buildViews(leafs []*leafState) map[string]*View {
	holders := make(map[string]map[query.Snapshot][]holder)
	for _, l := range leafs {
		for _, h := range l.manifest.Holdings {
			snapshots, ok := holders[h.Service]
			if !ok {
				snapshots = make(map[query.Snapshot][]holder)
				holders[h.Service] = snapshots
			}
			if !l.isDenied(h.Service, h.Snapshot) {
				snapshots[h.Snapshot] = append(snapshots[h.Snapshot], holder{l, h.Shards, h.ShardCount})
			}
		}
	}
	views := make(map[string]*View, len(holders))
	for service, snapshots := range holders {
		views[service] = buildView(snapshots)
	}
	return views
}

// buildView lists the snapshots of one service, newest first.
func buildView(snapshots map[query.Snapshot][]holder) *View {
	view := &View{}
	for snapshot, holders := range snapshots {
		view.Snapshots = append(view.Snapshots, buildSnapshot(snapshot, holders))
	}
	slices.SortFunc(view.Snapshots, func(a, b *SnapshotView) int {
		if a.Snapshot.Newer(b.Snapshot) {
			return -1
		}
		return 1
	})
	return view
}

// buildSnapshot uses the shard count that most holders report; holders that
// report another count are left out, since they partition the index differently.
func buildSnapshot(snapshot query.Snapshot, holders []holder) *SnapshotView {
	count := majorityShardCount(holders)
	v := &SnapshotView{Snapshot: snapshot, Replicas: allocateReplicas(holders, count)}
	for _, h := range holders {
		if h.shardCount != count {
			continue
		}
		for _, shard := range h.shards {
			if shard >= 0 && shard < count {
				v.Replicas[shard] = append(v.Replicas[shard], Replica{VM: h.leaf.vm, Record: h.leaf.record})
			}
		}
	}
	expected := 0.0
	for _, replicas := range v.Replicas {
		if len(replicas) > 0 {
			v.Covered++
		}
		expected += 1 - math.Pow(lossRate, float64(len(replicas)))
	}
	if count > 0 {
		v.ExpectedCoverage = expected / float64(count)
	}
	return v
}

// allocateReplicas returns an empty list for each shard with the capacity for its
// replicas, all in one allocation. Shards without replicas have a nil list.
func allocateReplicas(holders []holder, count int) [][]Replica {
	sizes := make([]int, count)
	total := 0
	for _, h := range holders {
		if h.shardCount != count {
			continue
		}
		for _, shard := range h.shards {
			if shard >= 0 && shard < count {
				sizes[shard]++
				total++
			}
		}
	}
	all := make([]Replica, total)
	out := make([][]Replica, count)
	for shard, n := range sizes {
		if n > 0 {
			out[shard], all = all[:0:n], all[n:]
		}
	}
	return out
}

// maxShards bounds the shard count that a manifest may report.
const maxShards = 65536

// majorityShardCount returns the valid shard count that most holders report; the
// larger one of a tie, and 0 when there is none.
func majorityShardCount(holders []holder) int {
	votes := make(map[int]int)
	best := 0
	for _, h := range holders {
		if h.shardCount <= 0 || h.shardCount > maxShards {
			continue
		}
		votes[h.shardCount]++
		more := votes[h.shardCount] > votes[best]
		tie := votes[h.shardCount] == votes[best] && h.shardCount > best
		if more || tie {
			best = h.shardCount
		}
	}
	return best
}
