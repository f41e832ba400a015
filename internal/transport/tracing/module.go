package tracing

import (
	"context"

	"go.uber.org/fx"

	"github.com/hickorydock/hickorydock/internal/protocol/settings"
)

// FromSettings returns the tracer of a node. It is shut down when the node stops.
func FromSettings(s settings.Settings, lifecycle fx.Lifecycle) (*Tracer, error) {
	tracer, err := New(context.Background(), Config{
		Endpoint:         s.Trace.OTLPEndpoint,
		SampleShare:      s.Trace.SampleShare,
		NodeID:           s.Node.ID,
		AvailabilityZone: s.Node.AvailabilityZone,
	})
	if err != nil {
		return nil, err
	}
	lifecycle.Append(fx.StopHook(tracer.Shutdown))
	return tracer, nil
}
