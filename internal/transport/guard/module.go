package guard

import (
	"go.uber.org/fx"

	"github.com/hickorydock/hickorydock/internal/transport/metrics"
)

// Module provides the guard.
var Module = fx.Module("guard", fx.Provide(provide))

func provide(m *metrics.Metrics) *Guard { return New(m.SetQuarantineSize) }
