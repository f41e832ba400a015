package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/protocol/settings"
	"github.com/hickorydock/hickorydock/internal/state/routing"
	"github.com/hickorydock/hickorydock/internal/transport/forward"
	"github.com/hickorydock/hickorydock/internal/transport/ingress"
	"github.com/hickorydock/hickorydock/internal/transport/mesh"
)

// bodyFactor is the ratio of what the body of a request costs to its size, since its buffer is
// copied as it grows.
const bodyFactor = 2

// Phases of a planned stop, each as a fraction of the grace period at which it ends.
const (
	// lameDuckFraction ends the phase in which new connections are still served, while
	// the load balancer notices that the node is not ready.
	lameDuckFraction = 0.5
	// sendFraction ends the phase in which attempts are sent to leafs. The leafs have the
	// rest of the time until answerFraction for what they have received.
	sendFraction = 0.65
	// answerFraction ends the phase in which requests in progress may finish; those that
	// remain are answered with what has arrived.
	answerFraction = 0.87
	// shutdownFraction ends the phase in which responses are written; connections that remain
	// are cut off.
	shutdownFraction = 0.9
	// stopFraction ends the phase in which batches of other nodes may finish; those that
	// remain are cut off. The rest of the grace period is for writing the log and for the
	// exit of the process.
	stopFraction = 0.93
)

// stopTimeout returns the limit of a planned stop, not counting the last log lines.
func stopTimeout(grace time.Duration) time.Duration {
	return time.Duration(stopFraction * float64(grace))
}

// callerServer is the HTTP server for callers.
type callerServer struct {
	server     *http.Server
	endpoint   *ingress.Endpoint
	forwarder  *forward.Forwarder
	controller *controller
	// leave notifies other nodes, so that they send no more shards to this one.
	leave    func()
	log      log.Interface
	grace    time.Duration
	address  string
	stopping chan struct{}
}

func newCallerServer(s settings.Settings, limiter *ingress.Limiter, routes *routing.Store, f *forward.Forwarder, c *controller, m *mesh.Mesh, ready *readiness, logger log.Interface, lifecycle fx.Lifecycle) *callerServer {
	cs := &callerServer{
		forwarder:  f,
		controller: c,
		leave:      m.Leave,
		log:        logger,
		grace:      s.Forward.Grace(),
		stopping:   make(chan struct{}),
	}
	cs.server = &http.Server{
		Handler:     f,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context { return forward.TrackConnection(ctx) },
	}
	cs.endpoint = limiter.NewEndpoint(ingress.Config{
		Name:           "callers",
		MaxConnections: limiter.Plan().CallerConnections,
		Limits:         func() ingress.Limits { return callerLimits(routes) },
		BodyFactor:     bodyFactor,
	})
	cs.endpoint.Prepare(cs.server)
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			if err := cs.listen(s.Node.CallerAddress); err != nil {
				return err
			}
			ready.server.Store(cs)
			return nil
		},
		OnStop: cs.stop,
	})
	return cs
}

// callerLimits returns the limits of the routing table that is in force.
func callerLimits(routes *routing.Store) ingress.Limits {
	index := routes.Current()
	if index == nil {
		return ingress.Limits{}
	}
	return ingress.Limits{
		HeadBytes:   index.Table.Limits.HeaderBytes,
		HeadTimeout: index.Table.Limits.HeaderTimeout,
		IdleTimeout: index.Table.Limits.IdleTimeout,
	}
}

func (cs *callerServer) listen(address string) error {
	listener, err := ingress.Listen(address)
	if err != nil {
		return fault.Wrap(err, fault.StepSettings, address, "listen for callers")
	}
	cs.address = listener.Addr().String()
	go func() {
		if err := cs.endpoint.Serve(cs.server, listener); !errors.Is(err, http.ErrServerClosed) {
			cs.log.WithError(err).Error("callers' listener failed")
		}
	}()
	return nil
}

// Ready returns nil if the node can take requests, or the reason why it cannot.
func (cs *callerServer) Ready() error {
	select {
	case <-cs.stopping:
		return errors.New("stopping")
	default:
		return cs.controller.Ready()
	}
}

// stop makes the node not ready, serves new requests until the load balancer has
// noticed, and finishes those in progress. It notifies other nodes first, so that they
// send their shards to other relays while this one still serves those in flight. What still
// waits for a leaf late in the stop is rejected, and what is not finished is answered, so that
// no caller loses its connection without a response.
func (cs *callerServer) stop(ctx context.Context) error {
	start := time.Now()
	close(cs.stopping)
	cs.controller.stopping.Store(true)
	cs.leave()
	cs.forwarder.Stop()
	// The requests of other nodes may last longer than those of callers, so that the phases
	// do not end with this function.
	time.AfterFunc(cs.fractionOfGrace(sendFraction), cs.stopSending)
	time.AfterFunc(cs.fractionOfGrace(answerFraction), cs.endRequests)
	lameDuck := time.NewTimer(cs.fractionOfGrace(lameDuckFraction))
	defer lameDuck.Stop()
	select {
	case <-lameDuck.C:
	case <-ctx.Done():
	}
	deadline := start.Add(cs.fractionOfGrace(shutdownFraction))
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	if err := cs.server.Shutdown(ctx); err != nil {
		cs.log.WithError(err).Warn("connections of callers closed at the end of the stop")
		return cs.server.Close()
	}
	return nil
}

func (cs *callerServer) stopSending() {
	cs.log.Info("planned stop: attempts that wait for a leaf are withdrawn")
	cs.forwarder.StopSending()
}

func (cs *callerServer) endRequests() {
	cs.log.Info("planned stop: requests in progress are answered with what has arrived")
	cs.forwarder.EndRequests()
}

func (cs *callerServer) fractionOfGrace(fraction float64) time.Duration {
	return time.Duration(fraction * float64(cs.grace))
}
