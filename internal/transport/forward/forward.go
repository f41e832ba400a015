// Package forward passes opaque requests of callers on by a routing table: to one
// leaf of an upstream group, or to one leaf of each shard, whose records it
// merges. It carries out the decisions of the coordination layer; each request is
// driven by one goroutine that takes the events of all its attempts.
package forward

import (
	"context"
	"errors"
	"io"
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
	"github.com/hickorydock/hickorydock/internal/state/routing"
	"github.com/hickorydock/hickorydock/internal/transport/guard"
	"github.com/hickorydock/hickorydock/internal/transport/leafwire"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
)

// Advice to callers whose request ran nowhere.
const (
	// startingRetryAfter is for a node that knows no routing table yet.
	startingRetryAfter = 500 * time.Millisecond
	// refusedRetryAfter is for a request that every leaf tried refused.
	refusedRetryAfter = 100 * time.Millisecond
	// absentRetryAfter is for a request whose leafs are not there.
	absentRetryAfter = 300 * time.Millisecond
	// quarantineRetryAfter bounds the advice for a request that crashes leafs.
	quarantineRetryAfter = 30 * time.Second
)

// Config bounds forwarded requests.
type Config struct {
	AvailabilityZone string
	Names            route.HeaderNames
	// CallerTrip is the time that a message takes between a caller and a node.
	CallerTrip time.Duration
	// MergeReserve is the time kept for merging and writing an answer.
	MergeReserve time.Duration
	// ExtraShare is the number of hedges and retries for each first attempt of a
	// group, and ExtraSlack what all nodes together may save up in a quiet period.
	ExtraShare, ExtraSlack float64
	// Linger is how long attempts that are no longer needed may run on, so that
	// their connections are kept.
	Linger time.Duration
}

// Observer receives counts; it is met by the metrics.
type Observer interface {
	// Forwarded counts an answered request by route and outcome.
	Forwarded(route, outcome string, elapsed time.Duration, covered, total int)
	// Attempts counts n attempts at leafs.
	Attempts(route, kind string, n int)
	// InvariantViolated counts a broken invariant.
	InvariantViolated(name string)
}

// LeafClient sends calls to leafs. It is implemented by leafwire.Client.
type LeafClient interface {
	Start(call *leafwire.Call)
	Cancel(call *leafwire.Call)
	Withdraw(call *leafwire.Call) bool
}

// Forwarder serves callers. It is safe for concurrent use.
type Forwarder struct {
	cfg       Config
	routing   *routing.Store
	groups    *group.Store
	wire      LeafClient
	guard     *guard.Guard
	observer  Observer
	log       log.Interface
	stopping  atomic.Bool
	started   time.Time
	nodes     atomic.Int64
	lag       lag.Lag
	budgets   sync.Map // group -> *budget.Budget
	windows   sync.Map // route name -> *latency.Window
	splitters sync.Map // route name -> *split.Splitter
	// OnMisdirected is called with the ID of a leaf whose address belongs to another
	// leaf. It may be nil.
	OnMisdirected func(id string)
	// LeafListConfirmedAt returns when the platform last confirmed the list of leafs. If
	// it is nil, the log omits the time.
	LeafListConfirmedAt func() time.Time
	// Tracer starts a span for each hop; it is off unless set.
	Tracer *tracing.Tracer
	// Holders returns the number of nodes that send to the leafs of a group and
	// whether this one does; nil or 0 means all nodes.
	Holders func(group string) (n int, holds bool)
	// Relays passes shards on to other nodes; nil means that this node sends to
	// all leafs itself.
	Relays Relays
}

// New returns a forwarder.
func New(cfg Config, routes *routing.Store, groups *group.Store, wire LeafClient, g *guard.Guard, observer Observer, logger log.Interface) *Forwarder {
	return &Forwarder{cfg: cfg, routing: routes, groups: groups, wire: wire, guard: g, observer: observer, log: logger, started: time.Now(), Tracer: tracing.Off()}
}

// Stop makes further answers end their connections.
func (f *Forwarder) Stop() { f.stopping.Store(true) }

// request is one request of a caller.
type request struct {
	http    *http.Request
	id      string
	arrived time.Time
	// deadline is when the final answer has to leave.
	deadline time.Time
	// target is when a partial answer may leave.
	target  time.Time
	route   *route.Route
	version uint64
	body    []byte
	// relayed is true when another node passed the request on.
	relayed bool
	// mark identifies the request for the quarantine.
	mark quarantine.Fingerprint
}

// connectionKey finds whether a connection has had a request.
type connectionKey struct{}

// TrackConnection is an http.Server's ConnContext; it lets the forwarder tell the
// first request of a connection, whose caller has waited for the handshake too.
func TrackConnection(ctx context.Context) context.Context {
	return context.WithValue(ctx, connectionKey{}, new(atomic.Bool))
}

func isFirst(ctx context.Context) bool {
	seen, ok := ctx.Value(connectionKey{}).(*atomic.Bool)
	return ok && !seen.Swap(true)
}

// ServeHTTP answers one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if f.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	index := f.routing.Current()
	if index == nil {
		f.refuse(w, "", http.StatusServiceUnavailable, startingRetryAfter)
		return
	}
	rt := index.Find(r.Host, r.URL.Path)
	if rt == nil {
		f.log.WithFields(log.Fields{"host": r.Host, "path": r.URL.Path, "version": index.Table.Version, "outcome": "no_route"}).Info("request has no route")
		f.refuse(w, "", http.StatusNotFound, 0)
		return
	}
	req := &request{http: r, id: r.Header.Get(f.cfg.Names.RequestID), arrived: arrived, route: rt, version: index.Table.Version}
	f.setTimes(req)
	if !f.readBody(w, req, index.Table.Limits.BodyBytes) {
		return
	}
	req.mark = quarantine.FingerprintOf(r.Method+" "+r.Host+r.RequestURI, req.body)
	if left, refused := f.guard.Quarantined(req.mark); refused {
		f.log.WithFields(log.Fields{"request": req.id, "route": rt.Name, "left": left, "outcome": outcomeNotRun}).Info("request is in quarantine")
		f.refuse(w, req.id, http.StatusServiceUnavailable, min(left, quarantineRetryAfter))
		return
	}
	ctx, span := f.Tracer.Start(f.Tracer.Extract(r.Context(), r.Header), tracing.HopCaller, attribute.String("route", rt.Name), attribute.String("request", req.id))
	x := newExchange(f, req)
	x.ctx = ctx
	x.serve(w)
	span.End(nil)
}

// setTimes fixes when the answer has to leave.
func (f *Forwarder) setTimes(req *request) {
	wait := req.route.Timeout
	if ms, err := strconv.ParseInt(req.http.Header.Get(f.cfg.Names.TimeLeft), 10, 64); err == nil && ms > 0 {
		wait = min(wait, time.Duration(ms)*time.Millisecond)
	}
	req.deadline = req.arrived.Add(wait)
	target := req.route.TargetLatency
	if target <= 0 || target > wait {
		target = wait
	}
	trips := 2 * f.cfg.CallerTrip
	if isFirst(req.http.Context()) {
		trips *= 2
	}
	req.target = req.arrived.Add(target - min(trips+f.cfg.MergeReserve+f.lag.Expected(), target/2))
}

// readBody reads a bounded body. It answers the request itself when it cannot.
func (f *Forwarder) readBody(w http.ResponseWriter, req *request, most int64) bool {
	r := req.http
	if r.Body == nil || r.Body == http.NoBody {
		return true
	}
	if most > 0 {
		r.Body = http.MaxBytesReader(w, r.Body, most)
	}
	body, err := io.ReadAll(r.Body)
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		f.refuse(w, req.id, http.StatusRequestEntityTooLarge, 0)
		return false
	case err != nil:
		f.log.WithFields(log.Fields{"request": req.id, "route": req.route.Name}).WithError(err).Info("request body not read")
		f.refuse(w, req.id, http.StatusBadRequest, 0)
		return false
	}
	req.body = body
	return true
}

// refuse writes an answer of the node's own.
func (f *Forwarder) refuse(w http.ResponseWriter, id string, status int, retryAfter time.Duration) {
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

// hedgeUse is the share of ExtraShare that late subrequests may claim; the rest
// is left for retries.
const hedgeUse = 0.8

func (f *Forwarder) window(route string) *latency.Window {
	if w, ok := f.windows.Load(route); ok {
		return w.(*latency.Window)
	}
	w, _ := f.windows.LoadOrStore(route, latency.NewWindow(1-hedgeUse*f.cfg.ExtraShare))
	return w.(*latency.Window)
}

func (f *Forwarder) splitGroup(r *route.Route) string {
	if len(r.Groups) == 1 {
		return r.Groups[0].Group
	}
	s, ok := f.splitters.Load(r.Name)
	if !ok {
		s, _ = f.splitters.LoadOrStore(r.Name, split.New(r.Groups, rand.Float64))
	}
	return s.(*split.Splitter).Next(r.Groups)
}
