package upstream

import (
	"net"

	"go.uber.org/fx"

	"github.com/hickorydock/hickorydock/internal/transport/credentials"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
)

// Module provides the client for leafs and closes it when the node stops.
var Module = fx.Module("upstream", fx.Provide(provide))

func provide(tls *credentials.Credentials, tracer *tracing.Tracer, lifecycle fx.Lifecycle) *Client {
	cfg := DefaultConfig()
	cfg.Dial = tls.Dialer(credentials.Upstreams, new(net.Dialer).DialContext)
	client := New(cfg, tracer.Inject)
	lifecycle.Append(fx.StopHook(client.Close))
	return client
}
