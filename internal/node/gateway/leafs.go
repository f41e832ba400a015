package gateway

import (
	"time"

	"github.com/apex/log"

	"github.com/hickorydock/hickorydock/internal/coordination/drain"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/route"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
)

// leafList holds what the controller knows of leafs besides the ones in use.
type leafList struct {
	// era is that of the last list.
	era uint64
	// pendingRemovals are the timers of leafs without a registration, by id.
	pendingRemovals map[string]*time.Timer
	departures      drain.Departures
	// restoredAt is when a list of a new era was read.
	restoredAt time.Time
	// heldUntil is until when entries of a list may be those of leafs that had left, after
	// the platform was restored from an older copy.
	heldUntil time.Time
	// held are the entries that are not used until heldUntil, by id.
	held map[string]platform.Object
}

func (c *controller) leafsListed(listing platform.Listing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteEra(listing)
	c.leafs.held = make(map[string]platform.Object)
	listed := make(map[string]bool, len(listing.Objects))
	for _, object := range listing.Objects {
		listed[object.Name] = true
		c.putListed(object)
	}
	for _, l := range c.groups.All() {
		if !listed[l.VM.ID] {
			c.leafDeregistered(l.VM.ID, "not listed")
		}
	}
	c.leafsKnown.Store(true)
	c.metrics.SetListedLeafs(len(listing.Objects))
	fields := log.Fields{"leafs": len(listing.Objects), "held": len(c.leafs.held), "era": platform.Era(listing.Version), "revision": platform.Revision(listing.Version)}
	c.log.WithFields(fields).Info("leafs listed")
}

// noteEra handles a list of a new era: the platform was restored from an older copy, which
// lacks recent registrations and holds those of leafs that have left since. The caller
// holds c.mu.
func (c *controller) noteEra(listing platform.Listing) {
	era := platform.Era(listing.Version)
	restored := c.leafsKnown.Load() && era > c.leafs.era
	c.leafs.era = era
	c.metrics.SetPlatformEra(era)
	if !restored {
		return
	}
	hold := drain.RestoreHold(c.heartbeat)
	c.leafs.restoredAt = time.Now()
	c.leafs.heldUntil = c.leafs.restoredAt.Add(hold)
	time.AfterFunc(hold, c.releaseHeld)
	c.log.WithFields(log.Fields{"era": era, "hold": hold}).Warn("platform restored from an older copy")
}

// putListed adds or updates a leaf of a list, unless its entry is held. The caller holds
// c.mu.
func (c *controller) putListed(object platform.Object) {
	if !time.Now().Before(c.leafs.heldUntil) || !c.isOutdated(object) {
		c.putLeaf(object)
		return
	}
	c.leafs.held[object.Name] = object
	c.log.WithFields(log.Fields{"leaf": object.Name, "until": c.leafs.heldUntil}).Info("leaf held: it had left before the platform was restored")
}

// isOutdated reports whether an entry of a restored list describes a leaf that has since
// left, begun to leave or started again. The caller holds c.mu.
func (c *controller) isOutdated(object platform.Object) bool {
	entry, err := c.adapter.DecodeLeaf(object)
	if err != nil {
		return false
	}
	if used, ok := c.groups.Find(entry.VM.ID); ok {
		return drain.IsOlder(entry, used)
	}
	return c.leafs.departures.Left(time.Now(), entry)
}

// releaseHeld uses the entries that are still held when all registrations of leafs that
// are gone have expired.
func (c *controller) releaseHeld() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.leafs.heldUntil) {
		return // the platform was restored once more
	}
	for _, object := range c.leafs.held {
		c.putLeaf(object)
	}
	c.leafs.held = nil
}

// leafChanged handles a change of an entry in the current era. It replaces an entry that is
// held.
func (c *controller) leafChanged(event platform.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.leafs.held, event.Object.Name)
	if event.Deleted {
		c.leafDeregistered(event.Object.Name, "removed")
		return
	}
	c.putLeaf(event.Object)
}

// putLeaf adds or updates a leaf. A leaf whose entry cannot be parsed is removed; an entry that an
// older heartbeat wrote is ignored. Requests that wait for a connection to a leaf that leaves, or to
// an earlier run of the leaf, go to others. The caller holds c.mu.
func (c *controller) putLeaf(object platform.Object) {
	next, err := c.adapter.DecodeLeaf(object)
	if err != nil {
		c.log.WithField("leaf", object.Name).WithError(err).Warn("leaf entry not readable")
		c.removeLeaf(object.Name, "not readable")
		return
	}
	next.Heartbeat = object.Heartbeat
	c.cancelRemoval(next.VM.ID)
	c.leafs.departures.Forget(next.VM.ID)
	old, known := c.groups.Find(next.VM.ID)
	if known && drain.IsOvertaken(next, old) {
		fields := log.Fields{"leaf": next.VM.ID, "state": string(next.VM.State), "heartbeat": next.Heartbeat, "in_use": old.Heartbeat, "revision": platform.Revision(object.Version)}
		c.log.WithFields(fields).Info("older heartbeat of leaf ignored")
		return
	}
	replaced := known && (old.Incarnation != next.Incarnation || old.VM.Address != next.VM.Address || old.VM.Group != next.VM.Group)
	if replaced {
		c.leafClient.RemoveLeaf(next.VM.ID)
	}
	leaving := next.VM.State == platform.VMLeaving
	c.leafClient.AddLeaf(next.VM)
	c.groups.Put(next, func(record *leaf.Record) {
		record.UpdateDrain(func(d leaf.DrainState) leaf.DrainState { return drain.OnList(d, leaving) })
		record.SetEvacuated(c.isEvacuated(next))
		if next.Cold || known && old.Cold {
			c.applyCold(next, record, next.Cold)
		}
	})
	if leaving {
		c.leafClient.FailWaiting(next.VM.ID)
	}
	if known && !replaced && old.VM.State == next.VM.State && old.Cold == next.Cold {
		return
	}
	fields := log.Fields{"leaf": next.VM.ID, "group": next.VM.Group, "state": string(next.VM.State), "cold": next.Cold, "revision": platform.Revision(object.Version), "born": next.Incarnation}
	c.log.WithFields(fields).Info("leaf listed")
	if !leaving && c.relays.connectsTo(next.VM.Group) {
		c.leafClient.Warm(next.VM)
	}
}

// leafDeregistered removes a leaf that is no longer registered. Registrations may have
// expired during an outage of the platform, so after one the leaf is kept for a grace
// period. The caller holds c.mu.
func (c *controller) leafDeregistered(id, cause string) {
	gracePeriod := c.removalGracePeriod()
	if gracePeriod == 0 {
		c.leafLeft(id, cause)
		return
	}
	if c.leafs.pendingRemovals[id] != nil {
		return
	}
	if c.leafs.pendingRemovals == nil {
		c.leafs.pendingRemovals = make(map[string]*time.Timer)
	}
	var timer *time.Timer
	timer = time.AfterFunc(gracePeriod, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.leafs.pendingRemovals[id] == timer {
			c.leafLeft(id, cause+", not back after an outage")
		}
	})
	c.leafs.pendingRemovals[id] = timer
	c.metrics.LeafKept()
	c.log.WithFields(log.Fields{"leaf": id, "cause": cause, "for": gracePeriod}).Info("leaf without a registration kept")
}

// removalGracePeriod returns how long a leaf without a registration is kept. The caller holds
// c.mu.
func (c *controller) removalGracePeriod() time.Duration {
	ended := c.outageEnded(platform.KindVM)
	if c.leafs.restoredAt.After(ended) {
		ended = c.leafs.restoredAt
	}
	return drain.RemovalGracePeriod(ended, time.Now())
}

// cancelRemoval keeps a leaf that is registered again. The caller holds c.mu.
func (c *controller) cancelRemoval(id string) {
	if timer := c.leafs.pendingRemovals[id]; timer != nil {
		timer.Stop()
		delete(c.leafs.pendingRemovals, id)
	}
}

// leafMisdirected removes a leaf whose address belongs to another leaf.
func (c *controller) leafMisdirected(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leafLeft(id, "another leaf has its address")
}

// leafLeft removes a leaf and remembers that it left. The caller holds c.mu.
func (c *controller) leafLeft(id, cause string) {
	if old, known := c.removeLeaf(id, cause); known {
		c.leafs.departures.Add(time.Now(), old)
	}
}

// removeLeaf removes a leaf and returns its last entry. The caller holds c.mu.
func (c *controller) removeLeaf(id, cause string) (old route.Leaf, known bool) {
	c.cancelRemoval(id)
	old, known = c.groups.Remove(id)
	if !known {
		return old, false
	}
	c.leafClient.RemoveLeaf(id)
	c.log.WithFields(log.Fields{"leaf": id, "group": old.VM.Group, "cause": cause}).Info("leaf removed")
	return old, true
}
