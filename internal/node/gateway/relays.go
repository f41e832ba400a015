package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/hickorydock/hickorydock/internal/coordination/ownership"
	"github.com/hickorydock/hickorydock/internal/coordination/share"
	"github.com/hickorydock/hickorydock/internal/protocol/membership"
	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/state/group"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/routing"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
	"github.com/hickorydock/hickorydock/internal/transport/mesh"
	"github.com/hickorydock/hickorydock/internal/transport/peer"
)

// groupsPerCluster is the number of groups that share their relays: a query of about a
// hundred shards then goes to four to eight relays, by the zones of the leafs.
const groupsPerCluster = 24

// assignment holds which nodes relay to which groups, for one routing table and one
// list of members.
type assignment struct {
	members *memberList
	index   *routing.Index
	owners  *ownership.Assignment // nil if all nodes connect to all leafs
	// clusters caches the *routeClusters of routes, by *route.Route.
	clusters sync.Map
}

// relays assigns groups to the nodes that relay to them. It is safe for concurrent use.
type relays struct {
	node    string
	zone    string
	mesh    *mesh.Mesh
	routing *routing.Store
	groups  *group.Store
	records *leaf.Table // of nodes
	log     log.Interface
	// onAssignment is called in the background after each new assignment; it may be nil.
	onAssignment func()
	alive        atomic.Pointer[memberList]
	current      atomic.Pointer[assignment]

	assigning sync.Mutex // held while an assignment is computed

	mu          sync.Mutex  // guards the fields below
	assignTimer *time.Timer // renews the assignment; nil before the first change
	// membersSetAt is when alive was set last, and nextMembers the list that replaces it
	// reassignDelay later; nil if there is none.
	membersSetAt time.Time
	nextMembers  *memberList
}

// reassignDelay is how long scheduleAssignment waits for further changes, since many nodes start
// and stop together, and the shortest time between two changes of which nodes are isolated. A
// request that needs the assignment does not wait.
const reassignDelay = 200 * time.Millisecond

// scheduleAssignment renews the assignment after reassignDelay without a further change.
func (r *relays) scheduleAssignment() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.scheduleLocked()
}

// scheduleLocked is scheduleAssignment for a caller that holds r.mu.
func (r *relays) scheduleLocked() {
	if r.assignTimer == nil {
		r.assignTimer = time.AfterFunc(reassignDelay, func() { r.assignment() })
		return
	}
	r.assignTimer.Reset(reassignDelay)
}

// assignment returns the assignment for the current table and members, and computes it
// if they have changed. It returns nil before both are known.
func (r *relays) assignment() *assignment {
	members, index := r.alive.Load(), r.routing.Current()
	if members == nil || index == nil {
		return nil
	}
	if a := r.current.Load(); a != nil && a.members == members && a.index == index {
		return a
	}
	r.assigning.Lock()
	defer r.assigning.Unlock()
	members, index = r.alive.Load(), r.routing.Current()
	if a := r.current.Load(); a != nil && a.members == members && a.index == index {
		return a // another request has computed it meanwhile
	}
	a := &assignment{members: members, index: index, owners: r.assign(members.reaching, index)}
	r.current.Store(a)
	if r.onAssignment != nil {
		go r.onAssignment()
	}
	return a
}

// assign computes the owners of the shards of all routes, or returns nil if each node
// may connect to each leaf.
func (r *relays) assign(members []membership.Member, index *routing.Index) *ownership.Assignment {
	groups := shardGroups(index)
	relayCount := 0
	for _, name := range groups {
		limit := index.Table.Groups[name].Connections
		s, err := share.ConnectionShare(limit, len(members), share.Reserve(limit))
		if err == nil && s.Mode == share.Relayed {
			relayCount = max(relayCount, s.Holders)
		}
	}
	if relayCount == 0 {
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
	a, err := ownership.Assign(nodes, keys, ownership.Config{Owners: relayCount, ClusterSize: groupsPerCluster, LoadBound: ownership.DefaultLoadBound})
	if err != nil {
		r.log.WithError(err).Error("groups not divided among relays")
		return nil
	}
	r.log.WithFields(log.Fields{"nodes": len(members), "groups": len(groups), "clusters": len(a.Clusters), "relays": relayCount, "version": index.Table.Version}).Info("groups divided among relays")
	return a
}

// shardGroups returns the sorted groups of all routes with shards.
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

// maxOthers bounds the nodes that Others returns, in this node's zone and outside it.
const maxOthers = 16

// Others implements forward.Relays: it returns random nodes that are alive and reach leafs.
func (r *relays) Others() (near, far []shardmap.Replica) {
	list := r.alive.Load()
	if list == nil {
		return nil, nil
	}
	for _, i := range rand.Perm(len(list.reaching)) {
		m := list.reaching[i]
		part := &far
		if m.AvailabilityZone == r.zone {
			part = &near
		}
		if m.ID == r.node || len(*part) == maxOthers {
			continue
		}
		*part = append(*part, shardmap.Replica{VM: platform.VM{ID: m.ID, AvailabilityZone: m.AvailabilityZone}, Record: r.records.Record(m.ID)})
	}
	return near, far
}

// suspectAfter is the minimum time that a cancelled batch must have run without a result
// for its node to be suspected.
const suspectAfter = 20 * time.Millisecond

// Do implements forward.Relays. It suspects a node that returned no result.
func (r *relays) Do(ctx context.Context, node string, batch *contract.Batch, deliver func(peer.Result)) error {
	start := time.Now()
	answered := false
	err := r.mesh.Do(ctx, node, batch, func(result peer.Result) {
		answered = true
		deliver(result)
	})
	early := ctx.Err() != nil && time.Since(start) < suspectAfter
	if err != nil && !answered && !early && !errors.Is(err, peer.ErrDraining) {
		r.mesh.Suspect(node)
	}
	return err
}

// maxConnections returns the maximum number of connections of this node to a leaf of a
// group.
func (r *relays) maxConnections(group string, expectedNodes int) int {
	index := r.routing.Current()
	if index == nil {
		return 1
	}
	nodes := expectedNodes
	if members := r.alive.Load(); members != nil {
		nodes = max(nodes, len(members.reaching))
	}
	limit := index.Table.Groups[group].Connections
	s, err := share.ConnectionShare(limit, nodes, share.Reserve(limit))
	if err != nil {
		return 1
	}
	return max(min(s.RestartSafe(limit), maxConnectionsPerLeaf), 1)
}

// prepare opens the streams to this node's preferred relays, one after another to limit
// the load on the processor.
func (r *relays) prepare(ctx context.Context) {
	a := r.assignment()
	if a == nil || a.owners == nil {
		return
	}
	prepared := map[string]bool{}
	for i := range a.index.Table.Routes {
		for _, c := range r.Clusters(&a.index.Table.Routes[i]) {
			for _, owner := range c.Preferred {
				if prepared[owner.VM.ID] || ctx.Err() != nil {
					continue
				}
				prepared[owner.VM.ID] = true
				r.mesh.Prepare(ctx, owner.VM.ID)
			}
		}
	}
}

// holders returns the number of nodes that relay to a group, and whether this node is
// one of them; 0 and true if all nodes send to the group directly.
func (r *relays) holders(group string) (n int, isHolder bool) {
	a := r.assignment()
	if a == nil || a.owners == nil {
		return 0, true
	}
	owners := a.owners.OwnersOf(group)
	return len(owners), slices.ContainsFunc(owners, func(m ownership.Member) bool { return m.ID == r.node })
}

// connectsTo reports whether this node keeps connections to the leafs of a group. It
// does not before there is an assignment, nor to a group that no route names yet and
// that will need relays.
func (r *relays) connectsTo(group string) bool {
	a := r.assignment()
	switch {
	case a == nil:
		return false
	case a.owners == nil:
		return true
	case a.owners.ClusterOf(group) < 0:
		limit := a.index.Table.Groups[group].Connections
		s, err := share.ConnectionShare(limit, len(a.members.reaching), share.Reserve(limit))
		return err == nil && s.Mode == share.Direct
	}
	_, isHolder := r.holders(group)
	return isHolder
}
