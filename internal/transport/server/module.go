package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/protocol/settings"
	"github.com/hickorydock/hickorydock/internal/transport/credentials"
	"github.com/hickorydock/hickorydock/internal/transport/entry"
	"github.com/hickorydock/hickorydock/internal/transport/ingress"
	"github.com/hickorydock/hickorydock/internal/transport/limits"
	"github.com/hickorydock/hickorydock/internal/transport/metrics"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
)

// Module provides the server and the listener for callers.
var Module = fx.Module("server", fx.Provide(provide, Listen))

// Readiness returns nil when the node accepts work, or the reason why not.
type Readiness func() error

func provide(s settings.Settings, services Services, queries *entry.Entry, ready Readiness, m *metrics.Metrics, tracer *tracing.Tracer, logger log.Interface) *Server {
	cfg := Config{MaxBodyBytes: s.Limits.MaxBodyBytes, MaxDeadline: s.Limits.MaxDeadline(), Ready: ready}
	return New(cfg, services, queries, metricsObserver{m, logger}, tracer)
}

// metricsObserver counts requests in the metrics and logs those that failed.
type metricsObserver struct {
	metrics *metrics.Metrics
	logger  log.Interface
}

// Started counts a request as in progress.
func (m metricsObserver) Started() (done func()) { return m.metrics.QueryStarted() }

// Finished records the end of a request.
func (m metricsObserver) Finished(service string, outcome query.Outcome, coverage query.Coverage, elapsed time.Duration, err error) {
	if err == nil {
		m.metrics.QueryDone(service, outcome, elapsed, coverage)
		return
	}
	e := fault.From(err)
	m.metrics.RequestRefused(refusalOf(e))
	m.logger.WithFields(log.Fields{
		"request_id": e.RequestID, "service": service, "step": string(e.Step), "peer": e.Peer, "outcome": string(e.Outcome), "error": e.Detail(),
	}).Warn("request failed")
}

// refusalOf returns the refusal that the metrics count for an error.
func refusalOf(e *fault.Error) metrics.RefusalReason {
	switch e.Status {
	case http.StatusBadRequest:
		return metrics.RefusalBadRequest
	case http.StatusUnauthorized:
		return metrics.RefusalToken
	case http.StatusNotFound:
		return metrics.RefusalUnknownService
	case http.StatusRequestEntityTooLarge:
		return metrics.RefusalTooLarge
	case http.StatusUnprocessableEntity:
		return metrics.RefusalQuarantine
	case http.StatusServiceUnavailable:
		return metrics.RefusalOverload
	default:
		return metrics.RefusalDeadline
	}
}

// Listener serves callers on the caller address.
type Listener struct {
	address string
}

// Address is the address that the listener is bound to, host:port.
func (l *Listener) Address() string { return l.address }

// Listen binds the caller address when the node starts. When it stops, requests
// in progress are finished before connections close.
func Listen(s settings.Settings, limiter *ingress.Limiter, handler *Server, tls *credentials.Credentials, logger log.Interface, lifecycle fx.Lifecycle) *Listener {
	l := &Listener{}
	conns := &connections{}
	server := limits.NewServer(handler, s.Limits)
	server.ConnState = conns.connState
	endpoint := limiter.NewEndpoint(endpointConfig(limiter, s.Limits))
	endpoint.Prepare(server)
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			listener, err := ingress.Listen(s.Node.CallerAddress)
			if err != nil {
				return fault.Wrap(err, fault.StepSettings, s.Node.CallerAddress, "listen for callers")
			}
			l.address = listener.Addr().String()
			go serve(endpoint, server, tls.CallerListener(listener), logger)
			return nil
		},
		OnStop: func(ctx context.Context) error {
			handler.Stop(ctx)
			conns.waitUntilQuiet(ctx)
			return server.Shutdown(ctx)
		},
	})
	return l
}

// bodyFactor is the ratio of what the JSON body of a request costs to its size: as received, as
// decoded and as sent to leafs.
const bodyFactor = 4

// endpointConfig returns the bounds of the address for callers.
func endpointConfig(limiter *ingress.Limiter, l settings.Limits) ingress.Config {
	limits := ingress.Limits{
		HeadBytes:   l.MaxHeaderBytes,
		HeadTimeout: settings.Milliseconds(l.HeaderTimeoutMS),
		IdleTimeout: settings.Milliseconds(l.IdleTimeoutMS),
		BodyTimeout: settings.Milliseconds(l.BodyTimeoutMS),
	}
	return ingress.Config{
		Name:           "callers",
		MaxConnections: min(int(l.MaxConnections), limiter.Plan().CallerConnections),
		Limits:         func() ingress.Limits { return limits },
		BodyFactor:     bodyFactor,
	}
}

func serve(endpoint *ingress.Endpoint, server *http.Server, listener net.Listener, logger log.Interface) {
	if err := endpoint.Serve(server, listener); !errors.Is(err, http.ErrServerClosed) {
		logger.WithField("error", err.Error()).Error("caller listener failed")
	}
}
