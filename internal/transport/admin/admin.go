// Package admin serves operators on a separate listener: metrics, and the health
// probes of the platform's load balancer.
package admin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/protocol/settings"
	"github.com/hickorydock/hickorydock/internal/transport/ingress"
	"github.com/hickorydock/hickorydock/internal/transport/metrics"
)

// Module provides the admin listener.
var Module = fx.Module("admin", fx.Provide(Listen))

// stopTimeout bounds the end of requests in progress when the node stops, which little is left of
// the grace period for.
const stopTimeout = 20 * time.Millisecond

// ReadinessChecker reports whether the process may receive requests.
type ReadinessChecker interface {
	// Ready returns nil, or the reason why the process must not receive requests.
	Ready() error
}

// Listener serves operators on the admin address.
type Listener struct {
	mux     *http.ServeMux
	address string
}

// Address returns the address that the listener is bound to, host:port.
func (l *Listener) Address() string { return l.address }

// Handle registers a handler for a pattern. It must be called before the node
// starts.
func (l *Listener) Handle(pattern string, handler http.Handler) { l.mux.Handle(pattern, handler) }

// Listen binds the admin address when the node starts. Components that are constructed after it
// stop before it, so that their state can still be read while they stop.
func Listen(s settings.Settings, limiter *ingress.Limiter, m *metrics.Metrics, checker ReadinessChecker, logger log.Interface, lifecycle fx.Lifecycle) *Listener {
	l := &Listener{mux: http.NewServeMux()}
	l.Handle("GET /metrics", bounded(m.Handler()))
	l.Handle("GET /livez", http.HandlerFunc(live))
	l.Handle("GET /readyz", ready(checker))
	server := newServer(limiter, "admin", l.mux)
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			listener, err := ingress.Listen(s.Node.AdminAddress)
			if err != nil {
				return fault.Wrap(err, fault.StepSettings, s.Node.AdminAddress, "listen for operators")
			}
			l.address = listener.Addr().String()
			go server.serve(listener, logger)
			return nil
		},
		OnStop: server.stop,
	})
	return l
}

// ListenMetrics serves metrics on the metrics address, if one is configured.
func ListenMetrics(s settings.Settings, limiter *ingress.Limiter, m *metrics.Metrics, logger log.Interface, lifecycle fx.Lifecycle) {
	if s.Node.MetricsAddress == "" {
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", bounded(m.Handler()))
	server := newServer(limiter, "metrics", mux)
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			listener, err := ingress.Listen(s.Node.MetricsAddress)
			if err != nil {
				return fault.Wrap(err, fault.StepSettings, s.Node.MetricsAddress, "listen for metrics")
			}
			go server.serve(listener, logger)
			return nil
		},
		OnStop: server.stop,
	})
}

// operatorServer is the server of an operators' address.
type operatorServer struct {
	endpoint *ingress.Endpoint
	server   *http.Server
}

func newServer(limiter *ingress.Limiter, name string, handler http.Handler) *operatorServer {
	s := &operatorServer{
		endpoint: limiter.NewEndpoint(ingress.Config{
			Name:           name,
			MaxConnections: limiter.Plan().OperatorConnections,
			Limits:         func() ingress.Limits { return ingress.OperatorLimits },
			BodyFactor:     1,
		}),
		server: &http.Server{Handler: handler},
	}
	s.endpoint.Prepare(s.server)
	return s
}

// metricsBytes is what a response with metrics costs.
const metricsBytes = 512 << 10

// bounded takes the memory of a response with metrics before it is made.
func bounded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !ingress.HoldOf(r.Context()).Grow(metricsBytes) {
			w.Header().Set("Connection", "close")
			http.Error(w, "no memory for the response", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *operatorServer) serve(listener net.Listener, logger log.Interface) {
	if err := s.endpoint.Serve(s.server, listener); !errors.Is(err, http.ErrServerClosed) {
		logger.WithField("error", err.Error()).Error("admin listener failed")
	}
}

// stop lets requests in progress end within stopTimeout and closes all connections.
// http.Server.Shutdown would wait for seconds for a new connection without a request.
func (s *operatorServer) stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := s.server.Shutdown(ctx); err == nil || !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return s.server.Close()
}

func live(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprintln(w, "ok")
}

func ready(checker ReadinessChecker) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if err := checker.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
}
