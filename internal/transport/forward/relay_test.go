package forward

import (
	"context"
	"maps"
	"net/http"
	"slices"
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

// fakeRelays assigns all shards but the last to relays that run in the same process, and
// the last one to the node itself.
type fakeRelays struct {
	handlers map[string]peer.Handler
	// fail is the error of batches to a node.
	fail    map[string]error
	records *leaf.Table
	mu      sync.Mutex
	sentTo  []string
}

func (r *fakeRelays) Clusters(rt *route.Route) []Cluster {
	groups := rt.Shards
	c := Cluster{}
	for i := range groups[:len(groups)-1] {
		c.Shards = append(c.Shards, i)
	}
	for id := range r.handlers {
		relay := shardmap.Replica{VM: platform.VM{ID: id}, Record: r.records.Record(id)}
		if strings.HasPrefix(id, "preferred") {
			c.Preferred = append(c.Preferred, relay)
		} else {
			c.Fallback = append(c.Fallback, relay)
		}
	}
	return []Cluster{c, {Shards: []int{len(groups) - 1}, Direct: true}}
}

// Others returns the relays in the order of their names.
func (r *fakeRelays) Others() (near, far []shardmap.Replica) {
	for _, id := range slices.Sorted(maps.Keys(r.handlers)) {
		far = append(far, shardmap.Replica{VM: platform.VM{ID: id}, Record: r.records.Record(id)})
	}
	return nil, far
}

func (r *fakeRelays) Do(ctx context.Context, node string, batch *contract.Batch, deliver func(peer.Result)) error {
	r.mu.Lock()
	r.sentTo = append(r.sentTo, node)
	r.mu.Unlock()
	if err := r.fail[node]; err != nil {
		return err
	}
	got := 0
	r.handlers[node].Serve(ctx, batch, func(result peer.Result) {
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

// hangingRelay is a relay that accepts batches and never replies.
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
		// leafSends is the maximum number of attempts at a leaf of a relayed shard.
		leafSends int
	}{
		{"all shards reply", 2, 1, map[string]behaviour{"a/1": fast, "b/1": fast, "c/1": fast}, nil, false, 200, "0", 45 * ms, 1},
		{"a shard of the relay is late: at the target", 2, 0.5, map[string]behaviour{"a/1": fast, "b/1": silent, "c/1": fast}, nil, false, 200, "1", 95 * ms, 1},
		{"the relay hedges a leaf that pauses", 2, 1, map[string]behaviour{"a/1": fast, "b/1": silent, "b/2": silent, "c/1": fast}, nil, false, 504, "", 600 * ms, 1},
		{"a late reply of the relay is used", 2, 1, map[string]behaviour{"a/1": fast, "b/1": replyingAfter(300 * ms), "c/1": fast}, nil, false, 200, "0", 310 * ms, 1},
		{"the relay is unreachable: sent from this node", 2, 1, map[string]behaviour{"a/1": fast, "b/1": fast, "c/1": fast}, peer.ErrNotSent, false, 200, "0", 45 * ms, 1},
		{"the stream to the relay is lost: its shards are not sent again", 2, 0.3, map[string]behaviour{"a/1": fast, "b/1": fast, "c/1": fast}, peer.ErrStreamLost, false, 200, "2", 95 * ms, 0},
		{"the relay hangs: at the target without it", 2, 0.3, map[string]behaviour{"a/1": fast, "b/1": fast, "c/1": fast}, nil, true, 200, "2", 95 * ms, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rt := queryRoute(3, test.minCoverage)
				rt.MaxAttempts = test.attempts
				entry := newRig(t, rt, test.leafs)
				relay := newRig(t, rt, test.leafs)
				relays := &fakeRelays{handlers: map[string]peer.Handler{"preferred": relay.Forwarder}, fail: map[string]error{"preferred": test.fail}, records: leaf.NewTable()}
				if test.hanging {
					relays.handlers["preferred"] = hangingRelay{}
				}
				entry.Relays = relays
				response, took := entry.do(t.Context(), http.MethodGet, "/x")
				if response.Code != test.status || response.Header().Get("Missing") != test.missing || took > test.maxTime {
					t.Errorf("status %d with %q missing after %v, want %d with %q within %v", response.Code, response.Header().Get("Missing"), took, test.status, test.missing, test.maxTime)
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

// TestSecondRelay checks that the shards of a relay that does not reply are sent to
// another relay in time if the limit of attempts allows one more, and never beyond that
// limit.
func TestSecondRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rt := queryRoute(3, 1)
		rt.MaxAttempts = 3
		leafs := map[string]behaviour{"a/1": replyingAfter(5 * ms), "b/1": replyingAfter(5 * ms), "c/1": replyingAfter(5 * ms)}
		entry, relay := newRig(t, rt, leafs), newRig(t, rt, leafs)
		relays := &fakeRelays{handlers: map[string]peer.Handler{"preferred": hangingRelay{}, "fallback": relay.Forwarder}, records: leaf.NewTable()}
		entry.Relays = relays
		for range 20 { // accumulate budget for hedges
			entry.budget("a").Earn(1)
			entry.budget("b").Earn(1)
		}
		response, took := entry.do(t.Context(), http.MethodGet, "/x")
		if response.Code != 200 || took > rt.TargetLatency || strings.Join(relays.sentTo, " ") != "preferred fallback" {
			t.Errorf("status %d after %v by %v", response.Code, took, relays.sentTo)
		}
		time.Sleep(time.Second)
	})
}

// TestRelaysThatRunNothing checks the case of many nodes that restart at once: a relay that
// is reachable but has no leafs, or that rejects batches, is avoided for the next query,
// and its shards are sent to another relay before this node opens connections to leafs
// that other nodes relay to.
func TestRelaysThatRunNothing(t *testing.T) {
	tests := []struct {
		name      string
		preferred func(t *testing.T, rt route.Route) peer.Handler
		fail      error
	}{
		{"has no leafs", func(t *testing.T, rt route.Route) peer.Handler { return newRig(t, rt, nil).Forwarder }, nil},
		{"rejects batches", func(*testing.T, route.Route) peer.Handler { return hangingRelay{} }, peer.ErrDraining},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rt := queryRoute(4, 0.3)
				fast := replyingAfter(5 * ms)
				leafs := map[string]behaviour{"a/1": fast, "b/1": fast, "c/1": fast, "d/1": fast}
				entry, relay := newRig(t, rt, leafs), newRig(t, rt, leafs)
				relays := &fakeRelays{
					handlers: map[string]peer.Handler{"preferred": test.preferred(t, rt), "fallback": relay.Forwarder},
					fail:     map[string]error{"preferred": test.fail},
					records:  leaf.NewTable(),
				}
				entry.Relays = relays
				for range 2 {
					response, took := entry.do(t.Context(), http.MethodGet, "/x")
					if response.Code != 200 || response.Header().Get("Missing") != "0" || took > 45*ms {
						t.Errorf("status %d with %q missing after %v", response.Code, response.Header().Get("Missing"), took)
					}
					time.Sleep(100 * ms)
				}
				if got := strings.Join(relays.sentTo, " "); got != "preferred fallback fallback" {
					t.Errorf("batches were sent to %s", got)
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

// TestShardsRejectedByLeafsAreNotRetried checks that shards that leafs rejected at one
// relay are not sent to them by another one.
func TestShardsRejectedByLeafsAreNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rt := queryRoute(3, 0.3)
		leafs := map[string]behaviour{"a/1": endingAfter(ms, notRun), "b/1": endingAfter(ms, notRun), "c/1": replyingAfter(5 * ms)}
		entry, relay := newRig(t, rt, leafs), newRig(t, rt, leafs)
		relays := &fakeRelays{handlers: map[string]peer.Handler{"preferred": relay.Forwarder, "fallback": relay.Forwarder}, records: leaf.NewTable()}
		entry.Relays = relays
		response, took := entry.do(t.Context(), http.MethodGet, "/x")
		if response.Code != 200 || response.Header().Get("Missing") != "2" || took > 10*ms {
			t.Errorf("status %d with %q missing after %v", response.Code, response.Header().Get("Missing"), took)
		}
		if n := relay.leafClient.sends()["a/1"] + entry.leafClient.sends()["a/1"]; n != 1 || len(relays.sentTo) != 1 {
			t.Errorf("%d sends to a leaf that rejects, by %v", n, relays.sentTo)
		}
		time.Sleep(time.Second)
	})
}

// TestNothingRanAtRelays checks that a query that no leaf ran is rejected as not run, even
// if it was sent to relays, and that a query that a relay may have run is not.
func TestNothingRanAtRelays(t *testing.T) {
	rejecting := endingAfter(ms, notRun)
	tests := []struct {
		name   string
		leafs  map[string]behaviour
		fail   error
		status int
	}{
		{"all leafs reject", map[string]behaviour{"a/1": rejecting, "b/1": rejecting, "c/1": rejecting}, nil, 503},
		{"a leaf of the relay failed", map[string]behaviour{"a/1": endingAfter(ms, connectionLost), "b/1": rejecting, "c/1": rejecting}, nil, 502},
		{"the stream to the relay is lost", map[string]behaviour{"a/1": rejecting, "b/1": rejecting, "c/1": rejecting}, peer.ErrStreamLost, 502},
		{"the relay rejects the batch and leafs reject", map[string]behaviour{"a/1": rejecting, "b/1": rejecting, "c/1": rejecting}, peer.ErrDraining, 503},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rt := queryRoute(3, 0.3) // one shard suffices, so the last one decides
				entry, relay := newRig(t, rt, test.leafs), newRig(t, rt, test.leafs)
				entry.Relays = &fakeRelays{handlers: map[string]peer.Handler{"preferred": relay.Forwarder}, fail: map[string]error{"preferred": test.fail}, records: leaf.NewTable()}
				response, took := entry.do(t.Context(), http.MethodGet, "/x")
				if response.Code != test.status || (response.Header().Get("Retry-After") != "") != (test.status == 503) || took > 20*ms {
					t.Errorf("status %d with Retry-After %q after %v, want %d", response.Code, response.Header().Get("Retry-After"), took, test.status)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// TestSilentRelays checks the case of relays that lose power: a relay that did not reply is
// avoided for the next query and tried again after silentRelayAvoidance.
func TestSilentRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rt := queryRoute(3, 0.3)
		leafs := map[string]behaviour{"a/1": replyingAfter(5 * ms), "b/1": replyingAfter(5 * ms), "c/1": replyingAfter(5 * ms)}
		entry, relay := newRig(t, rt, leafs), newRig(t, rt, leafs)
		relays := &fakeRelays{handlers: map[string]peer.Handler{"preferred": hangingRelay{}, "fallback": relay.Forwarder}, records: leaf.NewTable()}
		entry.Relays = relays
		time.Sleep(time.Second)
		for _, want := range []string{"2", "0", "0"} {
			response, _ := entry.do(t.Context(), http.MethodGet, "/x")
			if got := response.Header().Get("Missing"); got != want {
				t.Errorf("%q missing, want %q, by %v", got, want, relays.sentTo)
			}
			time.Sleep(200 * ms)
		}
		time.Sleep(silentRelayAvoidance)
		relays.handlers["preferred"] = relay.Forwarder
		entry.do(t.Context(), http.MethodGet, "/x")
		if got := strings.Join(relays.sentTo, " "); got != "preferred fallback fallback preferred" {
			t.Errorf("batches were sent to %s", got)
		}
		time.Sleep(time.Second)
	})
}

func TestUnreadableBatch(t *testing.T) {
	r := newRig(t, queryRoute(2, 1), map[string]behaviour{"a/1": silent})
	replies := 0
	r.Serve(t.Context(), &contract.Batch{Body: []byte("\xff"), Shards: []uint32{0}}, func(peer.Result) { replies++ })
	if replies != 0 || len(r.leafClient.started) != 0 {
		t.Errorf("%d replies and %d sends for an undecodable batch", replies, len(r.leafClient.started))
	}
}

// TestSpans checks that a trace has a span for the request, each hop to a relay and
// each attempt at a leaf.
func TestSpans(t *testing.T) {
	exporter := tracetest.NewInMemoryExporter()
	tracer := tracing.NewWithExporter(exporter, tracing.Config{SampleShare: 1})
	leafs := map[string]behaviour{"a/1": replyingAfter(ms), "b/1": replyingAfter(ms), "c/1": replyingAfter(ms)}
	entry, relay := newRig(t, queryRoute(3, 1), leafs), newRig(t, queryRoute(3, 1), leafs)
	entry.Tracer, relay.Tracer = tracer, tracer
	entry.Relays = &fakeRelays{handlers: map[string]peer.Handler{"preferred": relay.Forwarder}, records: leaf.NewTable()}
	if response, _ := entry.do(t.Context(), http.MethodGet, "/x"); response.Code != 200 {
		t.Fatalf("status %d", response.Code)
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
