package gateway

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/route"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/routing"
)

const warmup = 3 * time.Second

// coldRig is a controller of a platform with one leaf in zone a, of a group whose cold leafs
// take 8 requests a second.
type coldRig struct {
	*controller
	perSecond float64 // as last passed to the forwarder
}

func newColdRig() *coldRig {
	r := &coldRig{controller: newEvacuationController()}
	r.setCold = func(record *leaf.Record, _ string, cold bool, perSecond float64) {
		record.SetCold(cold)
		r.perSecond = perSecond
	}
	r.zones.Replace(time.Now(), nil, 0, 0)
	r.zonesApplied = true
	r.putWarmup(8)
	return r
}

func (r *coldRig) putWarmup(perSecond float64) {
	table := route.Table{Version: uint64(time.Now().UnixNano()), Groups: map[string]route.Group{"g": {Warmup: warmup, WarmupPerSecond: perSecond}}}
	r.routing.Put(routing.NewIndex(table, func(*route.Route, error) {}))
}

func (r *coldRig) list(cold bool) {
	text, _ := json.Marshal(route.Leaf{VM: platform.VM{ID: "a", Group: "g", Address: "127.0.0.1:1", AvailabilityZone: "a", State: platform.VMLeaving}, Cold: cold})
	r.leafChanged(platform.Event{Object: platform.Object{Kind: platform.KindVM, Name: "a", Value: text}})
}

func (r *coldRig) check(t *testing.T, when string, cold bool) {
	t.Helper()
	synctest.Wait()
	stats := r.groups.Replicas("g")[0].Record.Stats()
	if stats.Cold != cold {
		t.Errorf("%s: cold %t, want %t", when, stats.Cold, cold)
	}
}

// TestListedAsCold guards against the use of a cold leaf as a warm one, at its start and when
// it becomes cold again.
func TestListedAsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newColdRig()
		r.list(true)
		r.check(t, "at its start", true)
		if r.perSecond != 8 {
			t.Errorf("it takes %v requests a second, want 8", r.perSecond)
		}
		time.Sleep(10 * time.Second)
		r.check(t, "still listed as cold", true)
		r.list(false)
		r.check(t, "listed as warm", false)
		r.list(true)
		r.check(t, "cold again", true)
		r.putWarmup(2)
		if r.renewColdLimits(); r.perSecond != 2 {
			t.Errorf("it takes %v requests a second by the new table, want 2", r.perSecond)
		}
	})
}

// TestColdLeafWithoutPlatform guards against a leaf that counts as cold for as long as the
// platform is away.
func TestColdLeafWithoutPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newColdRig()
		away := time.Now()
		r.confirmedAt = func(platform.Kind) time.Time { return away }
		r.list(true)
		time.Sleep(warmup)
		r.check(t, "within the warmup", true)
		time.Sleep(2 * heartbeatsUntilKnown * r.heartbeat)
		r.check(t, "after the warmup", false)
	})
}

// TestColdAfterEvacuation guards against a zone whose leafs have become cold during its
// evacuation, which the platform lists a heartbeat later, and get all requests at once.
func TestColdAfterEvacuation(t *testing.T) {
	for name, cold := range map[string]bool{"warm": false, "cold": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newColdRig()
				r.list(false)
				r.evacuationChanged(platform.Event{Object: evacuationOf("a", "{}")})
				r.check(t, "evacuated", false)
				time.Sleep(time.Second)
				r.evacuationChanged(platform.Event{Deleted: true, Object: evacuationOf("a", "{}")})
				r.check(t, "right after the evacuation", true)
				time.Sleep(r.heartbeat)
				if cold {
					r.list(true)
				}
				time.Sleep(heartbeatsUntilKnown * r.heartbeat)
				r.check(t, "once that is known", cold)
				r.list(false)
				r.check(t, "listed as warm", false)
			})
		})
	}
}
