package control

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// vmSnapshot is the list of VMs as of a version. It is not changed after it is
// made.
type vmSnapshot struct {
	vms     []platform.VM // sorted by id
	version uint64
}

// vmList holds the platform's list of VMs.
type vmList struct {
	deliver func([]platform.VM)

	mu      sync.Mutex
	byName  map[string]platform.VM
	version uint64
	latest  vmSnapshot
	known   bool
	// fromPlatform is true once the platform itself was read; peers no longer count then.
	fromPlatform bool
}

func (l *vmList) current() (snapshot vmSnapshot, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.latest, l.known
}

// replace takes a list from the platform. Objects that are not readable are
// left out.
func (l *vmList) replace(listing platform.Listing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byName = make(map[string]platform.VM, len(listing.Objects))
	for _, object := range listing.Objects {
		l.put(object)
	}
	l.fromPlatform = true
	l.publish(listing.Version)
}

// change takes one change from the platform.
func (l *vmList) change(event platform.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.byName, event.Object.Name)
	if !event.Deleted {
		l.put(event.Object)
	}
	l.publish(max(l.version, event.Object.Version))
}

// fromPeer takes a peer's list when it is newer and the platform was not read.
func (l *vmList) fromPeer(vms []platform.VM, version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fromPlatform || (l.known && version <= l.version) {
		return
	}
	l.byName = make(map[string]platform.VM, len(vms))
	for _, vm := range vms {
		l.byName[vm.ID] = vm
	}
	l.publish(version)
}

// put requires mu.
func (l *vmList) put(object platform.Object) {
	var vm platform.VM
	if err := json.Unmarshal(object.Value, &vm); err != nil || vm.ID == "" {
		return
	}
	l.byName[object.Name] = vm
}

// publish requires mu, so that deliveries keep their order.
func (l *vmList) publish(version uint64) {
	vms := make([]platform.VM, 0, len(l.byName))
	for _, name := range slices.Sorted(maps.Keys(l.byName)) {
		vms = append(vms, l.byName[name])
	}
	l.version = version
	l.latest = vmSnapshot{vms: vms, version: version}
	l.known = true
	if l.deliver != nil {
		l.deliver(vms)
	}
}

// nodes counts the live nodes in the list, at least one.
func (l *vmList) nodes() int {
	snapshot, _ := l.current()
	count := 0
	for _, vm := range snapshot.vms {
		if vm.Group == platform.NodeGroup && vm.State == platform.VMLive {
			count++
		}
	}
	return max(count, 1)
}
