package status

import (
	"go.uber.org/fx"

	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/settings"
	"github.com/hickorydock/hickorydock/internal/state/catalogue"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/transport/admin"
	"github.com/hickorydock/hickorydock/internal/transport/discovery"
	"github.com/hickorydock/hickorydock/internal/transport/metrics"
	"github.com/hickorydock/hickorydock/internal/transport/server"
)

// Module serves the page at the root of the admin listener.
var Module = fx.Module("status", fx.Invoke(register))

// params are the dependencies of the page.
type params struct {
	fx.In
	Settings  settings.Settings
	Catalogue *catalogue.Store `optional:"true"`
	Callers   *server.Server
	Discovery *discovery.Discovery
	Leafs     *leaf.Table
	Metrics   *metrics.Metrics
	Admin     *admin.Listener
}

func register(p params) {
	sources := Sources{
		NodeID:           p.Settings.Node.ID,
		AvailabilityZone: p.Settings.Node.AvailabilityZone,
		Catalogue:        func() (note.Catalogue, bool) { return note.Catalogue{}, false },
		Ready:            p.Callers.Ready,
		VMs:              p.Discovery.VMs,
		LeafTable:        p.Leafs,
		Services:         p.Metrics.ServiceSummaries,
	}
	if p.Catalogue != nil {
		sources.Catalogue = p.Catalogue.Current
	}
	p.Admin.Handle("GET /{$}", New(sources))
}
