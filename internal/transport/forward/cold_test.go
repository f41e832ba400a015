package forward

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/route"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
)

// warmupFactor and warmupSlack are the users' bound: in any second, a cold leaf may get
// warmupFactor times what it takes a second, and warmupSlack requests.
const (
	warmupFactor = 1.5
	warmupSlack  = 5
)

// setCold marks the leafs whose names have the given end as cold or warm at all nodes.
func (f *limitFleet) setCold(suffix string, cold bool, perSecond float64) {
	for _, node := range f.nodes {
		node.groups.Each(func(l route.Leaf, record *leaf.Record) {
			if !strings.HasSuffix(l.VM.ID, suffix) {
				return
			}
			if cold {
				node.leafClient.FailWaiting(l.VM.ID)
			}
			node.SetCold(record, l.VM.Group, cold, perSecond)
		})
	}
}

// checkCold checks the leafs whose names have the given end from a time on.
func (f *limitFleet) checkCold(t *testing.T, suffix string, perSecond float64, from time.Time) {
	t.Helper()
	allowed := int(warmupFactor*perSecond) + warmupSlack
	for id, l := range f.leafs {
		if !strings.HasSuffix(id, suffix) {
			continue
		}
		l.mu.Lock()
		most := fullestWindow(l.arrivals, from, time.Second)
		l.mu.Unlock()
		if most > allowed {
			t.Errorf("cold leaf %s got %d requests in a second, allowed %d", id, most, allowed)
		}
	}
}

// TestZoneReturnsCold guards against a zone whose leafs are cold and get more requests from all
// nodes together than they bear, or that callers wait for while the other leafs are warm.
func TestZoneReturnsCold(t *testing.T) {
	for name, test := range map[string]struct {
		nodes     int
		perSecond float64
	}{"few nodes": {7, 8}, "many nodes": {40, 2}, "no bound": {7, 0}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLimitFleet(t, 1, test.nodes, 10)
				f.play(t, 60, 4*time.Second)
				from := time.Now()
				f.setCold("/0", true, test.perSecond)
				result := f.play(t, 60, 4*time.Second)
				if test.perSecond > 0 {
					f.checkCold(t, "/0", test.perSecond, from)
				}
				if result.served < result.sent {
					t.Errorf("%d of %d queries served", result.served, result.sent)
				}
				f.setCold("/0", false, 0)
				warm := time.Now()
				f.play(t, 60, 4*time.Second)
				for id, l := range f.leafs {
					if n := l.arrivals[len(l.arrivals)-1]; n.Before(warm) {
						t.Errorf("leaf %s gets nothing once it is warm", id)
					}
				}
			})
		})
	}
}

// TestEveryLeafCold: what cold leafs bear is served, other requests are refused at once with
// when to come back.
func TestEveryLeafCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perSecond = 10
		f := newLimitFleet(t, 1, 7, 3)
		f.play(t, 60, 4*time.Second)
		from := time.Now()
		f.setCold("", true, perSecond)
		result := f.play(t, 60, 6*time.Second)
		f.checkCold(t, "", perSecond, from)
		if result.served == 0 || result.noReturn > 0 || result.slowestRefusal > 10*ms {
			t.Errorf("%+v", result)
		}
		t.Logf("%+v", result)
	})
}
