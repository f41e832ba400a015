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
	"github.com/hickorydock/hickorydock/internal/transport/ingress"
	"github.com/hickorydock/hickorydock/internal/transport/metrics"
	"github.com/hickorydock/hickorydock/internal/transport/peer"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
)

// Module provides the network, also as the Peers of the command runner. The network
// listens on the peer address while the node runs.
var Module = fx.Module("peering", fx.Provide(provide, func(n *Network) runner.Peers { return n }))

// closeGrace is the time within which calls of other nodes may end at a stop.
const closeGrace = time.Second

func provide(s settings.Settings, limiter *ingress.Limiter, self command.Incarnation, tls *credentials.Credentials, logger log.Interface, m *metrics.Metrics, tracer *tracing.Tracer, lifecycle fx.Lifecycle) (*Network, error) {
	dial := tls.Dialer(credentials.Nodes, new(net.Dialer).DialContext)
	n, err := New(Config{Self: self, Bootstrap: s.Node.BootstrapPeers, Dial: DialFunc(dial), Log: logger, Metrics: m, Tracer: tracer})
	if err != nil {
		return nil, err
	}
	endpoint := limiter.NewEndpoint(peer.EndpointConfig(limiter))
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			listener, err := net.Listen("tcp", s.Node.PeerAddress)
			if err != nil {
				return fault.Wrap(err, fault.StepSettings, s.Node.PeerAddress, "listen for nodes")
			}
			n.Serve(endpoint.PeerListener(tls.NodeListener(listener)))
			return nil
		},
		OnStop: func(ctx context.Context) error {
			// Forwarded commands have ended by now; a peer that hangs must not delay the stop.
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
