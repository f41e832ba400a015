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

// controller keeps the routing table and the leafs in line with the platform.
type controller struct {
	adapter Adapter
	client  platform.Client
	routing *routing.Store
	groups  *group.Store
	wire    *leafwire.Client
	relays  *relays
	metrics *metrics.Metrics
	log     log.Interface

	// lastFailure is the time of the last failed call, in Unix nanoseconds.
	lastFailure atomic.Int64
	leafsKnown  atomic.Bool
	// stopping is true once the node leaves: it keeps its connections for what is
	// still on the way.
	stopping atomic.Bool

	mu    sync.Mutex
	holds map[string]*time.Timer // of leafs whose registration is gone
}

// run follows the platform until ctx ends.
func (c *controller) run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { c.watcher(platform.KindRouting, c.tableListed, c.tableChanged).Run(ctx) })
	running.Go(func() { c.watcher(platform.KindVM, c.leafsListed, c.leafChanged).Run(ctx) })
	running.Wait()
}

func (c *controller) watcher(kind platform.Kind, listed func(platform.Listing), changed func(platform.Event)) *follow.Watcher {
	var lost atomic.Bool
	return &follow.Watcher{
		Client:  c.client,
		Kind:    kind,
		Backoff: backoff.PlatformFollow,
		OnList:  listed,
		OnEvent: changed,
		OnError: func(err error) {
			c.lastFailure.Store(time.Now().UnixNano())
			if !lost.Swap(true) {
				c.log.WithField("kind", string(kind)).WithError(err).Warn("platform lost")
			}
		},
		OnReply: func() {
			if lost.Swap(false) {
				c.log.WithField("kind", string(kind)).Info("platform regained")
			}
		},
	}
}

// Ready returns nil once a routing table and a list of leafs are known.
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
		c.tablePut(object)
	}
}

func (c *controller) tableChanged(event platform.Event) {
	if !event.Deleted {
		c.tablePut(event.Object)
	}
}

// tablePut brings a newer table into force. One that cannot be read changes
// nothing.
func (c *controller) tablePut(object platform.Object) {
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
	taken := c.routing.Put(index)
	fields := log.Fields{"version": table.Version, "revision": object.Version, "routes": len(table.Routes), "taken": taken}
	c.log.WithFields(fields).Info("routing table read")
	if taken {
		c.metrics.RoutingVersion(table.Version)
		c.relays.divideSoon()
	}
}

func (c *controller) leafsListed(listing platform.Listing) {
	listed := make(map[string]bool, len(listing.Objects))
	for _, object := range listing.Objects {
		listed[object.Name] = true
		c.leafPut(object)
	}
	for _, l := range c.groups.All() {
		if !listed[l.VM.ID] {
			c.leafGone(l.VM.ID, "not listed")
		}
	}
	c.leafsKnown.Store(true)
	c.metrics.LeafsListed(len(listing.Objects))
	c.log.WithFields(log.Fields{"leafs": len(listing.Objects), "revision": listing.Version}).Info("leafs listed")
}

func (c *controller) leafChanged(event platform.Event) {
	if event.Deleted {
		c.leafGone(event.Object.Name, "removed")
		return
	}
	c.leafPut(event.Object)
}

// leafPut takes over the entry of a leaf. One that cannot be read names no leaf.
func (c *controller) leafPut(object platform.Object) {
	next, err := c.adapter.DecodeLeaf(object)
	if err != nil {
		c.log.WithField("leaf", object.Name).WithError(err).Warn("leaf entry not readable")
		c.leafDrop(object.Name, "not readable")
		return
	}
	c.cancelHold(next.VM.ID)
	old, known := c.groups.Find(next.VM.ID)
	moved := known && (old.Incarnation != next.Incarnation || old.VM.Address != next.VM.Address || old.VM.Group != next.VM.Group)
	if moved {
		c.wire.Forget(next.VM.ID)
	}
	leaving := next.VM.State == platform.VMLeaving
	c.groups.Put(next).UpdateDrain(func(d leaf.DrainState) leaf.DrainState { return drain.OnList(d, leaving) })
	if known && !moved && old.VM.State == next.VM.State {
		return
	}
	fields := log.Fields{"leaf": next.VM.ID, "group": next.VM.Group, "state": string(next.VM.State), "revision": object.Version, "born": next.Incarnation}
	c.log.WithFields(fields).Info("leaf listed")
	if !leaving && c.relays.connectsTo(next.VM.Group) {
		c.wire.Warm(next.VM)
	}
}

// leafGone drops a leaf whose registration is gone. After an outage of the
// platform the registration may have lapsed, so the leaf is kept for a while.
func (c *controller) leafGone(id, cause string) {
	var last time.Time
	if at := c.lastFailure.Load(); at != 0 {
		last = time.Unix(0, at)
	}
	hold := drain.RemovalGracePeriod(time.Now(), last)
	if hold == 0 {
		c.leafDrop(id, cause)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holds[id] == nil {
		c.holds[id] = time.AfterFunc(hold, func() { c.leafDrop(id, cause+", not back after an outage") })
	}
}

func (c *controller) cancelHold(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if hold := c.holds[id]; hold != nil {
		hold.Stop()
		delete(c.holds, id)
	}
}

func (c *controller) leafDrop(id, cause string) {
	c.cancelHold(id)
	old, known := c.groups.Remove(id)
	if !known {
		return
	}
	c.wire.Forget(id)
	c.log.WithFields(log.Fields{"leaf": id, "group": old.VM.Group, "cause": cause}).Info("leaf gone")
}

// followDivision brings the connections to leafs in line with a new division among relays:
// it opens one to each leaf that this node relays to now, so that the first request
// does not wait for it, and gives up those to leafs of other nodes.
func (c *controller) followDivision() {
	if c.stopping.Load() {
		return
	}
	for _, l := range c.groups.All() {
		switch {
		case !c.relays.connectsTo(l.VM.Group):
			c.wire.Release(l.VM.ID)
		case l.VM.State != platform.VMLeaving:
			c.wire.Warm(l.VM)
		}
	}
}
