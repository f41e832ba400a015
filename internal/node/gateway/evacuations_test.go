package gateway

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/drain"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/route"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/routing"
)

// newEvacuationController returns a controller of a platform with evacuations.
func newEvacuationController() *controller {
	c := newTestController()
	c.followsEvacuations = true
	return c
}

// zoneLeaf returns the entry of a leaf, named after its zone, that is leaving, so that no
// connection is opened to it.
func zoneLeaf(zone string, incarnation int64) platform.Event {
	text, _ := json.Marshal(route.Leaf{VM: platform.VM{ID: "in-" + zone, Group: "g", Address: "127.0.0.1:1", AvailabilityZone: zone, State: platform.VMLeaving}, Incarnation: incarnation})
	return platform.Event{Object: platform.Object{Kind: platform.KindVM, Name: "in-" + zone, Value: text}}
}

// evacuationOf returns the entry of an evacuated zone.
func evacuationOf(zone, value string) platform.Object {
	return platform.Object{Kind: platform.KindEvacuation, Name: zone, Value: json.RawMessage(value)}
}

// checkEvacuated checks which leafs get no requests because of their zones.
func checkEvacuated(t *testing.T, c *controller, when string, want ...string) {
	t.Helper()
	checkLeafs(t, c, when, "evacuated", func(s *leaf.Stats) bool { return s.Evacuated }, want)
}

// TestEvacuatedZones guards against requests to leafs of an evacuated zone: leafs known before,
// new ones and their next runs, whatever the value of the entry, until it is removed.
func TestEvacuatedZones(t *testing.T) {
	c := newEvacuationController()
	for _, zone := range []string{"a", "b"} {
		c.leafChanged(zoneLeaf(zone, 1))
	}
	checkEvacuated(t, c, "before the list", "in-a", "in-b")
	c.routing.Put(routing.NewIndex(route.Table{Version: 1}, func(*route.Route, error) {}))
	c.leafsKnown.Store(true)
	if c.Ready() == nil {
		t.Error("ready without a list of evacuated zones")
	}
	c.evacuationsListed(listingOf(t, 0, 1, evacuationOf("nowhere", "{}")))
	checkEvacuated(t, c, "with an unknown zone")
	if err := c.Ready(); err != nil {
		t.Errorf("not ready with all lists: %v", err)
	}
	c.evacuationChanged(platform.Event{Object: evacuationOf("a", "[")})
	checkEvacuated(t, c, "an entry that cannot be parsed", "in-a")
	c.leafChanged(zoneLeaf("a", 2))
	checkEvacuated(t, c, "the next run of a leaf", "in-a")
	c.leafChanged(platform.Event{Deleted: true, Object: zoneLeaf("a", 2).Object})
	c.leafChanged(zoneLeaf("a", 3))
	checkEvacuated(t, c, "a leaf that is added", "in-a")
	c.evacuationChanged(platform.Event{Object: evacuationOf("b", "{}")})
	checkEvacuated(t, c, "a second zone", "in-a", "in-b")
	c.evacuationChanged(platform.Event{Deleted: true, Object: evacuationOf("a", "{}")})
	checkEvacuated(t, c, "one taken back", "in-b")
	c.evacuationsListed(listingOf(t, 0, 9, evacuationOf("a", "null")))
	checkEvacuated(t, c, "a list after missed changes", "in-a")
}

// TestEvacuationAfterRestore guards against requests to an evacuated zone while the platform,
// which was restored from an older copy, lacks its entry.
func TestEvacuationAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newEvacuationController()
		for _, zone := range []string{"a", "b"} {
			c.leafChanged(zoneLeaf(zone, 1))
		}
		c.evacuationsListed(listingOf(t, 1, 10, evacuationOf("a", "{}"), evacuationOf("b", "{}")))
		c.evacuationsListed(listingOf(t, 2, 5))
		checkEvacuated(t, c, "after the restore", "in-a", "in-b")
		time.Sleep(time.Second)
		c.evacuationChanged(platform.Event{Object: evacuationOf("a", "{}")})
		time.Sleep(drain.RestoreHold(c.heartbeat))
		synctest.Wait()
		checkEvacuated(t, c, "after the hold", "in-a")
	})
}

// TestPlatformWithoutEvacuations: nodes don't wait for a list that their platform doesn't have.
func TestPlatformWithoutEvacuations(t *testing.T) {
	c := newTestController()
	c.leafsListed(platform.Listing{Objects: []platform.Object{zoneLeaf("a", 1).Object}})
	c.routing.Put(routing.NewIndex(route.Table{Version: 1}, func(*route.Route, error) {}))
	checkEvacuated(t, c, "without evacuations")
	if err := c.Ready(); err != nil {
		t.Errorf("not ready: %v", err)
	}
}
