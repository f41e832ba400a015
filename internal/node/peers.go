package node

import (
	"context"

	"go.uber.org/fx"

	"github.com/hickorydock/hickorydock/internal/node/control"
	"github.com/hickorydock/hickorydock/internal/state/catalogue"
	"github.com/hickorydock/hickorydock/internal/transport/command"
	"github.com/hickorydock/hickorydock/internal/transport/guard"
	"github.com/hickorydock/hickorydock/internal/transport/peering"
	"github.com/hickorydock/hickorydock/internal/transport/server"
)

// peerModule connects a node to the other nodes of its platform.
var peerModule = fx.Options(
	peering.Module,
	fx.Provide(func(n *peering.Network) control.Peers { return n }),
	fx.Invoke(handlePeers, notifyPeersOnStop),
)

// optionalDeps are the components that only a node with a platform has.
type optionalDeps struct {
	fx.In
	Network   *peering.Network `optional:"true"`
	Catalogue *catalogue.Store `optional:"true"`
}

func handlePeers(n *peering.Network, c *control.Control, r *command.Runner, g *guard.Guard) {
	n.SetHandlers(peering.Handlers{Offer: c.Offer, Forward: r.ServeForward, OnReport: g.Receive})
	g.SetPeers(n)
}

// notifyPeersOnStop notifies the other nodes of a planned stop before the node rejects
// its callers: stop hooks run in reverse order, and the listener's was added before.
func notifyPeersOnStop(n *peering.Network, _ *server.Listener, lifecycle fx.Lifecycle) {
	lifecycle.Append(fx.StopHook(func(ctx context.Context) { n.Leave(ctx) }))
}
