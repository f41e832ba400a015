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

// TestQueryAnswers holds when an answer leaves, what it says of its coverage and
// what the caller may recordOutcome.
func TestQueryAnswers(t *testing.T) {
	fast := replyingAfter(10 * ms)
	tests := []struct {
		name        string
		minCoverage float64
		leafs       map[string]behaviour
		status      int
		missing     string
		min         time.Duration
		max         time.Duration
	}{
		{"complete: at once", 0.5, map[string]behaviour{"a/1": fast, "b/1": fast}, 200, "0", 10 * ms, 10 * ms},
		{"one shard is late: at the target", 0.5, map[string]behaviour{"a/1": fast, "b/1": silent}, 200, "1", 80 * ms, 95 * ms},
		{"too little coverage: late, when there is enough", 1, map[string]behaviour{"a/1": fast, "b/1": replyingAfter(300 * ms)}, 200, "0", 300 * ms, 300 * ms},
		{"too little coverage: at the deadline", 1, map[string]behaviour{"a/1": fast, "b/1": silent}, 504, "", 600 * ms, 600 * ms},
		{"both leafs of a shard break: at once, but for the wait of a suspect", 1, map[string]behaviour{"a/1": fast, "b/1": endingAfter(5*ms, connectionLost), "b/2": endingAfter(5*ms, connectionLost)}, 502, "", 10 * ms, 45 * ms},
		{"a shard without a leaf: nothing is sent", 1, map[string]behaviour{"a/1": fast}, 503, "", 0, 0},
		{"every leaf refuses", 0.5, map[string]behaviour{"a/1": endingAfter(ms, notRun), "b/1": endingAfter(ms, notRun)}, 503, "", ms, ms},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, queryRoute(2, test.minCoverage), test.leafs)
				answer, took := r.do(t.Context(), http.MethodGet, "/x")
				if answer.Code != test.status || answer.Header().Get("Missing") != test.missing {
					t.Errorf("status %d with %q missing, want %d with %q", answer.Code, answer.Header().Get("Missing"), test.status, test.missing)
				}
				if took < test.min || took > test.max {
					t.Errorf("answer after %v, want %v to %v", took, test.min, test.max)
				}
				if test.status == 503 && answer.Header().Get("Retry-After") == "" {
					t.Error("a request that did not run comes without advice")
				}
				time.Sleep(time.Second) // what is pending ends
			})
		})
	}
}

func TestAnswerNamesItsParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, queryRoute(3, 0.5), map[string]behaviour{"a/1": replyingAfter(ms), "b/1": replyingAfter(2 * ms), "c/1": silent})
		answer, _ := r.do(t.Context(), http.MethodGet, "/x")
		if got := receiptsOf(answer); len(got) != 2 || answer.Body.String() != "bbbbbbbbbbbbbbbbaaaaaaaaaaaaaaaa" {
			t.Errorf("receipts %v, body %q", got, answer.Body)
		}
		time.Sleep(time.Second)
	})
}

// TestOnce holds that a request that is not idempotent runs at most once and is
// called not run only when it is certain.
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
		{"refused: sent to another", map[string]behaviour{"g/1": endingAfter(ms, notRun), "g/2": endingAfter(ms, notRun)}, 503, 2},
		{"failed: passed on", map[string]behaviour{"g/1": endingAfter(ms, leafwire.Reply{Result: subrequest.UpstreamError, Sent: true, Status: 500, Receipt: "x", Header: http.Header{}})}, 500, 1},
		{"nobody there", map[string]behaviour{"other/1": silent}, 503, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rt := route.Route{Timeout: 600 * ms, MaxAttempts: 3, Groups: []route.Share{{Group: "g", Weight: 1}}}
				r := newRig(t, rt, test.leafs)
				answer, _ := r.do(t.Context(), http.MethodPost, "/x")
				sends := 0
				for _, n := range r.leafClient.sends() {
					sends += n
				}
				if answer.Code != test.status || sends != test.sends {
					t.Errorf("status %d after %d sends, want %d after %d", answer.Code, sends, test.status, test.sends)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

func TestRefusalsOfItsOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rt := route.Route{Timeout: 600 * ms, Idempotent: true, Groups: []route.Share{{Group: "g", Weight: 1}}}
		r := newRig(t, rt, map[string]behaviour{"g/1": replyingAfter(ms)})
		request, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://other/x", nil)
		answer := recorder()
		r.ServeHTTP(answer, request)
		if answer.Code != http.StatusNotFound {
			t.Errorf("status %d for a host without a route", answer.Code)
		}
		empty := newRig(t, rt, nil)
		empty.routing = &emptyRouting
		if answer, _ := empty.do(t.Context(), http.MethodGet, "/x"); answer.Code != 503 || answer.Header().Get("Retry-After") == "" {
			t.Errorf("status %d of a node without a table, want 503 with advice", answer.Code)
		}
	})
}

// TestCallerLeaves holds that work stops soon after its caller has left.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, queryRoute(2, 1), map[string]behaviour{"a/1": silent, "b/1": silent})
		ctx, cancel := context.WithTimeout(t.Context(), 50*ms)
		defer cancel()
		_, took := r.do(ctx, http.MethodGet, "/x")
		if took != 50*ms {
			t.Errorf("the request ended %v after it began, its caller left at 50 ms", took)
		}
		time.Sleep(r.cfg.Linger + ms)
		r.leafClient.mu.Lock()
		defer r.leafClient.mu.Unlock()
		for _, call := range r.leafClient.started {
			if !r.leafClient.ended[call] {
				t.Errorf("leaf %s still works", call.Leaf.ID)
			}
		}
	})
}

// TestRequestThatCrashesLeafs answers the pattern of a request that crashes each
// leaf that runs it and whose caller sends it again and again.
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
		const maxSends = 8 // two crashes convict; each may be met by all shards at once
		if sends > maxSends {
			t.Errorf("%d attempts of a request that crashes leafs, want at most %d", sends, maxSends)
		}
	})
}

// TestAnotherLeafHasTheAddress holds that such a leaf is reported and not counted
// as having run the request.
func TestAnotherLeafHasTheAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rt := route.Route{Timeout: 600 * ms, Groups: []route.Share{{Group: "g", Weight: 1}}}
		r := newRig(t, rt, map[string]behaviour{"g/1": endingAfter(ms, leafwire.Reply{Result: subrequest.NotRun, Status: 421, Misdirected: true})})
		reported := ""
		r.OnMisdirected = func(id string) { reported = id }
		answer, _ := r.do(t.Context(), http.MethodPost, "/x")
		if answer.Code != 503 || reported != "g/1" {
			t.Errorf("status %d, reported %q", answer.Code, reported)
		}
	})
}

// TestLeafsThatAcceptNoConnection answers the pattern of leafs that go dark: a request
// that still waits for a connection goes to another leaf without an extra arrival, also
// one that may run once, and what was sent nowhere is refused as not run.
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
		{"two of three accept none", false, map[string]behaviour{"a/1": unreachable, "a/2": unreachable, "a/3": replyingAfter(5 * ms)}, 200, 110 * ms},
		{"no leaf accepts one: not run", false, map[string]behaviour{"a/1": unreachable, "a/2": unreachable}, 503, 600 * ms},
		{"the only leaf accepts none: not run", false, map[string]behaviour{"a/1": unreachable}, 503, 600 * ms},
		{"one was sent: may have run", false, map[string]behaviour{"a/1": silent}, 504, 600 * ms},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rt := route.Route{Idempotent: test.idempotent, Timeout: 600 * ms, TargetLatency: 100 * ms, MaxAttempts: 2, Groups: []route.Share{{Group: "a", Weight: 1}}}
				for range 5 { // whichever leaf is chosen first
					r := newRig(t, rt, test.leafs)
					spendAll(r.Forwarder, "a")
					answer, took := r.do(t.Context(), http.MethodPost, "/x")
					if answer.Code != test.status || took > test.maxTime {
						t.Errorf("status %d after %v, want %d within %v", answer.Code, took, test.status, test.maxTime)
					}
					if (answer.Code == 503) != (answer.Header().Get("Retry-After") != "") {
						t.Errorf("status %d with Retry-After %q", answer.Code, answer.Header().Get("Retry-After"))
					}
					time.Sleep(time.Second)
				}
			})
		})
	}
}
