package gateway

import (
	"time"

	"github.com/apex/log"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/route"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
)

// heartbeatsUntilKnown is the number of heartbeats within which a leaf that is cold is listed
// as such.
const heartbeatsUntilKnown = 2

// applyCold records in a leaf's record whether it is cold, and checks later whether it still
// is. Requests that wait for a connection to it then go to warm leafs. The caller holds c.mu.
func (c *controller) applyCold(l route.Leaf, record *leaf.Record, cold bool) {
	if stats := record.Stats(); cold && !stats.Cold {
		c.leafClient.FailWaiting(l.VM.ID)
		c.checkColdLater(l)
	}
	c.setCold(record, l.VM.Group, cold, c.group(l.VM.Group).WarmupPerSecond)
}

// assumeCold treats a leaf of a zone that is not evacuated any more as cold until the platform
// lists whether it is: it may have become cold during the evacuation. The caller holds c.mu.
func (c *controller) assumeCold(l route.Leaf, record *leaf.Record) {
	if c.group(l.VM.Group).Warmup <= 0 {
		return
	}
	c.applyCold(l, record, true)
}

// checkColdLater calls checkCold for a leaf once its registration shows whether it is cold.
func (c *controller) checkColdLater(l route.Leaf) {
	time.AfterFunc(heartbeatsUntilKnown*c.heartbeat, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.checkCold(l)
	})
}

// checkCold ends the warmup of a leaf that is listed as warm, or that the platform has not
// confirmed to be cold for longer than a warmup lasts. The caller holds c.mu.
func (c *controller) checkCold(checked route.Leaf) {
	l, ok := c.groups.Find(checked.VM.ID)
	if !ok || l.Incarnation != checked.Incarnation || l.VM.Address != checked.VM.Address {
		return
	}
	unconfirmed := time.Since(c.confirmedAt(platform.KindVM))
	outdated := unconfirmed > c.group(l.VM.Group).Warmup+heartbeatsUntilKnown*c.heartbeat
	if l.Cold && !outdated {
		c.checkColdLater(l)
		return
	}
	if outdated {
		c.log.WithFields(log.Fields{"leaf": l.VM.ID, "group": l.VM.Group, "unconfirmed": unconfirmed.Round(time.Millisecond)}).Info("leaf counts as warm, the platform has not confirmed that it is cold")
	}
	c.applyCold(l, c.groups.Record(l.VM.ID), false)
}

// renewColdLimits applies the limits of a new routing table to the leafs that are cold.
func (c *controller) renewColdLimits() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.groups.Each(func(l route.Leaf, record *leaf.Record) {
		if stats := record.Stats(); stats.Cold {
			c.applyCold(l, record, true)
		}
	})
}

// group returns what the routing table says of a group.
func (c *controller) group(name string) route.Group {
	if index := c.routing.Current(); index != nil {
		return index.Table.Groups[name]
	}
	return route.Group{}
}
