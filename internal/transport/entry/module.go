package entry

import (
	"go.uber.org/fx"

	"github.com/hickorydock/hickorydock/internal/protocol/settings"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
	"github.com/hickorydock/hickorydock/internal/transport/guard"
	"github.com/hickorydock/hickorydock/internal/transport/metrics"
	"github.com/hickorydock/hickorydock/internal/transport/relay"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
)

// Module provides an Entry.
var Module = fx.Module("entry", fx.Provide(provide))

func provide(s settings.Settings, store *shardmap.Store, runner *relay.Relay, g *guard.Guard, m *metrics.Metrics, tracer *tracing.Tracer) *Entry {
	cfg := DefaultConfig()
	cfg.ReturnReserve = s.Query.ReturnReserve()
	cfg.MaxQueries = int(s.Limits.MaxConcurrentQueries)
	cfg.MaxQueue = int(s.Limits.QueryQueue)
	cfg.MaxItems = int(s.Limits.MaxItems)
	cfg.MaxAnswerBytes = int(s.Limits.MaxAnswerBytes)
	cfg.CanaryShards = int(s.Query.CanaryShards)
	entry := New(cfg, store, runner, m.InvariantViolated, tracer)
	entry.guard = g
	entry.onAdmission = m.SetAdmission
	return entry
}
