package discovery

import (
	"go.uber.org/fx"

	"github.com/hickorydock/hickorydock/internal/protocol/settings"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
	"github.com/hickorydock/hickorydock/internal/transport/upstream"
)

// Module provides the discovery of leafs and stops its polls when the node stops.
var Module = fx.Module("discovery", fx.Provide(leaf.NewTable, shardmap.NewStore, provide))

func provide(client *upstream.Client, store *shardmap.Store, table *leaf.Table, s settings.Settings, lifecycle fx.Lifecycle) *Discovery {
	d := New(client, store, table, s.Query.ManifestInterval())
	lifecycle.Append(fx.StopHook(d.Close))
	return d
}
