// Package tracing starts a span for each hop of a request and carries the W3C
// trace context between processes. Without a collector no span is recorded, but
// a caller's trace context still reaches the upstreams. Spans are exported in
// batches from a bounded queue. When the queue is full, spans are dropped, so that
// exporting never delays a query.
package tracing

import (
	"context"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"github.com/hickorydock/hickorydock/internal/protocol/fault"
)

// Hop is the name of a span.
type Hop string

// Hops of a request.
const (
	HopCaller  Hop = "caller"
	HopPlan    Hop = "plan"
	HopPeer    Hop = "peer"
	HopAttempt Hop = "attempt"
)

const (
	instrumentation = "github.com/hickorydock/hickorydock"
	// maxQueuedSpans bounds the spans that are queued for export.
	maxQueuedSpans = 4096
	// exportTimeout bounds one export.
	exportTimeout = 5 * time.Second
)

// Config sets the destination of spans, the sampling and the attributes of the
// process.
type Config struct {
	// Endpoint is the URL of an OTLP/HTTP collector; empty turns tracing off.
	Endpoint string
	// SampleShare is the share of new traces that are recorded, in [0, 1].
	SampleShare float64
	// NodeID and AvailabilityZone describe this process in every span.
	NodeID           string
	AvailabilityZone string
}

// Tracer starts spans. It is safe for concurrent use.
type Tracer struct {
	// tracer is nil when nothing is recorded.
	tracer     trace.Tracer
	propagator propagation.TextMapPropagator
	flush      func(context.Context) error
	shutdown   func(context.Context) error
}

// New returns a tracer for a configuration. It makes no connection by itself.
func New(ctx context.Context, config Config) (*Tracer, error) {
	if config.Endpoint == "" {
		return Off(), nil
	}
	exporter, err := otlptracehttp.New(ctx,
		otlptracehttp.WithEndpointURL(config.Endpoint), otlptracehttp.WithTimeout(exportTimeout))
	if err != nil {
		return nil, fault.Wrap(err, fault.StepSettings, config.Endpoint, "trace exporter")
	}
	return NewWithExporter(exporter, config), nil
}

// Off returns a tracer that records nothing and propagates trace context.
func Off() *Tracer {
	noop := func(context.Context) error { return nil }
	return &Tracer{
		propagator: propagation.TraceContext{},
		flush:      noop,
		shutdown:   noop,
	}
}

// NewWithExporter returns a tracer that exports to exporter in batches.
func NewWithExporter(exporter sdktrace.SpanExporter, config Config) *Tracer {
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter, sdktrace.WithMaxQueueSize(maxQueuedSpans), sdktrace.WithExportTimeout(exportTimeout)),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(config.SampleShare))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "hickorydock"),
			attribute.String("service.instance.id", config.NodeID),
			attribute.String("cloud.availability_zone", config.AvailabilityZone),
		)),
	)
	return &Tracer{
		tracer:     provider.Tracer(instrumentation),
		propagator: propagation.TraceContext{},
		flush:      provider.ForceFlush,
		shutdown:   provider.Shutdown,
	}
}

// Span is one hop in progress. The zero Span records nothing.
type Span struct {
	span trace.Span
}

var hopKinds = map[Hop]trace.SpanKind{
	HopCaller:  trace.SpanKindServer,
	HopPlan:    trace.SpanKindInternal,
	HopPeer:    trace.SpanKindClient,
	HopAttempt: trace.SpanKindClient,
}

// Start begins the span of a hop under the span in ctx, if there is one.
func (t *Tracer) Start(ctx context.Context, hop Hop, attrs ...attribute.KeyValue) (context.Context, Span) {
	if t.tracer == nil {
		return ctx, Span{}
	}
	ctx, span := t.tracer.Start(ctx, string(hop), trace.WithSpanKind(hopKinds[hop]), trace.WithAttributes(attrs...))
	return ctx, Span{span: span}
}

// StartLinked begins the span of a hop with a link to another span: the span of a
// hedge, for example, links to that of the first attempt.
func (t *Tracer) StartLinked(ctx context.Context, hop Hop, linked Span, attrs ...attribute.KeyValue) (context.Context, Span) {
	if t.tracer == nil {
		return ctx, Span{}
	}
	options := []trace.SpanStartOption{trace.WithSpanKind(hopKinds[hop]), trace.WithAttributes(attrs...)}
	if linked.span != nil {
		options = append(options, trace.WithLinks(trace.Link{SpanContext: linked.span.SpanContext()}))
	}
	ctx, span := t.tracer.Start(ctx, string(hop), options...)
	return ctx, Span{span: span}
}

// Inject writes the trace context of ctx into the headers of a request.
func (t *Tracer) Inject(ctx context.Context, h http.Header) {
	t.propagator.Inject(ctx, propagation.HeaderCarrier(h))
}

// Extract returns ctx with the trace context of a received request.
func (t *Tracer) Extract(ctx context.Context, h http.Header) context.Context {
	return t.propagator.Extract(ctx, propagation.HeaderCarrier(h))
}

// Flush exports the queued spans. It stops when ctx ends.
func (t *Tracer) Flush(ctx context.Context) error { return t.flush(ctx) }

// Shutdown exports the queued spans, until ctx ends, and stops the exporter.
func (t *Tracer) Shutdown(ctx context.Context) error { return t.shutdown(ctx) }

// SetAttributes adds attributes to the span.
func (s Span) SetAttributes(attrs ...attribute.KeyValue) {
	if s.span != nil {
		s.span.SetAttributes(attrs...)
	}
}

// End closes the span; err marks it as failed.
func (s Span) End(err error) {
	if s.span == nil {
		return
	}
	if err != nil {
		s.span.RecordError(err)
		s.span.SetStatus(codes.Error, string(fault.From(err).Step))
	}
	s.span.End()
}
