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
	// leaveTimeout limits the last report of a node that stops.
	leaveTimeout = time.Second
	// minReportInterval is the shortest time between two reports.
	minReportInterval = 500 * time.Millisecond
)

// report writes the node's status after each change of the revision and once per
// interval. When ctx ends, it writes a last one with an interval of 0, which marks the
// node as stopped, if it has written any.
func (c *Control) report(ctx context.Context) {
	written := false
	for {
		nodes := c.vms.liveNodes()
		if ctx.Err() != nil {
			break
		}
		if err := c.Ready(); err != nil {
			follow.Sleep(ctx, minReportInterval)
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
			c.cfg.Log.WithError(err).Warn("failed to report status")
			follow.Sleep(ctx, backoff.PlatformReconnect.Max)
			continue
		}
		follow.Sleep(ctx, minReportInterval)
		c.maybeSweep(ctx, nodes, interval)
		jitter := 0.5 + 0.5*rand.Float64()
		waitCtx, cancel := context.WithTimeout(ctx, time.Duration(jitter*float64(interval)))
		_, _ = c.cfg.Store.Wait(waitCtx, revision+1)
		cancel()
	}
	if !written {
		return
	}
	leaveCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	_, _ = c.writeStatus(leaveCtx, 0)
}

// writeStatus reports the current revision and returns it.
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
