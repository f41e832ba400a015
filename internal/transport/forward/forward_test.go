package forward

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/protocol/route"
	"github.com/hickorydock/hickorydock/internal/transport/leafwire"
)

// TestQueryResponses checks when the response to a query is sent, its status and its
// number of missing shards.
func TestQueryResponses(t *testing.T) {
	fast := replyingAfter(10 * ms)
	tests := []struct {
		name        string
		minCoverage float64
		leafs       map[string]behaviour
		status      int
		missing     string
		minTime     time.Duration
		maxTime     time.Duration
	}{
		{"complete: at once", 0.5, map[string]behaviour{"a/1": fast, "b/1": fast}, 200, "0", 10 * ms, 10 * ms},
		{"one shard is late: at the target", 0.5, map[string]behaviour{"a/1": fast, "b/1": silent}, 200, "1", 80 * ms, 95 * ms},
		{"coverage too low at the target: once it suffices", 1, map[string]behaviour{"a/1": fast, "b/1": replyingAfter(300 * ms)}, 200, "0", 300 * ms, 300 * ms},
		{"coverage too low: at the deadline", 1, map[string]behaviour{"a/1": fast, "b/1": silent}, 504, "", 600 * ms, 600 * ms},
		{"both leafs of a shard lose the connection: at once, after the delay of a suspect request", 1, map[string]behaviour{"a/1": fast, "b/1": endingAfter(5*ms, connectionLost), "b/2": endingAfter(5*ms, connectionLost)}, 502, "", 10 * ms, 45 * ms},
		{"a shard without a leaf: nothing is sent", 1, map[string]behaviour{"a/1": fast}, 503, "", 0, 0},
		{"every leaf rejects", 0.5, map[string]behaviour{"a/1": endingAfter(ms, notRun), "b/1": endingAfter(ms, notRun)}, 503, "", ms, ms},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, queryRoute(2, test.minCoverage), test.leafs)
				response, took := r.do(t.Context(), http.MethodGet, "/x")
				if response.Code != test.status || response.Header().Get("Missing") != test.missing {
					t.Errorf("status %d with %q missing, want %d with %q", response.Code, response.Header().Get("Missing"), test.status, test.missing)
				}
				if took < test.minTime || took > test.maxTime {
					t.Errorf("response after %v, want %v to %v", took, test.minTime, test.maxTime)
				}
				if test.status == 503 && response.Header().Get("Retry-After") == "" {
					t.Error("rejection of a request that did not run has no Retry-After")
				}
				time.Sleep(time.Second) // wait for pending attempts to end
			})
		})
	}
}

func TestResponseListsReceipts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, queryRoute(3, 0.5), map[string]behaviour{"a/1": replyingAfter(ms), "b/1": replyingAfter(2 * ms), "c/1": silent})
		response, _ := r.do(t.Context(), http.MethodGet, "/x")
		if got := receiptsOf(response); len(got) != 2 || response.Body.String() != "bbbbbbbbbbbbbbbbaaaaaaaaaaaaaaaa" {
			t.Errorf("receipts %v, body %q", got, response.Body)
		}
		time.Sleep(time.Second)
	})
}

// TestOnce checks that a request that is not idempotent runs at most once and is reported
// as not run only if that is certain.
func TestOnce(t *testing.T) {
	tests := []struct {
		name   string
		leafs  map[string]behaviour
		status int
		sends  int
	}{
		{"answered", map[string]behaviour{"g/1": replyingAfter(ms), "g/2": replyingAfter(ms)}, 200, 1},
		{"lost", map[string]behaviour{"g/1": endingAfter(ms, connectionLost), "g/2": endingAfter(ms, connectionLost)}, 502, 1},
		{"silent: not sent again", map[string]behaviour{"g/1": silent, "g/2": silent}, 504, 1},
		{"rejected: sent to another", map[string]behaviour{"g/1": endingAfter(ms, notRun), "g/2": endingAfter(ms, notRun)}, 503, 2},
		{"failed: response forwarded", map[string]behaviour{"g/1": endingAfter(ms, leafwire.Reply{Result: subrequest.UpstreamError, Sent: true, Status: 500, Receipt: "x", Header: http.Header{}})}, 500, 1},
		{"no leaf available", map[string]behaviour{"other/1": silent}, 503, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rt := route.Route{Timeout: 600 * ms, MaxAttempts: 3, Groups: []route.Share{{Group: "g", Weight: 1}}}
				r := newRig(t, rt, test.leafs)
				response, _ := r.do(t.Context(), http.MethodPost, "/x")
				sends := 0
				for _, n := range r.leafClient.sends() {
					sends += n
				}
				if response.Code != test.status || sends != test.sends {
					t.Errorf("status %d after %d sends, want %d after %d", response.Code, sends, test.status, test.sends)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

func TestRejections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rt := route.Route{Timeout: 600 * ms, Idempotent: true, Groups: []route.Share{{Group: "g", Weight: 1}}}
		r := newRig(t, rt, map[string]behaviour{"g/1": replyingAfter(ms)})
		request, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://other/x", nil)
		response := recorder()
		r.ServeHTTP(response, request)
		if response.Code != http.StatusNotFound {
			t.Errorf("status %d for a host without a route", response.Code)
		}
		empty := newRig(t, rt, nil)
		empty.routing = &emptyRouting
		if response, _ := empty.do(t.Context(), http.MethodGet, "/x"); response.Code != 503 || response.Header().Get("Retry-After") == "" {
			t.Errorf("status %d of a node without a table, want 503 with Retry-After", response.Code)
		}
	})
}

// TestCallerDisconnects checks that attempts are cancelled soon after the caller has
// disconnected.
func TestCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, queryRoute(2, 1), map[string]behaviour{"a/1": silent, "b/1": silent})
		ctx, cancel := context.WithTimeout(t.Context(), 50*ms)
		defer cancel()
		_, took := r.do(ctx, http.MethodGet, "/x")
		if took != 50*ms {
			t.Errorf("the request ended after %v, its caller disconnected at 50 ms", took)
		}
		time.Sleep(r.cfg.Linger + ms)
		r.leafClient.mu.Lock()
		defer r.leafClient.mu.Unlock()
		for _, call := range r.leafClient.started {
			if !r.leafClient.ended[call] {
				t.Errorf("the attempt at leaf %s is still running", call.Leaf.ID)
			}
		}
	})
}

// TestRequestThatCrashesLeafs checks that the number of attempts stays bounded for a
// request that crashes each leaf that runs it and that its caller repeats.
func TestRequestThatCrashesLeafs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leafs := map[string]behaviour{}
		for _, id := range []string{"a/1", "a/2", "b/1", "b/2"} {
			leafs[id] = endingAfter(ms, connectionLost)
		}
		r := newRig(t, queryRoute(2, 1), leafs)
		for range 50 {
			r.do(t.Context(), http.MethodGet, "/poison")
			time.Sleep(200 * ms)
		}
		sends := 0
		for _, n := range r.leafClient.sends() {
			sends += n
		}
		const maxSends = 8 // two crashes quarantine a request; each may occur at all shards at once
		if sends > maxSends {
			t.Errorf("%d attempts of a request that crashes leafs, want at most %d", sends, maxSends)
		}
	})
}

// TestMisdirectedRequest checks that a leaf whose address belongs to another leaf is
// reported, and that the request counts as not run.
func TestMisdirectedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rt := route.Route{Timeout: 600 * ms, Groups: []route.Share{{Group: "g", Weight: 1}}}
		r := newRig(t, rt, map[string]behaviour{"g/1": endingAfter(ms, leafwire.Reply{Result: subrequest.NotRun, Status: 421, Misdirected: true})})
		reported := ""
		r.OnMisdirected = func(id string) { reported = id }
		response, _ := r.do(t.Context(), http.MethodPost, "/x")
		if response.Code != 503 || reported != "g/1" {
			t.Errorf("status %d, reported %q", response.Code, reported)
		}
	})
}

// TestLeafsThatAcceptNoConnection checks the case of leafs that become unreachable: a
// request that still waits for a connection is sent to another leaf without an extra
// arrival, even if it may run only once, and a request that was not sent at all is
// rejected as not run.
func TestLeafsThatAcceptNoConnection(t *testing.T) {
	tests := []struct {
		name       string
		idempotent bool
		leafs      map[string]behaviour
		status     int
		maxTime    time.Duration
	}{
		{"may run once, another leaf answers", false, map[string]behaviour{"a/1": unreachable, "a/2": replyingAfter(5 * ms)}, 200, 60 * ms},
		{"idempotent, another leaf answers", true, map[string]behaviour{"a/1": unreachable, "a/2": replyingAfter(5 * ms)}, 200, 60 * ms},
		{"two of three leafs accept no connection", false, map[string]behaviour{"a/1": unreachable, "a/2": unreachable, "a/3": replyingAfter(5 * ms)}, 200, 110 * ms},
		{"no leaf accepts a connection: not run", false, map[string]behaviour{"a/1": unreachable, "a/2": unreachable}, 503, 600 * ms},
		{"the only leaf accepts no connection: not run", false, map[string]behaviour{"a/1": unreachable}, 503, 600 * ms},
		{"sent without a reply: may have run", false, map[string]behaviour{"a/1": silent}, 504, 600 * ms},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rt := route.Route{Idempotent: test.idempotent, Timeout: 600 * ms, TargetLatency: 100 * ms, MaxAttempts: 2, Groups: []route.Share{{Group: "a", Weight: 1}}}
				for range 5 { // the first leaf is chosen at random
					r := newRig(t, rt, test.leafs)
					spendAll(r.Forwarder, "a")
					response, took := r.do(t.Context(), http.MethodPost, "/x")
					if response.Code != test.status || took > test.maxTime {
						t.Errorf("status %d after %v, want %d within %v", response.Code, took, test.status, test.maxTime)
					}
					if (response.Code == 503) != (response.Header().Get("Retry-After") != "") {
						t.Errorf("status %d with Retry-After %q", response.Code, response.Header().Get("Retry-After"))
					}
					time.Sleep(time.Second)
				}
			})
		})
	}
}
