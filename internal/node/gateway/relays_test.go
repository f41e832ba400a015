package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"math/bits"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/share"
	"github.com/hickorydock/hickorydock/internal/protocol/membership"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/route"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
	"github.com/hickorydock/hickorydock/internal/transport/leafwire"
)

// TestConnectionsOfLeafs checks, at 7, 70 and 610 nodes, that no leaf gets more
// connections than it accepts, that every group has relays and that a query goes to
// few of them.
func TestConnectionsOfLeafs(t *testing.T) {
	tests := []struct {
		nodes, shards, limit int
		relayed              bool
	}{
		{7, 20, 26, false},
		{70, 135, 56, true},
		{610, 310, 56, true},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.nodes), func(t *testing.T) {
			r, rt := newTestRelays(test.nodes, test.shards, test.limit)
			groups := rt.Shards
			clusters := r.Clusters(rt)
			if (clusters != nil) != test.relayed {
				t.Fatalf("%d clusters, relayed: want %t", len(clusters), test.relayed)
			}
			// The number of clusters is the least power of two with at most groupsPerCluster
			// groups in each.
			if maxClusters := 1 << bits.Len(uint((test.shards-1)/groupsPerCluster)); len(clusters) > maxClusters {
				t.Errorf("a query goes to %d relays, want at most %d", len(clusters), maxClusters)
			}
			covered := 0
			for _, c := range clusters {
				covered += len(c.Shards)
				if len(c.Preferred)+len(c.Fallback) == 0 {
					t.Errorf("shards %v have no relay besides this node", c.Shards)
				}
			}
			if test.relayed && covered != test.shards {
				t.Errorf("%d of %d shards in clusters", covered, test.shards)
			}
			connections := 0
			for i := range test.nodes {
				r.node = fmt.Sprintf("n%03d", i)
				if r.connectsTo(groups[0]) {
					connections += r.maxConnections(groups[0], 1)
				}
			}
			if maxTotal := test.limit - share.Reserve(test.limit); connections > maxTotal || connections == 0 {
				t.Errorf("%d connections to a leaf, want at most %d", connections, maxTotal)
			}
		})
	}
}

// TestRelaysNearLeafs has leafs in three of four availability zones: their results must
// be merged in the zones of the leafs, whichever node queries them.
func TestRelaysNearLeafs(t *testing.T) {
	tests := []struct {
		name, node, zone string
		leafs            []string // their availability zones
		preferred        string   // those of the preferred relays
	}{
		{"leafs are in this node's zone", "n000", "az-0", []string{"az-0", "az-1", "az-2"}, "az-0"},
		{"leafs are in other zones", "n003", "az-3", []string{"az-0", "az-1", "az-2"}, "az-0 az-1 az-2"},
		{"no leaf is known", "n003", "az-3", nil, "az-3"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r, rt := newTestRelays(67, 90, 56)
			r.node, r.zone = test.node, test.zone
			for _, name := range rt.Shards {
				for _, zone := range test.leafs {
					r.groups.Put(route.Leaf{VM: platform.VM{ID: name + zone, Group: name, AvailabilityZone: zone}}, nil)
				}
			}
			zones := map[string]bool{}
			for _, c := range r.Clusters(rt) {
				if c.Direct && !strings.Contains(test.preferred, test.zone) {
					t.Errorf("shards %v are sent to from a zone without their leafs", c.Shards)
				}
				if total := len(c.Preferred) + len(c.Fallback); total < share.MaxRelays-1 {
					t.Errorf("shards %v have %d relays", c.Shards, total)
				}
				for _, owner := range c.Preferred {
					zones[owner.VM.AvailabilityZone] = true
				}
			}
			if got := strings.Join(slices.Sorted(maps.Keys(zones)), " "); got != test.preferred {
				t.Errorf("preferred relays are in %q, want %q", got, test.preferred)
			}
		})
	}
}

// TestResultsAreMergedInTheZoneOfTheirLeafs has leafs in three of six availability zones,
// in other ones for each shard: what a relay fetches from another zone is ten times what
// it hands on. Nearly all shards must go to relays, still few ones, in a zone of their
// leafs, whichever node queries them.
func TestResultsAreMergedInTheZoneOfTheirLeafs(t *testing.T) {
	const (
		nodes      = 295
		zones      = 6
		leafsEach  = 3
		shards     = 180
		maxRelays  = 20
		maxOutside = shards / 20
	)
	for own := range zones {
		r, rt := newTestRelays(nodes, shards, 175)
		r.setMembers(membersIn(zones, nodes))
		r.zone = fmt.Sprintf("az-%d", own)
		for i, name := range rt.Shards {
			for k := range leafsEach {
				zone := fmt.Sprintf("az-%d", (i+k)%zones)
				r.groups.Put(route.Leaf{VM: platform.VM{ID: name + zone, Group: name, AvailabilityZone: zone}}, nil)
			}
		}
		parts := r.Clusters(rt)
		if len(parts) > maxRelays {
			t.Errorf("from %s: a query goes to %d relays, want at most %d", r.zone, len(parts), maxRelays)
		}
		outside, sent := 0, 0
		for _, c := range parts {
			sent += len(c.Shards)
			for _, shard := range c.Shards {
				served := slices.ContainsFunc(r.groups.Replicas(rt.Shards[shard]), func(leaf shardmap.Replica) bool {
					return c.Direct && leaf.VM.AvailabilityZone == r.zone ||
						len(c.Preferred) > 0 && leaf.VM.AvailabilityZone == c.Preferred[0].VM.AvailabilityZone
				})
				if !served {
					outside++
				}
			}
		}
		if sent != shards || outside > maxOutside {
			t.Errorf("from %s: of %d shards sent, %d go to a zone without their leafs, want at most %d", r.zone, sent, outside, maxOutside)
		}
	}
}

// TestFewRelaysMoveWhenNodeJoins guards against leafs with too many connections while
// nodes discover a new one at different times: they must agree on most relays, since a
// leaf's connections are counted by owner.
func TestFewRelaysMoveWhenNodeJoins(t *testing.T) {
	before, rt := newTestRelays(70, 90, 56)
	after, _ := newTestRelays(71, 90, 56)
	moved, total := 0, 0
	for _, g := range rt.Shards {
		old := map[string]bool{}
		for _, m := range before.assignment().owners.OwnersOf(g) {
			old[m.ID] = true
		}
		for _, m := range after.assignment().owners.OwnersOf(g) {
			total++
			if !old[m.ID] {
				moved++
			}
		}
	}
	if moved*10 > total {
		t.Errorf("%d of %d relays of groups change with one more node", moved, total)
	}
}

// TestWarmConnections covers a fleet that starts: each leaf must have a connection from
// each of its relays before the first request, and from no other node, in whatever
// order the table, the leafs and the members become known.
func TestWarmConnections(t *testing.T) {
	steps := map[string]func(c *controller, members []membership.Member, table platform.Object, leafs platform.Listing){
		"leafs first": func(c *controller, members []membership.Member, table platform.Object, leafs platform.Listing) {
			c.leafsListed(leafs)
			c.putTable(table)
			c.relays.setMembers(members)
		},
		"leafs last": func(c *controller, members []membership.Member, table platform.Object, leafs platform.Listing) {
			c.relays.setMembers(members)
			c.putTable(table)
			c.leafsListed(leafs)
		},
		"members one by one, last": func(c *controller, members []membership.Member, table platform.Object, leafs platform.Listing) {
			c.putTable(table)
			for n := range members {
				c.relays.setMembers(members[:n+1])
			}
			c.leafsListed(leafs)
		},
	}
	for name, step := range steps {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reference, rt := newTestRelays(67, 90, 56)
				c := newTestController()
				c.relays.node = "n000"
				c.relays.onAssignment = c.applyAssignment
				var mu sync.Mutex
				dialled := map[string]int{}
				c.leafClient = leafwire.New(leafwire.Config{
					MaxConnections: func(string) int { return 1 },
					Dial: func(_ context.Context, address string) (net.Conn, error) {
						mu.Lock()
						defer mu.Unlock()
						dialled[address]++
						clientConn, _ := net.Pipe()
						return clientConn, nil
					},
				})
				table, _ := json.Marshal(reference.routing.Current().Table)
				var leafs platform.Listing
				for _, group := range append(slices.Clone(rt.Shards), "not-routed-yet") {
					text, _ := json.Marshal(route.Leaf{VM: platform.VM{ID: group, Group: group, Address: group}})
					leafs.Objects = append(leafs.Objects, platform.Object{Kind: platform.KindVM, Name: group, Value: text})
				}
				step(c, reference.alive.Load().members, platform.Object{Kind: platform.KindRouting, Name: platform.RoutingName, Value: table}, leafs)
				time.Sleep(2 * reassignDelay)
				mu.Lock()
				defer mu.Unlock()
				relayed := 0
				for _, group := range rt.Shards {
					want := 0
					if reference.connectsTo(group) {
						want = 1
						relayed++
					}
					if dialled[group] != want {
						t.Errorf("group %s: %d connections, want %d", group, dialled[group], want)
					}
				}
				if relayed == 0 || dialled["not-routed-yet"] != 0 {
					t.Errorf("%d groups relayed to, %d connections to leafs that no route names", relayed, dialled["not-routed-yet"])
				}
				for _, l := range c.groups.All() {
					c.leafClient.RemoveLeaf(l.VM.ID)
				}
			})
		})
	}
}

// TestIsolatedNodesAreNoRelays guards against groups whose relays all reach no leaf: those that
// do are the relays, unless none does.
func TestIsolatedNodesAreNoRelays(t *testing.T) {
	synctest.Test(t, checkIsolatedNodesAreNoRelays)
}

func checkIsolatedNodesAreNoRelays(t *testing.T) {
	r, rt := newTestRelays(70, 90, 56)
	for _, isolated := range []int{0, 14, 60, 69, 70} {
		members := membersIn(4, 70)
		for i := range isolated {
			members[i].Isolated = true
		}
		r.setMembers(members)
		time.Sleep(reassignDelay) // until all announcements have taken effect
		clusters := r.Clusters(rt)
		direct := isolated == 60 || isolated == 69 // few enough to connect to every leaf
		if (clusters == nil) != direct {
			t.Errorf("%d isolated: %d clusters", isolated, len(clusters))
		}
		near, far := r.Others()
		relays := append(near, far...)
		for _, c := range clusters {
			relays = append(append(relays, c.Preferred...), c.Fallback...)
			if len(c.Preferred)+len(c.Fallback) == 0 {
				t.Errorf("%d isolated: shards %v have no relay", isolated, c.Shards)
			}
			if c.Direct && isolated > 0 && isolated < 70 {
				t.Errorf("%d isolated: this node relays although it is isolated", isolated)
			}
		}
		if len(relays) == 0 {
			t.Errorf("%d isolated: no other node", isolated)
		}
		for _, relay := range relays {
			if slices.ContainsFunc(members[:isolated%70], func(m membership.Member) bool { return m.ID == relay.VM.ID }) {
				t.Errorf("%d isolated: %s is a relay", isolated, relay.VM.ID)
			}
		}
		if r.isIsolated() != (isolated > 0) {
			t.Errorf("%d isolated: this node: %t", isolated, r.isIsolated())
		}
	}
}

// TestAnnouncementsInSeries guards against nodes that assign all groups anew, and change their
// connections, with each of many announcements that a node is isolated, or with one that
// changes nothing.
func TestAnnouncementsInSeries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := newTestRelays(67, 90, 56)
		r.assignment()
		var assignments atomic.Int64
		r.onAssignment = func() { assignments.Add(1) }
		members := membersIn(4, 67)
		const announcements, between = 57, 20 * time.Millisecond
		for i := range announcements {
			members[i].Isolated = true
			members[i].Refutation++
			r.setMembers(members)
			r.assignment() // as each request does
			time.Sleep(between)
		}
		time.Sleep(2 * reassignDelay)
		synctest.Wait()
		if most := int64(math.Ceil(float64(announcements*between)/float64(reassignDelay))) + 1; assignments.Load() > most {
			t.Errorf("%d assignments for %d announcements in %v, want at most %d", assignments.Load(), announcements, announcements*between, most)
		}
		if list := r.alive.Load(); len(list.reaching) != len(members)-announcements {
			t.Errorf("%d members reach leafs, want %d", len(list.reaching), len(members)-announcements)
		}
		before := r.assignment()
		members[0].Refutation++
		r.setMembers(members)
		if time.Sleep(2 * reassignDelay); r.assignment() != before {
			t.Error("an announcement that changes nothing leads to a new assignment")
		}
	})
}
