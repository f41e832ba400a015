// Package connections keeps a node's connections to each leaf within the node's
// share of what the leaf accepts. Shares follow the platform's list of VMs and
// the services in force.
package connections

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/share"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

const (
	// ListingTimeout is how long a node waits for the platform to list it before it
	// takes unlistedShare all the same.
	ListingTimeout = 500 * time.Millisecond
	// unlistedShare is what a node that others do not count takes of the reserve.
	unlistedShare = 1
	// idleLook is the wait when no share is due to rise; a change ends it earlier.
	idleLook = time.Hour
)

// errNoShare means that the node has not been granted connections since its start.
var errNoShare = errors.New("no share of the leafs' connections yet")

// LeafClient holds the connections to leafs; it is met by upstream.Client.
type LeafClient interface {
	// RequireShares makes leafs without a share unreachable.
	RequireShares()
	SetShare(vm platform.VM, count int)
	DropShare(vm platform.VM)
}

// Shares computes the shares of one node. It is safe for concurrent use; one
// mutex guards all fields below it.
type Shares struct {
	leafs LeafClient
	self  string
	// settle is the longest time that a change of the nodes, the leafs or the
	// catalogue may need to reach every node.
	settle time.Duration
	wake   chan struct{}

	mu      sync.Mutex
	started time.Time
	nodes   int  // in the platform's list, also those that leave
	listed  bool // the list has this node
	known   bool // a list has come
	served  bool // a catalogue has come
	ready   bool
	vms     map[string]platform.VM // by address
	groups  map[string]*group
}

// group is the share of one upstream group.
type group struct {
	limit   int // connections that a leaf accepts; 0 while no service said
	window  *share.Window
	allowed int
}

// New returns the shares of the node with VM identifier self, which starts at now
// without any connection. Leafs without a share are unreachable from then on.
func New(leafs LeafClient, self string, settle time.Duration, now time.Time) *Shares {
	leafs.RequireShares()
	return &Shares{
		leafs:   leafs,
		self:    self,
		settle:  settle,
		wake:    make(chan struct{}, 1),
		started: now,
		vms:     make(map[string]platform.VM),
		groups:  make(map[string]*group),
	}
}

// SetVMs takes the platform's list. Nodes that leave count until they are gone,
// since they keep their connections while they finish.
func (s *Shares) SetVMs(vms []platform.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.nodes, s.listed, s.known = 0, false, true
	next := make(map[string]platform.VM, len(vms))
	for _, vm := range vms {
		if vm.Group != platform.NodeGroup {
			next[vm.Address] = vm
			continue
		}
		s.nodes++
		s.listed = s.listed || vm.ID == s.self
	}
	old := s.vms
	s.vms = next
	s.adjust(now)
	for address, vm := range next {
		if was, ok := old[address]; !ok || was.Group != vm.Group {
			s.leafs.SetShare(vm, s.group(vm.Group, now).allowed)
		}
	}
	s.drop(old)
	s.signal()
}

// drop forgets the leafs of an old list that are gone; it requires mu.
func (s *Shares) drop(old map[string]platform.VM) {
	for address, vm := range old {
		if _, ok := s.vms[address]; !ok {
			s.leafs.DropShare(vm)
		}
	}
}

// SetCatalogue takes the services in force. A group keeps its last limit when its
// last service is withdrawn, so that requests in progress can finish.
func (s *Shares) SetCatalogue(c note.Catalogue) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.served = true
	for name, limit := range limits(c) {
		s.group(name, now).limit = limit
	}
	s.adjust(now)
	s.signal()
}

// limits is the lowest number of connections that a service states for each group.
func limits(c note.Catalogue) map[string]int {
	lowest := make(map[string]int)
	for _, service := range c.Services {
		limit, ok := lowest[service.UpstreamGroup]
		if service.LeafConnections > 0 && (!ok || service.LeafConnections < limit) {
			lowest[service.UpstreamGroup] = service.LeafConnections
		}
	}
	return lowest
}

// group requires mu.
func (s *Shares) group(name string, now time.Time) *group {
	g, ok := s.groups[name]
	if !ok {
		g = &group{window: share.NewWindow(now, s.settle)}
		s.groups[name] = g
	}
	return g
}

// adjust brings every share up to date; it requires mu.
func (s *Shares) adjust(now time.Time) {
	changed := make(map[string]bool)
	for name, g := range s.groups {
		g.window.Grant(now, s.grant(g.limit, now))
		if allowed := g.window.Allowed(now); allowed != g.allowed {
			g.allowed = allowed
			changed[name] = true
		}
	}
	for _, vm := range s.vms {
		if changed[vm.Group] {
			s.leafs.SetShare(vm, s.groups[vm.Group].allowed)
		}
	}
	s.ready = s.ready || s.reachable()
}

// grant is the share that the present view gives. A node that is not listed is
// not counted by others: it takes nothing at first and later a part of the
// reserve. It requires mu.
func (s *Shares) grant(limit int, now time.Time) int {
	if limit == 0 || !s.known {
		return 0
	}
	nodes := s.nodes
	most := limit
	if !s.listed {
		if now.Sub(s.started) < ListingTimeout {
			return 0
		}
		nodes++
		most = unlistedShare
	}
	divided, err := share.DirectShare(limit, nodes, share.Reserve(limit))
	if err != nil {
		return 0 // the limit leaves nothing beside the reserve
	}
	return min(divided.PerHolder, most)
}

// reachable requires mu. It is true when no listed leaf of a group with a limit
// is without a share.
func (s *Shares) reachable() bool {
	if !s.known || !s.served {
		return false
	}
	for _, vm := range s.vms {
		if g := s.groups[vm.Group]; g != nil && g.limit > 0 && g.allowed == 0 {
			return false
		}
	}
	return true
}

// Ready returns nil once the node had a share of all leafs that it needs.
func (s *Shares) Ready() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready {
		return errNoShare
	}
	return nil
}

// Allowed is the number of connections that the node may hold to each leaf of a
// group; known is false for a group that has none stated.
func (s *Shares) Allowed(name string) (count int, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := s.groups[name]
	if !ok || g.limit == 0 {
		return 0, false
	}
	return g.allowed, true
}

// Run raises shares when they are due, until ctx ends.
func (s *Shares) Run(ctx context.Context) {
	for {
		timer := time.NewTimer(s.step())
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-s.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// step adjusts the shares and returns the wait before the next look.
func (s *Shares) step() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.adjust(now)
	wait := idleLook
	if pause := s.started.Add(ListingTimeout).Sub(now); !s.listed && pause > 0 {
		wait = pause
	}
	for _, g := range s.groups {
		if at, ok := g.window.NextIncrease(); ok {
			wait = min(wait, at.Sub(now))
		}
	}
	return wait
}

func (s *Shares) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
