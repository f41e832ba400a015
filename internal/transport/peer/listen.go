package peer

import (
	"context"
	"net"
	"sync"

	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcserver"

	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
	"github.com/hickorydock/hickorydock/internal/transport/ingress"
)

// EndpointConfig returns the bounds of the address for other nodes.
func EndpointConfig(limiter *ingress.Limiter) ingress.Config {
	return ingress.Config{
		Name:           "peers",
		MaxConnections: limiter.Plan().PeerConnections,
		Limits:         func() ingress.Limits { return ingress.OperatorLimits },
	}
}

// Listen listens for other nodes. A nil endpoint sets no bounds. Connections keep the buffers of the
// system, since nodes hand on long lists.
func Listen(address string, endpoint *ingress.Endpoint) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil || endpoint == nil {
		return listener, err
	}
	return endpoint.PeerListener(listener), nil
}

// ServeAll serves the calls of other nodes on a listener until ctx ends, and then closes all
// connections. Handlers find the connection of their call in its context.
func ServeAll(ctx context.Context, server *drpcserver.Server, listener net.Listener) error {
	var running sync.WaitGroup
	defer running.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(ctx, func() { _ = listener.Close() })()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		// A connection that ends is not an error of the server; senders get ErrStreamLost.
		running.Go(func() { _ = server.ServeOne(drpcctx.WithTransport(ctx, conn), conn) })
	}
}

// Introduce checks the first message of another node on the connection of a call.
func (c Config) Introduce(ctx context.Context, h *contract.Hello) (uint32, error) {
	version, err := c.NegotiateVersion(h)
	if err == nil {
		ingress.Introduced(ctx)
	}
	return version, err
}
