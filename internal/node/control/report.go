package control

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/backoff"
	"github.com/hickorydock/hickorydock/internal/coordination/reconcile"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/transport/follow"
)

const (
	// leaveTimeout bounds the last report of a node that stops.
	leaveTimeout = time.Second
	// reportGap is the shortest time between two reports.
	reportGap = 500 * time.Millisecond
)

// report writes the node's status after each change of the revision and once in
// an interval, and a last one that ends it.
func (c *Control) report(ctx context.Context) {
	written := false
	for {
		nodes := c.vms.nodes()
		if ctx.Err() != nil {
			break
		}
		if err := c.Ready(); err != nil {
			follow.Sleep(ctx, reportGap)
			continue
		}
		follow.Sleep(ctx, time.Duration(rand.Float64()*float64(reconcile.ReportSpread(nodes))))
		if ctx.Err() != nil {
			break
		}
		interval := reconcile.ReportInterval(nodes)
		revision, err := c.writeStatus(ctx, interval)
		written = written || err == nil
		if err != nil {
			c.cfg.Log.WithError(err).Warn("status not reported")
			follow.Sleep(ctx, backoff.PlatformReconnect.Max)
			continue
		}
		follow.Sleep(ctx, reportGap)
		c.sweepOnce(ctx, nodes, interval)
		jitter := 0.5 + 0.5*rand.Float64()
		next, cancel := context.WithTimeout(ctx, time.Duration(jitter*float64(interval)))
		_, _ = c.cfg.Store.Wait(next, revision+1)
		cancel()
	}
	if !written {
		return
	}
	leaving, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	_, _ = c.writeStatus(leaving, 0)
}

// writeStatus reports the revision in force and returns it.
func (c *Control) writeStatus(ctx context.Context, interval time.Duration) (uint64, error) {
	status := platform.NodeStatus{
		Node:             c.cfg.Node,
		AvailabilityZone: c.cfg.AvailabilityZone,
		Revision:         c.cfg.Store.Revision(),
		At:               time.Now().UTC(),
		FreshFor:         interval.Seconds(),
	}
	value, err := json.Marshal(status)
	if err != nil {
		return status.Revision, err
	}
	return status.Revision, c.cfg.Client.PutStatus(ctx, platform.KindNode, c.cfg.Node, value)
}
