package upstream

import (
	"context"
	"net"
	"sync"

	"go.uber.org/fx"

	"github.com/hickorydock/hickorydock/internal/transport/credentials"
	"github.com/hickorydock/hickorydock/internal/transport/metrics"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
)

// Module provides the client for leafs and closes it when the node stops.
var Module = fx.Module("upstream", fx.Provide(provide))

func provide(tls *credentials.Credentials, m *metrics.Metrics, tracer *tracing.Tracer, lifecycle fx.Lifecycle) *Client {
	cfg := DefaultConfig()
	cfg.Dial = countingDialer(tls.Dialer(credentials.Upstreams, new(net.Dialer).DialContext), m)
	client := New(cfg, tracer.Inject)
	lifecycle.Append(fx.StopHook(client.Close))
	return client
}

// countingDialer returns dial with every open connection counted in the metrics.
func countingDialer(dial credentials.DialFunc, m *metrics.Metrics) credentials.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, onClose: sync.OnceFunc(m.LeafConnected())}, nil
	}
}

// countedConn calls onClose on its first Close.
type countedConn struct {
	net.Conn
	onClose func()
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.onClose()
	return c.Conn.Close()
}
