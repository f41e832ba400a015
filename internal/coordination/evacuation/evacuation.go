// Package evacuation decides which availability zones are evacuated: the platform's operator
// has asked that the leafs there get no new requests. The state is a value without a lock.
package evacuation

import (
	"maps"
	"slices"
	"time"
)

// Zones are the evacuated availability zones as the platform lists them. Until the first list
// all zones count as evacuated. The zero value is ready to use.
type Zones struct {
	known bool
	era   uint64
	// evacuated are the zones with an entry in the last list or a later change.
	evacuated map[string]bool
	// held are the zones whose entries a restored platform lacks. They count as evacuated
	// until heldUntil, since the operator may write the entries again.
	held      map[string]bool
	heldUntil time.Time
}

// Known reports whether the platform's list has been read.
func (z *Zones) Known() bool { return z.known }

// IsEvacuated reports whether the leafs of a zone get no new requests.
func (z *Zones) IsEvacuated(zone string) bool {
	return !z.known || z.evacuated[zone] || z.held[zone]
}

// List returns the evacuated zones, sorted by name.
func (z *Zones) List() []string {
	all := make(map[string]bool, len(z.evacuated))
	maps.Copy(all, z.evacuated)
	maps.Copy(all, z.held)
	return slices.Sorted(maps.Keys(all))
}

// Replace applies a list of an era of the platform. If the era is later than that of the last
// list, the platform was restored from an older copy: Replace then keeps evacuated zones that
// are missing for hold and returns true, after which Release is due. A list of an earlier era
// is ignored.
func (z *Zones) Replace(now time.Time, zones []string, era uint64, hold time.Duration) (holding bool) {
	if z.known && era < z.era {
		return false
	}
	restored := z.known && era > z.era
	next := make(map[string]bool, len(zones))
	for _, zone := range zones {
		next[zone] = true
	}
	if restored {
		held := make(map[string]bool)
		for _, zone := range z.List() {
			if !next[zone] {
				held[zone] = true
			}
		}
		z.held = held
		z.heldUntil = now.Add(hold)
	}
	z.known = true
	z.era = era
	z.evacuated = next
	return restored && len(z.held) > 0
}

// Change applies a change of the entry of one zone.
func (z *Zones) Change(zone string, evacuated bool) {
	delete(z.held, zone)
	if evacuated {
		if z.evacuated == nil {
			z.evacuated = make(map[string]bool)
		}
		z.evacuated[zone] = true
		return
	}
	delete(z.evacuated, zone)
}

// Release ends the hold of zones whose entries have not been written again, if it is over at
// now.
func (z *Zones) Release(now time.Time) {
	if !now.Before(z.heldUntil) {
		z.held = nil
	}
}
