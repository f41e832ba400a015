package gateway

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"go.uber.org/fx"

	"github.com/hickorydock/hickorydock/internal/transport/forward"
	"github.com/hickorydock/hickorydock/internal/transport/logging"
)

// TestPlannedStop checks that other nodes are notified of a stop before anything else,
// that the node is not ready from then on, that it still serves for a while, and that
// the stop ends within the grace period.
func TestPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const grace = 6 * time.Second
		leftAt := time.Time{}
		c := newTestController()
		cs := &callerServer{
			server:     &http.Server{},
			forwarder:  &forward.Forwarder{},
			controller: c,
			leave:      func() { leftAt = time.Now() },
			log:        &log.Logger{Handler: discard.Default},
			grace:      grace,
			stopping:   make(chan struct{}),
		}
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), stopTimeout(grace))
		defer cancel()
		if err := cs.stop(ctx); err != nil {
			t.Fatal(err)
		}
		if !leftAt.Equal(start) || !c.stopping.Load() {
			t.Errorf("other nodes notified after %v, want at once", leftAt.Sub(start))
		}
		if cs.Ready() == nil {
			t.Error("ready while it stops")
		}
		if elapsed := time.Since(start); elapsed < 2*time.Second || elapsed > grace {
			t.Errorf("stopped after %v", elapsed)
		}
	})
	// A process must have exited by the end of its grace period, on a small VM too.
	for _, grace := range []time.Duration{5 * time.Second, 6 * time.Second, 30 * time.Second} {
		if rest := grace - stopTimeout(grace) - logFlush; rest < 100*time.Millisecond {
			t.Errorf("%v are left of %v after the last line of the log", rest, grace)
		}
	}
}

// TestStopIsBounded checks that a component that does not stop, such as one that waits
// for an unresponsive leaf on behalf of another node, does not keep the process beyond
// its grace period.
func TestStopIsBounded(t *testing.T) {
	const grace = time.Second
	g := &Gateway{
		logger: &log.Logger{Handler: discard.Default},
		logs:   logging.NewQueue(io.Discard),
		grace:  grace,
		app: fx.New(fx.NopLogger, fx.Invoke(func(lifecycle fx.Lifecycle) {
			lifecycle.Append(fx.Hook{OnStop: func(ctx context.Context) error {
				select {
				case <-ctx.Done():
				case <-time.After(10 * grace):
				}
				return nil
			}})
		})),
	}
	g.callerServer = &callerServer{}
	if err := g.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	_ = g.Stop(context.WithoutCancel(t.Context())) // fails, since a component was cut off
	if elapsed := time.Since(start); elapsed > grace {
		t.Errorf("stopped after %v, grace period %v", elapsed, grace)
	}
}

// TestConnectionsOfNodeThatLeaves checks that a stopping node keeps its connections for
// the shards that other nodes still send to it.
func TestConnectionsOfNodeThatLeaves(t *testing.T) {
	c := newTestController()
	c.leafChanged(leafEvent("a"))
	c.stopping.Store(true)
	savedRelays := c.relays
	c.relays = nil // panics if the assignment is read
	c.applyAssignment()
	c.relays = savedRelays
}
