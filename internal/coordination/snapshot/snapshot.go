// Package snapshot chooses the snapshot that a query reads.
package snapshot

import (
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
)

// tolerance is the difference in expected coverage that does not count.
const tolerance = 1e-9

// Choose returns the newest snapshot among those with the best expected
// coverage, leaving out the excluded ones. It returns nil when none is known.
// While replicas move to a newer snapshot one after another, the older one is
// kept until the newer one has as many replicas, since the first replicas to
// move could not carry the load of all.
func Choose(view *shardmap.View, excluded []query.Snapshot) *shardmap.SnapshotView {
	if view == nil {
		return nil
	}
	var best *shardmap.SnapshotView
	for _, candidate := range view.Snapshots {
		if isExcluded(candidate.Snapshot, excluded) || candidate.ShardCount() == 0 {
			continue
		}
		if best == nil || candidate.ExpectedCoverage > best.ExpectedCoverage+tolerance {
			best = candidate
		}
	}
	return best
}

func isExcluded(s query.Snapshot, excluded []query.Snapshot) bool {
	for _, e := range excluded {
		if e == s {
			return true
		}
	}
	return false
}
