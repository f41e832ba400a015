package gateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/hickorydock/hickorydock/internal/coordination/backoff"
	"github.com/hickorydock/hickorydock/internal/coordination/evacuation"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/route"
	"github.com/hickorydock/hickorydock/internal/state/group"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/routing"
	"github.com/hickorydock/hickorydock/internal/transport/follow"
	"github.com/hickorydock/hickorydock/internal/transport/leafwire"
	"github.com/hickorydock/hickorydock/internal/transport/mesh"
	"github.com/hickorydock/hickorydock/internal/transport/metrics"
)

// controller synchronises the routing table and the leafs with the platform.
type controller struct {
	adapter    Adapter
	client     *mesh.Client
	routing    *routing.Store
	groups     *group.Store
	leafClient *leafwire.Client
	relays     *relays
	metrics    *metrics.Metrics
	log        log.Interface

	leafsKnown atomic.Bool
	// stopping is true once the node stops, which then keeps its connections for requests
	// in flight.
	stopping atomic.Bool
	// heartbeat is the time between two heartbeats of a leaf at the platform.
	heartbeat time.Duration
	// followsEvacuations is true if the platform's operator can evacuate availability zones.
	followsEvacuations bool
	// setCold passes to the forwarder whether a leaf is cold, see Forwarder.SetCold.
	setCold func(record *leaf.Record, group string, cold bool, perSecond float64)
	// confirmedAt is when the platform last confirmed this node's copy of a kind.
	confirmedAt func(kind platform.Kind) time.Time
	// outageEnded is when the last outage of the platform for a kind ended, zero if there was
	// none.
	outageEnded func(kind platform.Kind) time.Time

	mu    sync.Mutex // serialises changes of leafs and zones and guards the fields below
	leafs leafList
	zones evacuation.Zones
	// zonesApplied is true once leafs have been marked by a list of the evacuated zones.
	zonesApplied bool
}

// run watches the platform until ctx ends.
func (c *controller) run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { c.watcher(platform.KindRouting, c.tableListed, c.tableChanged).Run(ctx) })
	running.Go(func() { c.watcher(platform.KindVM, c.leafsListed, c.leafChanged).Run(ctx) })
	if c.followsEvacuations {
		running.Go(func() { c.watcher(platform.KindEvacuation, c.evacuationsListed, c.evacuationChanged).Run(ctx) })
	}
	running.Go(func() { c.client.RunContacts(ctx) })
	running.Go(func() { c.client.RunQuarantines(ctx) })
	running.Go(func() { c.client.AdoptFromMember(ctx, platform.KindRouting, c.tableListed) })
	running.Wait()
}

func (c *controller) watcher(kind platform.Kind, onList func(platform.Listing), onEvent func(platform.Event)) *follow.Watcher {
	var unreachable atomic.Bool
	return &follow.Watcher{
		Client:  c.client,
		Kind:    kind,
		Backoff: backoff.PlatformFollow,
		OnList:  onList,
		OnEvent: onEvent,
		OnError: func(err error) {
			if !unreachable.Swap(true) {
				c.log.WithField("kind", string(kind)).WithError(err).Warn("platform unreachable")
			}
		},
		OnTooOld: func(err error) {
			c.log.WithField("kind", string(kind)).WithError(err).Info("history too old, listing again")
		},
		OnReply: func() {
			if unreachable.Swap(false) {
				c.log.WithField("kind", string(kind)).Info("platform reachable again")
			}
		},
	}
}

// Ready returns nil once the node has a routing table, a list of leafs and, where there are
// evacuations, a list of them.
func (c *controller) Ready() error {
	if c.routing.Current() == nil {
		return errors.New("no routing table known yet")
	}
	if !c.leafsKnown.Load() {
		return errors.New("no list of leafs known yet")
	}
	if c.followsEvacuations && !c.zonesKnown() {
		return errors.New("no list of evacuated availability zones known yet")
	}
	return nil
}

func (c *controller) tableListed(listing platform.Listing) {
	for _, object := range listing.Objects {
		c.putTable(object)
	}
}

func (c *controller) tableChanged(event platform.Event) {
	if !event.Deleted {
		c.putTable(event.Object)
	}
}

// putTable makes a newer routing table the current one. A table that cannot be parsed
// is ignored.
func (c *controller) putTable(object platform.Object) {
	if object.Name != platform.RoutingName {
		return
	}
	table, err := c.adapter.DecodeTable(object)
	if err != nil {
		c.log.WithField("revision", platform.Revision(object.Version)).WithError(err).Error("routing table not readable")
		return
	}
	index := routing.NewIndex(table, func(r *route.Route, err error) {
		c.log.WithFields(log.Fields{"route": r.Name, "version": table.Version}).WithError(err).Error("route not usable")
	})
	replaced := c.routing.Put(index)
	fields := log.Fields{"version": table.Version, "era": platform.Era(object.Version), "revision": platform.Revision(object.Version), "routes": len(table.Routes), "taken": replaced}
	c.log.WithFields(fields).Info("routing table read")
	if replaced {
		c.metrics.SetRoutingVersion(table.Version)
		c.renewColdLimits()
		c.relays.scheduleAssignment()
	}
}

// applyAssignment adjusts the connections to leafs to a new assignment: it opens one to
// each leaf that this node relays to now, so that the first request does not wait for
// it, and releases those to leafs that only other nodes relay to.
func (c *controller) applyAssignment() {
	if c.stopping.Load() {
		return
	}
	for _, l := range c.groups.All() {
		switch {
		case !c.relays.connectsTo(l.VM.Group):
			c.leafClient.Release(l.VM.ID)
		case l.VM.State != platform.VMLeaving && !c.relays.isIsolated():
			c.leafClient.Warm(l.VM)
		}
	}
}
