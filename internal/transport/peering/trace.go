package peering

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"storj.io/drpc/drpcmetadata"

	"github.com/hickorydock/hickorydock/internal/transport/tracing"
)

// startClientSpan starts the span of a call to a peer and adds its trace context to the
// call's metadata.
func (n *Network) startClientSpan(ctx context.Context, address string) (context.Context, tracing.Span) {
	ctx, span := n.cfg.Tracer.Start(ctx, tracing.HopPeer, attribute.String("peer", address))
	headers := http.Header{}
	n.cfg.Tracer.Inject(ctx, headers)
	for name := range headers {
		ctx = drpcmetadata.Add(ctx, name, headers.Get(name))
	}
	return ctx, span
}

// startServerSpan starts the span of a call from a peer under the caller's span.
func (n *Network) startServerSpan(ctx context.Context, node string) (context.Context, tracing.Span) {
	headers := http.Header{}
	metadata, _ := drpcmetadata.Get(ctx)
	for name, value := range metadata {
		headers.Set(name, value)
	}
	ctx = n.cfg.Tracer.Extract(ctx, headers)
	return n.cfg.Tracer.Start(ctx, tracing.HopPeer, attribute.String("from", node))
}
