package forward

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/route"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
	"github.com/hickorydock/hickorydock/internal/transport/peer"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
)

// fakeRelays passes the first shards to relays that run in the same process and
// leaves the last one to the node itself.
type fakeRelays struct {
	owners map[string]peer.Handler
	// fail is the error of batches to a node; lose drops their results.
	fail    map[string]error
	records *leaf.Table
	mu      sync.Mutex
	nodes   []string
}

func (r *fakeRelays) Clusters(rt *route.Route) []Cluster {
	groups := rt.Shards
	c := Cluster{}
	for i := range groups[:len(groups)-1] {
		c.Shards = append(c.Shards, i)
	}
	for id := range r.owners {
		owner := shardmap.Replica{VM: platform.VM{ID: id}, Record: r.records.Record(id)}
		if strings.HasPrefix(id, "near") {
			c.Preferred = append(c.Preferred, owner)
		} else {
			c.Fallback = append(c.Fallback, owner)
		}
	}
	return []Cluster{c, {Shards: []int{len(groups) - 1}, Direct: true}}
}

func (r *fakeRelays) Do(ctx context.Context, node string, batch *contract.Batch, deliver func(peer.Result)) error {
	r.mu.Lock()
	r.nodes = append(r.nodes, node)
	r.mu.Unlock()
	if err := r.fail[node]; err != nil {
		return err
	}
	got := 0
	r.owners[node].Serve(ctx, batch, func(result peer.Result) {
		if ctx.Err() == nil {
			got++
			deliver(result)
		}
	})
	if got < len(batch.Shards) {
		return peer.ErrStreamLost
	}
	return nil
}

// frozen is a relay that takes batches and never answers.
type hangingRelay struct{}

func (hangingRelay) Serve(ctx context.Context, _ *contract.Batch, _ func(peer.Result)) { <-ctx.Done() }

func TestRelays(t *testing.T) {
	fast := replyingAfter(10 * ms)
	tests := []struct {
		name        string
		attempts    int
		minCoverage float64
		leafs       map[string]behaviour
		fail        error
		hanging     bool
		status      int
		missing     string
		maxTime     time.Duration
		// leafSends bounds what a leaf of a passed shard gets.
		leafSends int
	}{
		{"all shards answer", 2, 1, map[string]behaviour{"a/1": fast, "b/1": fast, "c/1": fast}, nil, false, 200, "0", 45 * ms, 1},
		{"a shard of the relay is late: at the target", 2, 0.5, map[string]behaviour{"a/1": fast, "b/1": silent, "c/1": fast}, nil, false, 200, "1", 95 * ms, 1},
		{"the relay hedges a leaf that pauses", 2, 1, map[string]behaviour{"a/1": fast, "b/1": silent, "b/2": silent, "c/1": fast}, nil, false, 504, "", 600 * ms, 1},
		{"a late reply of the relay counts", 2, 1, map[string]behaviour{"a/1": fast, "b/1": replyingAfter(300 * ms), "c/1": fast}, nil, false, 200, "0", 310 * ms, 1},
		{"the relay is not there: sent from here", 2, 1, map[string]behaviour{"a/1": fast, "b/1": fast, "c/1": fast}, peer.ErrNotSent, false, 200, "0", 45 * ms, 1},
		{"the relay is lost: its shards are not sent again", 2, 0.3, map[string]behaviour{"a/1": fast, "b/1": fast, "c/1": fast}, peer.ErrStreamLost, false, 200, "2", 95 * ms, 0},
		{"the relay is frozen: at the target without it", 2, 0.3, map[string]behaviour{"a/1": fast, "b/1": fast, "c/1": fast}, nil, true, 200, "2", 95 * ms, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rt := queryRoute(3, test.minCoverage)
				rt.MaxAttempts = test.attempts
				entry := newRig(t, rt, test.leafs)
				relay := newRig(t, rt, test.leafs)
				relays := &fakeRelays{owners: map[string]peer.Handler{"near": relay.Forwarder}, fail: map[string]error{"near": test.fail}, records: leaf.NewTable()}
				if test.hanging {
					relays.owners["near"] = hangingRelay{}
				}
				entry.Relays = relays
				answer, took := entry.do(t.Context(), http.MethodGet, "/x")
				if answer.Code != test.status || answer.Header().Get("Missing") != test.missing || took > test.maxTime {
					t.Errorf("status %d with %q missing after %v, want %d with %q within %v", answer.Code, answer.Header().Get("Missing"), took, test.status, test.missing, test.maxTime)
				}
				time.Sleep(time.Second)
				sends := entry.leafClient.sends()
				for id, n := range relay.leafClient.sends() {
					sends[id] += n
				}
				for _, id := range []string{"a/1", "b/1"} {
					if sends[id] > test.leafSends {
						t.Errorf("leaf %s got %d arrivals, want at most %d", id, sends[id], test.leafSends)
					}
				}
			})
		})
	}
}

// TestSecondRelay holds that a relay that does not answer is passed over in time
// when the bound on attempts leaves one, and never exceeds that bound.
func TestSecondRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rt := queryRoute(3, 1)
		rt.MaxAttempts = 3
		leafs := map[string]behaviour{"a/1": replyingAfter(5 * ms), "b/1": replyingAfter(5 * ms), "c/1": replyingAfter(5 * ms)}
		entry, relay := newRig(t, rt, leafs), newRig(t, rt, leafs)
		relays := &fakeRelays{owners: map[string]peer.Handler{"near": hangingRelay{}, "far": relay.Forwarder}, records: leaf.NewTable()}
		entry.Relays = relays
		for range 20 { // hedges have to be earned
			entry.budget("a").Earn(1)
			entry.budget("b").Earn(1)
		}
		answer, took := entry.do(t.Context(), http.MethodGet, "/x")
		if answer.Code != 200 || took > rt.TargetLatency || strings.Join(relays.nodes, " ") != "near far" {
			t.Errorf("status %d after %v by %v", answer.Code, took, relays.nodes)
		}
		time.Sleep(time.Second)
	})
}

// TestRelaysThatRunNothing answers the pattern of many nodes that start again at once:
// a relay that is there but knows no leaf, or that refuses, is not to be asked next
// time, and its shards go to another relay before this node opens connections to
// leafs that others relay to.
func TestRelaysThatRunNothing(t *testing.T) {
	tests := []struct {
		name string
		near func(t *testing.T, rt route.Route) peer.Handler
		fail error
	}{
		{"knows no leaf", func(t *testing.T, rt route.Route) peer.Handler { return newRig(t, rt, nil).Forwarder }, nil},
		{"takes no batches", func(*testing.T, route.Route) peer.Handler { return hangingRelay{} }, peer.ErrDraining},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rt := queryRoute(4, 0.3)
				fast := replyingAfter(5 * ms)
				leafs := map[string]behaviour{"a/1": fast, "b/1": fast, "c/1": fast, "d/1": fast}
				entry, relay := newRig(t, rt, leafs), newRig(t, rt, leafs)
				relays := &fakeRelays{
					owners:  map[string]peer.Handler{"near": test.near(t, rt), "far": relay.Forwarder},
					fail:    map[string]error{"near": test.fail},
					records: leaf.NewTable(),
				}
				entry.Relays = relays
				for range 2 {
					answer, took := entry.do(t.Context(), http.MethodGet, "/x")
					if answer.Code != 200 || answer.Header().Get("Missing") != "0" || took > 45*ms {
						t.Errorf("status %d with %q missing after %v", answer.Code, answer.Header().Get("Missing"), took)
					}
					time.Sleep(100 * ms)
				}
				if got := strings.Join(relays.nodes, " "); got != "near far far" {
					t.Errorf("relays asked: %s", got)
				}
				for id, n := range entry.leafClient.sends() {
					if id != "d/1" {
						t.Errorf("%d sends to %s from this node", n, id)
					}
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// TestRefusedByLeafsIsNotAskedAgain holds that shards whose leafs refuse at one relay
// are not sent to them by another.
func TestRefusedByLeafsIsNotAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rt := queryRoute(3, 0.3)
		leafs := map[string]behaviour{"a/1": endingAfter(ms, notRun), "b/1": endingAfter(ms, notRun), "c/1": replyingAfter(5 * ms)}
		entry, relay := newRig(t, rt, leafs), newRig(t, rt, leafs)
		relays := &fakeRelays{owners: map[string]peer.Handler{"near": relay.Forwarder, "far": relay.Forwarder}, records: leaf.NewTable()}
		entry.Relays = relays
		answer, took := entry.do(t.Context(), http.MethodGet, "/x")
		if answer.Code != 200 || answer.Header().Get("Missing") != "2" || took > 10*ms {
			t.Errorf("status %d with %q missing after %v", answer.Code, answer.Header().Get("Missing"), took)
		}
		if n := relay.leafClient.sends()["a/1"] + entry.leafClient.sends()["a/1"]; n != 1 || len(relays.nodes) != 1 {
			t.Errorf("%d sends to a leaf that refuses, by %v", n, relays.nodes)
		}
		time.Sleep(time.Second)
	})
}

// TestNothingRanAtRelays holds that a query that no leaf ran is refused as not run also
// where relays were asked, and that one which a relay may have run is not.
func TestNothingRanAtRelays(t *testing.T) {
	rejecting := endingAfter(ms, notRun)
	tests := []struct {
		name   string
		leafs  map[string]behaviour
		fail   error
		status int
	}{
		{"all leafs refuse", map[string]behaviour{"a/1": rejecting, "b/1": rejecting, "c/1": rejecting}, nil, 503},
		{"a leaf of the relay failed", map[string]behaviour{"a/1": endingAfter(ms, connectionLost), "b/1": rejecting, "c/1": rejecting}, nil, 502},
		{"the relay is lost", map[string]behaviour{"a/1": rejecting, "b/1": rejecting, "c/1": rejecting}, peer.ErrStreamLost, 502},
		{"the relay takes no batch and leafs refuse", map[string]behaviour{"a/1": rejecting, "b/1": rejecting, "c/1": rejecting}, peer.ErrDraining, 503},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rt := queryRoute(3, 0.3) // any shard is enough, so the end of the last one decides
				entry, relay := newRig(t, rt, test.leafs), newRig(t, rt, test.leafs)
				entry.Relays = &fakeRelays{owners: map[string]peer.Handler{"near": relay.Forwarder}, fail: map[string]error{"near": test.fail}, records: leaf.NewTable()}
				answer, took := entry.do(t.Context(), http.MethodGet, "/x")
				if answer.Code != test.status || (answer.Header().Get("Retry-After") != "") != (test.status == 503) || took > 20*ms {
					t.Errorf("status %d with Retry-After %q after %v, want %d", answer.Code, answer.Header().Get("Retry-After"), took, test.status)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// TestSilentRelays answers the pattern of relays that lose power: the next query
// leaves one out that answered nothing, and tries it again after a while.
func TestSilentRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rt := queryRoute(3, 0.3)
		leafs := map[string]behaviour{"a/1": replyingAfter(5 * ms), "b/1": replyingAfter(5 * ms), "c/1": replyingAfter(5 * ms)}
		entry, relay := newRig(t, rt, leafs), newRig(t, rt, leafs)
		relays := &fakeRelays{owners: map[string]peer.Handler{"near": hangingRelay{}, "far": relay.Forwarder}, records: leaf.NewTable()}
		entry.Relays = relays
		time.Sleep(time.Second)
		for _, want := range []string{"2", "0", "0"} {
			answer, _ := entry.do(t.Context(), http.MethodGet, "/x")
			if got := answer.Header().Get("Missing"); got != want {
				t.Errorf("%q missing, want %q, by %v", got, want, relays.nodes)
			}
			time.Sleep(200 * ms)
		}
		time.Sleep(silentRelayAvoidance)
		relays.owners["near"] = relay.Forwarder
		entry.do(t.Context(), http.MethodGet, "/x")
		if got := strings.Join(relays.nodes, " "); got != "near far far near" {
			t.Errorf("relays asked: %s", got)
		}
		time.Sleep(time.Second)
	})
}

func TestUnreadableBatch(t *testing.T) {
	r := newRig(t, queryRoute(2, 1), map[string]behaviour{"a/1": silent})
	replies := 0
	r.Serve(t.Context(), &contract.Batch{Body: []byte("\xff"), Shards: []uint32{0}}, func(peer.Result) { replies++ })
	if replies != 0 || len(r.leafClient.started) != 0 {
		t.Errorf("%d replies and %d sends for bytes that are no batch", replies, len(r.leafClient.started))
	}
}

// TestSpans holds that a trace has a span for the request, each hop to a relay and
// each attempt at a leaf.
func TestSpans(t *testing.T) {
	exporter := tracetest.NewInMemoryExporter()
	tracer := tracing.NewWithExporter(exporter, tracing.Config{SampleShare: 1})
	leafs := map[string]behaviour{"a/1": replyingAfter(ms), "b/1": replyingAfter(ms), "c/1": replyingAfter(ms)}
	entry, relay := newRig(t, queryRoute(3, 1), leafs), newRig(t, queryRoute(3, 1), leafs)
	entry.Tracer, relay.Tracer = tracer, tracer
	entry.Relays = &fakeRelays{owners: map[string]peer.Handler{"near": relay.Forwarder}, records: leaf.NewTable()}
	if answer, _ := entry.do(t.Context(), http.MethodGet, "/x"); answer.Code != 200 {
		t.Fatalf("status %d", answer.Code)
	}
	time.Sleep(20 * ms)
	if err := tracer.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
	names := map[string]int{}
	traces := map[string]bool{}
	for _, span := range exporter.GetSpans() {
		names[span.Name]++
		traces[span.SpanContext.TraceID().String()] = true
	}
	if names[string(tracing.HopCaller)] != 1 || names[string(tracing.HopPeer)] != 1 || names[string(tracing.HopAttempt)] != 3 || len(traces) != 1 {
		t.Errorf("spans %v in %d traces", names, len(traces))
	}
}
