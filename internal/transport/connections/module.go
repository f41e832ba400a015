package connections

import (
	"context"
	"sync"
	"time"

	"go.uber.org/fx"

	"github.com/hickorydock/hickorydock/internal/protocol/settings"
	"github.com/hickorydock/hickorydock/internal/state/catalogue"
	"github.com/hickorydock/hickorydock/internal/transport/relay"
	"github.com/hickorydock/hickorydock/internal/transport/upstream"
)

// Module provides the node's shares, watches the current catalogue and bounds the
// relay. The module that receives the platform's list calls SetVMs.
var Module = fx.Module("connections",
	fx.Provide(provide),
	fx.Invoke(func(s *Shares, r *relay.Relay) { r.SetShares(s) }),
)

func provide(client *upstream.Client, store *catalogue.Store, s settings.Settings, lifecycle fx.Lifecycle) *Shares {
	shares := New(client, s.Node.ID, s.Platform.Settle(), time.Now())
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	lifecycle.Append(fx.StartStopHook(
		func() {
			running.Go(func() { shares.Run(ctx) })
			// Watch fails only when ctx ends.
			running.Go(func() { _ = store.Watch(ctx, shares.SetCatalogue) })
		},
		func() { cancel(); running.Wait() },
	))
	return shares
}
