package gateway

import (
	"fmt"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hickorydock/hickorydock/internal/protocol/membership"
	"github.com/hickorydock/hickorydock/internal/protocol/route"
	"github.com/hickorydock/hickorydock/internal/state/group"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/routing"
)

func newTestRelays(nodes, shards, limit int) (*relays, *route.Route) {
	table := route.Table{Version: 1, Groups: map[string]route.Group{}}
	var groups []string
	for i := range shards {
		name := fmt.Sprintf("g%03d", i)
		groups = append(groups, name)
		table.Groups[name] = route.Group{Connections: limit}
	}
	table.Routes = []route.Route{{Name: "q", Host: "h", Prefix: "/", Timeout: 1, Shards: groups}}
	store := &routing.Store{}
	store.Put(routing.NewIndex(table, nil))
	r := &relays{node: "n000", zone: "az-0", routing: store, groups: group.NewStore(leaf.NewTable()), records: leaf.NewTable(), log: &log.Logger{Handler: discard.Default}}
	r.setMembers(membersIn(4, nodes))
	return r, &store.Current().Table.Routes[0]
}

// membersIn returns live members that are spread over availability zones.
func membersIn(zones, nodes int) []membership.Member {
	members := make([]membership.Member, nodes)
	for i := range members {
		members[i] = membership.Member{ID: fmt.Sprintf("n%03d", i), AvailabilityZone: fmt.Sprintf("az-%d", i%zones), State: membership.Alive}
	}
	return members
}

func BenchmarkAssign(b *testing.B) {
	r, _ := newTestRelays(67, 90, 56)
	members, index := r.alive.Load().members, r.routing.Current()
	b.ReportAllocs()
	for b.Loop() {
		r.assign(members, index)
	}
}

func BenchmarkClusters(b *testing.B) {
	r, rt := newTestRelays(67, 90, 56)
	b.ReportAllocs()
	for b.Loop() {
		r.Clusters(rt)
	}
}
