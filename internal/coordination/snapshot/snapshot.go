// Package snapshot chooses the snapshot that a query reads.
package snapshot

import (
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
)

// coverageTolerance is the difference up to which expected coverages count as equal.
const coverageTolerance = 1e-9

// Choose returns the newest snapshot among those with the best expected
// coverage, except the excluded ones. It returns nil when there is none. While
// replicas move to a newer snapshot one after another, the older one is chosen
// until the newer one has as many replicas, since the first replicas to move
// could not carry the whole load.
func Choose(view *shardmap.View, excluded []query.Snapshot) *shardmap.SnapshotView {
	if view == nil {
		return nil
	}
	var best *shardmap.SnapshotView
	for _, candidate := range view.Snapshots {
		if isExcluded(candidate.Snapshot, excluded) || candidate.ShardCount() == 0 {
			continue
		}
		if best == nil || candidate.ExpectedCoverage > best.ExpectedCoverage+coverageTolerance {
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
