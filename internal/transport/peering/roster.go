package peering

import (
	"math/rand/v2"
	"sync"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// roster knows where the other nodes are. One mutex guards its fields.
type roster struct {
	self      string
	bootstrap []string

	mu      sync.Mutex
	own     string            // the address of this node
	byNode  map[string]string // addresses by node, from the platform's list
	leaving map[string]uint64 // incarnations that said that they leave, by node
}

func newRoster(self string, bootstrap []string) *roster {
	return &roster{self: self, bootstrap: bootstrap, byNode: make(map[string]string), leaving: make(map[string]uint64)}
}

func (r *roster) setOwn(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.own = address
}

func (r *roster) setVMs(vms []platform.VM) {
	byNode := make(map[string]string)
	for _, vm := range vms {
		if vm.Group == platform.NodeGroup && vm.ID != r.self && vm.PeerAddress != "" {
			byNode[vm.ID] = vm.PeerAddress
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byNode = byNode
	for node := range r.leaving {
		if _, ok := byNode[node]; !ok {
			delete(r.leaving, node)
		}
	}
}

// find returns the address of a node.
func (r *roster) find(node string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	address, ok := r.byNode[node]
	return address, ok
}

// addresses is the set of all known addresses but the own one.
func (r *roster) addresses() map[string]struct{} {
	all := make(map[string]struct{})
	for _, address := range r.targets() {
		all[address] = struct{}{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for node := range r.leaving {
		all[r.byNode[node]] = struct{}{}
	}
	return all
}

// targets lists the addresses of the nodes that do not leave: those of the
// settings first, each part in random order.
func (r *roster) targets() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := map[string]struct{}{r.own: {}}
	for node := range r.leaving {
		seen[r.byNode[node]] = struct{}{}
	}
	var all []string
	add := func(addresses []string) {
		rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		for _, address := range addresses {
			if _, known := seen[address]; !known {
				seen[address] = struct{}{}
				all = append(all, address)
			}
		}
	}
	add(append([]string(nil), r.bootstrap...))
	listed := make([]string, 0, len(r.byNode))
	for _, address := range r.byNode {
		listed = append(listed, address)
	}
	add(listed)
	return all
}

// left notes that an incarnation of a node leaves.
func (r *roster) left(node string, incarnation uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, listed := r.byNode[node]; listed {
		r.leaving[node] = incarnation
	}
}

// heard notes that an incarnation of a node is there: a later one of a node that
// left is a new member.
func (r *roster) heard(node string, incarnation uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if gone, ok := r.leaving[node]; ok && gone != incarnation {
		delete(r.leaving, node)
	}
}
