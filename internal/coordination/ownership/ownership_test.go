package ownership

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickorydock/hickorydock/internal/coordination/share"
	"github.com/hickorydock/hickorydock/internal/protocol/rapidtest"
)

// TestMain fixes the seed of the random histories; -rapid.seed overrides it.
func TestMain(m *testing.M) { rapidtest.Run(m, 7) }

func newMembers(nodes, zones, racks int) []Member {
	var out []Member
	for i := range nodes {
		zone := i % zones
		out = append(out, Member{
			ID:               fmt.Sprintf("node-%d", i),
			AvailabilityZone: fmt.Sprintf("az-%d", zone),
			Rack:             fmt.Sprintf("az-%d/rack-%d", zone, i/zones%racks),
		})
	}
	return out
}

func newLeafs(groups, shards int) []Leaf {
	var out []Leaf
	for g := range groups {
		for s := range shards {
			for r := range 2 {
				out = append(out, Leaf{
					ID:    fmt.Sprintf("leaf-%d-%d-%d", g, s, r),
					Group: fmt.Sprintf("group-%d", g),
					Key:   fmt.Sprintf("shard-%d", s),
				})
			}
		}
	}
	return out
}

func mustAssign(t testing.TB, members []Member, leafs []Leaf, cfg Config) *Assignment {
	t.Helper()
	a, err := Assign(members, leafs, cfg)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func TestAssign(t *testing.T) {
	tests := []struct {
		name           string
		nodes, zones   int
		groups, shards int // shards counts those of each group
		cluster        int
		spread         int // availability zones and racks of each leaf's owners
	}{
		// The load bound takes precedence over spread: one zone has a single node,
		// which cannot own every leaf.
		{"7 nodes in uneven zones, current number of leafs", 7, 4, 50, 1, 16, 3},
		{"8 nodes in even zones", 8, 4, 50, 1, 16, 4},
		{"70 nodes", 70, 6, 1, 165, 16, 4},
		{"610 nodes, each shard with its own owners", 610, 6, 5, 290, 1, 4},
		{"610 nodes, clusters of 16", 610, 6, 5, 290, 16, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			members := newMembers(test.nodes, test.zones, 10)
			leafs := newLeafs(test.groups, test.shards)
			cfg := DefaultConfig()
			cfg.ClusterSize = test.cluster
			a := mustAssign(t, members, leafs, cfg)
			limit := maxLoad(a.Clusters, cfg.Owners, test.nodes, cfg.LoadBound)
			if a.Overflows != 0 {
				t.Errorf("%d owners above the load bound", a.Overflows)
			}
			for _, l := range leafs {
				checkSpread(t, a, l, test.spread)
			}
			for i, load := range a.Load {
				if load > limit {
					t.Errorf("member %d has load %d, bound %d", i, load, limit)
				}
			}
		})
	}
}

func checkSpread(t *testing.T, a *Assignment, l Leaf, want int) {
	t.Helper()
	zones, racks := make(map[string]bool), make(map[string]bool)
	for _, m := range a.OwnersOf(l.ID) {
		zones[m.AvailabilityZone] = true
		racks[m.Rack] = true
	}
	if len(zones) < want || len(racks) < want {
		t.Errorf("owners of %s lie in %d availability zones and %d racks, want %d", l.ID, len(zones), len(racks), want)
	}
}

func TestReplicasOfAShardShareOwners(t *testing.T) {
	a := mustAssign(t, newMembers(70, 6, 4), newLeafs(2, 100), DefaultConfig())
	for s := range 100 {
		first, second := fmt.Sprintf("leaf-1-%d-0", s), fmt.Sprintf("leaf-1-%d-1", s)
		if a.ClusterOf(first) < 0 || a.ClusterOf(first) != a.ClusterOf(second) {
			t.Fatalf("replicas of shard %d lie in clusters %d and %d", s, a.ClusterOf(first), a.ClusterOf(second))
		}
	}
}

func TestAssignDependsOnSetsOnly(t *testing.T) {
	members, leafs := newMembers(70, 6, 4), newLeafs(2, 100)
	want := mustAssign(t, members, leafs, DefaultConfig())
	random := rand.New(rand.NewPCG(1, 1))
	random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	random.Shuffle(len(leafs), func(i, j int) { leafs[i], leafs[j] = leafs[j], leafs[i] })
	got := mustAssign(t, members, leafs, DefaultConfig())
	if !reflect.DeepEqual(got, want) {
		t.Fatal("another order of members and leafs gave another assignment")
	}
}

func TestAssignRejectsInvalidConfig(t *testing.T) {
	for name, cfg := range map[string]Config{
		"no owners":        {Owners: 0, ClusterSize: 1, LoadBound: 1},
		"no cluster":       {Owners: 1, ClusterSize: 0, LoadBound: 1},
		"bound below mean": {Owners: 1, ClusterSize: 1, LoadBound: 0.5},
	} {
		if _, err := Assign(newMembers(3, 1, 1), newLeafs(1, 2), cfg); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	if _, err := Assign(nil, newLeafs(1, 2), DefaultConfig()); err == nil {
		t.Error("no members: accepted")
	}
}

// TestRelayedCapHoldsWhileViewsLag simulates nodes that receive the same membership
// changes with different lags, and checks that the relays of a leaf never hold more
// connections together than its cap.
func TestRelayedCapHoldsWhileViewsLag(t *testing.T) {
	const (
		limit      = 25
		settleTime = 4 // seconds
	)
	leafs := newLeafs(1, 6)
	s, err := share.ConnectionShare(limit, 20, share.Reserve(limit))
	if err != nil || s.Mode != share.Relayed {
		t.Fatal(s, err)
	}
	cfg := Config{Owners: s.Holders, ClusterSize: 2, LoadBound: 1.25}
	at := func(n int) time.Time { return time.Unix(int64(n), 0) }
	rapid.Check(t, func(t *rapid.T) {
		live := newMembers(20, 4, 3)
		history := []*Assignment{mustAssignRapid(t, live, leafs, cfg)}
		lag := make(map[string]int)
		windows := make(map[string]*share.Window)
		for now := range 30 {
			live = changeMembers(t, live, now)
			history = append(history, mustAssignRapid(t, live, leafs, cfg))
			held := make(map[string]int)
			for _, m := range live {
				// A view may catch up by any number of changes but never goes back;
				// it applies the changes in order.
				oldLag := lag[m.ID]
				lag[m.ID] = rapid.IntRange(0, min(oldLag+1, settleTime)).Draw(t, "lag")
				for _, l := range leafs {
					w := windows[m.ID+l.ID]
					if w == nil {
						w = share.NewWindow(at(now), settleTime*time.Second)
						windows[m.ID+l.ID] = w
					}
					for change := max(now-oldLag-1, 0); change <= max(now-lag[m.ID], 0); change++ {
						w.Grant(at(now), grantedTo(history[min(change+1, len(history)-1)], l.ID, m.ID, s.PerHolder))
					}
					held[l.ID] += w.Allowed(at(now))
				}
			}
			for id, n := range held {
				if n > limit {
					t.Fatalf("at %d s leaf %s has %d connections, cap %d", now, id, n, limit)
				}
			}
		}
	})
}

func mustAssignRapid(t *rapid.T, members []Member, leafs []Leaf, cfg Config) *Assignment {
	a, err := Assign(members, leafs, cfg)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func grantedTo(a *Assignment, leaf, member string, perHolder int) int {
	for _, m := range a.OwnersOf(leaf) {
		if m.ID == member {
			return perHolder
		}
	}
	return 0
}

// changeMembers removes some members and adds others, sometimes half of them at once.
func changeMembers(t *rapid.T, live []Member, now int) []Member {
	leaving := rapid.SampledFrom([]int{0, 0, 1, 2, len(live) / 2}).Draw(t, "leaving")
	out := append([]Member(nil), live[min(leaving, len(live)-1):]...)
	for i := range rapid.SampledFrom([]int{0, 1, leaving}).Draw(t, "joining") {
		m := newMembers(4, 4, 3)[i%4]
		m.ID = fmt.Sprintf("late-%d-%d", now, i)
		out = append(out, m)
	}
	return out
}
