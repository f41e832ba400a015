package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/hickorydock/hickorydock/internal/coordination/ownership"
	"github.com/hickorydock/hickorydock/internal/coordination/share"
	"github.com/hickorydock/hickorydock/internal/protocol/membership"
	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
	"github.com/hickorydock/hickorydock/internal/state/group"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/routing"
	"github.com/hickorydock/hickorydock/internal/transport/mesh"
	"github.com/hickorydock/hickorydock/internal/transport/peer"
)

// clusterGroups is the number of groups whose leafs have the same relays: a query
// of some hundred shards then goes to about eight relays.
const clusterGroups = 12

// division is who relays to which groups, for one table and one membership.
type division struct {
	members *membersList
	index   *routing.Index
	owners  *ownership.Assignment // nil when all nodes connect to all leafs
	// clusters are the *routeClusters of the routes that were asked about, by
	// *route.Route.
	clusters sync.Map
}

// membersList gives a list of members an identity.
type membersList struct{ members []membership.Member }

// relays divides groups among the nodes. It is safe for concurrent use.
type relays struct {
	node    string
	zone    string
	mesh    *mesh.Mesh
	routing *routing.Store
	groups  *group.Store
	records *leaf.Table // of nodes
	log     log.Interface
	// moved is told of each new division in the background; may be nil.
	moved   func()
	present atomic.Pointer[membersList]
	current atomic.Pointer[division]

	mu    sync.Mutex
	later *time.Timer // divides again; nil before the first change
}

// settleTime is the wait for further changes before groups are divided again without
// a request that needs it: many nodes start and stop together.
const settleTime = 200 * time.Millisecond

// setMembers takes the present members.
func (r *relays) setMembers(members []membership.Member) {
	r.present.Store(&membersList{slices.DeleteFunc(slices.Clone(members), func(m membership.Member) bool {
		return m.State != membership.Alive
	})})
	r.divideSoon()
}

// divideSoon divides the groups once no change has come for settleTime.
func (r *relays) divideSoon() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.later == nil {
		r.later = time.AfterFunc(settleTime, func() { r.division() })
		return
	}
	r.later.Reset(settleTime)
}

// division returns the division in force for the table and the members of now.
func (r *relays) division() *division {
	members, index := r.present.Load(), r.routing.Current()
	if members == nil || index == nil {
		return nil
	}
	if a := r.current.Load(); a != nil && a.members == members && a.index == index {
		return a
	}
	a := &division{members: members, index: index, owners: r.divide(members.members, index)}
	r.current.Store(a)
	if r.moved != nil {
		go r.moved()
	}
	return a
}

// divide assigns the shards of all routes, or returns nil when each node may
// connect to each leaf.
func (r *relays) divide(members []membership.Member, index *routing.Index) *ownership.Assignment {
	groups := shardGroups(index)
	relayed := 0
	for _, name := range groups {
		limit := index.Table.Groups[name].Connections
		s, err := share.ConnectionShare(limit, len(members), share.Reserve(limit))
		if err == nil && s.Mode == share.Relayed {
			relayed = max(relayed, s.Holders)
		}
	}
	if relayed == 0 {
		return nil
	}
	nodes := make([]ownership.Member, 0, len(members))
	for _, m := range members {
		nodes = append(nodes, ownership.Member{ID: m.ID, AvailabilityZone: m.AvailabilityZone})
	}
	keys := make([]ownership.Leaf, 0, len(groups))
	for _, name := range groups {
		keys = append(keys, ownership.Leaf{ID: name, Key: name})
	}
	a, err := ownership.Assign(nodes, keys, ownership.Config{Owners: relayed, ClusterSize: clusterGroups, LoadBound: ownership.DefaultLoadBound})
	if err != nil {
		r.log.WithError(err).Error("groups not divided among relays")
		return nil
	}
	r.log.WithFields(log.Fields{"nodes": len(members), "groups": len(groups), "clusters": len(a.Clusters), "relays": relayed, "version": index.Table.Version}).Info("groups divided among relays")
	return a
}

// shardGroups lists the groups of all routes that ask several, in order.
func shardGroups(index *routing.Index) []string {
	seen := make(map[string]bool)
	for i := range index.Table.Routes {
		for _, name := range index.Table.Routes[i].Shards {
			seen[name] = true
		}
	}
	groups := make([]string, 0, len(seen))
	for name := range seen {
		groups = append(groups, name)
	}
	slices.Sort(groups)
	return groups
}

// silentAfter is the time without any result after which a batch that was given up
// speaks against its node.
const silentAfter = 20 * time.Millisecond

// Do meets forward.Relays. A node that answered nothing is suspected of being lost.
func (r *relays) Do(ctx context.Context, node string, batch *contract.Batch, deliver func(peer.Result)) error {
	begun := time.Now()
	answered := false
	err := r.mesh.Do(ctx, node, batch, func(result peer.Result) {
		answered = true
		deliver(result)
	})
	early := ctx.Err() != nil && time.Since(begun) < silentAfter
	if err != nil && !answered && !early && !errors.Is(err, peer.ErrDraining) {
		r.mesh.Suspect(node)
	}
	return err
}

// connections is the most connections of this node to a leaf of a group.
func (r *relays) connections(group string, expectedNodes int) int {
	index := r.routing.Current()
	if index == nil {
		return 1
	}
	nodes := expectedNodes
	if members := r.present.Load(); members != nil {
		nodes = max(nodes, len(members.members))
	}
	limit := index.Table.Groups[group].Connections
	s, err := share.ConnectionShare(limit, nodes, share.Reserve(limit))
	if err != nil {
		return 1
	}
	return max(min(s.PerHolder, connectionsPerLeaf), 1)
}

// prepare opens the streams to the relays that this node asks first, one after another
// so that they take little of its processor at a time.
func (r *relays) prepare(ctx context.Context) {
	a := r.division()
	if a == nil || a.owners == nil {
		return
	}
	asked := map[string]bool{}
	for i := range a.index.Table.Routes {
		for _, c := range r.Clusters(&a.index.Table.Routes[i]) {
			for _, owner := range c.Preferred {
				if asked[owner.VM.ID] || ctx.Err() != nil {
					continue
				}
				asked[owner.VM.ID] = true
				r.mesh.Prepare(ctx, owner.VM.ID)
			}
		}
	}
}

// holders returns the number of nodes that relay to a group and whether this node is
// one of them; 0 when all nodes send to it.
func (r *relays) holders(group string) (n int, holds bool) {
	a := r.division()
	if a == nil || a.owners == nil {
		return 0, true
	}
	owners := a.owners.OwnersOf(group)
	return len(owners), slices.ContainsFunc(owners, func(m ownership.Member) bool { return m.ID == r.node })
}

// connectsTo reports whether this node keeps connections to the leafs of a group. It
// does not while the division is not known, nor to leafs that are to have relays once
// a route names their group.
func (r *relays) connectsTo(group string) bool {
	a := r.division()
	switch {
	case a == nil:
		return false
	case a.owners == nil:
		return true
	case a.owners.ClusterOf(group) < 0:
		limit := a.index.Table.Groups[group].Connections
		s, err := share.ConnectionShare(limit, len(a.members.members), share.Reserve(limit))
		return err == nil && s.Mode == share.Direct
	}
	_, holds := r.holders(group)
	return holds
}
