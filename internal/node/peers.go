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

// peers connects a node with the others of its platform.
var peers = fx.Options(
	peering.Module,
	fx.Provide(func(n *peering.Network) control.Peers { return n }),
	fx.Invoke(answerPeers, tellPeersFirst),
)

// optional is what only a node with a platform has.
type optional struct {
	fx.In
	Network   *peering.Network `optional:"true"`
	Catalogue *catalogue.Store `optional:"true"`
}

func answerPeers(n *peering.Network, c *control.Control, r *command.Runner, g *guard.Guard) {
	n.SetHandlers(peering.Handlers{Offer: c.Offer, Forward: r.ServeForward, OnReport: g.Receive})
	g.SetPeers(n)
}

// tellPeersFirst makes a planned stop tell the other nodes before callers are
// refused: hooks stop in reverse order, and the listener's is older than this one.
func tellPeersFirst(n *peering.Network, _ *server.Listener, lifecycle fx.Lifecycle) {
	lifecycle.Append(fx.StopHook(func(ctx context.Context) { n.Leave(ctx) }))
}
