// Package snapshot chooses the snapshot that a query reads.
package snapshot

import (
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
)

// Choose returns the newest snapshot among those with the best expected
// coverage, leaving out the excluded ones. It returns nil when none is known.
func Choose(view *shardmap.View, excluded []query.Snapshot) *shardmap.SnapshotView {
	if view == nil {
		return nil
	}
	var best *shardmap.SnapshotView
	for _, candidate := range view.Snapshots {
		if isExcluded(candidate.Snapshot, excluded) || candidate.ShardCount() == 0 {
			continue
		}
		if best == nil || share(candidate) > share(best) {
			best = candidate
		}
	}
	return best
}

func share(v *shardmap.SnapshotView) float64 {
	return float64(v.Covered) / float64(v.ShardCount())
}

func isExcluded(s query.Snapshot, excluded []query.Snapshot) bool {
	for _, e := range excluded {
		if e == s {
			return true
		}
	}
	return false
}
