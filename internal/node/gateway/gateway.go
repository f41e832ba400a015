// Package gateway assembles a process that passes callers' opaque requests on by
// a routing table. The table and the leafs come from a platform, which an Adapter
// translates; everything that is decided on the way is decided here and below.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/protocol/membership"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/route"
	"github.com/hickorydock/hickorydock/internal/protocol/settings"
	"github.com/hickorydock/hickorydock/internal/state/group"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/mirror"
	"github.com/hickorydock/hickorydock/internal/state/routing"
	"github.com/hickorydock/hickorydock/internal/transport/admin"
	"github.com/hickorydock/hickorydock/internal/transport/forward"
	"github.com/hickorydock/hickorydock/internal/transport/guard"
	"github.com/hickorydock/hickorydock/internal/transport/leafwire"
	"github.com/hickorydock/hickorydock/internal/transport/logging"
	"github.com/hickorydock/hickorydock/internal/transport/mesh"
	"github.com/hickorydock/hickorydock/internal/transport/metrics"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
)

// Adapter translates the names, formats and calls of one platform.
type Adapter interface {
	// Client returns the platform's object API.
	Client(s settings.Settings) platform.Client
	// Names returns the headers by which requests are passed on.
	Names() route.HeaderNames
	// Table decodes the object platform.RoutingName of platform.KindRouting.
	Table(object platform.Object) (route.Table, error)
	// Leaf decodes an object of platform.KindVM.
	Leaf(object platform.Object) (route.Leaf, error)
}

var adapters = map[string]Adapter{}

// Register makes an adapter known by the name that settings select it by. It is
// called by init functions.
func Register(name string, a Adapter) { adapters[name] = a }

// Config says what a gateway is made of.
type Config struct {
	Settings settings.Settings
	// Logs receives log lines.
	Logs io.Writer
}

// Gateway is an assembled process. Start and Stop are called once each.
type Gateway struct {
	app    *fx.App
	logger log.Interface
	logs   *logging.Queue
	grace  time.Duration
	front  *front
}

// logLimit bounds the lines of one event, such as requests that ended partial, so
// that logging takes a small part of a processor.
var logLimit = logging.Limit{Burst: 20, Interval: time.Second}

// logFlush bounds writing the last lines at the end.
const logFlush = 200 * time.Millisecond

// New assembles a gateway; nothing listens before Start.
func New(cfg Config) (*Gateway, error) {
	adapter, ok := adapters[cfg.Settings.Forward.Adapter]
	if !ok {
		known := strings.Join(slices.Sorted(maps.Keys(adapters)), ", ")
		return nil, fault.New(fault.StepSettings, "", "forward.adapter is %q, known: %s", cfg.Settings.Forward.Adapter, known)
	}
	level, err := log.ParseLevel(cfg.Settings.Log.Level)
	if err != nil {
		return nil, fmt.Errorf("log level %q: %w", cfg.Settings.Log.Level, err)
	}
	logs := logging.NewQueue(cfg.Logs)
	g := &Gateway{logs: logs, grace: cfg.Settings.Forward.Grace(), logger: logging.NewLimited(logs, level, logLimit)}
	g.app = fx.New(
		fx.NopLogger,
		fx.Supply(cfg.Settings),
		fx.Provide(
			func() log.Interface { return g.logger },
			func() Adapter { return adapter },
			metrics.New, tracing.FromSettings, leaf.NewTable, group.NewStore, mirror.New, newRouting, newRelays, newMesh, newWire, newForwarder, newController, newFront,
			func(f *front) admin.Prober { return f },
		),
		guard.Module,
		admin.Module,
		fx.Invoke(func(*admin.Listener, *front) {}, admin.ListenMetrics),
		fx.Populate(&g.front),
	)
	if err := g.app.Err(); err != nil {
		return nil, fmt.Errorf("assemble gateway: %w", err)
	}
	return g, nil
}

func newRouting() *routing.Store { return &routing.Store{} }

// Start binds the addresses and takes up work.
func (g *Gateway) Start(ctx context.Context) error {
	if err := g.app.Start(ctx); err != nil {
		return err
	}
	g.logger.WithField("address", g.front.address).Info("gateway started")
	return nil
}

// Stop finishes requests in progress within the grace of the settings.
func (g *Gateway) Stop(ctx context.Context) error {
	g.logger.Info("gateway stopping")
	ctx, cancel := context.WithTimeout(ctx, stopTimeout(g.grace))
	defer cancel()
	err := g.app.Stop(ctx)
	g.logger.Info("gateway stopped")
	g.logs.Close(logFlush)
	return err
}

// Logger writes to the gateway's log.
func (g *Gateway) Logger() log.Interface { return g.logger }

// Address is where callers reach the gateway, host:port.
func (g *Gateway) Address() string { return g.front.address }

// Ready says why the gateway must not be given work, or returns nil.
func (g *Gateway) Ready() error { return g.front.Ready() }

// newMesh joins the other gateways at the node's peer address.
func newMesh(s settings.Settings, known *mirror.Mirror, f *forward.Forwarder, r *relays, g *guard.Guard, logger log.Interface, lifecycle fx.Lifecycle) (*mesh.Mesh, error) {
	m, err := mesh.New(mesh.Config{
		Node:             s.Node.ID,
		AvailabilityZone: s.Node.AvailabilityZone,
		Address:          s.Node.PeerAddress,
		Seeds:            s.Node.BootstrapPeers,
		Mirror:           known,
		Hear:             g.Hear,
		Log:              logger,
		Changed: func(members []membership.Member) {
			r.setMembers(members)
			f.SetNodes(max(len(members), int(s.Forward.ExpectedNodes)))
		},
	}, f)
	if err != nil {
		return nil, err
	}
	r.mesh = m
	f.Relays = r
	f.Holders = r.holders
	f.Confirmed = func() time.Time { return known.Confirmed(platform.KindVM) }
	g.SetPeers(m)
	lifecycle.Append(fx.StartStopHook(m.Start, m.Close))
	return m, nil
}

// connectionsPerLeaf bounds this node's connections to a leaf whatever its share.
const connectionsPerLeaf = 8

func newRelays(s settings.Settings, routes *routing.Store, groups *group.Store, logger log.Interface) *relays {
	return &relays{node: s.Node.ID, zone: s.Node.AvailabilityZone, routing: routes, groups: groups, records: leaf.NewTable(), log: logger}
}

func newWire(s settings.Settings, a Adapter, r *relays, m *metrics.Metrics) *leafwire.Client {
	return leafwire.New(leafwire.Config{
		Names:     a.Names(),
		Connected: m.LeafConnected,
		Limit:     func(group string) int { return r.connections(group, int(s.Forward.ExpectedNodes)) },
	})
}

func newForwarder(s settings.Settings, a Adapter, routes *routing.Store, groups *group.Store, wire *leafwire.Client, g *guard.Guard, m *metrics.Metrics, tracer *tracing.Tracer, logger log.Interface) *forward.Forwarder {
	f := forward.New(forward.Config{
		AvailabilityZone: s.Node.AvailabilityZone,
		Names:            a.Names(),
		CallerTrip:       s.Forward.CallerTrip(),
		MergeReserve:     s.Forward.MergeReserve(),
		ExtraShare:       s.Forward.ExtraShare,
		ExtraSlack:       s.Forward.ExtraSlack,
		Linger:           s.Forward.Linger(),
	}, routes, groups, wire, g, m, logger)
	f.Tracer = tracer
	f.SetNodes(int(s.Forward.ExpectedNodes))
	return f
}

func newController(s settings.Settings, a Adapter, net *mesh.Mesh, routes *routing.Store, groups *group.Store, wire *leafwire.Client, r *relays, f *forward.Forwarder, m *metrics.Metrics, logger log.Interface, lifecycle fx.Lifecycle) *controller {
	client := mesh.NewClient(a.Client(s), net, s.Forward.WatchWait())
	c := &controller{
		adapter: a,
		client:  client,
		routing: routes,
		groups:  groups,
		wire:    wire,
		relays:  r,
		metrics: m,
		log:     logger,
		holds:   make(map[string]*time.Timer),
	}
	r.moved = func() {
		c.followDivision()
		f.DivideSlack()
	}
	f.Misdirected = func(id string) { c.leafDrop(id, "another leaf has its address") }
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	lifecycle.Append(fx.StartStopHook(
		func() { go func() { defer close(done); c.run(ctx) }() },
		func() { cancel(); client.Close(); <-done },
	))
	return c
}

// Bounds of callers' connections. The routing table's own limits are lower; these
// keep a connection from holding a descriptor for ever.
const (
	maxHeaderBytes = 1 << 20
	headerTimeout  = 30 * time.Second
	idleTimeout    = 10 * time.Minute
)

// Parts of the grace of a planned stop.
const (
	// noticeShare is the part in which new connections are still served, while the
	// balancer notices that the node is not ready.
	noticeShare = 0.5
	// finishShare is the part at whose end requests in progress are cut off.
	finishShare = 0.9
	// stopShare is the part at whose end batches of other nodes are cut off; the rest
	// is for writing the log and the end of the process.
	stopShare = 0.93
)

// stopTimeout bounds a planned stop but for the last lines of the log.
func stopTimeout(grace time.Duration) time.Duration {
	return time.Duration(stopShare * float64(grace))
}

// front serves callers.
type front struct {
	server     *http.Server
	forwarder  *forward.Forwarder
	controller *controller
	// leave tells other nodes to ask this one for no more shards.
	leave    func()
	log      log.Interface
	grace    time.Duration
	address  string
	stopping chan struct{}
}

func newFront(s settings.Settings, f *forward.Forwarder, c *controller, m *mesh.Mesh, logger log.Interface, lifecycle fx.Lifecycle) *front {
	fr := &front{
		forwarder:  f,
		controller: c,
		leave:      m.Leave,
		log:        logger,
		grace:      s.Forward.Grace(),
		stopping:   make(chan struct{}),
	}
	fr.server = &http.Server{
		Handler:           f,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ConnContext:       func(ctx context.Context, _ net.Conn) context.Context { return forward.TrackConnection(ctx) },
	}
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error { return fr.listen(s.Node.CallerAddress) },
		OnStop:  fr.stop,
	})
	return fr
}

func (f *front) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fault.Wrap(err, fault.StepSettings, address, "listen for callers")
	}
	f.address = listener.Addr().String()
	go func() {
		if err := f.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			f.log.WithError(err).Error("callers' listener failed")
		}
	}()
	return nil
}

// Ready says why the node must not be given work, or returns nil.
func (f *front) Ready() error {
	select {
	case <-f.stopping:
		return errors.New("stopping")
	default:
		return f.controller.Ready()
	}
}

// stop takes the node out of rotation, serves those who still come, and finishes
// what is in progress. Other nodes learn of it first, so that their shards go to other
// relays while this one still serves those on the way.
func (f *front) stop(ctx context.Context) error {
	begun := time.Now()
	close(f.stopping)
	f.controller.stopping.Store(true)
	f.leave()
	f.forwarder.Stop()
	notice := time.NewTimer(time.Duration(noticeShare * float64(f.grace)))
	defer notice.Stop()
	select {
	case <-notice.C:
	case <-ctx.Done():
	}
	finish := begun.Add(time.Duration(finishShare * float64(f.grace)))
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), finish)
	defer cancel()
	if err := f.server.Shutdown(ctx); err != nil {
		f.log.WithError(err).Error("stop ended early, requests cut off")
		return f.server.Close()
	}
	return nil
}
