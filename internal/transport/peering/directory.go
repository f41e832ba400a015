package peering

import (
	"math/rand/v2"
	"sync"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// directory holds the addresses of the other nodes. One mutex guards its fields.
type directory struct {
	self      string
	bootstrap []string

	mu          sync.Mutex
	selfAddress string            // the address of this node
	byNode      map[string]string // addresses by node, from the platform's list
	leaving     map[string]uint64 // incarnations that announced their stop, by node
}

func newDirectory(self string, bootstrap []string) *directory {
	return &directory{self: self, bootstrap: bootstrap, byNode: make(map[string]string), leaving: make(map[string]uint64)}
}

func (d *directory) setSelfAddress(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.selfAddress = address
}

func (d *directory) setVMs(vms []platform.VM) {
	byNode := make(map[string]string)
	for _, vm := range vms {
		if vm.Group == platform.NodeGroup && vm.ID != d.self && vm.PeerAddress != "" {
			byNode[vm.ID] = vm.PeerAddress
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.byNode = byNode
	for node := range d.leaving {
		if _, ok := byNode[node]; !ok {
			delete(d.leaving, node)
		}
	}
}

// lookup returns the address of a node.
func (d *directory) lookup(node string) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	address, ok := d.byNode[node]
	return address, ok
}

// addresses returns the set of all known addresses except this node's.
func (d *directory) addresses() map[string]struct{} {
	all := make(map[string]struct{})
	for _, address := range d.targets() {
		all[address] = struct{}{}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for node := range d.leaving {
		all[d.byNode[node]] = struct{}{}
	}
	return all
}

// targets lists the addresses of the nodes that are not leaving: first those of the
// settings, then those of the platform's list, each group in random order.
func (d *directory) targets() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	seen := map[string]struct{}{d.selfAddress: {}}
	for node := range d.leaving {
		seen[d.byNode[node]] = struct{}{}
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
	add(append([]string(nil), d.bootstrap...))
	listed := make([]string, 0, len(d.byNode))
	for _, address := range d.byNode {
		listed = append(listed, address)
	}
	add(listed)
	return all
}

// markLeaving records that an incarnation of a node is leaving.
func (d *directory) markLeaving(node string, incarnation uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, listed := d.byNode[node]; listed {
		d.leaving[node] = incarnation
	}
}

// markPresent records that an incarnation of a node is present: a different incarnation
// of a node that was leaving is a new member.
func (d *directory) markPresent(node string, incarnation uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if leavingIncarnation, ok := d.leaving[node]; ok && leavingIncarnation != incarnation {
		delete(d.leaving, node)
	}
}
