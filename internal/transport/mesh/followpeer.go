package mesh

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/state/mirror"
	"github.com/hickorydock/hickorydock/internal/transport/peer"
)

const (
	// replyMargin is the time that a source may take to reply beyond the requested wait.
	replyMargin = 300 * time.Millisecond
	// firstCopyWait is how long a source that has no copy yet keeps a request for it. When
	// all nodes start, their sources get a copy soon; were they passed over instead, other
	// nodes would take their place as readers of the platform.
	firstCopyWait = 400 * time.Millisecond
	// emptySourceTTL is how long a source that has no copy after firstCopyWait is passed
	// over. It is short, since the source soon has a copy when the platform recovers. It
	// must not be shorter than the wait between two attempts, or no other source would be
	// tried.
	emptySourceTTL = 1 * time.Second
	// failedSourceTTL is how long a source that failed, or whose copy is too old, is
	// passed over. Another request costs only one message, since it replies at once.
	failedSourceTTL = 2 * time.Second
	// maxFollowWait is the longest wait of a poll of another node. It bounds how long
	// the loss of a source goes undetected.
	maxFollowWait = 600 * time.Millisecond
	// followsPerWatch is the number of polls of other nodes in the wait of a watch. As many
	// nodes on the way from the reader add one wait of a watch to the age of a copy.
	followsPerWatch = 3
)

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
	gaps := make([]mirror.Gap, 0, len(reply.Gaps))
	for _, g := range reply.Gaps {
		gaps = append(gaps, mirror.Gap{After: g.After, Before: g.Before})
	}
	c.mesh.cfg.Mirror.AddGaps(kind, gaps)
	c.mesh.cfg.Mirror.Apply(kind, changes, from, confirmed)
	return from, deliver(latestChanges(changes), from, kind, each)
}

func decode(kind platform.Kind, o *contract.StoredObject) platform.Object {
	return platform.Object{Kind: kind, Name: o.Name, Version: o.Version, Value: o.Value, Heartbeat: o.Heartbeat}
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
	if err == nil {
		confirmed = before(confirmed, reply.AgeMs)
		c.mesh.copyReceived(kind, confirmed, reply)
	}
	source, ttl := staleSource{node: id}, failedSourceTTL
	switch {
	case err != nil:
		err = fault.Wrap(err, fault.StepPeer, id, "follow %s", kind)
	case !reply.Known:
		// A node of an earlier release has copies of fewer kinds.
		source.kind, ttl = kind, emptySourceTTL
		err = fault.Wrap(platform.ErrUnavailable, fault.StepPeer, id, "follow %s: node has no usable copy", kind)
	case reply.GetHello().GetVersion() < peer.VersionWithEras && c.mesh.cfg.Mirror.Era(kind) > 0:
		err = fault.Wrap(platform.ErrUnavailable, fault.StepPeer, id, "follow %s: node does not know the era of its copy", kind)
	case reply.TooOld:
		return nil, confirmed, fault.Wrap(platform.ErrTooOld, fault.StepPeer, id, "follow %s", kind)
	case time.Duration(reply.AgeMs)*time.Millisecond > c.maxAge():
		err = fault.Wrap(platform.ErrUnavailable, fault.StepPeer, id, "follow %s: confirmed %d ms ago", kind, reply.AgeMs)
	default:
		return reply, confirmed, nil
	}
	if errors.Is(ctx.Err(), context.Canceled) { // this node is stopping
		return nil, confirmed, err
	}
	c.mu.Lock()
	_, listed := c.stale[source]
	c.stale[source] = time.Now().Add(ttl)
	c.mu.Unlock()
	if !listed {
		c.mesh.cfg.Log.WithFields(log.Fields{"node": id, "kind": string(kind)}).WithError(err).Warn("source passed over")
	}
	return nil, confirmed, err
}
