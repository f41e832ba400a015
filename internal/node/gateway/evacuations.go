package gateway

import (
	"time"

	"github.com/apex/log"

	"github.com/hickorydock/hickorydock/internal/coordination/drain"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/route"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
)

// evacuationsListed handles a list of the evacuated availability zones.
func (c *controller) evacuationsListed(listing platform.Listing) {
	zones := make([]string, 0, len(listing.Objects))
	for _, object := range listing.Objects {
		zones = append(zones, object.Name)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	hold := drain.RestoreHold(c.heartbeat)
	if c.zones.Replace(time.Now(), zones, platform.Era(listing.Version), hold) {
		c.log.WithFields(log.Fields{"zones": c.zones.List(), "hold": hold}).Warn("evacuations held: the platform was restored from an older copy")
		time.AfterFunc(hold, c.releaseEvacuations)
	}
	c.applyEvacuations(platform.Revision(listing.Version))
}

// evacuationChanged handles a change of the entry of one availability zone. The value of the
// entry means nothing, so that one which cannot be parsed evacuates the zone as well.
func (c *controller) evacuationChanged(event platform.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.zones.Change(event.Object.Name, !event.Deleted)
	c.applyEvacuations(platform.Revision(event.Object.Version))
}

// releaseEvacuations ends evacuations that were held after a restore of the platform.
func (c *controller) releaseEvacuations() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.zones.Release(time.Now())
	c.applyEvacuations(0)
}

// applyEvacuations marks the leafs of evacuated zones, whose requests that still wait for a
// connection then go elsewhere, and those of other zones as usable. The caller holds c.mu.
func (c *controller) applyEvacuations(revision uint64) {
	changed, inFlight := 0, 0
	released := c.zonesApplied
	c.zonesApplied = c.zones.Known()
	c.groups.Each(func(l route.Leaf, record *leaf.Record) {
		evacuated := c.isEvacuated(l)
		switch {
		case !record.SetEvacuated(evacuated):
			return
		case evacuated:
			c.leafClient.FailWaiting(l.VM.ID)
			stats := record.Stats()
			inFlight += stats.InFlight
		case released:
			c.assumeCold(l, record)
		}
		changed++
	})
	zones := c.zones.List()
	c.metrics.SetEvacuatedZones(len(zones))
	c.log.WithFields(log.Fields{"zones": zones, "leafs": changed, "in_flight": inFlight, "revision": revision}).Info("evacuated zones read")
}

// zonesKnown reports whether a list of the evacuated zones has been read.
func (c *controller) zonesKnown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.zones.Known()
}

// isEvacuated reports whether a leaf gets no new requests because of its zone. The caller
// holds c.mu.
func (c *controller) isEvacuated(l route.Leaf) bool {
	return c.followsEvacuations && c.zones.IsEvacuated(l.VM.AvailabilityZone)
}
