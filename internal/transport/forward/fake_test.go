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

var testNames = route.HeaderNames{RequestID: "Id", TimeLeft: "Left", Target: "Target", Receipt: "Receipt", Receipts: "Receipts", Missing: "Missing", NotRun: "Not-Run", Leaving: "Leaving", Limit: "Limit", Load: "Load"}

// behaviour returns the reply of a leaf to a call and the time after which it is sent.
type behaviour func(call *leafwire.Call) (after time.Duration, reply leafwire.Reply)

// fakeLeafClient is a LeafClient whose leafs are functions.
type fakeLeafClient struct {
	mu         sync.Mutex
	leafs      map[string]behaviour
	started    []*leafwire.Call
	ended      map[*leafwire.Call]bool
	waiting    map[*leafwire.Call]bool // calls without a connection
	startCount int
}

func (c *fakeLeafClient) Start(call *leafwire.Call) {
	c.mu.Lock()
	c.started = append(c.started, call)
	c.startCount++
	after, reply := c.leafs[call.Leaf.ID](call)
	if after == noConnection {
		c.waiting[call] = true
	}
	c.mu.Unlock()
	if after >= 0 {
		time.AfterFunc(after, func() { c.end(call, reply) })
	}
}

func (c *fakeLeafClient) Withdraw(call *leafwire.Call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waiting[call] || c.ended[call] {
		return false
	}
	c.ended[call] = true
	return true
}

func (c *fakeLeafClient) Cancel(call *leafwire.Call) {
	c.end(call, leafwire.Reply{Result: subrequest.ConnectionLost, Sent: true, Err: leafwire.ErrCancelled})
}

func (c *fakeLeafClient) end(call *leafwire.Call, reply leafwire.Reply) {
	c.mu.Lock()
	ended := c.ended[call]
	c.ended[call] = true
	c.mu.Unlock()
	if !ended {
		call.Reply = reply
		call.Done <- call
	}
}

func (c *fakeLeafClient) FailWaiting(id string) {
	c.mu.Lock()
	var waiting []*leafwire.Call
	for call := range c.waiting {
		if call.Leaf.ID == id && !c.ended[call] {
			waiting = append(waiting, call)
		}
	}
	c.mu.Unlock()
	for _, call := range waiting {
		c.end(call, leafwire.Reply{Result: subrequest.Unsent, Err: leafwire.ErrStayAway})
	}
}

// starts returns the number of calls that were started.
func (c *fakeLeafClient) starts() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return int64(c.startCount)
}

// sends returns the number of calls to each leaf.
func (c *fakeLeafClient) sends() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := map[string]int{}
	for _, call := range c.started {
		n[call.Leaf.ID]++
	}
	return n
}

// ok returns a successful reply to a call.
func ok(call *leafwire.Call) leafwire.Reply {
	receipt := fmt.Sprintf("%s-%s-%d", call.Leaf.ID, call.Message.ID, call.StartedAt.UnixNano())
	return leafwire.Reply{Result: subrequest.OK, Sent: true, Status: 200, Receipt: receipt, Header: http.Header{"Receipt": {receipt}}, Body: []byte(strings.Repeat(call.Leaf.ID[:1], 16))}
}

// replyingAfter returns a leaf that replies successfully after a time.
func replyingAfter(after time.Duration) behaviour {
	return func(call *leafwire.Call) (time.Duration, leafwire.Reply) { return after, ok(call) }
}

// endingAfter returns a leaf that ends each call with the given reply after a time.
func endingAfter(after time.Duration, reply leafwire.Reply) behaviour {
	return func(*leafwire.Call) (time.Duration, leafwire.Reply) { return after, reply }
}

// noConnection is the time that stands for a call that never gets a connection.
const noConnection = -2

// unreachable is a leaf that accepts no connection.
func unreachable(*leafwire.Call) (time.Duration, leafwire.Reply) {
	return noConnection, leafwire.Reply{}
}

// silent is a leaf that never replies.
func silent(*leafwire.Call) (time.Duration, leafwire.Reply) { return -1, leafwire.Reply{} }

var (
	connectionLost = leafwire.Reply{Result: subrequest.ConnectionLost, Sent: true}
	notRun         = leafwire.Reply{Result: subrequest.NotRun, Status: 503}
)

type fakeObserver struct {
	mu         sync.Mutex
	outcomes   map[string]int
	notices    map[string]int
	violations []string
}

func (o *fakeObserver) ForwardDone(_, outcome string, _ time.Duration, _, _ int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.outcomes[outcome]++
}
func (o *fakeObserver) ForwardAttempts(string, string, int) {}
func (o *fakeObserver) LeafNotice(notice string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.notices[notice]++
}
func (o *fakeObserver) InvariantViolated(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violations = append(o.violations, name)
}

// rig is a forwarder over fake leafs.
type rig struct {
	*Forwarder
	leafClient *fakeLeafClient
	observer   *fakeObserver
	groups     *group.Store
}

// newRig returns a forwarder with one route over leafs that are named "GROUP/N".
func newRig(t *testing.T, rt route.Route, leafs map[string]behaviour) *rig {
	t.Helper()
	store := &routing.Store{}
	rt.Name, rt.Host, rt.Prefix = "r", "h", "/"
	store.Put(routing.NewIndex(route.Table{Version: 1, Routes: []route.Route{rt}, Limits: route.Limits{BodyBytes: 100}}, func(_ *route.Route, err error) { t.Fatal(err) }))
	r := &rig{leafClient: &fakeLeafClient{leafs: leafs, ended: map[*leafwire.Call]bool{}, waiting: map[*leafwire.Call]bool{}}, observer: &fakeObserver{outcomes: map[string]int{}, notices: map[string]int{}}, groups: group.NewStore(leaf.NewTable())}
	for id := range leafs {
		name, _, _ := strings.Cut(id, "/")
		r.groups.Put(route.Leaf{VM: platform.VM{ID: id, Group: name}}, nil)
	}
	cfg := Config{Names: testNames, CallerTrip: 3 * ms, MergeReserve: 4 * ms, ExtraShare: 0.2, ExtraSlack: 10, Linger: 200 * ms}
	r.Forwarder = New(cfg, store, r.groups, r.leafClient, guard.New(nil), r.observer, &log.Logger{Handler: discard.Default})
	r.SetNodes(1)
	t.Cleanup(func() {
		if len(r.observer.violations) > 0 {
			t.Errorf("invariant violations: %v", r.observer.violations)
		}
	})
	return r
}

// do sends a request and returns its response and how long it took. The response of a request
// whose connection is closed instead has status 0.
func (r *rig) do(ctx context.Context, method, path string) (response *httptest.ResponseRecorder, took time.Duration) {
	startedAt := time.Now()
	defer func() {
		if p := recover(); p == http.ErrAbortHandler {
			response, took = &httptest.ResponseRecorder{}, time.Since(startedAt)
		} else if p != nil {
			panic(p)
		}
	}()
	request := httptest.NewRequestWithContext(ctx, method, "http://h"+path, nil)
	request.Header.Set("Id", "q1")
	response = httptest.NewRecorder()
	r.ServeHTTP(response, request)
	return response, time.Since(startedAt)
}

// queryRoute is a route over shards named a, b, c and so on.
func queryRoute(shards int, minCoverage float64) route.Route {
	rt := route.Route{Idempotent: true, Timeout: 600 * ms, TargetLatency: 100 * ms, MaxAttempts: 2, MaxRecords: 5, MinCoverage: minCoverage}
	for i := range shards {
		rt.Shards = append(rt.Shards, string(rune('a'+i)))
	}
	return rt
}

func receiptsOf(response *httptest.ResponseRecorder) []string {
	list := strings.Split(response.Header().Get("Receipts"), ", ")
	slices.Sort(list)
	return list
}

func recorder() *httptest.ResponseRecorder { return httptest.NewRecorder() }

var emptyRouting routing.Store

// fakeLinks are links that a test cuts.
type fakeLinks struct {
	mu       sync.Mutex
	isolated bool
	lost     chan struct{}
	// reaches are the leafs that the node reaches although it is isolated.
	reaches map[string]bool
	served  int
}

func newFakeLinks() *fakeLinks {
	return &fakeLinks{lost: make(chan struct{}), reaches: map[string]bool{}}
}

// cutLinks are links that are cut already.
func cutLinks() *fakeLinks {
	l := newFakeLinks()
	l.cut()
	return l
}

func (l *fakeLinks) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isolated = true
	close(l.lost)
}

// restore ends a cut.
func (l *fakeLinks) restore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isolated = false
	l.lost = make(chan struct{})
}

func (l *fakeLinks) Isolated() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isolated
}

func (l *fakeLinks) Reaches(id string) bool { return !l.Isolated() || l.reaches[id] }
func (l *fakeLinks) Silent() bool           { return l.Isolated() && len(l.reaches) == 0 }

func (l *fakeLinks) Lost() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost
}

func (l *fakeLinks) ServedByPeer() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.served++
}
