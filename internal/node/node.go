// Package node assembles a node from the modules of its packages. A Node has an
// entry, a relay and a control loop. A process normally runs one Node; tests and the
// demo run several.
package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"

	"github.com/apex/log"
	"go.uber.org/fx"

	"github.com/hickorydock/hickorydock/internal/coordination/replica"
	"github.com/hickorydock/hickorydock/internal/node/control"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/settings"
	"github.com/hickorydock/hickorydock/internal/state/catalogue"
	"github.com/hickorydock/hickorydock/internal/transport/admin"
	"github.com/hickorydock/hickorydock/internal/transport/command"
	"github.com/hickorydock/hickorydock/internal/transport/connections"
	"github.com/hickorydock/hickorydock/internal/transport/credentials"
	"github.com/hickorydock/hickorydock/internal/transport/discovery"
	"github.com/hickorydock/hickorydock/internal/transport/entry"
	"github.com/hickorydock/hickorydock/internal/transport/guard"
	"github.com/hickorydock/hickorydock/internal/transport/ingress"
	"github.com/hickorydock/hickorydock/internal/transport/logging"
	"github.com/hickorydock/hickorydock/internal/transport/metrics"
	"github.com/hickorydock/hickorydock/internal/transport/peering"
	client "github.com/hickorydock/hickorydock/internal/transport/platform"
	"github.com/hickorydock/hickorydock/internal/transport/relay"
	"github.com/hickorydock/hickorydock/internal/transport/server"
	"github.com/hickorydock/hickorydock/internal/transport/status"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
	"github.com/hickorydock/hickorydock/internal/transport/upstream"
)

// Config configures a Node.
type Config struct {
	Settings settings.Settings
	// Logs receives log lines; nil means standard error.
	Logs io.Writer
	// Control provides server.Services and server.Readiness, and updates the VM
	// list of discovery.
	Control fx.Option
	// Choose selects replicas; nil means replica.Choose.
	Choose replica.Chooser
}

// PlatformControl synchronises a node with a platform and enables commands.
func PlatformControl(c platform.Client) fx.Option {
	connect := func(m *metrics.Metrics) platform.Client { return client.Metered(c, m.PlatformCall) }
	return fx.Options(fx.Provide(connect), control.Module, connections.Module, command.Module, peerModule)
}

// PlatformControlFromSettings is PlatformControl with the platform at the URL of the
// node's settings.
func PlatformControlFromSettings() fx.Option {
	connect := func(s settings.Settings, tls *credentials.Credentials, m *metrics.Metrics) platform.Client {
		return client.Metered(NewPlatformClient(s, tls), m.PlatformCall)
	}
	return fx.Options(fx.Provide(connect), control.Module, connections.Module, command.Module, peerModule)
}

// NewPlatformClient returns a client of the platform at the URL of the settings. It
// uses TLS if the scheme is https.
func NewPlatformClient(s settings.Settings, tls *credentials.Credentials) platform.Client {
	transport := tls.PlatformTransport(new(net.Dialer).DialContext)
	return client.New(client.Config{
		BaseURL:    s.Platform.URL,
		Timeout:    s.Platform.Timeout(),
		HTTPClient: &http.Client{Transport: transport},
	})
}

// Node is an assembled node. Start and Stop may be called once each, by one goroutine.
type Node struct {
	app       *fx.App
	settings  settings.Settings
	admin     *admin.Listener
	callers   *server.Server
	listener  *server.Listener
	server    *server.Server
	entry     *entry.Entry
	metrics   *metrics.Metrics
	discovery *discovery.Discovery
	tls       *credentials.Credentials
	logger    log.Interface
	guard     *guard.Guard
	network   *peering.Network // nil without peers
	catalogue *catalogue.Store // nil without a platform
}

// New assembles a node; nothing listens before Start.
func New(cfg Config) (*Node, error) {
	n := &Node{settings: cfg.Settings}
	logs := cfg.Logs
	if logs == nil {
		logs = os.Stderr
	}
	choose := cfg.Choose
	if choose == nil {
		choose = replica.Choose
	}
	n.app = fx.New(
		fx.NopLogger,
		fx.StopTimeout(cfg.Settings.Stop.Limit()),
		fx.Supply(cfg.Settings, choose),
		fx.Provide(func() (log.Interface, error) { return newLogger(logs, cfg.Settings.Log) }),
		fx.Provide(metrics.New, tracing.FromSettings, func(s *server.Server) admin.ReadinessChecker { return s }),
		cfg.Control,
		credentials.Module,
		admin.Module,
		upstream.Module,
		discovery.Module,
		guard.Module,
		ingress.Module,
		relay.Module,
		entry.Module,
		server.Module,
		status.Module,
		fx.Populate(&n.admin, &n.callers, &n.listener, &n.server, &n.entry, &n.metrics, &n.discovery, &n.tls, &n.logger, &n.guard),
		fx.Invoke(func(in optionalDeps) { n.network, n.catalogue = in.Network, in.Catalogue }),
	)
	if err := n.app.Err(); err != nil {
		return nil, fmt.Errorf("assemble node: %w", err)
	}
	return n, nil
}

func newLogger(w io.Writer, cfg settings.Log) (log.Interface, error) {
	level, err := log.ParseLevel(cfg.Level)
	if err != nil {
		return nil, fmt.Errorf("log level %q: %w", cfg.Level, err)
	}
	return logging.New(w, level), nil
}

// Start binds the node's addresses and starts serving.
func (n *Node) Start(ctx context.Context) error {
	return n.app.Start(ctx)
}

// Stop stops the node gracefully: it rejects new requests and lets those in progress
// finish within the stop limit. If the time runs out, it logs how many were cut off.
func (n *Node) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, n.settings.Stop.Limit())
	defer cancel()
	err := n.app.Stop(ctx)
	if err != nil {
		n.logger.WithField("requests", n.callers.Active()).WithError(err).Error("stop ended early, requests cut off")
	}
	return err
}

// Logger writes to the node's log.
func (n *Node) Logger() log.Interface { return n.logger }

// ReloadTLS uses new certificates and keys for new connections; open connections are
// kept. On an error the previous certificates and keys remain in use.
func (n *Node) ReloadTLS(s settings.TLS) error { return n.tls.Reload(s) }

// Address returns the address for callers, host:port.
func (n *Node) Address() string { return n.listener.Address() }

// URL returns the base URL for callers.
func (n *Node) URL() string {
	scheme := "http://"
	if n.settings.TLS.CallerCert != "" {
		scheme = "https://"
	}
	return scheme + n.Address()
}

// AdminURL returns the base URL for operators.
func (n *Node) AdminURL() string { return "http://" + n.admin.Address() }

// Discovery returns the node's discovery of leafs.
func (n *Node) Discovery() *discovery.Discovery { return n.discovery }

// PeerAddress returns the address for other nodes, host:port; empty without peers.
func (n *Node) PeerAddress() string {
	if n.network == nil {
		return ""
	}
	return n.network.Address()
}

// Revision returns the revision of the current catalogue, or 0 without a catalogue or
// a platform.
func (n *Node) Revision() uint64 {
	if n.catalogue == nil {
		return 0
	}
	return n.catalogue.Revision()
}

// Ready returns nil if the node can take requests, or the reason why it cannot.
func (n *Node) Ready() error { return n.server.Ready() }

// Violations returns the number of invariant violations on this node.
func (n *Node) Violations() int64 { return n.entry.Violations() }

// Metrics returns the node's metrics.
func (n *Node) Metrics() *metrics.Metrics { return n.metrics }

// Guard returns the node's quarantine.
func (n *Node) Guard() *guard.Guard { return n.guard }
