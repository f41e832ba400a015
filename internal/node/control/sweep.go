package control

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/reconcile"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// maybeSweep removes expired status objects, so that replaced nodes do not fill the
// platform's store. It does so with a probability by which about one node of the
// fleet sweeps in each reconcile.SweepInterval.
func (c *Control) maybeSweep(ctx context.Context, nodes int, interval time.Duration) {
	if rand.Float64() >= reconcile.SweepProbability(nodes, interval) {
		return
	}
	removed, err := c.sweep(ctx)
	entry := c.cfg.Log.WithField("removed", removed)
	if err != nil {
		entry.WithError(err).Warn("failed to remove all expired status objects")
		return
	}
	if removed > 0 {
		entry.Info("expired status objects removed")
	}
}

// sweep deletes each expired object only at the version that it read: a node that
// reports in the meantime keeps its object.
func (c *Control) sweep(ctx context.Context) (removed int, err error) {
	listing, err := c.cfg.Client.List(ctx, platform.KindNode)
	if err != nil {
		return 0, err
	}
	now := time.Now()
	for _, object := range listing.Objects {
		if removed == reconcile.MaxSweepRemovals {
			break
		}
		var status platform.NodeStatus
		if json.Unmarshal(object.Value, &status) != nil || !reconcile.IsExpired(status, now) {
			continue
		}
		err := c.cfg.Client.Delete(ctx, platform.KindNode, object.Name, object.Version)
		if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrNotFound) {
			continue
		}
		if err != nil {
			return removed, err
		}
		removed++
	}
	return removed, nil
}
