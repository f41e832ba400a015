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
	"github.com/hickorydock/hickorydock/internal/transport/forward"
	"github.com/hickorydock/hickorydock/internal/transport/mesh"
)

// Bounds of callers' connections. The routing table's own limits are lower; these
// keep a connection from holding a descriptor for ever.
const (
	maxHeaderBytes = 1 << 20
	headerTimeout  = 30 * time.Second
	idleTimeout    = 10 * time.Minute
)

// Parts of the grace of a planned stop.
const (
	// noticeShare is the part in which new connections are still served, while the
	// balancer notices that the node is not ready.
	noticeShare = 0.5
	// finishShare is the part at whose end requests in progress are cut off.
	finishShare = 0.9
	// stopShare is the part at whose end batches of other nodes are cut off; the rest
	// is for writing the log and the end of the process.
	stopShare = 0.93
)

// stopTimeout bounds a planned stop but for the last lines of the log.
func stopTimeout(grace time.Duration) time.Duration {
	return time.Duration(stopShare * float64(grace))
}

// front serves callers.
type front struct {
	server     *http.Server
	forwarder  *forward.Forwarder
	controller *controller
	// leave tells other nodes to ask this one for no more shards.
	leave    func()
	log      log.Interface
	grace    time.Duration
	address  string
	stopping chan struct{}
}

func newFront(s settings.Settings, f *forward.Forwarder, c *controller, m *mesh.Mesh, logger log.Interface, lifecycle fx.Lifecycle) *front {
	fr := &front{
		forwarder:  f,
		controller: c,
		leave:      m.Leave,
		log:        logger,
		grace:      s.Forward.Grace(),
		stopping:   make(chan struct{}),
	}
	fr.server = &http.Server{
		Handler:           f,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ConnContext:       func(ctx context.Context, _ net.Conn) context.Context { return forward.TrackConnection(ctx) },
	}
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error { return fr.listen(s.Node.CallerAddress) },
		OnStop:  fr.stop,
	})
	return fr
}

func (f *front) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fault.Wrap(err, fault.StepSettings, address, "listen for callers")
	}
	f.address = listener.Addr().String()
	go func() {
		if err := f.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			f.log.WithError(err).Error("callers' listener failed")
		}
	}()
	return nil
}

// Ready says why the node must not be given work, or returns nil.
func (f *front) Ready() error {
	select {
	case <-f.stopping:
		return errors.New("stopping")
	default:
		return f.controller.Ready()
	}
}

// stop takes the node out of rotation, serves those who still come, and finishes
// what is in progress. Other nodes learn of it first, so that their shards go to other
// relays while this one still serves those on the way.
func (f *front) stop(ctx context.Context) error {
	begun := time.Now()
	close(f.stopping)
	f.controller.stopping.Store(true)
	f.leave()
	f.forwarder.Stop()
	notice := time.NewTimer(time.Duration(noticeShare * float64(f.grace)))
	defer notice.Stop()
	select {
	case <-notice.C:
	case <-ctx.Done():
	}
	finish := begun.Add(time.Duration(finishShare * float64(f.grace)))
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), finish)
	defer cancel()
	if err := f.server.Shutdown(ctx); err != nil {
		f.log.WithError(err).Error("stop ended early, requests cut off")
		return f.server.Close()
	}
	return nil
}
