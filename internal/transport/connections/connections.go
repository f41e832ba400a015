// Package connections limits a node's connections to each leaf to the node's
// share of the connections that the leaf accepts. Shares depend on the platform's
// list of VMs and on the current services.
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
	// ListingTimeout is how long a node waits for the platform to list it. After
	// that it uses unlistedShare.
	ListingTimeout = 500 * time.Millisecond
	// unlistedShare is the number of connections of the reserve that a node uses
	// if the other nodes do not count it.
	unlistedShare = 1
	// idleWait is the time between two updates if no share is due to increase; a
	// change of the inputs ends it earlier.
	idleWait = time.Hour
)

// errNoShare means that the node has not been granted connections since its start.
var errNoShare = errors.New("no share of the leafs' connections yet")

// LeafClient holds the connections to leafs; upstream.Client implements it.
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
	// settleTime is the longest time that a change of the nodes, the leafs or the
	// catalogue may need to reach every node.
	settleTime time.Duration
	wake       chan struct{}

	mu           sync.Mutex
	started      time.Time
	nodes        int                    // in the platform's list, including leaving ones
	listed       bool                   // the list contains this node
	hasList      bool                   // a list has been received
	hasCatalogue bool                   // a catalogue has been received
	ready        bool                   // hasAllShares has been true once
	vms          map[string]platform.VM // by address
	groups       map[string]*group
}

// group is the share of one upstream group.
type group struct {
	limit   int // connections that a leaf accepts; 0 until a service states it
	window  *share.Window
	allowed int
}

// New returns the shares of the node with VM identifier self, which starts at now
// without any connection. Leafs without a share are unreachable from then on.
func New(leafs LeafClient, self string, settleTime time.Duration, now time.Time) *Shares {
	leafs.RequireShares()
	return &Shares{
		leafs:      leafs,
		self:       self,
		settleTime: settleTime,
		wake:       make(chan struct{}, 1),
		started:    now,
		vms:        make(map[string]platform.VM),
		groups:     make(map[string]*group),
	}
}

// SetVMs sets the platform's list. Leaving nodes count until they are removed
// from it, since they keep their connections until their requests have ended.
func (s *Shares) SetVMs(vms []platform.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.nodes, s.listed, s.hasList = 0, false, true
	next := make(map[string]platform.VM, len(vms))
	for _, vm := range vms {
		if vm.Group != platform.NodeGroup {
			next[vm.Address] = vm
			continue
		}
		s.nodes++
		s.listed = s.listed || vm.ID == s.self
	}
	previous := s.vms
	s.vms = next
	s.update(now)
	for address, vm := range next {
		if old, ok := previous[address]; !ok || old.Group != vm.Group {
			s.leafs.SetShare(vm, s.group(vm.Group, now).allowed)
		}
	}
	s.dropRemoved(previous)
	s.signal()
}

// dropRemoved drops the shares of the leafs that are in the previous list only;
// it requires mu.
func (s *Shares) dropRemoved(previous map[string]platform.VM) {
	for address, vm := range previous {
		if _, ok := s.vms[address]; !ok {
			s.leafs.DropShare(vm)
		}
	}
}

// SetCatalogue sets the current services. A group keeps its last limit when its
// last service is withdrawn, so that requests in progress can finish.
func (s *Shares) SetCatalogue(c note.Catalogue) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.hasCatalogue = true
	for name, limit := range groupLimits(c) {
		s.group(name, now).limit = limit
	}
	s.update(now)
	s.signal()
}

// groupLimits returns the lowest number of connections that a service states for
// each group.
func groupLimits(c note.Catalogue) map[string]int {
	lowest := make(map[string]int)
	for _, service := range c.Services {
		limit, ok := lowest[service.UpstreamGroup]
		if service.LeafConnections > 0 && (!ok || service.LeafConnections < limit) {
			lowest[service.UpstreamGroup] = service.LeafConnections
		}
	}
	return lowest
}

// group returns the group of a name, and creates it if needed; it requires mu.
func (s *Shares) group(name string, now time.Time) *group {
	g, ok := s.groups[name]
	if !ok {
		g = &group{window: share.NewWindow(now, s.settleTime)}
		s.groups[name] = g
	}
	return g
}

// update recomputes every share; it requires mu.
func (s *Shares) update(now time.Time) {
	changed := make(map[string]bool)
	for name, g := range s.groups {
		g.window.Grant(now, s.targetShare(g.limit, now))
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
	s.ready = s.ready || s.hasAllShares()
}

// targetShare returns the share according to the current list and limit. A node
// that is not listed is not counted by the others: it uses no connection at first
// and later a part of the reserve. It requires mu.
func (s *Shares) targetShare(limit int, now time.Time) int {
	if limit == 0 || !s.hasList {
		return 0
	}
	nodes := s.nodes
	maxShare := limit
	if !s.listed {
		if now.Sub(s.started) < ListingTimeout {
			return 0
		}
		nodes++
		maxShare = unlistedShare
	}
	divided, err := share.DirectShare(limit, nodes, share.Reserve(limit))
	if err != nil {
		return 0 // the limit is not larger than the reserve
	}
	return min(divided.PerHolder, maxShare)
}

// hasAllShares reports whether every listed leaf of a group with a limit has a
// share; it requires mu.
func (s *Shares) hasAllShares() bool {
	if !s.hasList || !s.hasCatalogue {
		return false
	}
	for _, vm := range s.vms {
		if g := s.groups[vm.Group]; g != nil && g.limit > 0 && g.allowed == 0 {
			return false
		}
	}
	return true
}

// Ready returns nil once the node has had a share of all leafs that it needs.
func (s *Shares) Ready() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready {
		return errNoShare
	}
	return nil
}

// Allowed returns the number of connections that the node may hold to each leaf
// of a group; known is false for a group for which no service states a limit.
func (s *Shares) Allowed(name string) (count int, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := s.groups[name]
	if !ok || g.limit == 0 {
		return 0, false
	}
	return g.allowed, true
}

// Run increases shares when they are due, until ctx ends.
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

// step updates the shares and returns the time until the next update.
func (s *Shares) step() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.update(now)
	wait := idleWait
	if remaining := s.started.Add(ListingTimeout).Sub(now); !s.listed && remaining > 0 {
		wait = remaining
	}
	for _, g := range s.groups {
		if at, ok := g.window.NextIncrease(); ok {
			wait = min(wait, at.Sub(now))
		}
	}
	return wait
}

// signal makes Run update the shares at once.
func (s *Shares) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
