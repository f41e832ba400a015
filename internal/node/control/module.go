package control

import (
	"context"

	"github.com/apex/log"
	"go.uber.org/fx"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/settings"
	"github.com/hickorydock/hickorydock/internal/state/catalogue"
	"github.com/hickorydock/hickorydock/internal/transport/command"
	"github.com/hickorydock/hickorydock/internal/transport/connections"
	"github.com/hickorydock/hickorydock/internal/transport/discovery"
	"github.com/hickorydock/hickorydock/internal/transport/metrics"
	"github.com/hickorydock/hickorydock/internal/transport/peering"
	"github.com/hickorydock/hickorydock/internal/transport/server"
)

// Module runs the control loop against the platform.Client that the
// application provides, and serves the catalogue to the other packages.
var Module = fx.Module("control",
	fx.Provide(catalogue.New, provide, services, readiness),
	fx.Invoke(func(*Control) {}),
)

// params are the dependencies of the control loop.
type params struct {
	fx.In
	Settings  settings.Settings
	Client    platform.Client
	Store     *catalogue.Store
	Discovery *discovery.Discovery
	Shares    *connections.Shares `optional:"true"`
	Budget    *command.Budget     `optional:"true"`
	Logger    log.Interface
	Metrics   *metrics.Metrics
	Peers     Peers            `optional:"true"`
	Network   *peering.Network `optional:"true"`
	Lifecycle fx.Lifecycle
}

func provide(p params) *Control {
	c := New(Config{
		Node:             p.Settings.Node.ID,
		AvailabilityZone: p.Settings.Node.AvailabilityZone,
		Client:           p.Client,
		Store:            p.Store,
		Peers:            p.Peers,
		OnVMs:            p.setVMs,
		Log:              p.Logger,
		Metrics:          p.Metrics,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	p.Lifecycle.Append(fx.StartStopHook(
		func() { go func() { defer close(done); c.Run(ctx) }() },
		func() { cancel(); <-done },
	))
	return c
}

// setVMs passes the platform's list to the components that depend on it.
func (p params) setVMs(vms []platform.VM) {
	if p.Shares != nil {
		p.Shares.SetVMs(vms)
	}
	p.Discovery.SetVMs(vms)
	if p.Budget != nil {
		p.Budget.SetVMs(vms)
	}
	if p.Network != nil {
		p.Network.SetVMs(vms)
	}
}

func services(store *catalogue.Store) server.Services { return store }

// readyParams are the components that a node's readiness depends on.
type readyParams struct {
	fx.In
	Control *Control
	Shares  *connections.Shares `optional:"true"`
}

func readiness(p readyParams) server.Readiness {
	return func() error {
		err := p.Control.Ready()
		if err == nil && p.Shares != nil {
			err = p.Shares.Ready()
		}
		return err
	}
}
