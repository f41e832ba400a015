package mesh

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/hickorydock/hickorydock/internal/coordination/reader"
	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/transport/follow"
)

const (
	// dialTimeout bounds opening a connection to another node.
	dialTimeout = 250 * time.Millisecond
	// replyMargin is what a followed node may take beyond the wait that it was asked for.
	replyMargin = 300 * time.Millisecond
	// passedOverFor is how long a source that failed or knows nothing fresh is
	// passed over. Asking it again costs one message, since it answers at once.
	passedOverFor = 2 * time.Second
	// turnedAwayFor is how long a reader that the platform does not serve leaves it
	// to the next ones. All nodes do so in an outage, which may be over then.
	turnedAwayFor = 1 * time.Second
	// emptyFor is how long a source that knows nothing at all is passed over: at the
	// start of all nodes, or when the platform returns, it will know soon. It is not
	// shorter than the waits between two looks, or no other source would be tried.
	emptyFor = 1 * time.Second
	// maxFollowWait is the longest wait of a poll of another node. It bounds how long
	// a source that is lost goes unnoticed.
	maxFollowWait = 600 * time.Millisecond
	// overdueWaits is the number of waits of a watch, in halves, after which what a
	// node knows is overdue. Four are usual: a reader waits, and so does who follows.
	overdueWaits = 5
	// sourceWait is the pause of a node that has no source yet.
	sourceWait = 50 * time.Millisecond
	// settle is the pause of a reader after a change, so that changes that come
	// together cost one call of the platform.
	settle = 100 * time.Millisecond
)

// errSource ends a watch of the platform by a node that is no reader any more.
var errSource = errors.New("another source was chosen")

// Client is a platform.Client whose lists and watches come from the readers of the
// platform, or from the platform itself where this node is one of them.
type Client struct {
	platform.Client
	mesh *Mesh
	// wait is how long a watch waits for a change.
	wait time.Duration

	mu    sync.Mutex
	stale map[string]time.Time // sources that failed, until when
	links map[platform.Kind]*link
}

// NewClient returns a client that shares what the platform says. wait is how long
// a watch waits for a change.
func NewClient(store platform.Client, m *Mesh, wait time.Duration) *Client {
	return &Client{Client: store, mesh: m, wait: wait, stale: make(map[string]time.Time), links: make(map[platform.Kind]*link)}
}

// source chooses from where to learn a kind now.
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
		Overdue:    !confirmed.IsZero() && now.Sub(confirmed) > overdueWaits*c.wait/2,
		Random:     rand.Float64(),
	})
}

// await chooses a source, and waits while the node is to hear of others first.
func (c *Client) await(ctx context.Context, kind platform.Kind) (reader.Source, error) {
	for first := true; ; first = false {
		source := c.source(kind)
		if source != (reader.Source{}) {
			return source, nil
		}
		if !first && time.Since(c.mesh.started) > reader.JoinWait {
			return source, platform.ErrUnavailable
		}
		follow.Sleep(ctx, sourceWait)
		if ctx.Err() != nil {
			return source, ctx.Err()
		}
	}
}

// List returns all objects of a kind as a source knows them. A source that fails is
// passed over, so the next one is asked at once.
func (c *Client) List(ctx context.Context, kind platform.Kind) (platform.Listing, error) {
	for {
		source, err := c.await(ctx, kind)
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
		follow.Sleep(ctx, sourceWait)
	}
}

func (c *Client) listPlatform(ctx context.Context, kind platform.Kind) (platform.Listing, error) {
	asked := time.Now()
	listing, err := c.Client.List(ctx, kind)
	if err != nil {
		c.turnedAway(ctx, err)
		return listing, err
	}
	c.mesh.cfg.Mirror.Replace(kind, listing, asked)
	return listing, nil
}

func (c *Client) listPeer(ctx context.Context, id string, kind platform.Kind) (platform.Listing, error) {
	reply, confirmed, err := c.follow(ctx, id, kind, &contract.FollowRequest{List: true})
	if err != nil {
		return platform.Listing{}, err
	}
	listing := platform.Listing{Version: reply.Version}
	for _, object := range reply.Objects {
		listing.Objects = append(listing.Objects, decode(kind, object))
	}
	c.mesh.cfg.Mirror.Replace(kind, listing, confirmed)
	return listing, nil
}

// Watch follows a kind until ctx ends, each fails or the source does.
func (c *Client) Watch(ctx context.Context, kind platform.Kind, from uint64, each func(platform.Event) error) error {
	for {
		source, err := c.await(ctx, kind)
		if err != nil {
			return fault.Wrap(err, fault.StepPlatform, "", "watch %s: no source", kind)
		}
		if source.Platform {
			from, err = c.watchPlatform(ctx, kind, from, each)
		} else {
			from, err = c.watchPeer(ctx, source.Peer, kind, from, each)
		}
		if err != nil && !errors.Is(err, errSource) {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// watchPlatform reads the platform while this node is one of its readers. It
// returns the version to go on from.
func (c *Client) watchPlatform(ctx context.Context, kind platform.Kind, from uint64, each func(platform.Event) error) (uint64, error) {
	var changes []platform.Event
	err := c.Client.Watch(ctx, kind, from, func(event platform.Event) error {
		from = max(from, event.Object.Version)
		if !event.Progress {
			changes = append(changes, event)
			return nil
		}
		took := len(changes) > 0
		c.mesh.cfg.Mirror.Apply(kind, changes, from, time.Now())
		err := handOver(newest(changes), from, kind, each)
		changes = nil
		switch {
		case err != nil:
			return err
		case !c.source(kind).Platform:
			return errSource
		case took:
			time.Sleep(settle)
		}
		return nil
	})
	if err != nil && !errors.Is(err, errSource) {
		c.turnedAway(ctx, err)
	}
	return from, err
}

// newest leaves out changes that a later one of the same object replaces.
func newest(changes []platform.Event) []platform.Event {
	last := make(map[string]int, len(changes))
	for i := range changes {
		last[changes[i].Object.Name] = i
	}
	kept := make([]platform.Event, 0, len(last))
	for i := range changes {
		if last[changes[i].Object.Name] == i {
			kept = append(kept, changes[i])
		}
	}
	return kept
}

// handOver passes changes on, and the version that they lead to.
func handOver(changes []platform.Event, version uint64, kind platform.Kind, each func(platform.Event) error) error {
	for _, event := range changes {
		if err := each(event); err != nil {
			return err
		}
	}
	return each(platform.Event{Progress: true, Object: platform.Object{Kind: kind, Version: version}})
}

// turnedAway takes this node out of the readers for a while when the platform
// does not serve it, since it may serve others.
func (c *Client) turnedAway(ctx context.Context, err error) {
	if ctx.Err() != nil || errors.Is(err, platform.ErrTooOld) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stale[c.mesh.cfg.Node] = time.Now().Add(turnedAwayFor)
}

// watchPeer follows another node for one reply. It returns the version to go on
// from.
func (c *Client) watchPeer(ctx context.Context, id string, kind platform.Kind, from uint64, each func(platform.Event) error) (uint64, error) {
	reply, confirmed, err := c.follow(ctx, id, kind, &contract.FollowRequest{From: from, WaitMs: uint32(min(c.wait, maxFollowWait).Milliseconds())})
	if err != nil {
		if errors.Is(err, platform.ErrTooOld) {
			return from, err
		}
		return from, errSource // another source goes on
	}
	changes := make([]platform.Event, 0, len(reply.Objects))
	for _, object := range reply.Objects {
		changes = append(changes, platform.Event{Deleted: object.Deleted, Object: decode(kind, object)})
	}
	from = max(from, reply.Version)
	c.mesh.cfg.Mirror.Apply(kind, changes, from, confirmed)
	return from, handOver(newest(changes), from, kind, each)
}

func decode(kind platform.Kind, o *contract.StoredObject) platform.Object {
	return platform.Object{Kind: kind, Name: o.Name, Version: o.Version, Value: o.Value}
}

// maxAge is how long ago the platform may have confirmed what a source knows: a
// source that follows another itself adds a wait of its own.
func (c *Client) maxAge() time.Duration { return 2*c.wait + c.wait/2 + replyMargin }

// follow asks a node once. A node that fails or knows nothing fresh is passed
// over for a while.
func (c *Client) follow(ctx context.Context, id string, kind platform.Kind, request *contract.FollowRequest) (*contract.FollowReply, time.Time, error) {
	request.Hello = c.mesh.wire.Hello()
	request.Kind = string(kind)
	request.MaxAgeMs = uint64(c.maxAge().Milliseconds())
	limit := time.Duration(request.WaitMs)*time.Millisecond + dialTimeout + replyMargin
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	reply, err := c.ask(ctx, id, kind, request)
	confirmed := time.Now()
	passOver := passedOverFor
	switch {
	case err != nil:
		err = fault.Wrap(err, fault.StepPeer, id, "follow %s", kind)
	case !reply.Known:
		passOver = emptyFor
		err = fault.Wrap(platform.ErrUnavailable, fault.StepPeer, id, "follow %s: not known there", kind)
	case reply.TooOld:
		return nil, confirmed, fault.Wrap(platform.ErrTooOld, fault.StepPeer, id, "follow %s", kind)
	case time.Duration(reply.AgeMs)*time.Millisecond > c.maxAge():
		err = fault.Wrap(platform.ErrUnavailable, fault.StepPeer, id, "follow %s: confirmed %d ms ago", kind, reply.AgeMs)
	default:
		return reply, confirmed.Add(-time.Duration(reply.AgeMs) * time.Millisecond), nil
	}
	if errors.Is(ctx.Err(), context.Canceled) { // this node stops
		return nil, confirmed, err
	}
	c.mu.Lock()
	_, known := c.stale[id]
	c.stale[id] = time.Now().Add(passOver)
	c.mu.Unlock()
	if !known {
		c.mesh.cfg.Log.WithFields(log.Fields{"node": id, "kind": string(kind)}).WithError(err).Warn("source passed over")
	}
	return nil, confirmed, err
}
