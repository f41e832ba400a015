package upstream

import (
	"go.uber.org/fx"

	"github.com/hickorydock/hickorydock/internal/transport/tracing"
)

// Module provides the client for leafs and closes it when the node stops.
var Module = fx.Module("upstream", fx.Provide(provide))

func provide(tracer *tracing.Tracer, lifecycle fx.Lifecycle) *Client {
	client := New(DefaultConfig(), tracer.Inject)
	lifecycle.Append(fx.StopHook(client.Close))
	return client
}
