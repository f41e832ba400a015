package forward

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/route"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/transport/leafwire"
)

// evacuate marks the leafs whose names end in zone as evacuated or not, as the controller does.
func (r *rig) evacuate(zone string, evacuated bool) {
	r.groups.Each(func(l route.Leaf, record *leaf.Record) {
		if strings.HasSuffix(l.VM.ID, zone) && record.SetEvacuated(evacuated) && evacuated {
			r.leafClient.FailWaiting(l.VM.ID)
		}
	})
}

// evacuationLeafs are three leafs a shard, one in each of three zones, of which some fail,
// some are slow and some never accept a connection.
func evacuationLeafs(random *rand.Rand, groups []string) map[string]behaviour {
	leafs := map[string]behaviour{}
	for _, group := range groups {
		for zone := range 3 {
			seed := random.Uint64()
			replies := rand.New(rand.NewPCG(seed, 1))
			leafs[fmt.Sprintf("%s/%d", group, zone)] = func(call *leafwire.Call) (time.Duration, leafwire.Reply) {
				switch p := replies.Float64(); {
				case p < 0.05:
					return 5 * ms, connectionLost
				case p < 0.1:
					return ms, notRun
				case p < 0.15:
					return 200 * ms, ok(call)
				case p < 0.2:
					return noConnection, leafwire.Reply{}
				default:
					return time.Duration(5+10*replies.Float64()) * ms, ok(call)
				}
			}
		}
	}
	return leafs
}

// TestEvacuatedLeafsGetNoAttempts guards against attempts of any kind at the leafs of an
// evacuated zone: first ones, hedges, retries, those that wait for a connection and those that
// come from another node, for queries and for requests to one leaf.
func TestEvacuatedLeafsGetNoAttempts(t *testing.T) {
	routes := map[string]route.Route{"query": queryRoute(12, 0.5), "idempotent": singleRoute(true), "once": singleRoute(false)}
	for name, rt := range routes {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				synctest.Test(t, func(t *testing.T) { playEvacuation(t, rt, seed) })
			}
		})
	}
}

// probePeriod is the time in which a leaf that is ejected as slow or failing gets a request.
const probePeriod = 5 * time.Second

// playEvacuation sends requests while zones are evacuated and released, two of them at a time.
func playEvacuation(t *testing.T, rt route.Route, seed uint64) {
	groups := rt.Shards
	if !rt.IsQuery() {
		groups = []string{"a"}
	}
	random := rand.New(rand.NewPCG(seed, 3))
	r := newRig(t, rt, evacuationLeafs(random, groups))
	r.cfg.ExtraSlack = 1000
	var running sync.WaitGroup
	stop := make(chan struct{})
	running.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(3 * ms):
				running.Go(func() { r.do(t.Context(), http.MethodGet, "/"+strconv.Itoa(n)) })
			}
		}
	})
	time.Sleep(300 * ms)
	for range 4 {
		zones := []string{"/" + strconv.Itoa(random.IntN(3)), "/" + strconv.Itoa(random.IntN(3))}
		for _, zone := range zones {
			r.evacuate(zone, true)
		}
		from := time.Now().Add(time.Nanosecond)
		time.Sleep(time.Duration(200+random.IntN(800)) * ms)
		for id := range r.leafClient.leafs {
			if n := r.leafClient.sendsBetween(id, from, time.Now()); n > 0 && (strings.HasSuffix(id, zones[0]) || strings.HasSuffix(id, zones[1])) {
				t.Errorf("seed %d: %d attempts at %s in an evacuated zone", seed, n, id)
			}
		}
		for _, zone := range zones {
			r.evacuate(zone, false)
		}
		time.Sleep(100 * ms)
	}
	released := time.Now()
	time.Sleep(probePeriod)
	for id := range r.leafClient.leafs {
		if r.leafClient.sendsBetween(id, released, time.Now()) == 0 {
			t.Errorf("seed %d: no attempt at %s after the evacuations", seed, id)
		}
	}
	close(stop)
	running.Wait()
	time.Sleep(time.Second)
}

// TestEveryLeafEvacuated: requests of which too many shards have leafs in evacuated zones only
// are refused at once, as not run, with when to come back; others leave those shards out.
func TestEveryLeafEvacuated(t *testing.T) {
	tests := map[string]struct {
		rt   route.Route
		code int
	}{
		"one leaf":      {singleRoute(false), http.StatusServiceUnavailable},
		"too few":       {queryRoute(4, 0.8), http.StatusServiceUnavailable},
		"enough shards": {queryRoute(4, 0.75), http.StatusOK},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				leafs := map[string]behaviour{"a/0": replyingAfter(5 * ms)}
				for _, group := range test.rt.Shards {
					leafs[group+"/1"] = replyingAfter(5 * ms)
				}
				delete(leafs, "a/1")
				r := newRig(t, test.rt, leafs)
				r.evacuate("/0", true)
				response, took := r.do(t.Context(), http.MethodGet, "/x")
				if response.Code != test.code || r.leafClient.sends()["a/0"] > 0 {
					t.Errorf("status %d, attempts %v", response.Code, r.leafClient.sends())
				}
				if test.code == http.StatusOK {
					if got := response.Header().Get("Missing"); got != "1" {
						t.Errorf("%q shards missing, want 1", got)
					}
					return
				}
				if took != 0 || response.Header().Get("Retry-After") == "" || len(r.leafClient.started) > 0 {
					t.Errorf("refused after %v, headers %v, %d attempts", took, response.Header(), len(r.leafClient.started))
				}
			})
		})
	}
}

// TestEvacuationBehindOtherNodes guards against attempts at an evacuated zone that another node
// makes for this one: for a relayed query whose entry node has not heard of the evacuation, and
// for a node that is cut off from the leafs and reaches only those of the evacuated zone.
func TestEvacuationBehindOtherNodes(t *testing.T) {
	for name, isolated := range map[string]bool{"relayed": false, "isolated": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				leafs := map[string]behaviour{}
				for _, id := range []string{"a/0", "a/1", "b/0", "b/1", "c/0", "d/1"} {
					leafs[id] = replyingAfter(5 * ms)
				}
				entry, nodes, relays := fleet(t, queryRoute(4, 0.7), leafs, "x", "y")
				if isolated {
					links := cutLinks()
					links.reaches["b/0"] = true
					entry.Links = links
					entry.evacuate("/0", true)
				} else {
					entry.Relays = relays
				}
				for _, node := range nodes {
					node.evacuate("/0", true)
				}
				response, took := entry.do(t.Context(), http.MethodGet, "/x")
				if response.Code != http.StatusOK || response.Header().Get("Missing") != "1" || took > 100*ms {
					t.Errorf("status %d after %v, headers %v", response.Code, took, response.Header())
				}
				for _, node := range append([]*rig{entry}, nodes["x"], nodes["y"]) {
					for id, n := range node.leafClient.sends() {
						if strings.HasSuffix(id, "/0") {
							t.Errorf("%d attempts at %s", n, id)
						}
					}
				}
			})
		})
	}
}
