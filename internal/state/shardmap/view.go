// Package shardmap keeps which leafs hold which shards in which snapshots. The
// store is written by discovery; queries read immutable views without locks.
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
	// Expected is the share of shards that are expected to answer, in [0, 1]; a
	// shard with more replicas counts more.
	Expected float64
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
	replica Replica
	shards  []int
	count   int
}

// buildView groups the holdings of a service by snapshot.
func buildView(service string, leafs []*leafState) *View {
	holders := make(map[query.Snapshot][]holder)
	for _, l := range leafs {
		for _, h := range l.manifest.Holdings {
			if h.Service != service || l.denies(service, h.Snapshot) {
				continue
			}
			replica := Replica{VM: l.vm, Record: l.record}
			holders[h.Snapshot] = append(holders[h.Snapshot], holder{replica, h.Shards, h.ShardCount})
		}
	}
	view := &View{}
	for snapshot, list := range holders {
		view.Snapshots = append(view.Snapshots, buildSnapshot(snapshot, list))
	}
	slices.SortFunc(view.Snapshots, func(a, b *SnapshotView) int {
		if a.Snapshot.Newer(b.Snapshot) {
			return -1
		}
		return 1
	})
	return view
}

// buildSnapshot takes the shard count that most holders state; holders that
// state another count are left out, since their shards cut the index differently.
func buildSnapshot(snapshot query.Snapshot, list []holder) *SnapshotView {
	count := commonCount(list)
	v := &SnapshotView{Snapshot: snapshot, Replicas: make([][]Replica, count)}
	for _, h := range list {
		if h.count != count {
			continue
		}
		for _, shard := range h.shards {
			if shard < 0 || shard >= count {
				continue
			}
			v.Replicas[shard] = append(v.Replicas[shard], h.replica)
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
		v.Expected = expected / float64(count)
	}
	return v
}

// maxShards bounds the shard count that a manifest may state.
const maxShards = 65536

func commonCount(list []holder) int {
	votes := make(map[int]int)
	best := 0
	for _, h := range list {
		if h.count <= 0 || h.count > maxShards {
			continue
		}
		votes[h.count]++
		more := votes[h.count] > votes[best]
		tie := votes[h.count] == votes[best] && h.count > best
		if more || tie {
			best = h.count
		}
	}
	return best
}
