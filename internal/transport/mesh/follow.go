package mesh

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/transport/follow"
)

const (
	// platformRejectionTTL is how long a node that the platform does not serve is no
	// reader, so that other nodes are chosen. In an outage of the platform this applies to
	// all nodes, and the outage may be over when this time ends.
	platformRejectionTTL = 1 * time.Second
	// coalesceDelay is the pause of a reader after a change, so that changes in quick
	// succession cost one call of the platform.
	coalesceDelay = 100 * time.Millisecond
)

// errSourceChanged ends a watch of the platform by a node that is no longer a reader.
var errSourceChanged = errors.New("another source was chosen")

// List returns all objects of a kind from a source. When a source fails, it is passed
// over and the next one is tried after sourceRetryDelay.
func (c *Client) List(ctx context.Context, kind platform.Kind) (platform.Listing, error) {
	for {
		source, err := c.awaitSource(ctx, kind)
		if err != nil {
			return platform.Listing{}, fault.Wrap(err, fault.StepPlatform, "", "list %s: no source", kind)
		}
		if source.Platform {
			return c.listPlatform(ctx, kind)
		}
		listing, err := c.listPeer(ctx, source.Peer, kind)
		if err == nil || ctx.Err() != nil {
			return listing, err
		}
		follow.Sleep(ctx, sourceRetryDelay)
	}
}

func (c *Client) listPlatform(ctx context.Context, kind platform.Kind) (platform.Listing, error) {
	requestedAt := time.Now()
	listing, err := c.Client.List(ctx, kind)
	if err != nil {
		c.platformRejected(ctx, kind, err)
		return listing, err
	}
	c.readsPlatform.Store(true)
	if !c.mesh.cfg.Mirror.Replace(kind, listing, requestedAt) && platform.Era(listing.Version) < c.mesh.cfg.Mirror.Era(kind) {
		return platform.Listing{}, fault.Wrap(platform.ErrUnavailable, fault.StepPlatform, "", "list %s: reply is of an earlier era", kind)
	}
	return listing, nil
}

// Watch follows a kind until ctx ends, each or the platform returns an error, the changes
// since from are no longer available, or there is no source. If another node fails, the
// watch continues from another source.
func (c *Client) Watch(ctx context.Context, kind platform.Kind, from uint64, each func(platform.Event) error) error {
	for {
		source, err := c.awaitSource(ctx, kind)
		if err != nil {
			return fault.Wrap(err, fault.StepPlatform, "", "watch %s: no source", kind)
		}
		if source.Platform {
			from, err = c.watchPlatform(ctx, kind, from, each)
		} else {
			from, err = c.watchPeer(ctx, source.Peer, kind, from, each)
		}
		if err != nil && !errors.Is(err, errSourceChanged) {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// watchPlatform reads the platform while this node is one of its readers. It
// returns the version to continue from.
func (c *Client) watchPlatform(ctx context.Context, kind platform.Kind, from uint64, each func(platform.Event) error) (uint64, error) {
	var changes []platform.Event
	err := c.Client.Watch(ctx, kind, from, func(event platform.Event) error {
		from = max(from, event.Object.Version)
		if !event.Progress {
			changes = append(changes, event)
			return nil
		}
		hadChanges := len(changes) > 0
		c.mesh.cfg.Mirror.Apply(kind, changes, from, time.Now())
		err := deliver(latestChanges(changes), from, kind, each)
		changes = nil
		switch {
		case err != nil:
			return err
		case !c.source(kind).Platform:
			return errSourceChanged
		case hadChanges:
			time.Sleep(coalesceDelay)
		}
		return nil
	})
	if err != nil && !errors.Is(err, errSourceChanged) {
		c.platformRejected(ctx, kind, err)
	}
	return from, err
}

// latestChanges omits changes that a later one of the same object replaces.
func latestChanges(changes []platform.Event) []platform.Event {
	last := make(map[string]int, len(changes))
	for i := range changes {
		last[changes[i].Object.Name] = i
	}
	latest := make([]platform.Event, 0, len(last))
	for i := range changes {
		if last[changes[i].Object.Name] == i {
			latest = append(latest, changes[i])
		}
	}
	return latest
}

// deliver calls each with every change and then with the version reached.
func deliver(changes []platform.Event, version uint64, kind platform.Kind, each func(platform.Event) error) error {
	for _, event := range changes {
		if err := each(event); err != nil {
			return err
		}
	}
	return each(platform.Event{Progress: true, Object: platform.Object{Kind: kind, Version: version}})
}

// platformRejected removes this node from the readers for platformRejectionTTL when the
// platform does not serve it, since it may serve others.
func (c *Client) platformRejected(ctx context.Context, kind platform.Kind, err error) {
	if ctx.Err() != nil || errors.Is(err, platform.ErrTooOld) {
		return
	}
	c.mesh.cfg.Log.WithFields(log.Fields{"kind": string(kind), "passed_over_for": platformRejectionTTL}).WithError(err).Info("platform read failed")
	if c.mesh.cfg.OnReadFailed != nil {
		c.mesh.cfg.OnReadFailed(string(kind))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stale[staleSource{node: c.mesh.cfg.Node}] = time.Now().Add(platformRejectionTTL)
}
