package gateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/hickorydock/hickorydock/internal/coordination/backoff"
	"github.com/hickorydock/hickorydock/internal/coordination/drain"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/route"
	"github.com/hickorydock/hickorydock/internal/state/group"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/routing"
	"github.com/hickorydock/hickorydock/internal/transport/follow"
	"github.com/hickorydock/hickorydock/internal/transport/leafwire"
	"github.com/hickorydock/hickorydock/internal/transport/metrics"
)

// controller synchronises the routing table and the leafs with the platform.
type controller struct {
	adapter    Adapter
	client     platform.Client
	routing    *routing.Store
	groups     *group.Store
	leafClient *leafwire.Client
	relays     *relays
	metrics    *metrics.Metrics
	log        log.Interface

	// lastFailure is the time of the last failed call, in Unix nanoseconds.
	lastFailure atomic.Int64
	leafsKnown  atomic.Bool
	// stopping is true once the node stops, which then keeps its connections for requests
	// in flight.
	stopping atomic.Bool

	mu              sync.Mutex
	pendingRemovals map[string]*time.Timer // of leafs without a registration, by id
}

// run watches the platform until ctx ends.
func (c *controller) run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { c.watcher(platform.KindRouting, c.tableListed, c.tableChanged).Run(ctx) })
	running.Go(func() { c.watcher(platform.KindVM, c.leafsListed, c.leafChanged).Run(ctx) })
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
			c.lastFailure.Store(time.Now().UnixNano())
			if !unreachable.Swap(true) {
				c.log.WithField("kind", string(kind)).WithError(err).Warn("platform unreachable")
			}
		},
		OnReply: func() {
			if unreachable.Swap(false) {
				c.log.WithField("kind", string(kind)).Info("platform reachable again")
			}
		},
	}
}

// Ready returns nil once the node has a routing table and a list of leafs.
func (c *controller) Ready() error {
	if c.routing.Current() == nil {
		return errors.New("no routing table known yet")
	}
	if !c.leafsKnown.Load() {
		return errors.New("no list of leafs known yet")
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
		c.log.WithField("revision", object.Version).WithError(err).Error("routing table not readable")
		return
	}
	index := routing.NewIndex(table, func(r *route.Route, err error) {
		c.log.WithFields(log.Fields{"route": r.Name, "version": table.Version}).WithError(err).Error("route not usable")
	})
	replaced := c.routing.Put(index)
	fields := log.Fields{"version": table.Version, "revision": object.Version, "routes": len(table.Routes), "taken": replaced}
	c.log.WithFields(fields).Info("routing table read")
	if replaced {
		c.metrics.SetRoutingVersion(table.Version)
		c.relays.scheduleAssignment()
	}
}

func (c *controller) leafsListed(listing platform.Listing) {
	listed := make(map[string]bool, len(listing.Objects))
	for _, object := range listing.Objects {
		listed[object.Name] = true
		c.putLeaf(object)
	}
	for _, l := range c.groups.All() {
		if !listed[l.VM.ID] {
			c.leafDeregistered(l.VM.ID, "not listed")
		}
	}
	c.leafsKnown.Store(true)
	c.metrics.SetListedLeafs(len(listing.Objects))
	c.log.WithFields(log.Fields{"leafs": len(listing.Objects), "revision": listing.Version}).Info("leafs listed")
}

func (c *controller) leafChanged(event platform.Event) {
	if event.Deleted {
		c.leafDeregistered(event.Object.Name, "removed")
		return
	}
	c.putLeaf(event.Object)
}

// putLeaf adds or updates a leaf. A leaf whose entry cannot be parsed is removed.
func (c *controller) putLeaf(object platform.Object) {
	next, err := c.adapter.DecodeLeaf(object)
	if err != nil {
		c.log.WithField("leaf", object.Name).WithError(err).Warn("leaf entry not readable")
		c.removeLeaf(object.Name, "not readable")
		return
	}
	c.cancelRemoval(next.VM.ID)
	old, known := c.groups.Find(next.VM.ID)
	replaced := known && (old.Incarnation != next.Incarnation || old.VM.Address != next.VM.Address || old.VM.Group != next.VM.Group)
	if replaced {
		c.leafClient.RemoveLeaf(next.VM.ID)
	}
	leaving := next.VM.State == platform.VMLeaving
	c.groups.Put(next).UpdateDrain(func(d leaf.DrainState) leaf.DrainState { return drain.OnList(d, leaving) })
	if known && !replaced && old.VM.State == next.VM.State {
		return
	}
	fields := log.Fields{"leaf": next.VM.ID, "group": next.VM.Group, "state": string(next.VM.State), "revision": object.Version, "born": next.Incarnation}
	c.log.WithFields(fields).Info("leaf listed")
	if !leaving && c.relays.connectsTo(next.VM.Group) {
		c.leafClient.Warm(next.VM)
	}
}

// leafDeregistered removes a leaf that is no longer registered. Registrations may have
// expired during an outage of the platform, so after one the leaf is kept for a grace
// period.
func (c *controller) leafDeregistered(id, cause string) {
	var last time.Time
	if at := c.lastFailure.Load(); at != 0 {
		last = time.Unix(0, at)
	}
	gracePeriod := drain.RemovalGracePeriod(time.Now(), last)
	if gracePeriod == 0 {
		c.removeLeaf(id, cause)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pendingRemovals[id] == nil {
		c.pendingRemovals[id] = time.AfterFunc(gracePeriod, func() { c.removeLeaf(id, cause+", not back after an outage") })
	}
}

func (c *controller) cancelRemoval(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if timer := c.pendingRemovals[id]; timer != nil {
		timer.Stop()
		delete(c.pendingRemovals, id)
	}
}

func (c *controller) removeLeaf(id, cause string) {
	c.cancelRemoval(id)
	old, known := c.groups.Remove(id)
	if !known {
		return
	}
	c.leafClient.RemoveLeaf(id)
	c.log.WithFields(log.Fields{"leaf": id, "group": old.VM.Group, "cause": cause}).Info("leaf removed")
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
		case l.VM.State != platform.VMLeaving:
			c.leafClient.Warm(l.VM)
		}
	}
}
