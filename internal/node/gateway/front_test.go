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

// TestPlannedStop holds that a stop is announced before anything else, that the node
// is not ready from then on, that it still serves for a while, and that all ends within
// the grace.
func TestPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const grace = 6 * time.Second
		left := time.Time{}
		c := newTestController()
		f := &front{
			server:     &http.Server{},
			forwarder:  &forward.Forwarder{},
			controller: c,
			leave:      func() { left = time.Now() },
			log:        &log.Logger{Handler: discard.Default},
			grace:      grace,
			stopping:   make(chan struct{}),
		}
		begun := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), stopTimeout(grace))
		defer cancel()
		if err := f.stop(ctx); err != nil {
			t.Fatal(err)
		}
		if !left.Equal(begun) || !c.stopping.Load() {
			t.Errorf("announced after %v, want at once", left.Sub(begun))
		}
		if f.Ready() == nil {
			t.Error("ready while it stops")
		}
		if took := time.Since(begun); took < 2*time.Second || took > grace {
			t.Errorf("stopped after %v", took)
		}
	})
	// A process has to be gone at the end of its grace, on a small VM too.
	for _, grace := range []time.Duration{5 * time.Second, 6 * time.Second, 30 * time.Second} {
		if rest := grace - stopTimeout(grace) - logFlush; rest < 100*time.Millisecond {
			t.Errorf("%v are left of %v after the last line of the log", rest, grace)
		}
	}
}

// TestStopIsBounded holds that a part that does not end, such as a batch of another
// node at a silent leaf, does not keep the process beyond its grace.
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
	g.front = &front{}
	if err := g.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	begun := time.Now()
	_ = g.Stop(context.WithoutCancel(t.Context())) // the part was cut off
	if took := time.Since(begun); took > grace {
		t.Errorf("stopped after %v, grace %v", took, grace)
	}
}

// TestConnectionsOfNodeThatLeaves holds that a node that stops keeps its connections
// for the shards that others still ask it for.
func TestConnectionsOfNodeThatLeaves(t *testing.T) {
	c := newTestController()
	c.leafChanged(leafEvent("a"))
	c.stopping.Store(true)
	moved := c.relays
	c.relays = nil // would be asked for the division
	c.followDivision()
	c.relays = moved
}
