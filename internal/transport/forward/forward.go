// Package forward forwards opaque requests of callers according to a routing table: to
// one leaf of an upstream group, or to one leaf of each shard, whose records it merges.
// It executes the decisions of the coordination layer. Each request is handled by one
// goroutine, which processes the events of all its attempts.
package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"go.opentelemetry.io/otel/attribute"

	"github.com/hickorydock/hickorydock/internal/coordination/lag"
	"github.com/hickorydock/hickorydock/internal/coordination/latency"
	"github.com/hickorydock/hickorydock/internal/coordination/quarantine"
	"github.com/hickorydock/hickorydock/internal/coordination/split"
	"github.com/hickorydock/hickorydock/internal/protocol/route"
	"github.com/hickorydock/hickorydock/internal/state/group"
	"github.com/hickorydock/hickorydock/internal/state/memory"
	"github.com/hickorydock/hickorydock/internal/state/routing"
	"github.com/hickorydock/hickorydock/internal/transport/guard"
	"github.com/hickorydock/hickorydock/internal/transport/ingress"
	"github.com/hickorydock/hickorydock/internal/transport/leafwire"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
)

// Values of Retry-After for requests that no leaf ran.
const (
	// startingRetryAfter is for a node that has no routing table yet.
	startingRetryAfter = 500 * time.Millisecond
	// rejectedRetryAfter is for a request that was rejected by every leaf tried.
	rejectedRetryAfter = 100 * time.Millisecond
	// noLeafRetryAfter is for a request without an available leaf.
	noLeafRetryAfter = 300 * time.Millisecond
	// quarantineRetryAfter is the maximum for a request that crashes leafs.
	quarantineRetryAfter = 30 * time.Second
)

// Config configures a Forwarder.
type Config struct {
	AvailabilityZone string
	Names            route.HeaderNames
	// DecodeLoad decodes the header Names.Load; nil if leafs state no load.
	DecodeLoad func(value string) (route.Load, error)
	// CallerTrip is the one-way latency between a caller and a node.
	CallerTrip time.Duration
	// MergeReserve is the time reserved for merging and writing a response.
	MergeReserve time.Duration
	// ExtraShare is the number of hedges and retries that each first attempt of a group
	// allows, and ExtraSlack the budget of a group, in attempts, that all nodes together
	// may accumulate while they send few hedges and retries.
	ExtraShare, ExtraSlack float64
	// Linger is how long superseded attempts may continue, so that their connections
	// stay open.
	Linger time.Duration
}

// Observer receives counts. It is implemented by the metrics.
type Observer interface {
	// ForwardDone counts a finished request by route and outcome.
	ForwardDone(route, outcome string, elapsed time.Duration, covered, total int)
	// ForwardAttempts counts n attempts at leafs.
	ForwardAttempts(route, kind string, n int)
	// LeafNotice counts a reply in which a leaf asks for no new requests.
	LeafNotice(notice string)
	// InvariantViolated counts an invariant violation.
	InvariantViolated(name string)
}

// LeafClient sends calls to leafs. It is implemented by leafwire.Client.
type LeafClient interface {
	Start(call *leafwire.Call)
	Cancel(call *leafwire.Call)
	Withdraw(call *leafwire.Call) bool
	FailWaiting(id string)
}

// Forwarder serves requests of callers. It is safe for concurrent use.
type Forwarder struct {
	cfg        Config
	routing    *routing.Store
	groups     *group.Store
	leafClient LeafClient
	guard      *guard.Guard
	observer   Observer
	log        log.Interface
	stopping   atomic.Bool
	// sendsEnded happens when a planned stop ends the sending of attempts, requestsEnded when
	// it ends the requests in progress.
	sendsEnded, requestsEnded event

	startedAt  time.Time
	nodeCount  atomic.Int64
	limitNodes nodeCounter
	// limitsSet is true once requests to any leaf have been limited.
	limitsSet atomic.Bool
	// limitPhase is the phase of this node in ratelimit.Node.
	limitPhase float64
	lag        lag.Lag
	budgets    sync.Map // group -> *budget.Budget
	windows    sync.Map // route name -> *latency.Window
	splitters  sync.Map // route name -> *split.Splitter
	// OnMisdirected is called with the ID of a leaf whose address belongs to another
	// leaf. It may be nil.
	OnMisdirected func(id string)
	// LeafListConfirmedAt returns when the platform last confirmed the list of leafs. If
	// it is nil, the log omits the time.
	LeafListConfirmedAt func() time.Time
	// Tracer starts a span for each hop. Tracing is off by default.
	Tracer *tracing.Tracer
	// Holders returns the number of nodes that send to the leafs of a group and
	// whether this node is one of them. Nil or 0 means that all nodes send to them.
	Holders func(group string) (n int, holds bool)
	// Relays sends shards to other nodes. Nil means that this node sends to all leafs
	// itself.
	Relays Relays
	// Links says which leafs this node reaches.
	Links Links
	// Memory is the memory that clients may make this node hold; nil sets no bound.
	Memory *memory.Pool
	// answerSizes holds the expected size of the answers of each route by its name.
	answerSizes sync.Map
	// detours is the number of batches in progress of nodes that are cut off from the leafs.
	detours atomic.Int64
}

// New returns a Forwarder.
func New(cfg Config, routes *routing.Store, groups *group.Store, leafClient LeafClient, g *guard.Guard, observer Observer, logger log.Interface) *Forwarder {
	return &Forwarder{cfg: cfg, routing: routes, groups: groups, leafClient: leafClient, guard: g, observer: observer, log: logger, startedAt: time.Now(), limitPhase: rand.Float64(), Tracer: tracing.Off(), Links: soundLinks{}}
}

// request is one request of a caller.
type request struct {
	httpRequest *http.Request
	id          string
	arrived     time.Time
	// deadline is the latest time to send a response.
	deadline time.Time
	// target is the time from which a partial response may be sent.
	target  time.Time
	route   *route.Route
	version uint64
	body    []byte
	// hold is the memory of the request; nil sets no bound.
	hold *memory.Hold
	// heldAtStart is what hold had grown by before the request was sent.
	heldAtStart int64
	// relayed is true when the request came from another node.
	relayed bool
	// fingerprint identifies the request for the quarantine.
	fingerprint quarantine.Fingerprint
}

// connectionKey is the context key of a flag that is true once a connection has had a
// request.
type connectionKey struct{}

// TrackConnection is for the ConnContext of an http.Server. It lets the forwarder
// recognise the first request of a connection, for which the caller has also waited for
// the handshake.
func TrackConnection(ctx context.Context) context.Context {
	return context.WithValue(ctx, connectionKey{}, new(atomic.Bool))
}

func isFirstRequest(ctx context.Context) bool {
	seen, ok := ctx.Value(connectionKey{}).(*atomic.Bool)
	return ok && !seen.Swap(true)
}

// ServeHTTP serves one request of a caller.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if f.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	index := f.routing.Current()
	if index == nil {
		ingress.Refuse(r)
		f.reject(w, "", http.StatusServiceUnavailable, startingRetryAfter)
		return
	}
	rt := index.Find(r.Host, r.URL.EscapedPath()) // as sent, since leafs receive it so
	if rt == nil {
		f.log.WithFields(log.Fields{"host": r.Host, "path": r.URL.EscapedPath(), "version": index.Table.Version, "outcome": "no_route"}).Info("request has no route")
		ingress.Refuse(r)
		f.reject(w, "", http.StatusNotFound, 0)
		return
	}
	req := &request{httpRequest: r, id: r.Header.Get(f.cfg.Names.RequestID), arrived: arrived, route: rt, version: index.Table.Version, hold: ingress.HoldOf(r.Context())}
	f.setTimes(req)
	if !f.readBody(w, req, index.Table.Limits.BodyBytes) {
		return
	}
	req.fingerprint = quarantine.FingerprintOf(r.Method+" "+r.Host+r.RequestURI, req.body)
	if remaining, quarantined := f.guard.Quarantined(req.fingerprint); quarantined {
		f.log.WithFields(log.Fields{"request": req.id, "route": rt.Name, "fingerprint": fmt.Sprintf("%016x", uint64(req.fingerprint)), "left": remaining, "outcome": outcomeNotRun}).Info("request is quarantined")
		f.reject(w, req.id, http.StatusServiceUnavailable, min(remaining, quarantineRetryAfter))
		return
	}
	if !f.reserveAnswer(req) {
		f.rejectForMemory(w, req)
		return
	}
	ctx, span := f.Tracer.Start(f.Tracer.Extract(r.Context(), r.Header), tracing.HopCaller, attribute.String("route", rt.Name), attribute.String("request", req.id))
	x := newExchange(f, req)
	x.ctx = ctx
	connected := x.serve(w)
	f.observeAnswer(req)
	span.End(nil)
	if !connected {
		// Without a response of its own the connection would carry an empty success to a caller
		// that has ended only its sending side.
		panic(http.ErrAbortHandler)
	}
}

// setTimes sets the deadline of a request and its target, the time from which a partial
// response may be sent.
func (f *Forwarder) setTimes(req *request) {
	timeout := req.route.Timeout
	if ms, err := strconv.ParseInt(req.httpRequest.Header.Get(f.cfg.Names.TimeLeft), 10, 64); err == nil && ms > 0 {
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	req.deadline = req.arrived.Add(timeout)
	target := req.route.TargetLatency
	if target <= 0 || target > timeout {
		target = timeout
	}
	networkTime := 2 * f.cfg.CallerTrip
	if isFirstRequest(req.httpRequest.Context()) {
		networkTime *= 2
	}
	req.target = req.arrived.Add(target - min(networkTime+f.cfg.MergeReserve+f.lag.Expected(), target/2))
}

// reject writes a response without a body on behalf of this node.
func (f *Forwarder) reject(w http.ResponseWriter, id string, status int, retryAfter time.Duration) {
	h := w.Header()
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	}
	if id != "" {
		h.Set(f.cfg.Names.RequestID, id)
	}
	h["Content-Type"] = nil
	h.Set("Content-Length", "0")
	w.WriteHeader(status)
}

// hedgeFraction is the fraction of ExtraShare that hedges of late subrequests may use; the
// rest remains for retries.
const hedgeFraction = 0.8

func (f *Forwarder) window(route string) *latency.Window {
	if w, ok := f.windows.Load(route); ok {
		return w.(*latency.Window)
	}
	w, _ := f.windows.LoadOrStore(route, latency.NewWindow(1-hedgeFraction*f.cfg.ExtraShare))
	return w.(*latency.Window)
}

func (f *Forwarder) chooseGroup(r *route.Route) string {
	if len(r.Groups) == 1 {
		return r.Groups[0].Group
	}
	s, ok := f.splitters.Load(r.Name)
	if !ok {
		s, _ = f.splitters.LoadOrStore(r.Name, split.New(r.Groups, rand.Float64))
	}
	return s.(*split.Splitter).Next(r.Groups)
}
