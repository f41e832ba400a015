package shardmap

import (
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/protocol/upstream"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
)

var start = time.Unix(1000, 0)

func holding(generation, version uint64, count int, shards ...int) upstream.Holding {
	return upstream.Holding{
		Service:    "s",
		Snapshot:   query.Snapshot{Generation: generation, Version: version},
		ShardCount: count,
		Shards:     shards,
	}
}

func vm(id string) platform.VM { return platform.VM{ID: id, Group: "g", Address: id + ":1"} }

func manifest(holdings ...upstream.Holding) upstream.Manifest {
	return upstream.Manifest{Holdings: holdings}
}

func TestViewGroupsBySnapshot(t *testing.T) {
	s := NewStore(leaf.NewTable())
	s.SetManifest(vm("a"), manifest(holding(1, 1, 2, 0, 1), holding(1, 2, 2, 0)), start)
	s.SetManifest(vm("b"), manifest(holding(1, 1, 2, 1), holding(2, 2, 3, 0, 1, 2)), start)
	view := s.View("g", "s")
	want := []struct {
		snapshot query.Snapshot
		shards   int
		covered  int
	}{
		{query.Snapshot{Generation: 2, Version: 2}, 3, 3},
		{query.Snapshot{Generation: 1, Version: 2}, 2, 1},
		{query.Snapshot{Generation: 1, Version: 1}, 2, 2},
	}
	if len(view.Snapshots) != len(want) {
		t.Fatalf("%d snapshots", len(view.Snapshots))
	}
	for i, w := range want {
		got := view.Snapshots[i]
		if got.Snapshot != w.snapshot || got.ShardCount() != w.shards || got.Covered != w.covered {
			t.Errorf("snapshot %d: %+v covers %d of %d", i, got.Snapshot, got.Covered, got.ShardCount())
		}
	}
	if n := len(view.Snapshots[2].Replicas[1]); n != 2 {
		t.Errorf("shard 1 has %d replicas, want 2", n)
	}
}

func TestMajorityShardCount(t *testing.T) {
	s := NewStore(leaf.NewTable())
	s.SetManifest(vm("a"), manifest(holding(1, 1, 2, 0)), start)
	s.SetManifest(vm("b"), manifest(holding(1, 1, 2, 1)), start)
	s.SetManifest(vm("c"), manifest(holding(1, 1, 4, 0, 1)), start)
	view := s.View("g", "s").Snapshots[0]
	if view.ShardCount() != 2 || len(view.Replicas[0]) != 1 {
		t.Errorf("shard count %d, replicas of shard 0: %d", view.ShardCount(), len(view.Replicas[0]))
	}
}

func TestInvalidHoldingsAreIgnored(t *testing.T) {
	s := NewStore(leaf.NewTable())
	s.SetManifest(vm("a"), manifest(holding(1, 1, 2, 0, -1, 7), holding(1, 2, 1<<40, 0), holding(1, 3, -2, 0)), start)
	for _, v := range s.View("g", "s").Snapshots {
		if v.Snapshot.Version == 1 && (v.ShardCount() != 2 || v.Covered != 1) {
			t.Errorf("snapshot 1/1 covers %d of %d", v.Covered, v.ShardCount())
		}
		if v.Snapshot.Version != 1 && v.ShardCount() != 0 {
			t.Errorf("snapshot %s has %d shards", v.Snapshot, v.ShardCount())
		}
	}
}

// TestDenialOverridesManifest checks that a denial is in effect for denialTTL and
// no longer.
func TestDenialOverridesManifest(t *testing.T) {
	s := NewStore(leaf.NewTable())
	m := manifest(holding(1, 1, 1, 0))
	s.SetManifest(vm("a"), m, start)
	s.Deny(vm("a"), "s", query.Snapshot{Generation: 1, Version: 1}, start)
	s.SetManifest(vm("a"), m, start.Add(denialTTL))
	if n := len(s.View("g", "s").Snapshots); n != 0 {
		t.Fatalf("%d snapshots after a denial", n)
	}
	s.SetManifest(vm("a"), m, start.Add(denialTTL+1))
	if n := len(s.View("g", "s").Snapshots); n != 1 {
		t.Fatalf("%d snapshots after the denial expired", n)
	}
}

func TestRemove(t *testing.T) {
	s := NewStore(leaf.NewTable())
	s.SetManifest(vm("a"), manifest(holding(1, 1, 1, 0)), start)
	s.Remove("g", "a")
	if view := s.View("g", "s"); view != nil {
		t.Errorf("view %+v after the only leaf was removed", view)
	}
}
