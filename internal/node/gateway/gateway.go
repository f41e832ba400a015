// Package gateway assembles a process that forwards callers' opaque requests
// according to a routing table. The table and the leafs come from a platform, which an
// Adapter translates. The adapter makes no decisions; this package and those that it
// uses make them all.
package gateway

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/route"
	"github.com/hickorydock/hickorydock/internal/protocol/settings"
	"github.com/hickorydock/hickorydock/internal/state/group"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/routing"
	"github.com/hickorydock/hickorydock/internal/transport/admin"
	"github.com/hickorydock/hickorydock/internal/transport/guard"
	"github.com/hickorydock/hickorydock/internal/transport/ingress"
	"github.com/hickorydock/hickorydock/internal/transport/links"
	"github.com/hickorydock/hickorydock/internal/transport/logging"
	"github.com/hickorydock/hickorydock/internal/transport/metrics"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
)

// Adapter translates the names, formats and calls of one platform.
type Adapter interface {
	// Client returns the platform's object API.
	Client(s settings.Settings) platform.Client
	// Headers returns the names of the headers of forwarded requests.
	Headers() route.HeaderNames
	// DecodeTable decodes the object platform.RoutingName of platform.KindRouting.
	DecodeTable(object platform.Object) (route.Table, error)
	// DecodeLeaf decodes an object of platform.KindVM.
	DecodeLeaf(object platform.Object) (route.Leaf, error)
	// DecodeLoad decodes the header HeaderNames.Load of a leaf's reply.
	DecodeLoad(value string) (route.Load, error)
}

var adapters = map[string]Adapter{}

// Register registers an adapter under the name by which settings select it. It is
// called by init functions.
func Register(name string, a Adapter) { adapters[name] = a }

// Config configures a Gateway.
type Config struct {
	Settings settings.Settings
	// Logs receives log lines.
	Logs io.Writer
}

// Gateway is an assembled process. Start and Stop may be called once each.
type Gateway struct {
	app          *fx.App
	logger       log.Interface
	logs         *logging.Queue
	grace        time.Duration
	callerServer *callerServer
}

// logLimit limits the rate of lines of one event, such as requests with partial
// results, so that logging takes a small part of the CPU time.
var logLimit = logging.RateLimit{Burst: 20, Interval: time.Second}

// logFlush limits the time for writing the last lines on exit.
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
			metrics.New, tracing.FromSettings, leaf.NewTable, group.NewStore, newMirror, newRouting, newRelays, newMesh, newLeafClient, newForwarder, newLinks, newController, newCallerServer,
			newReadiness, func(r *readiness) admin.ReadinessChecker { return r },
		),
		guard.Module,
		ingress.Module,
		admin.Module,
		// Components stop in the reverse order. The operators' listeners come first, so that the
		// node says that it is not ready for as long as it serves.
		fx.Invoke(func(*admin.Listener) {}, admin.ListenMetrics),
		fx.Invoke(func(*links.Monitor, *callerServer) {}),
		fx.Populate(&g.callerServer),
	)
	if err := g.app.Err(); err != nil {
		return nil, fmt.Errorf("assemble gateway: %w", err)
	}
	return g, nil
}

func newRouting() *routing.Store { return &routing.Store{} }

// Start binds the addresses and starts serving.
func (g *Gateway) Start(ctx context.Context) error {
	if err := g.app.Start(ctx); err != nil {
		return err
	}
	g.logger.WithField("address", g.callerServer.address).Info("gateway started")
	return nil
}

// Stop finishes requests in progress within the grace period of the settings.
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

// Address returns the address for callers, host:port.
func (g *Gateway) Address() string { return g.callerServer.address }

// Ready returns nil if the gateway can take requests, or the reason why it cannot.
func (g *Gateway) Ready() error { return g.callerServer.Ready() }
