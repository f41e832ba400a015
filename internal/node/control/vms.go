package control

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// vmSnapshot is the list of VMs as of a version. It is immutable.
type vmSnapshot struct {
	vms     []platform.VM // sorted by id
	version uint64
}

// vmList holds the platform's list of VMs.
type vmList struct {
	onChange func([]platform.VM)

	mu      sync.Mutex
	byName  map[string]platform.VM
	version uint64
	latest  vmSnapshot
	known   bool
	// platformRead is true once the list was read from the platform; lists of peers
	// are ignored from then on.
	platformRead bool
}

func (l *vmList) current() (snapshot vmSnapshot, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.latest, l.known
}

// replace applies a list from the platform. Objects that cannot be parsed are
// skipped.
func (l *vmList) replace(listing platform.Listing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byName = make(map[string]platform.VM, len(listing.Objects))
	for _, object := range listing.Objects {
		l.put(object)
	}
	l.platformRead = true
	l.publish(listing.Version)
}

// applyEvent applies one change from the platform.
func (l *vmList) applyEvent(event platform.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.byName, event.Object.Name)
	if !event.Deleted {
		l.put(event.Object)
	}
	l.publish(max(l.version, event.Object.Version))
}

// applyPeerList applies a peer's list if it is newer and the platform was not read.
func (l *vmList) applyPeerList(vms []platform.VM, version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.platformRead || (l.known && version <= l.version) {
		return
	}
	l.byName = make(map[string]platform.VM, len(vms))
	for _, vm := range vms {
		l.byName[vm.ID] = vm
	}
	l.publish(version)
}

// put adds one object. The caller holds l.mu.
func (l *vmList) put(object platform.Object) {
	var vm platform.VM
	if err := json.Unmarshal(object.Value, &vm); err != nil || vm.ID == "" {
		return
	}
	l.byName[object.Name] = vm
}

// publish replaces the snapshot and passes it to onChange. The caller holds l.mu,
// so that calls of onChange keep their order.
func (l *vmList) publish(version uint64) {
	vms := make([]platform.VM, 0, len(l.byName))
	for _, name := range slices.Sorted(maps.Keys(l.byName)) {
		vms = append(vms, l.byName[name])
	}
	l.version = version
	l.latest = vmSnapshot{vms: vms, version: version}
	l.known = true
	if l.onChange != nil {
		l.onChange(vms)
	}
}

// liveNodes counts the live nodes in the list, at least one.
func (l *vmList) liveNodes() int {
	snapshot, _ := l.current()
	count := 0
	for _, vm := range snapshot.vms {
		if vm.Group == platform.NodeGroup && vm.State == platform.VMLive {
			count++
		}
	}
	return max(count, 1)
}
