package forward

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/route"
	"github.com/hickorydock/hickorydock/internal/state/group"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/routing"
	"github.com/hickorydock/hickorydock/internal/transport/guard"
	"github.com/hickorydock/hickorydock/internal/transport/leafwire"
)

const ms = time.Millisecond

var testNames = route.HeaderNames{RequestID: "Id", TimeLeft: "Left", Target: "Target", Receipt: "Receipt", Receipts: "Receipts", Missing: "Missing", NotRun: "Not-Run"}

// behaviour is what a leaf does with a call: it replies after a while.
type behaviour func(call *leafwire.Call) (after time.Duration, reply leafwire.Reply)

// fakeLeafClient stands for the connections to leafs.
type fakeLeafClient struct {
	mu         sync.Mutex
	leafs      map[string]behaviour
	started    []*leafwire.Call
	ended      map[*leafwire.Call]bool
	startCount int
}

func (w *fakeLeafClient) Start(call *leafwire.Call) {
	w.mu.Lock()
	w.started = append(w.started, call)
	w.startCount++
	after, reply := w.leafs[call.Leaf.ID](call)
	w.mu.Unlock()
	if after >= 0 {
		time.AfterFunc(after, func() { w.end(call, reply) })
	}
}

func (w *fakeLeafClient) Withdraw(call *leafwire.Call) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	after, _ := w.leafs[call.Leaf.ID](call)
	if after != noConnection || w.ended[call] {
		return false
	}
	w.ended[call] = true
	return true
}

func (w *fakeLeafClient) Cancel(call *leafwire.Call) {
	w.end(call, leafwire.Reply{Result: subrequest.ConnectionLost, Sent: true, Err: leafwire.ErrCancelled})
}

func (w *fakeLeafClient) end(call *leafwire.Call, reply leafwire.Reply) {
	w.mu.Lock()
	ended := w.ended[call]
	w.ended[call] = true
	w.mu.Unlock()
	if !ended {
		call.Reply = reply
		call.Done <- call
	}
}

// sends returns how often each leaf was asked.
func (w *fakeLeafClient) sends() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := map[string]int{}
	for _, call := range w.started {
		n[call.Leaf.ID]++
	}
	return n
}

func ok(call *leafwire.Call) leafwire.Reply {
	receipt := fmt.Sprintf("%s-%s-%d", call.Leaf.ID, call.Message.ID, call.StartedAt.UnixNano())
	return leafwire.Reply{Result: subrequest.OK, Sent: true, Status: 200, Receipt: receipt, Header: http.Header{"Receipt": {receipt}}, Body: []byte(strings.Repeat(call.Leaf.ID[:1], 16))}
}

// answering replies after a time.
func replyingAfter(after time.Duration) behaviour {
	return func(call *leafwire.Call) (time.Duration, leafwire.Reply) { return after, ok(call) }
}

// ending ends each call after a time with a result.
func endingAfter(after time.Duration, reply leafwire.Reply) behaviour {
	return func(*leafwire.Call) (time.Duration, leafwire.Reply) { return after, reply }
}

// noConnection is the time of a call that waits for a connection for ever.
const noConnection = -2

// unreachable accepts no connection.
func unreachable(*leafwire.Call) (time.Duration, leafwire.Reply) {
	return noConnection, leafwire.Reply{}
}

// silent never replies.
func silent(*leafwire.Call) (time.Duration, leafwire.Reply) { return -1, leafwire.Reply{} }

var (
	connectionLost = leafwire.Reply{Result: subrequest.ConnectionLost, Sent: true}
	notRun         = leafwire.Reply{Result: subrequest.NotRun, Status: 503}
)

type fakeObserver struct {
	mu         sync.Mutex
	outcomes   map[string]int
	violations []string
}

func (c *fakeObserver) Forwarded(_, outcome string, _ time.Duration, _, _ int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[outcome]++
}
func (c *fakeObserver) Attempts(string, string, int) {}
func (c *fakeObserver) InvariantViolated(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, name)
}

// rig is a forwarder over fake leafs.
type rig struct {
	*Forwarder
	leafClient *fakeLeafClient
	observer   *fakeObserver
	groups     *group.Store
}

// newRig serves one route over leafs that are named "GROUP/N".
func newRig(t *testing.T, rt route.Route, leafs map[string]behaviour) *rig {
	t.Helper()
	store := &routing.Store{}
	rt.Name, rt.Host, rt.Prefix = "r", "h", "/"
	store.Put(routing.NewIndex(route.Table{Version: 1, Routes: []route.Route{rt}, Limits: route.Limits{BodyBytes: 100}}, func(_ *route.Route, err error) { t.Fatal(err) }))
	r := &rig{leafClient: &fakeLeafClient{leafs: leafs, ended: map[*leafwire.Call]bool{}}, observer: &fakeObserver{outcomes: map[string]int{}}, groups: group.NewStore(leaf.NewTable())}
	for id := range leafs {
		name, _, _ := strings.Cut(id, "/")
		r.groups.Put(route.Leaf{VM: platform.VM{ID: id, Group: name}})
	}
	cfg := Config{Names: testNames, CallerTrip: 3 * ms, MergeReserve: 4 * ms, ExtraShare: 0.2, ExtraSlack: 10, Linger: 200 * ms}
	r.Forwarder = New(cfg, store, r.groups, r.leafClient, guard.New(nil), r.observer, &log.Logger{Handler: discard.Default})
	r.SetNodes(1)
	t.Cleanup(func() {
		if len(r.observer.violations) > 0 {
			t.Errorf("broken invariants: %v", r.observer.violations)
		}
	})
	return r
}

// do sends a request and returns its answer and how long it took.
func (r *rig) do(ctx context.Context, method, path string) (*httptest.ResponseRecorder, time.Duration) {
	startedAt := time.Now()
	request := httptest.NewRequestWithContext(ctx, method, "http://h"+path, nil)
	request.Header.Set("Id", "q1")
	answer := httptest.NewRecorder()
	r.ServeHTTP(answer, request)
	return answer, time.Since(startedAt)
}

// queryRoute is a route over shards named a, b, c and so on.
func queryRoute(shards int, minCoverage float64) route.Route {
	rt := route.Route{Idempotent: true, Timeout: 600 * ms, TargetLatency: 100 * ms, MaxAttempts: 2, MaxRecords: 5, MinCoverage: minCoverage}
	for i := range shards {
		rt.Shards = append(rt.Shards, string(rune('a'+i)))
	}
	return rt
}

func receiptsOf(answer *httptest.ResponseRecorder) []string {
	list := strings.Split(answer.Header().Get("Receipts"), ", ")
	slices.Sort(list)
	return list
}

func recorder() *httptest.ResponseRecorder { return httptest.NewRecorder() }

var emptyRouting routing.Store
