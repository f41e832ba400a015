package forward

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
	"github.com/hickorydock/hickorydock/internal/protocol/route"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/transport/peer"
)

// TestStopSendingRejectsWhatHasNotRun guards against requests that are sent to leafs so late in a
// planned stop that they are cut off: those that wait for a connection, those that arrive, and
// hedges and retries.
func TestStopSendingRejectsWhatHasNotRun(t *testing.T) {
	tests := []struct {
		name   string
		route  route.Route
		leafs  map[string]behaviour
		status int
	}{
		{"waits, may run once", singleRoute(false), map[string]behaviour{"a/0": unreachable, "a/1": unreachable}, 503},
		{"waits, idempotent", singleRoute(true), map[string]behaviour{"a/0": unreachable, "a/1": unreachable}, 503},
		{"query of which all parts wait", queryRoute(2, 0.5), map[string]behaviour{"a/0": unreachable, "b/0": unreachable}, 503},
		{"query of which one part waits", queryRoute(2, 0.5), map[string]behaviour{"a/0": replyingAfter(10 * ms), "b/0": unreachable}, 200},
		{"late rejection is not sent to another leaf", singleRoute(false), map[string]behaviour{"a/0": endingAfter(60*ms, notRun), "a/1": endingAfter(60*ms, notRun)}, 503},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, test.route, test.leafs)
				var started atomic.Int64
				time.AfterFunc(40*ms, func() {
					r.StopSending()
					started.Store(r.leafClient.starts())
				})
				response, took := r.do(t.Context(), http.MethodGet, "/x")
				if response.Code != test.status || took > 100*ms {
					t.Errorf("status %d after %v, want %d", response.Code, took, test.status)
				}
				if test.status == 503 && response.Header().Get("Retry-After") == "" {
					t.Error("rejected without the time to come back")
				}
				if sent := r.leafClient.starts() - started.Load(); sent != 0 {
					t.Errorf("%d attempts after the end of sending", sent)
				}
				if response, took := r.do(t.Context(), http.MethodGet, "/late"); response.Code != 503 || took != 0 || r.leafClient.starts() != started.Load() {
					t.Errorf("request after the end of sending: status %d after %v, %d attempts", response.Code, took, r.leafClient.starts()-started.Load())
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// TestEndRequestsAnswersWithWhatHasArrived guards against connections that a planned stop closes
// without a response while leafs are at work.
func TestEndRequestsAnswersWithWhatHasArrived(t *testing.T) {
	tests := []struct {
		name   string
		route  route.Route
		leafs  map[string]behaviour
		status int
	}{
		{"may run once", singleRoute(false), map[string]behaviour{"a/0": silent}, http.StatusBadGateway},
		{"query with enough parts", queryRoute(2, 0.5), map[string]behaviour{"a/0": replyingAfter(10 * ms), "b/0": silent}, http.StatusOK},
		{"query without parts", queryRoute(2, 0.5), map[string]behaviour{"a/0": silent, "b/0": silent}, http.StatusBadGateway},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, test.route, test.leafs)
				time.AfterFunc(50*ms, r.EndRequests)
				response, took := r.do(t.Context(), http.MethodGet, "/x")
				if response.Code != test.status || took != 50*ms {
					t.Errorf("status %d after %v, want %d at once", response.Code, took, test.status)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// TestRelayThatStopsReturnsWhatWaits guards against parts that wait at a relay which stops: the
// relay must say that they have not run, so that another one runs them, and it must answer for
// those at work before its connections end.
func TestRelayThatStopsReturnsWhatWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stopping := newRig(t, queryRoute(3, 0.5), map[string]behaviour{"a/0": unreachable, "b/0": unreachable, "c/0": unreachable})
		sound := newRig(t, queryRoute(3, 0.5), map[string]behaviour{"a/0": replyingAfter(5 * ms), "b/0": replyingAfter(5 * ms), "c/0": replyingAfter(5 * ms)})
		entry := newRig(t, queryRoute(3, 1), map[string]behaviour{"a/0": replyingAfter(5 * ms), "b/0": replyingAfter(5 * ms), "c/0": replyingAfter(5 * ms)})
		entry.Relays = &fakeRelays{handlers: map[string]peer.Handler{"preferred": stopping, "other": sound}, records: leaf.NewTable()}
		time.AfterFunc(20*ms, stopping.StopSending)
		if response, took := entry.do(t.Context(), http.MethodGet, "/x"); response.Code != http.StatusOK || took > 50*ms {
			t.Errorf("status %d after %v, want 200 from the other relay", response.Code, took)
		}
		time.Sleep(time.Second)
	})
}

// TestRelayThatStopsAnswersForWhatIsAtWork guards against batches that a relay cuts off at the
// end of its planned stop.
func TestRelayThatStopsAnswersForWhatIsAtWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		relay := newRig(t, queryRoute(2, 0.5), map[string]behaviour{"a/0": silent, "b/0": unreachable})
		results := map[int]contract.Status{}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		time.AfterFunc(20*ms, relay.StopSending)
		time.AfterFunc(40*ms, relay.EndRequests)
		start := time.Now()
		relay.Serve(ctx, batchOf(t, "a", "b"), func(r peer.Result) { results[r.Index] = r.Status })
		if took := time.Since(start); took != 40*ms {
			t.Errorf("batch ended after %v", took)
		}
		if results[0] != contract.Status_STATUS_FAILED || results[1] != contract.Status_STATUS_NOT_RUN {
			t.Errorf("results %v, want a failure of what is at work and not run for what waits", results)
		}
		time.Sleep(time.Second)
	})
}

// batchOf returns the batch of a query whose shards are the given groups.
func batchOf(t *testing.T, groups ...string) *contract.Batch {
	t.Helper()
	body, err := proto.Marshal(&contract.Passed{Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\n"), Route: "r", Version: 1, Attempts: 2, Top: 5, Groups: groups, TargetUs: 100_000})
	if err != nil {
		t.Fatal(err)
	}
	return &contract.Batch{RequestId: "q1", Body: body, Shards: make([]uint32, len(groups))}
}
