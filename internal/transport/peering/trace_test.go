package peering

import (
	"context"
	"testing"

	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
)

// TestForwardIsOneTrace checks that the spans of both nodes belong to the caller's trace
// and that the answering node's span is a child of the calling node's.
func TestForwardIsOneTrace(t *testing.T) {
	exporter := tracetest.NewInMemoryExporter()
	tracer := tracing.NewWithExporter(exporter, tracing.Config{SampleShare: 1})
	traced := func(_ *Network, cfg *Config) { cfg.Tracer = tracer }
	f := &fabric{t: t, listeners: map[string]*pipes{}, silent: map[string]bool{}, dials: map[string]int{}}
	a := f.start("a", Handlers{}, traced)
	b := f.start("b", Handlers{Forward: echoQuery}, traced)
	defer func() {
		_ = a.Close(context.Background())
		_ = b.Close(context.Background())
	}()
	a.SetVMs(vms("a", "b"))
	ctx, caller := tracer.Start(t.Context(), tracing.HopCaller)
	if _, err := a.Forward(ctx, "b", command.ForwardedCommand{}); err != nil {
		t.Fatal(err)
	}
	caller.End(nil)
	if err := tracer.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
	spans := exporter.GetSpans().Snapshots()
	if len(spans) != 3 {
		t.Fatalf("%d spans, want those of the answering node, the calling node and the caller", len(spans))
	}
	for i := range 2 {
		if spans[i].Name() != string(tracing.HopPeer) || spans[i].Parent().SpanID() != spans[i+1].SpanContext().SpanID() {
			t.Errorf("span %s is under %s, want under %s", spans[i].Name(), spans[i].Parent().SpanID(), spans[i+1].SpanContext().SpanID())
		}
	}
}
