package relay

import (
	"go.uber.org/fx"

	"github.com/hickorydock/hickorydock/internal/coordination/replica"
	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/protocol/settings"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
	"github.com/hickorydock/hickorydock/internal/transport/discovery"
	"github.com/hickorydock/hickorydock/internal/transport/guard"
	"github.com/hickorydock/hickorydock/internal/transport/metrics"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
	"github.com/hickorydock/hickorydock/internal/transport/upstream"
)

// Module provides the relay.
var Module = fx.Module("relay", fx.Provide(provide))

func provide(client *upstream.Client, store *shardmap.Store, d *discovery.Discovery, s settings.Settings, choose replica.Chooser, g *guard.Guard, m *metrics.Metrics, tracer *tracing.Tracer) *Relay {
	relay := New(client, store, d, s.Node.AvailabilityZone, choose, metricsObserver{m}, tracer)
	relay.guard = g
	relay.queues.maxQueue = int(s.Limits.LeafQueue)
	return relay
}

// metricsObserver counts attempts in the metrics.
type metricsObserver struct{ metrics *metrics.Metrics }

// Subrequest counts an attempt by kind.
func (m metricsObserver) Subrequest(service string, kind subrequest.Kind, restarted bool) {
	switch {
	case kind == subrequest.First && restarted:
		m.metrics.SubrequestSent(service, metrics.KindRestart)
	case kind == subrequest.First:
		m.metrics.SubrequestSent(service, metrics.KindFirst)
	case kind == subrequest.Hedge:
		m.metrics.SubrequestSent(service, metrics.KindHedge)
	case kind == subrequest.Retry:
		m.metrics.SubrequestSent(service, metrics.KindRetry)
	}
}

// Cancelled counts an attempt that was cancelled after it was sent.
func (m metricsObserver) Cancelled(service string) { m.metrics.SubrequestCancelled(service) }

// InvariantViolated counts an invariant violation.
func (m metricsObserver) InvariantViolated(name string) { m.metrics.InvariantViolated(name) }

// Refused counts an attempt that was refused before it was sent.
func (m metricsObserver) Refused(service string, quarantined bool) {
	reason := metrics.ReasonQueue
	if quarantined {
		reason = metrics.ReasonQuarantine
	}
	m.metrics.SubrequestRefused(service, reason)
}
