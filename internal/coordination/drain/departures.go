package drain

import (
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/route"
)

const (
	// departureTTL is how long a leaf that left is remembered. It must exceed the age of
	// the copy that the platform is restored from.
	departureTTL = time.Minute
	// missedHeartbeats is the number of missed heartbeats after which the platform removes
	// a registration.
	missedHeartbeats = 3
)

// Departures remembers the leafs that left, since a platform that is restored from an older
// copy lists them again until their registrations expire. The zero value is empty.
type Departures struct {
	left map[string]departure // by leaf identifier
}

// departure is the last known entry of a leaf that left.
type departure struct {
	entry route.Leaf
	at    time.Time
}

// Add records at now that a leaf left.
func (d *Departures) Add(now time.Time, entry route.Leaf) {
	if d.left == nil {
		d.left = make(map[string]departure)
	}
	for id, old := range d.left {
		if now.Sub(old.at) > departureTTL {
			delete(d.left, id)
		}
	}
	d.left[entry.VM.ID] = departure{entry, now}
}

// Forget removes the record of a leaf that registered again.
func (d *Departures) Forget(id string) { delete(d.left, id) }

// Left reports whether the leaf of an entry, in the run that the entry describes, had left
// before now.
func (d *Departures) Left(now time.Time, entry route.Leaf) bool {
	old, ok := d.left[entry.VM.ID]
	if !ok || now.Sub(old.at) > departureTTL {
		return false
	}
	sameRun := entry.Incarnation == old.entry.Incarnation && entry.VM.Address == old.entry.VM.Address
	return sameRun || entry.Incarnation < old.entry.Incarnation
}

// IsOlder reports whether an entry is older than the one that is in use: it describes an
// earlier run of the leaf, or the same run before the leaf began to leave.
func IsOlder(entry, used route.Leaf) bool {
	if entry.Incarnation != used.Incarnation {
		return entry.Incarnation < used.Incarnation
	}
	return entry.VM.Address == used.VM.Address && used.VM.State == platform.VMLeaving && entry.VM.State != platform.VMLeaving
}

// IsOvertaken reports whether an entry was written before the one in use, by the same run of the
// leaf: the platform may execute a heartbeat that got no answer after a later one, such as the
// report that the leaf begins to leave.
func IsOvertaken(entry, used route.Leaf) bool {
	sameRun := entry.Incarnation == used.Incarnation && entry.Incarnation != 0 && entry.VM.Address == used.VM.Address
	return sameRun && entry.Heartbeat > 0 && entry.Heartbeat < used.Heartbeat
}

// RestoreHold returns how long after a restore of the platform an entry may be that of a
// leaf that is gone: until a registration without heartbeats has expired and leafs whose
// registrations were lost are back.
func RestoreHold(heartbeat time.Duration) time.Duration {
	return missedHeartbeats*heartbeat + reregistrationTime
}
