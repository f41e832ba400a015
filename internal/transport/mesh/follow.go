package mesh

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/hickorydock/hickorydock/internal/coordination/reader"
	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/transport/follow"
	"github.com/hickorydock/hickorydock/internal/transport/peer"
)

const (
	// dialTimeout bounds opening a connection to another node.
	dialTimeout = 250 * time.Millisecond
	// replyMargin is the time that a source may take to reply beyond the requested wait.
	replyMargin = 300 * time.Millisecond
	// failedSourceTTL is how long a source that failed, or whose copy is too old, is
	// passed over. Another request costs only one message, since it replies at once.
	failedSourceTTL = 2 * time.Second
	// platformRejectionTTL is how long a node that the platform does not serve is no
	// reader, so that other nodes are chosen. In an outage of the platform this applies to
	// all nodes, and the outage may be over when this time ends.
	platformRejectionTTL = 1 * time.Second
	// firstCopyWait is how long a source that has no copy yet keeps a request for it. When
	// all nodes start, their sources get a copy soon; were they passed over instead, other
	// nodes would take their place as readers of the platform.
	firstCopyWait = 400 * time.Millisecond
	// emptySourceTTL is how long a source that has no copy after firstCopyWait is passed
	// over. It is short, since the source soon has a copy when the platform recovers. It
	// must not be shorter than the wait between two attempts, or no other source would be
	// tried.
	emptySourceTTL = 1 * time.Second
	// maxFollowWait is the longest wait of a poll of another node. It bounds how long
	// the loss of a source goes undetected.
	maxFollowWait = 600 * time.Millisecond
	// followsPerWatch is the number of polls of other nodes in the wait of a watch. As many
	// nodes on the way from the reader add one wait of a watch to the age of a copy.
	followsPerWatch = 3
	// overdueHalfWaits is the age, in halves of the wait of a watch, after which a
	// node's copy is overdue. Four are usual: the reader waits once, and the nodes on the
	// way from it as long together.
	overdueHalfWaits = 5
	// sourceRetryDelay is the delay before a node looks for a source again.
	sourceRetryDelay = 50 * time.Millisecond
	// coalesceDelay is the pause of a reader after a change, so that changes in quick
	// succession cost one call of the platform.
	coalesceDelay = 100 * time.Millisecond
)

// errSourceChanged ends a watch of the platform by a node that is no longer a reader.
var errSourceChanged = errors.New("another source was chosen")

// Client is a platform.Client whose lists and watches are served by the readers of the
// platform, or by the platform itself if this node is one of them.
type Client struct {
	platform.Client
	mesh *Mesh
	// watchWait is how long a watch waits for a change.
	watchWait time.Duration

	// readsPlatform is true once this node has read a list from the platform itself.
	readsPlatform atomic.Bool

	mu    sync.Mutex
	stale map[string]time.Time // sources that are passed over, with the end of that time
	links map[platform.Kind]*link
}

// NewClient returns a client that shares the reads of the platform with other nodes.
// watchWait is how long a watch waits for a change.
func NewClient(store platform.Client, m *Mesh, watchWait time.Duration) *Client {
	return &Client{Client: store, mesh: m, watchWait: watchWait, stale: make(map[string]time.Time), links: make(map[platform.Kind]*link)}
}

// source chooses the source to read a kind from now.
func (c *Client) source(kind platform.Kind) reader.Source {
	now := time.Now()
	confirmed := c.mesh.cfg.Mirror.Confirmed(kind)
	c.mu.Lock()
	var stale []string
	for id, until := range c.stale {
		if now.Before(until) {
			stale = append(stale, id)
		} else {
			delete(c.stale, id)
		}
	}
	c.mu.Unlock()
	return reader.Choose(reader.Input{
		Self:       c.mesh.cfg.Node,
		Members:    c.mesh.Members(),
		SinceStart: now.Sub(c.mesh.started),
		HasSeeds:   len(c.mesh.cfg.Seeds) > 0,
		IsSeed:     c.mesh.isSeed(),
		Stale:      stale,
		Empty:      confirmed.IsZero(),
		Overdue:    !confirmed.IsZero() && now.Sub(confirmed) > overdueHalfWaits*c.watchWait/2,
		Random:     rand.Float64(),
	})
}

// awaitSource chooses a source. A node that has just started waits to discover other
// members first.
func (c *Client) awaitSource(ctx context.Context, kind platform.Kind) (reader.Source, error) {
	for first := true; ; first = false {
		source := c.source(kind)
		if source != (reader.Source{}) {
			return source, nil
		}
		if !first && time.Since(c.mesh.started) > reader.JoinWait {
			return source, platform.ErrUnavailable
		}
		follow.Sleep(ctx, sourceRetryDelay)
		if ctx.Err() != nil {
			return source, ctx.Err()
		}
	}
}

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
		c.platformRejected(ctx, err)
		return listing, err
	}
	c.readsPlatform.Store(true)
	if !c.mesh.cfg.Mirror.Replace(kind, listing, requestedAt) && platform.Era(listing.Version) < c.mesh.cfg.Mirror.Era(kind) {
		return platform.Listing{}, fault.Wrap(platform.ErrUnavailable, fault.StepPlatform, "", "list %s: reply is of an earlier era", kind)
	}
	return listing, nil
}

// listPeer returns all objects of a kind from another node, or this node's own copy if it
// is of a later version.
func (c *Client) listPeer(ctx context.Context, id string, kind platform.Kind) (platform.Listing, error) {
	listing, confirmed, err := c.fetchList(ctx, id, kind)
	if err != nil || c.mesh.cfg.Mirror.Replace(kind, listing, confirmed) {
		return listing, err
	}
	own, _, _ := c.mesh.cfg.Mirror.List(kind)
	return own, nil
}

// fetchList returns another node's copy of a kind and when the platform confirmed it.
func (c *Client) fetchList(ctx context.Context, id string, kind platform.Kind) (platform.Listing, time.Time, error) {
	reply, confirmed, err := c.follow(ctx, id, kind, &contract.FollowRequest{List: true, WaitMs: uint32(firstCopyWait.Milliseconds())})
	if err != nil {
		return platform.Listing{}, confirmed, err
	}
	listing := platform.Listing{Version: reply.Version}
	for _, object := range reply.Objects {
		listing.Objects = append(listing.Objects, decode(kind, object))
	}
	return listing, confirmed, nil
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
		c.platformRejected(ctx, err)
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
func (c *Client) platformRejected(ctx context.Context, err error) {
	if ctx.Err() != nil || errors.Is(err, platform.ErrTooOld) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stale[c.mesh.cfg.Node] = time.Now().Add(platformRejectionTTL)
}

// watchPeer follows another node for one reply. It returns the version to continue from.
func (c *Client) watchPeer(ctx context.Context, id string, kind platform.Kind, from uint64, each func(platform.Event) error) (uint64, error) {
	reply, confirmed, err := c.follow(ctx, id, kind, &contract.FollowRequest{From: from, WaitMs: uint32(min(c.watchWait/followsPerWatch, maxFollowWait).Milliseconds())})
	if err != nil {
		if errors.Is(err, platform.ErrTooOld) {
			return from, err
		}
		return from, errSourceChanged // the watch continues from another source
	}
	changes := make([]platform.Event, 0, len(reply.Objects))
	for _, object := range reply.Objects {
		changes = append(changes, platform.Event{Deleted: object.Deleted, Object: decode(kind, object)})
	}
	from = max(from, reply.Version)
	c.mesh.cfg.Mirror.Apply(kind, changes, from, confirmed)
	return from, deliver(latestChanges(changes), from, kind, each)
}

func decode(kind platform.Kind, o *contract.StoredObject) platform.Object {
	return platform.Object{Kind: kind, Name: o.Name, Version: o.Version, Value: o.Value}
}

// maxAge is how long ago the platform may have confirmed a source's copy: see
// overdueHalfWaits.
func (c *Client) maxAge() time.Duration { return 2*c.watchWait + c.watchWait/2 + replyMargin }

// follow sends one request to a node. A node that fails, or whose copy is missing or too
// old, is passed over for a while.
func (c *Client) follow(ctx context.Context, id string, kind platform.Kind, request *contract.FollowRequest) (*contract.FollowReply, time.Time, error) {
	request.Hello = c.mesh.peerConfig.Hello()
	request.Kind = string(kind)
	request.MaxAgeMs = uint64(c.maxAge().Milliseconds())
	timeout := time.Duration(request.WaitMs)*time.Millisecond + dialTimeout + replyMargin
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := c.callFollow(ctx, id, kind, request)
	confirmed := time.Now()
	ttl := failedSourceTTL
	switch {
	case err != nil:
		err = fault.Wrap(err, fault.StepPeer, id, "follow %s", kind)
	case !reply.Known:
		ttl = emptySourceTTL
		err = fault.Wrap(platform.ErrUnavailable, fault.StepPeer, id, "follow %s: node has no copy", kind)
	case reply.GetHello().GetVersion() < peer.VersionWithEras && c.mesh.cfg.Mirror.Era(kind) > 0:
		err = fault.Wrap(platform.ErrUnavailable, fault.StepPeer, id, "follow %s: node does not know the era of its copy", kind)
	case reply.TooOld:
		return nil, confirmed, fault.Wrap(platform.ErrTooOld, fault.StepPeer, id, "follow %s", kind)
	case time.Duration(reply.AgeMs)*time.Millisecond > c.maxAge():
		err = fault.Wrap(platform.ErrUnavailable, fault.StepPeer, id, "follow %s: confirmed %d ms ago", kind, reply.AgeMs)
	default:
		return reply, confirmed.Add(-time.Duration(reply.AgeMs) * time.Millisecond), nil
	}
	if errors.Is(ctx.Err(), context.Canceled) { // this node is stopping
		return nil, confirmed, err
	}
	c.mu.Lock()
	_, listed := c.stale[id]
	c.stale[id] = time.Now().Add(ttl)
	c.mu.Unlock()
	if !listed {
		c.mesh.cfg.Log.WithFields(log.Fields{"node": id, "kind": string(kind)}).WithError(err).Warn("source passed over")
	}
	return nil, confirmed, err
}
