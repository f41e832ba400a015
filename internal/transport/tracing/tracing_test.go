package tracing

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"go.opentelemetry.io/otel/codes"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/hickorydock/hickorydock/internal/protocol/fault"
)

const callerTraceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

func TestTraceContextIsPropagatedWhenOff(t *testing.T) {
	tracer := Off()
	ctx := tracer.Extract(t.Context(), http.Header{"Traceparent": {callerTraceparent}})
	ctx, span := tracer.Start(ctx, HopAttempt)
	defer span.End(nil)
	forwarded := http.Header{}
	tracer.Inject(ctx, forwarded)
	if got := forwarded.Get("Traceparent"); got != callerTraceparent {
		t.Errorf("got traceparent %q, want %q", got, callerTraceparent)
	}
}

func TestHopsFormOneTrace(t *testing.T) {
	exporter := tracetest.NewInMemoryExporter()
	tracer := NewWithExporter(exporter, Config{SampleShare: 0, NodeID: "n1"})
	ctx := tracer.Extract(t.Context(), http.Header{"Traceparent": {callerTraceparent}})
	ctx, caller := tracer.Start(ctx, HopCaller)
	_, first := tracer.Start(ctx, HopAttempt)
	_, hedge := tracer.StartLinked(ctx, HopAttempt, first)
	first.End(fault.New(fault.StepReply, "leaf-1", "late"))
	hedge.End(nil)
	caller.End(nil)
	if err := tracer.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
	spans := exporter.GetSpans()
	if len(spans) != 3 {
		t.Fatalf("got %d spans, want 3: the sampling decision of the caller applies", len(spans))
	}
	for _, s := range spans {
		if s.SpanContext.TraceID().String() != callerTraceparent[3:35] {
			t.Errorf("span %s is of trace %s", s.Name, s.SpanContext.TraceID())
		}
	}
	if spans[0].Status.Code != codes.Error || spans[0].Status.Description != string(fault.StepReply) {
		t.Errorf("failed attempt has status %+v", spans[0].Status)
	}
	if len(spans[1].Links) != 1 || spans[1].Links[0].SpanContext.SpanID() != spans[0].SpanContext.SpanID() {
		t.Errorf("hedge has links %v, want one to the first attempt", spans[1].Links)
	}
}

// blockedExporter blocks every export until its context ends.
type blockedExporter struct{}

func (blockedExporter) ExportSpans(ctx context.Context, _ []sdktrace.ReadOnlySpan) error {
	<-ctx.Done()
	return ctx.Err()
}

func (blockedExporter) Shutdown(context.Context) error { return nil }

func TestBlockedExporterDoesNotDelaySpans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracer := NewWithExporter(blockedExporter{}, Config{SampleShare: 1})
		start := time.Now()
		for range 3 * maxQueuedSpans {
			_, span := tracer.Start(t.Context(), HopPlan)
			span.End(nil)
		}
		if elapsed := time.Since(start); elapsed != 0 {
			t.Errorf("ending spans waited %s for the exporter", elapsed)
		}
		if err := tracer.Shutdown(context.Background()); err != nil {
			t.Fatal(err)
		}
	})
}

func TestSpansAreExportedToTheCollector(t *testing.T) {
	requests := make(chan string, 1)
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		requests <- r.URL.Path + " " + r.Header.Get("Content-Type")
	}))
	defer collector.Close()
	tracer, err := New(t.Context(), Config{Endpoint: collector.URL + "/v1/traces", SampleShare: 1})
	if err != nil {
		t.Fatal(err)
	}
	_, span := tracer.Start(t.Context(), HopCaller)
	span.End(errors.New("x"))
	if err := tracer.Shutdown(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := <-requests; got != "/v1/traces application/x-protobuf" {
		t.Errorf("collector received %q", got)
	}
}
