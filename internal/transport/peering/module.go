package peering

import (
	"context"
	"net"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/protocol/settings"
	runner "github.com/hickorydock/hickorydock/internal/transport/command"
	"github.com/hickorydock/hickorydock/internal/transport/credentials"
	"github.com/hickorydock/hickorydock/internal/transport/limits"
	"github.com/hickorydock/hickorydock/internal/transport/metrics"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
)

// Module provides the network, which listens on the peer address while the node
// runs, and lets it forward commands.
var Module = fx.Module("peering", fx.Provide(provide, func(n *Network) runner.Peers { return n }))

// acceptedConnections is the most connections from other nodes at once.
const acceptedConnections = 4096

// closeGrace is the longest time for the calls of other nodes to end.
const closeGrace = time.Second

func provide(s settings.Settings, self command.Incarnation, tls *credentials.Credentials, logger log.Interface, m *metrics.Metrics, tracer *tracing.Tracer, lifecycle fx.Lifecycle) (*Network, error) {
	dial := tls.Dialer(credentials.Nodes, new(net.Dialer).DialContext)
	n, err := New(Config{Self: self, Bootstrap: s.Node.BootstrapPeers, Dial: DialFunc(dial), Log: logger, Metrics: m, Tracer: tracer})
	if err != nil {
		return nil, err
	}
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			listener, err := net.Listen("tcp", s.Node.PeerAddress)
			if err != nil {
				return fault.Wrap(err, fault.StepSettings, s.Node.PeerAddress, "listen for nodes")
			}
			n.Serve(tls.NodeListener(limits.Listener(listener, acceptedConnections)))
			return nil
		},
		OnStop: func(ctx context.Context) error {
			// Forwarded commands have ended by now; a peer that hangs does not hold up the stop.
			ctx, cancel := context.WithTimeout(ctx, closeGrace)
			defer cancel()
			if err := n.Close(ctx); err != nil {
				logger.WithError(err).Warn("calls of peers cut off")
			}
			return nil
		},
	})
	return n, nil
}
