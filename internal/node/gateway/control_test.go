package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/route"
	"github.com/hickorydock/hickorydock/internal/protocol/settings"
	"github.com/hickorydock/hickorydock/internal/state/group"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/routing"
	"github.com/hickorydock/hickorydock/internal/transport/leafwire"
)

// plainAdapter decodes objects that hold the product's types as JSON.
type plainAdapter struct{}

var errInvalidEntry = errors.New("not the entry of a leaf")

func (plainAdapter) Client(settings.Settings) platform.Client { return nil }
func (plainAdapter) Headers() route.HeaderNames               { return route.HeaderNames{} }

func (plainAdapter) DecodeTable(o platform.Object) (table route.Table, err error) {
	err = json.Unmarshal(o.Value, &table)
	return table, err
}

func (plainAdapter) DecodeLeaf(o platform.Object) (l route.Leaf, err error) {
	err = json.Unmarshal(o.Value, &l)
	if err == nil && l.VM.ID == "" {
		err = errInvalidEntry
	}
	return l, err
}

func (plainAdapter) DecodeLoad(string) (route.Load, error) { return route.Load{}, nil }

func newTestController() *controller {
	routes := &routing.Store{}
	logger := &log.Logger{Handler: discard.Default}
	groups := group.NewStore(leaf.NewTable())
	return &controller{
		adapter:    plainAdapter{},
		routing:    routes,
		groups:     groups,
		heartbeat:  time.Second,
		leafClient: leafwire.New(leafwire.Config{MaxConnections: func(string) int { return 1 }}),
		relays:     &relays{routing: routes, groups: groups, records: leaf.NewTable(), log: logger},
		log:        logger,

		setCold:     func(record *leaf.Record, _ string, cold bool, _ float64) { record.SetCold(cold) },
		confirmedAt: func(platform.Kind) time.Time { return time.Now() },
		outageEnded: func(platform.Kind) time.Time { return time.Time{} },
	}
}

// outageHasEnded makes an outage of the platform for the list of leafs end now.
func (c *controller) outageHasEnded() {
	ended := time.Now()
	c.outageEnded = func(kind platform.Kind) time.Time {
		if kind != platform.KindVM {
			return time.Time{}
		}
		return ended
	}
}

// leafObject returns the entry of a leaf that is leaving, so that no connection is
// opened to it.
func leafObject(id string) platform.Object {
	text, _ := json.Marshal(route.Leaf{VM: platform.VM{ID: id, Group: "g", Address: "127.0.0.1:1", State: platform.VMLeaving}})
	return platform.Object{Kind: platform.KindVM, Name: id, Value: text}
}

func leafEvent(id string) platform.Event { return platform.Event{Object: leafObject(id)} }

func (c *controller) leafNames() (names []string) {
	for _, l := range c.groups.All() {
		names = append(names, l.VM.ID)
	}
	return names
}

// TestTablesNeverGoBack covers a watch that repeats an event, an outdated list and
// entries that cannot be parsed.
func TestTablesNeverGoBack(t *testing.T) {
	c := newTestController()
	put := func(name, value string) {
		c.tableChanged(platform.Event{Object: platform.Object{Name: name, Value: json.RawMessage(value)}})
	}
	put("another-object", `{"Version":99}`)
	if c.routing.Current() != nil {
		t.Fatal("another object became the routing table")
	}
	put(platform.RoutingName, `{"Version":5}`)
	put(platform.RoutingName, `{"Version":4}`)
	put(platform.RoutingName, `{`)
	c.tableChanged(platform.Event{Deleted: true, Object: platform.Object{Name: platform.RoutingName}})
	c.tableListed(platform.Listing{Objects: []platform.Object{{Name: platform.RoutingName, Value: json.RawMessage(`{"Version":3}`)}}})
	if got := c.routing.Current().Table.Version; got != 5 {
		t.Errorf("current version is %d, want 5", got)
	}
}

func TestInvalidEntriesDoNotAffectOtherLeafs(t *testing.T) {
	c := newTestController()
	c.leafsListed(platform.Listing{Objects: []platform.Object{leafObject("a"), {Name: "x", Value: json.RawMessage(`[]`)}, {Name: "y"}, leafObject("b")}})
	if got := c.leafNames(); len(got) != 2 {
		t.Errorf("leafs %v", got)
	}
	c.leafChanged(platform.Event{Object: platform.Object{Name: "a", Value: json.RawMessage(`"?"`)}})
	if got := c.leafNames(); len(got) != 1 || got[0] != "b" {
		t.Errorf("leafs %v after the entry of one became invalid", got)
	}
	if c.Ready() == nil {
		t.Error("ready without a routing table")
	}
}

// TestLapsedRegistrations checks that a leaf whose registration ends is removed at
// once, but after an outage only if it does not register again in time.
func TestLapsedRegistrations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestController()
		all := platform.Listing{Objects: []platform.Object{leafObject("a"), leafObject("b"), leafObject("c")}}
		c.leafsListed(all)
		c.leafChanged(platform.Event{Deleted: true, Object: platform.Object{Name: "c"}})
		if got := len(c.leafNames()); got != 2 {
			t.Errorf("%d leafs after a removal, want 2", got)
		}
		c.outageHasEnded()
		c.leafsListed(platform.Listing{})
		if got := len(c.leafNames()); got != 2 {
			t.Errorf("%d leafs just after an outage, want 2", got)
		}
		time.Sleep(time.Second)
		c.leafChanged(platform.Event{Object: leafObject("a")})
		time.Sleep(2 * time.Second)
		if got := c.leafNames(); len(got) != 1 || got[0] != "a" {
			t.Errorf("leafs %v after the grace period", got)
		}
	})
}

// TestRemovalAfterOutageHasEnded guards against a removed leaf that is kept in use for longer than
// live leafs need to register again after an outage of the platform.
func TestRemovalAfterOutageHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestController()
		c.leafsListed(platform.Listing{Objects: []platform.Object{leafObject("a"), leafObject("b")}})
		c.outageHasEnded()
		time.Sleep(2 * time.Second)
		c.leafChanged(platform.Event{Deleted: true, Object: platform.Object{Name: "a"}})
		if got := c.leafNames(); len(got) != 1 || got[0] != "b" {
			t.Errorf("leafs %v after a removal 2 s after the outage", got)
		}
	})
}

// TestRemovalAfterCutWatch guards against a removed leaf that is kept in use because a watch that
// the platform cut off counted as an outage.
func TestRemovalAfterCutWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestController()
		c.leafsListed(platform.Listing{Objects: []platform.Object{leafObject("a"), leafObject("b")}})
		watcher := c.watcher(platform.KindVM, c.leafsListed, c.leafChanged)
		watcher.OnError(platform.ErrUnavailable)
		watcher.OnReply()
		c.leafChanged(platform.Event{Deleted: true, Object: platform.Object{Name: "a"}})
		if got := c.leafNames(); len(got) != 1 || got[0] != "b" {
			t.Errorf("leafs %v after a removal beside a cut watch", got)
		}
	})
}

// TestRemovalAfterOutageIsNotPutOff guards against a removed leaf that is kept for longer with each
// further outage.
func TestRemovalAfterOutageIsNotPutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestController()
		c.leafsListed(platform.Listing{Objects: []platform.Object{leafObject("a"), leafObject("b")}})
		c.outageHasEnded()
		c.leafChanged(platform.Event{Deleted: true, Object: platform.Object{Name: "a"}})
		time.Sleep(1500 * time.Millisecond)
		c.outageHasEnded()
		c.leafsListed(platform.Listing{Objects: []platform.Object{leafObject("b")}})
		time.Sleep(600 * time.Millisecond)
		if got := c.leafNames(); len(got) != 1 || got[0] != "b" {
			t.Errorf("leafs %v 2.1 s after the removal", got)
		}
	})
}

// TestOlderHeartbeatKeepsLeafDraining guards against a leaf that reported that it leaves and gets
// work again, because the platform executed a heartbeat late that the leaf had sent before.
func TestOlderHeartbeatKeepsLeafDraining(t *testing.T) {
	c := newTestController()
	put := func(heartbeat uint64, state platform.VMState) {
		o := registration("a", 5, state)
		o.Heartbeat = heartbeat
		c.leafChanged(platform.Event{Object: o})
	}
	put(1, platform.VMLive)
	put(57, platform.VMLeaving)
	put(56, platform.VMLive)
	checkUsable(t, c, "after the older heartbeat")
	o := registration("a", 5, platform.VMLive)
	o.Heartbeat = 56
	c.leafsListed(platform.Listing{Objects: []platform.Object{o}})
	checkUsable(t, c, "after a list of the older heartbeat")
	put(58, platform.VMLive)
	checkUsable(t, c, "after a newer heartbeat", "a")
}

// tooOldOnce is a platform that has no history for the first watch, and lists the given leafs one
// list after the other.
type tooOldOnce struct {
	platform.Client
	lists   [][]string
	watches int
}

func (p *tooOldOnce) List(context.Context, platform.Kind) (platform.Listing, error) {
	var listing platform.Listing
	for _, id := range p.lists[0] {
		listing.Objects = append(listing.Objects, leafObject(id))
	}
	p.lists = p.lists[1:]
	return listing, nil
}

func (p *tooOldOnce) Watch(ctx context.Context, _ platform.Kind, _ uint64, _ func(platform.Event) error) error {
	p.watches++
	if p.watches == 1 {
		return platform.ErrTooOld
	}
	<-ctx.Done()
	return ctx.Err()
}

// TestRemovalAfterHistoryTooOld guards against a removed leaf that is kept in use because a history
// that does not reach back far enough counted as an outage of the platform.
func TestRemovalAfterHistoryTooOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestController()
		ctx, cancel := context.WithCancel(t.Context())
		watcher := c.watcher(platform.KindVM, c.leafsListed, c.leafChanged)
		watcher.Client = &tooOldOnce{lists: [][]string{{"stays", "removed"}, {"stays"}}}
		go watcher.Run(ctx)
		synctest.Wait()
		if got := c.leafNames(); len(got) != 1 || got[0] != "stays" {
			t.Errorf("leafs %v after the second list", got)
		}
		cancel()
	})
}

func TestLeavingLeafIsDraining(t *testing.T) {
	c := newTestController()
	c.leafChanged(platform.Event{Object: leafObject("a")})
	if !c.groups.Replicas("g")[0].Record.Stats().Draining {
		t.Error("a leaving leaf is not draining")
	}
}
