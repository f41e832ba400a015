package snapshot

import (
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/protocol/upstream"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
)

// holdings maps versions of generation 1, which has 2 shards, to the shards that a
// leaf holds.
type holdings map[uint64][]int

func viewOf(leafs ...holdings) *shardmap.View {
	store := shardmap.NewStore(leaf.NewTable())
	for i, versions := range leafs {
		var m upstream.Manifest
		for version, shards := range versions {
			s := query.Snapshot{Generation: 1, Version: version}
			m.Holdings = append(m.Holdings, upstream.Holding{Service: "s", Snapshot: s, ShardCount: 2, Shards: shards})
		}
		store.SetManifest(platform.VM{ID: string(rune('a' + i)), Group: "g"}, m, time.Unix(1000, 0))
	}
	return store.View("g", "s")
}

func TestChoose(t *testing.T) {
	both := []int{0, 1}
	tests := []struct {
		name     string
		leafs    []holdings
		excluded []query.Snapshot
		want     uint64 // version; 0 means none
	}{
		{"no snapshot", nil, nil, 0},
		{"the newest of equals", []holdings{{1: both, 2: both}, {1: both, 2: both}}, nil, 2},
		{"coverage takes precedence over age", []holdings{{1: both, 2: {0}}}, nil, 1},
		{"older while the newer one has fewer replicas", []holdings{{1: both, 2: both}, {1: both}}, nil, 1},
		{"newer once both have as many replicas", []holdings{{2: both}, {1: both}}, nil, 2},
		{"one more replica of one shard suffices", []holdings{{1: both, 2: both}, {1: {1}}}, nil, 1},
		{"excluded", []holdings{{1: both, 2: both}}, []query.Snapshot{{Generation: 1, Version: 2}}, 1},
		{"all excluded", []holdings{{1: both}}, []query.Snapshot{{Generation: 1, Version: 1}}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := Choose(viewOf(test.leafs...), test.excluded)
			switch {
			case got == nil && test.want != 0:
				t.Errorf("none, want version %d", test.want)
			case got != nil && got.Snapshot.Version != test.want:
				t.Errorf("version %d, want %d", got.Snapshot.Version, test.want)
			}
		})
	}
}
