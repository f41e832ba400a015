package forward

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
	"github.com/hickorydock/hickorydock/internal/protocol/route"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/transport/leafwire"
	"github.com/hickorydock/hickorydock/internal/transport/peer"
	"pgregory.net/rapid"
)

// others are nodes that send to leafs themselves; no relays are assigned.
type others struct{ *fakeRelays }

func (others) Clusters(*route.Route) []Cluster { return nil }

// fleet returns a node that is cut off from all leafs and the given other nodes, all with the
// same leafs.
func fleet(t *testing.T, rt route.Route, leafs map[string]behaviour, names ...string) (entry *rig, nodes map[string]*rig, relays *fakeRelays) {
	t.Helper()
	entry = newRig(t, rt, leafs)
	relays = &fakeRelays{handlers: map[string]peer.Handler{}, fail: map[string]error{}, records: leaf.NewTable()}
	nodes = map[string]*rig{}
	for _, name := range names {
		nodes[name] = newRig(t, rt, leafs)
		relays.handlers[name] = nodes[name].Forwarder
	}
	entry.Relays = others{relays}
	return entry, nodes, relays
}

// failing is a leaf that has run a request and reports an error.
func failing(call *leafwire.Call) (time.Duration, leafwire.Reply) {
	reply := ok(call)
	reply.Result, reply.Status = subrequest.UpstreamError, http.StatusInternalServerError
	return 5 * ms, reply
}

// TestIsolatedNode guards against a node that is cut off from all leafs and answers what the
// other nodes could serve with failures, or holds what no node can serve until its deadline.
func TestIsolatedNode(t *testing.T) {
	fast := replyingAfter(10 * ms)
	all := map[string]behaviour{"a/1": fast, "b/1": fast, "c/1": fast}
	tests := []struct {
		name    string
		rt      route.Route
		method  string
		leafs   map[string]behaviour
		reaches string
		prepare func(relays *fakeRelays, nodes map[string]*rig)
		status  int
		maxTime time.Duration
		// own and sent are the numbers of attempts of the node itself and of all nodes.
		own, sent int
	}{
		{"a query", queryRoute(3, 1), "GET", all, "", nil, 200, 20 * ms, 0, 3},
		{"a query, some leafs are reached", queryRoute(3, 1), "GET", all, "a/1", nil, 200, 20 * ms, 1, 3},
		{"a request for one leaf", singleRoute(true), "GET", all, "", nil, 200, 20 * ms, 0, 1},
		{"a request that may run once", singleRoute(false), "POST", all, "", nil, 200, 20 * ms, 0, 1},
		{"the failure of a leaf", singleRoute(false), "POST", map[string]behaviour{"a/1": failing}, "", nil, 500, 20 * ms, 0, 1},
		{"a leaf turns it away", singleRoute(false), "POST", map[string]behaviour{"a/1": endingAfter(ms, notRun)}, "", nil, 503, 20 * ms, 0, 1},
		{"the first node is isolated too", queryRoute(3, 1), "GET", all, "", func(_ *fakeRelays, nodes map[string]*rig) {
			nodes["x"].Links = cutLinks()
		}, 200, 20 * ms, 0, 3},
		{"the first node is gone", singleRoute(false), "POST", all, "", func(relays *fakeRelays, _ map[string]*rig) {
			relays.fail["x"] = peer.ErrNotSent
		}, 200, 20 * ms, 0, 1},
		{"the first node is busy with such requests", singleRoute(true), "GET", all, "", func(_ *fakeRelays, nodes map[string]*rig) {
			nodes["x"].detours.Store(maxDetours)
		}, 200, 20 * ms, 0, 1},
		{"the stream is lost under a request that may run once", singleRoute(false), "POST", all, "", func(relays *fakeRelays, _ map[string]*rig) {
			relays.fail["x"], relays.fail["y"] = peer.ErrStreamLost, peer.ErrStreamLost
		}, 502, 20 * ms, 0, 0},
		{"all nodes are isolated", queryRoute(3, 1), "GET", all, "", func(_ *fakeRelays, nodes map[string]*rig) {
			nodes["x"].Links, nodes["y"].Links = cutLinks(), cutLinks()
		}, 503, 20 * ms, 0, 0},
		{"there is no other node", singleRoute(false), "POST", all, "", func(relays *fakeRelays, _ map[string]*rig) {
			clear(relays.handlers)
		}, 503, 20 * ms, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				entry, nodes, relays := fleet(t, test.rt, test.leafs, "x", "y")
				links := cutLinks()
				links.reaches[test.reaches] = true
				entry.Links = links
				if test.prepare != nil {
					test.prepare(relays, nodes)
				}
				response, took := entry.do(t.Context(), test.method, "/x")
				if response.Code != test.status || took > test.maxTime {
					t.Errorf("status %d after %v, want %d within %v", response.Code, took, test.status, test.maxTime)
				}
				if response.Code == http.StatusServiceUnavailable && response.Header().Get("Retry-After") == "" {
					t.Error("it does not say when to come back")
				}
				if test.status == 200 && links.served == 0 {
					t.Error("it is not recorded that another node reached a leaf")
				}
				if test.status < 502 && response.Header().Get("Receipt")+response.Header().Get("Receipts") == "" {
					t.Error("no receipt")
				}
				time.Sleep(time.Second)
				own := entry.leafClient.startCount
				sent := own
				for _, n := range nodes {
					sent += n.leafClient.startCount
				}
				if own != test.own || sent != test.sent {
					t.Errorf("%d attempts of this node, %d of all, want %d and %d", own, sent, test.own, test.sent)
				}
			})
		})
	}
}

// TestIsolatedRelay guards against a relay that keeps the shards of another node although it
// reaches no leaf: they go to the next relay, and the leafs get each of them once.
func TestIsolatedRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fast := replyingAfter(10 * ms)
		leafs := map[string]behaviour{"a/1": fast, "b/1": fast, "c/1": fast}
		entry, nodes, relays := fleet(t, queryRoute(3, 1), leafs, "preferred", "second")
		entry.Relays = relays
		nodes["preferred"].Links = cutLinks()
		response, took := entry.do(t.Context(), http.MethodGet, "/x")
		if response.Code != http.StatusOK || took > 20*ms || nodes["preferred"].leafClient.startCount > 0 || nodes["second"].leafClient.startCount != 2 {
			t.Errorf("status %d after %v, %d and %d attempts of the relays", response.Code, took, nodes["preferred"].leafClient.startCount, nodes["second"].leafClient.startCount)
		}
		before := len(relays.sentTo)
		entry.do(t.Context(), http.MethodGet, "/x")
		if next := relays.sentTo[before:]; len(next) != 1 || next[0] != "second" {
			t.Errorf("the next query went to %v", next)
		}
	})
}

// TestLinksAreLostUnderRequest guards against a request that waits for a leaf until its
// deadline although its node knows that it is cut off: it goes to another node, unless it may
// run once and was sent.
func TestLinksAreLostUnderRequest(t *testing.T) {
	tests := []struct {
		name   string
		rt     route.Route
		method string
		own    behaviour
		status int
		// theirs is the number of attempts of the other node.
		theirs int
	}{
		{"a query that was sent", queryRoute(3, 1), "GET", silent, 200, 3},
		{"a query that waits for a connection", queryRoute(3, 1), "GET", unreachable, 200, 3},
		{"a request for one leaf", singleRoute(true), "GET", silent, 200, 1},
		{"a request that may run once and waits for a connection", singleRoute(false), "POST", unreachable, 200, 1},
		{"a request that may run once and was sent", singleRoute(false), "POST", silent, 504, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fast := replyingAfter(10 * ms)
				entry, nodes, _ := fleet(t, test.rt, map[string]behaviour{"a/1": fast, "b/1": fast, "c/1": fast}, "x")
				entry.leafClient.leafs = map[string]behaviour{"a/1": test.own, "b/1": test.own, "c/1": test.own}
				links := newFakeLinks()
				entry.Links = links
				time.AfterFunc(200*ms, func() { links.cut() })
				response, took := entry.do(t.Context(), test.method, "/x")
				if response.Code != test.status || test.status == 200 && took > 230*ms {
					t.Errorf("status %d after %v, want %d", response.Code, took, test.status)
				}
				time.Sleep(time.Second)
				if n := nodes["x"].leafClient.startCount; n != test.theirs {
					t.Errorf("%d attempts of the other node, want %d", n, test.theirs)
				}
			})
		})
	}
}

// TestDetoursAreBounded checks that a node runs at most maxDetours batches of isolated nodes at
// a time and counts none that has ended.
func TestDetoursAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		entry, nodes, _ := fleet(t, singleRoute(true), map[string]behaviour{"a/1": replyingAfter(50 * ms)}, "x")
		entry.Links = cutLinks()
		var served, refused int
		var mu sync.Mutex
		var running sync.WaitGroup
		for range maxDetours + 10 {
			running.Go(func() {
				response, _ := entry.do(context.Background(), http.MethodGet, "/x")
				mu.Lock()
				defer mu.Unlock()
				switch response.Code {
				case http.StatusOK:
					served++
				case http.StatusServiceUnavailable:
					refused++
				}
			})
		}
		running.Wait()
		if served != maxDetours || refused != 10 {
			t.Errorf("%d requests served and %d refused, want %d and 10", served, refused, maxDetours)
		}
		synctest.Wait()
		if n := nodes["x"].detours.Load(); n != 0 {
			t.Errorf("%d batches count as in progress", n)
		}
	})
}

// faultyRelays fail batches at random, before or after another node has run them.
type faultyRelays struct {
	others
	random func(n int) int
}

func (r faultyRelays) Do(ctx context.Context, node string, batch *contract.Batch, deliver func(peer.Result)) error {
	switch r.random(4) {
	case 0:
		return peer.ErrNotSent
	case 1:
		r.handlers[node].Serve(ctx, batch, func(peer.Result) {})
		return peer.ErrStreamLost
	default:
		return r.others.Do(ctx, node, batch, deliver)
	}
}

// TestDetourRunsOnce checks, over random cuts, failures of nodes and behaviour of leafs, that a
// request that may run once does so, also while its node is cut off, and that a refusal that
// says that it has not run is true.
func TestDetourRunsOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seeds := make([]int, 64)
		for i := range seeds {
			seeds[i] = rapid.IntRange(0, 1<<20).Draw(rt, "choice")
		}
		cutAfter := rapid.IntRange(0, 40).Draw(rt, "cut after ms")
		var mu sync.Mutex
		next := 0
		random := func(n int) int {
			mu.Lock()
			defer mu.Unlock()
			next++
			return seeds[next%len(seeds)] % n
		}
		synctest.Test(t, func(t *testing.T) {
			runs := 0
			behave := func(call *leafwire.Call) (time.Duration, leafwire.Reply) {
				switch random(5) {
				case 0:
					return ms, notRun
				case 1:
					return noConnection, leafwire.Reply{}
				case 2:
					runs++
					return -1, leafwire.Reply{}
				case 3:
					runs++
					return 2 * ms, connectionLost
				default:
					runs++
					return time.Duration(random(30)) * ms, ok(call)
				}
			}
			entry, nodes, relays := fleet(t, singleRoute(false), map[string]behaviour{"a/1": behave, "a/2": behave}, "x", "y", "z")
			entry.Relays = faultyRelays{others{relays}, random}
			if random(2) == 0 {
				nodes["y"].Links = cutLinks()
			}
			links := newFakeLinks()
			entry.Links = links
			timer := time.AfterFunc(time.Duration(cutAfter)*ms, func() { links.cut() })
			response, _ := entry.do(context.Background(), http.MethodPost, "/x")
			status, ran := response.Code, runs
			time.Sleep(2 * time.Second)
			timer.Stop()
			if runs > 1 {
				rt.Errorf("the request ran %d times", runs)
			}
			if status == http.StatusServiceUnavailable && runs > 0 {
				rt.Errorf("refused as not run, but ran %d times before and %d after", ran, runs-ran)
			}
		})
	})
}

// TestAnswerIsUnchanged checks that the reply of a leaf passes through another node with its
// status, headers and body, and that what it says about the leaf is handled.
func TestAnswerIsUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		body := "0123456789\x00\xff"
		leaving := func(call *leafwire.Call) (time.Duration, leafwire.Reply) {
			reply := ok(call)
			reply.Body = []byte(body)
			reply.Header = http.Header{"Receipt": {reply.Receipt}, "X-Two": {"1", "2"}, "Leaving": {"1"}, "Limit": {"5"}, "Content-Type": {"text/x"}}
			return ms, reply
		}
		entry, _, _ := fleet(t, singleRoute(true), map[string]behaviour{"a/1": leaving}, "x")
		entry.Links = cutLinks()
		response, _ := entry.do(t.Context(), http.MethodGet, "/x")
		if response.Code != 200 || response.Body.String() != body || fmt.Sprint(response.Header()["X-Two"]) != "[1 2]" || response.Header().Get("Content-Length") != strconv.Itoa(len(body)) {
			t.Errorf("status %d, headers %v, body %q", response.Code, response.Header(), response.Body)
		}
		stats := entry.groups.Replicas("a")[0].Record.Stats()
		if !stats.Draining || !stats.Limited {
			t.Errorf("the leaf counts as leaving: %v, as limited: %v", stats.Draining, stats.Limited)
		}
	})
}

// earlierNode is a node of a release that cannot decode requests to one leaf: it ends the batch
// without a result.
type earlierNode struct{}

func (earlierNode) Serve(context.Context, *contract.Batch, func(peer.Result)) {}

// TestDetourToEarlierRelease guards against the answer "not run" for a request whose batch another
// node ended without a result.
func TestDetourToEarlierRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		entry, _, relays := fleet(t, singleRoute(false), map[string]behaviour{"a/1": replyingAfter(10 * ms)})
		relays.handlers["earlier"] = earlierNode{}
		entry.Links = cutLinks()
		response, took := entry.do(t.Context(), http.MethodPost, "/x")
		if response.Code != http.StatusBadGateway || took > 20*ms {
			t.Errorf("status %d after %v, want 502 at once", response.Code, took)
		}
		entry.observer.violations = nil
	})
}
