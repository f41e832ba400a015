package mesh

import (
	"context"
	"errors"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/transport/follow"
)

// coalesceDelay is the pause of a reader after a change, so that changes in quick
// succession cost one call of the platform.
const coalesceDelay = 100 * time.Millisecond

var (
	// errSourceChanged ends a watch of the platform by a node that is no longer a reader.
	errSourceChanged = errors.New("another source was chosen")
	// errReadAgain means that a read of the platform failed and is to be repeated.
	errReadAgain = errors.New("read of the platform to be repeated")
)

// List returns all objects of a kind from a source. When a source fails, it is passed
// over and the next one is tried after sourceRetryDelay.
func (c *Client) List(ctx context.Context, kind platform.Kind) (platform.Listing, error) {
	for {
		source, err := c.awaitSource(ctx, kind)
		if err != nil {
			return platform.Listing{}, fault.Wrap(err, fault.StepPlatform, "", "list %s: no source", kind)
		}
		if source.Platform {
			listing, err := c.listPlatform(ctx, kind)
			if errors.Is(err, errReadAgain) {
				continue
			}
			return listing, err
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
		return listing, c.readFailed(ctx, kind, err, requestedAt, requestedAt)
	}
	c.readsPlatform.Store(true)
	c.readServed(kind)
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
		if err != nil && !errors.Is(err, errSourceChanged) && !errors.Is(err, errReadAgain) {
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
	w := &platformWatch{client: c, kind: kind, from: from, each: each, waitsSince: time.Now()}
	var err error
	if poller, ok := c.Client.(platform.Poller); ok && c.lastReadFailed(kind) {
		err = poller.Poll(ctx, kind, from, w.receive)
	}
	if err == nil {
		w.waitsSince, w.wait = time.Now(), c.watchWait
		err = c.Client.Watch(ctx, kind, w.from, w.receive)
	}
	if err != nil && w.rejected == nil {
		return w.from, c.readFailed(ctx, kind, err, w.waitsSince, w.waitsSince.Add(w.wait))
	}
	return w.from, err
}

// platformWatch receives the events of one watch of the platform.
type platformWatch struct {
	client *Client
	kind   platform.Kind
	from   uint64 // version to continue from
	each   func(platform.Event) error
	// changes are those since the last progress event.
	changes []platform.Event
	// waitsSince is when the platform last answered, or when the watch began, and wait how long
	// it may wait for a change since then.
	waitsSince time.Time
	wait       time.Duration
	// rejected is the error by which this node ended the watch.
	rejected error
}

// receive handles one event. Changes are delivered once the version that they lead to is known.
func (w *platformWatch) receive(event platform.Event) error {
	w.from = max(w.from, event.Object.Version)
	if !event.Progress {
		w.changes = append(w.changes, event)
		return nil
	}
	c := w.client
	c.readServed(w.kind)
	hadChanges := len(w.changes) > 0
	c.mesh.cfg.Mirror.Apply(w.kind, w.changes, w.from, time.Now())
	w.rejected = deliver(latestChanges(w.changes), w.from, w.kind, w.each)
	w.changes = nil
	switch {
	case w.rejected != nil:
		return w.rejected
	case !c.source(w.kind).Platform:
		w.rejected = errSourceChanged
		return w.rejected
	case hadChanges:
		time.Sleep(coalesceDelay)
	}
	w.waitsSince, w.wait = time.Now(), c.watchWait
	return nil
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
