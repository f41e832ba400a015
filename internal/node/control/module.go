package control

import (
	"context"

	"github.com/apex/log"
	"go.uber.org/fx"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/settings"
	"github.com/hickorydock/hickorydock/internal/state/catalogue"
	"github.com/hickorydock/hickorydock/internal/transport/discovery"
	"github.com/hickorydock/hickorydock/internal/transport/metrics"
	transport "github.com/hickorydock/hickorydock/internal/transport/platform"
	"github.com/hickorydock/hickorydock/internal/transport/server"
)

// Module provides the platform's client, the catalogue in force, the node's
// readiness and the control loop, which runs from start to stop. Peers are
// taken from the graph when something provides them.
var Module = fx.Module("control",
	fx.Provide(
		provideClient,
		catalogue.New,
		provide,
		func(store *catalogue.Store) server.Services { return store },
		func(c *Control) server.Readiness { return c.Ready },
	),
)

func provideClient(s settings.Settings) platform.Client {
	return transport.New(transport.Config{BaseURL: s.Platform.URL, Timeout: s.Platform.Timeout()})
}

type parameters struct {
	fx.In
	Settings  settings.Settings
	Client    platform.Client
	Store     *catalogue.Store
	Discovery *discovery.Discovery
	Peers     Peers `optional:"true"`
	Log       log.Interface
	Metrics   *metrics.Metrics
	Lifecycle fx.Lifecycle
}

func provide(p parameters) *Control {
	c := New(Config{
		Node:             p.Settings.Node.ID,
		AvailabilityZone: p.Settings.Node.AvailabilityZone,
		Client:           p.Client,
		Store:            p.Store,
		Peers:            p.Peers,
		VMs:              p.Discovery.SetVMs,
		Log:              p.Log,
		Metrics:          p.Metrics,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	p.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				defer close(done)
				c.Run(ctx)
			}()
			return nil
		},
		OnStop: func(stop context.Context) error {
			cancel()
			select {
			case <-done:
				return nil
			case <-stop.Done():
				return stop.Err()
			}
		},
	})
	return c
}
