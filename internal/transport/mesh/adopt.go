package mesh

import (
	"context"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/reader"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/transport/follow"
)

const (
	// adoptPeriod is the time after its start in which a node may adopt a list.
	adoptPeriod = 2 * time.Second
	// adoptRetryDelay is the delay before a node looks for a member to adopt from again.
	adoptRetryDelay = 100 * time.Millisecond
)

// AdoptFromMember passes one list of a kind from a member that runs for longer to onList,
// if this node has read the platform itself. The platform may have been restored from a
// copy that is older than what the member holds. It returns after adoptPeriod at the latest.
func (c *Client) AdoptFromMember(ctx context.Context, kind platform.Kind, onList func(platform.Listing)) {
	for ctx.Err() == nil && time.Since(c.mesh.started) < adoptPeriod {
		follow.Sleep(ctx, adoptRetryDelay)
		if !c.readsPlatform.Load() {
			continue
		}
		id := reader.LongerRunning(c.mesh.Members(), c.mesh.cfg.Node)
		if id == "" {
			continue
		}
		if listing, _, err := c.fetchList(ctx, id, kind); err == nil {
			onList(listing)
			return
		}
	}
}
