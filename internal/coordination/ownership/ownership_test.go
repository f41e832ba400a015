package ownership

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickorydock/hickorydock/internal/coordination/share"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "7")
	}
	os.Exit(m.Run())
}

func fleetOf(nodes, zones, racks int) []Member {
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

func leafsOf(groups, shards int) []Leaf {
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

func assign(t testing.TB, members []Member, leafs []Leaf, cfg Config) *Assignment {
	t.Helper()
	a, err := Assign(members, leafs, cfg)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func TestAssign(t *testing.T) {
	tests := []struct {
		name          string
		nodes, zones  int
		groups, shard int
		cluster       int
		spread        int // availability zones and racks of each leaf's owners
	}{
		// The bound on load goes before spread: one zone has a single node, which
		// cannot own every leaf.
		{"7 nodes in uneven zones, today's leafs", 7, 4, 50, 1, 16, 3},
		{"8 nodes in even zones", 8, 4, 50, 1, 16, 4},
		{"70 nodes", 70, 6, 1, 165, 16, 4},
		{"610 nodes, own owners for each shard", 610, 6, 5, 290, 1, 4},
		{"610 nodes, clusters of 16", 610, 6, 5, 290, 16, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			members := fleetOf(test.nodes, test.zones, 10)
			leafs := leafsOf(test.groups, test.shard)
			cfg := DefaultConfig()
			cfg.ClusterSize = test.cluster
			a := assign(t, members, leafs, cfg)
			limit := bound(a.Clusters, cfg.Owners, test.nodes, cfg.LoadBound)
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
	a := assign(t, fleetOf(70, 6, 4), leafsOf(2, 100), DefaultConfig())
	for s := range 100 {
		first, second := fmt.Sprintf("leaf-1-%d-0", s), fmt.Sprintf("leaf-1-%d-1", s)
		if a.ClusterOf(first) < 0 || a.ClusterOf(first) != a.ClusterOf(second) {
			t.Fatalf("replicas of shard %d lie in clusters %d and %d", s, a.ClusterOf(first), a.ClusterOf(second))
		}
	}
}

func TestAssignDependsOnSetsOnly(t *testing.T) {
	members, leafs := fleetOf(70, 6, 4), leafsOf(2, 100)
	want := assign(t, members, leafs, DefaultConfig())
	random := rand.New(rand.NewPCG(1, 1))
	random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	random.Shuffle(len(leafs), func(i, j int) { leafs[i], leafs[j] = leafs[j], leafs[i] })
	got := assign(t, members, leafs, DefaultConfig())
	if !reflect.DeepEqual(got, want) {
		t.Fatal("another order of members and leafs gave another assignment")
	}
}

func TestAssignRefuses(t *testing.T) {
	for name, cfg := range map[string]Config{
		"no owners":        {Owners: 0, ClusterSize: 1, LoadBound: 1},
		"no cluster":       {Owners: 1, ClusterSize: 0, LoadBound: 1},
		"bound below mean": {Owners: 1, ClusterSize: 1, LoadBound: 0.5},
	} {
		if _, err := Assign(fleetOf(3, 1, 1), leafsOf(1, 2), cfg); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	if _, err := Assign(nil, leafsOf(1, 2), DefaultConfig()); err == nil {
		t.Error("no members: accepted")
	}
}

// TestRelayedCapHoldsWhileViewsLag runs nodes that see the same changes of the
// membership with lags of their own, and checks that the relays of each leaf
// never hold more connections together than its cap.
func TestRelayedCapHoldsWhileViewsLag(t *testing.T) {
	const (
		limit  = 25
		settle = 4 // seconds
	)
	leafs := leafsOf(1, 6)
	s, err := share.ConnectionShare(limit, 20, share.Reserve(limit))
	if err != nil || s.Mode != share.Relayed {
		t.Fatal(s, err)
	}
	cfg := Config{Owners: s.Holders, ClusterSize: 2, LoadBound: 1.25}
	at := func(n int) time.Time { return time.Unix(int64(n), 0) }
	rapid.Check(t, func(t *rapid.T) {
		live := fleetOf(20, 4, 3)
		history := []*Assignment{assign2(t, live, leafs, cfg)}
		lag := make(map[string]int)
		windows := make(map[string]*share.Window)
		for now := range 30 {
			live = change(t, live, now)
			history = append(history, assign2(t, live, leafs, cfg))
			held := make(map[string]int)
			for _, m := range live {
				// A view may catch up by any number of changes but never goes back;
				// it takes each change in turn.
				old := lag[m.ID]
				lag[m.ID] = rapid.IntRange(0, min(old+1, settle)).Draw(t, "lag")
				for _, l := range leafs {
					w := windows[m.ID+l.ID]
					if w == nil {
						w = share.NewWindow(at(now), settle*time.Second)
						windows[m.ID+l.ID] = w
					}
					for seen := max(now-old-1, 0); seen <= max(now-lag[m.ID], 0); seen++ {
						w.Grant(at(now), grantOf(history[min(seen+1, len(history)-1)], l.ID, m.ID, s.PerHolder))
					}
					held[l.ID] += w.Allowed(at(now))
				}
			}
			for id, n := range held {
				if n > limit {
					t.Fatalf("at %d s leaf %s sees %d connections, cap %d", now, id, n, limit)
				}
			}
		}
	})
}

func assign2(t *rapid.T, members []Member, leafs []Leaf, cfg Config) *Assignment {
	a, err := Assign(members, leafs, cfg)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func grantOf(a *Assignment, leaf, member string, each int) int {
	for _, m := range a.OwnersOf(leaf) {
		if m.ID == member {
			return each
		}
	}
	return 0
}

// change lets members leave and others join, sometimes half of them at once.
func change(t *rapid.T, live []Member, now int) []Member {
	leaving := rapid.SampledFrom([]int{0, 0, 1, 2, len(live) / 2}).Draw(t, "leaving")
	out := append([]Member(nil), live[min(leaving, len(live)-1):]...)
	for i := range rapid.SampledFrom([]int{0, 1, leaving}).Draw(t, "joining") {
		m := fleetOf(4, 4, 3)[i%4]
		m.ID = fmt.Sprintf("late-%d-%d", now, i)
		out = append(out, m)
	}
	return out
}
