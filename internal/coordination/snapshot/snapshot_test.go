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

// held lists which shards a leaf holds in a version of generation 1 with 2 shards.
type held map[uint64][]int

func viewOf(leafs ...held) *shardmap.View {
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
		leafs    []held
		excluded []query.Snapshot
		want     uint64 // version; 0 means none
	}{
		{"nothing known", nil, nil, 0},
		{"the newest of equals", []held{{1: both, 2: both}, {1: both, 2: both}}, nil, 2},
		{"covered before newer", []held{{1: both, 2: {0}}}, nil, 1},
		{"as many replicas before newer", []held{{1: both, 2: both}, {1: both}}, nil, 1},
		{"newer once the old one is dropped", []held{{2: both}, {1: both}}, nil, 2},
		{"one replica more of one shard counts", []held{{1: both, 2: both}, {1: {1}}}, nil, 1},
		{"excluded", []held{{1: both, 2: both}}, []query.Snapshot{{Generation: 1, Version: 2}}, 1},
		{"all excluded", []held{{1: both}}, []query.Snapshot{{Generation: 1, Version: 1}}, 0},
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
