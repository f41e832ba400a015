package mesh

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/apex/log"
	"storj.io/drpc/drpcconn"

	"github.com/hickorydock/hickorydock/internal/coordination/reader"
	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

const (
	// dialTimeout bounds opening a connection to another node.
	dialTimeout = 500 * time.Millisecond
	// replyMargin is what a followed node may take beyond the wait that it was asked for.
	replyMargin = 300 * time.Millisecond
	// passedOverFor is how long a source that failed or knows nothing fresh is
	// passed over. Asking it again costs one message, since it answers at once.
	passedOverFor = 2 * time.Second
	// turnedAwayFor is how long a reader that the platform does not serve leaves it
	// to the next ones. All nodes do so in an outage, which may be over then.
	turnedAwayFor = 1 * time.Second
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

// link is the connection by which a kind is followed.
type link struct {
	peer string
	conn *drpcconn.Conn
}

// NewClient returns a client that shares what the platform says. wait is how long
// a watch waits for a change.
func NewClient(store platform.Client, m *Mesh, wait time.Duration) *Client {
	return &Client{Client: store, mesh: m, wait: wait, stale: make(map[string]time.Time), links: make(map[platform.Kind]*link)}
}

// source chooses from where to learn now.
func (c *Client) source() reader.Source {
	now := time.Now()
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
	return reader.Choose(reader.Look{
		Self:       c.mesh.cfg.Node,
		Members:    c.mesh.Members(),
		SinceStart: now.Sub(c.mesh.started),
		Seeded:     len(c.mesh.cfg.Seeds) > 0,
		IsSeed:     c.mesh.isSeed(),
		Stale:      stale,
		Draw:       rand.Float64(),
	})
}

// await chooses a source, and waits while the node is to hear of others first.
func (c *Client) await(ctx context.Context) (reader.Source, error) {
	for first := true; ; first = false {
		source := c.source()
		if source != (reader.Source{}) {
			return source, nil
		}
		if !first && time.Since(c.mesh.started) > reader.JoinTime {
			return source, platform.ErrUnavailable
		}
		select {
		case <-ctx.Done():
			return source, ctx.Err()
		case <-time.After(sourceWait):
		}
	}
}

// List returns all objects of a kind as the source knows them.
func (c *Client) List(ctx context.Context, kind platform.Kind) (platform.Listing, error) {
	source, err := c.await(ctx)
	if err != nil {
		return platform.Listing{}, fault.Wrap(err, fault.StepPlatform, "", "list %s: no source", kind)
	}
	if source.Platform {
		asked := time.Now()
		listing, err := c.Client.List(ctx, kind)
		if err != nil {
			c.turnedAway(ctx, err)
			return listing, err
		}
		c.mesh.cfg.Mirror.Replace(kind, listing, asked)
		return listing, nil
	}
	reply, confirmed, err := c.follow(ctx, source.Peer, kind, &contract.FollowRequest{List: true})
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
		source, err := c.await(ctx)
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
	}
}

// watchPlatform reads the platform while this node is one of its readers. It
// returns the version to go on from.
func (c *Client) watchPlatform(ctx context.Context, kind platform.Kind, from uint64, each func(platform.Event) error) (uint64, error) {
	var changes []platform.Event
	err := c.Client.Watch(ctx, kind, from, func(event platform.Event) error {
		from = max(from, event.Object.Version)
		if err := each(event); err != nil {
			return err
		}
		if !event.Progress {
			changes = append(changes, event)
			return nil
		}
		c.mesh.cfg.Mirror.Apply(kind, changes, from, time.Now())
		if len(changes) > 0 {
			changes = nil
			time.Sleep(settle)
		}
		if !c.source().Platform {
			return errSource
		}
		return nil
	})
	if err != nil && !errors.Is(err, errSource) {
		c.turnedAway(ctx, err)
	}
	return from, err
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
	reply, confirmed, err := c.follow(ctx, id, kind, &contract.FollowRequest{From: from, WaitMs: uint32(c.wait.Milliseconds())})
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
	for _, event := range changes {
		if err := each(event); err != nil {
			return from, err
		}
	}
	from = max(from, reply.Version)
	c.mesh.cfg.Mirror.Apply(kind, changes, from, confirmed)
	return from, each(platform.Event{Progress: true, Object: platform.Object{Kind: kind, Version: from}})
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
	switch {
	case err != nil:
		err = fault.Wrap(err, fault.StepPeer, id, "follow %s", kind)
	case !reply.Known:
		err = fault.Wrap(platform.ErrUnavailable, fault.StepPeer, id, "follow %s: not known there", kind)
	case reply.TooOld:
		return nil, confirmed, fault.Wrap(platform.ErrTooOld, fault.StepPeer, id, "follow %s", kind)
	case time.Duration(reply.AgeMs)*time.Millisecond > c.maxAge():
		err = fault.Wrap(platform.ErrUnavailable, fault.StepPeer, id, "follow %s: confirmed %d ms ago", kind, reply.AgeMs)
	default:
		return reply, confirmed.Add(-time.Duration(reply.AgeMs) * time.Millisecond), nil
	}
	c.mu.Lock()
	_, known := c.stale[id]
	c.stale[id] = time.Now().Add(passedOverFor)
	c.mu.Unlock()
	if !known {
		c.mesh.cfg.Log.WithFields(log.Fields{"node": id, "kind": string(kind)}).WithError(err).Warn("source passed over")
	}
	return nil, confirmed, err
}

// ask performs one call on the link of a kind, which belongs to one goroutine.
func (c *Client) ask(ctx context.Context, id string, kind platform.Kind, request *contract.FollowRequest) (*contract.FollowReply, error) {
	l, err := c.link(ctx, id, kind)
	if err != nil {
		return nil, err
	}
	reply, err := contract.NewDRPCGatewayClient(l.conn).Follow(ctx, request)
	if err != nil {
		c.dropLink(kind, l)
	}
	return reply, err
}

func (c *Client) link(ctx context.Context, id string, kind platform.Kind) (*link, error) {
	c.mu.Lock()
	l := c.links[kind]
	c.mu.Unlock()
	if l != nil && l.peer == id {
		return l, nil
	}
	if l != nil {
		c.dropLink(kind, l)
	}
	raw, err := c.mesh.dial(ctx, id)
	if err != nil {
		return nil, err
	}
	l = &link{peer: id, conn: drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: c.mesh.wire.ManagerOptions()})}
	c.mu.Lock()
	c.links[kind] = l
	c.mu.Unlock()
	return l, nil
}

func (c *Client) dropLink(kind platform.Kind, l *link) {
	c.mu.Lock()
	if c.links[kind] == l {
		delete(c.links, kind)
	}
	c.mu.Unlock()
	_ = l.conn.Close()
}

// Close ends the links.
func (c *Client) Close() {
	c.mu.Lock()
	links := c.links
	c.links = make(map[platform.Kind]*link)
	c.mu.Unlock()
	for _, l := range links {
		_ = l.conn.Close()
	}
}

// dial opens a connection to a present member.
func (m *Mesh) dial(ctx context.Context, id string) (net.Conn, error) {
	address := ""
	for _, member := range m.Members() {
		if member.ID == id {
			address = member.Address
		}
	}
	if address == "" {
		return nil, fault.New(fault.StepPeer, id, "node is not present")
	}
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}}
	return dialer.DialContext(ctx, "tcp", address)
}

// service answers other nodes.
type service struct{ mesh *Mesh }

// Follow answers with what this node knows of a kind.
func (s service) Follow(ctx context.Context, request *contract.FollowRequest) (*contract.FollowReply, error) {
	if _, err := s.mesh.wire.Agree(request.Hello); err != nil {
		return nil, err
	}
	reply := &contract.FollowReply{Hello: s.mesh.wire.Hello(), Known: true}
	kind := platform.Kind(request.Kind)
	if request.List {
		listing, confirmed, ok := s.mesh.cfg.Mirror.List(kind)
		reply.Known = ok
		reply.Version = listing.Version
		for _, o := range listing.Objects {
			reply.Objects = append(reply.Objects, encode(o, false))
		}
		setAge(reply, confirmed)
		return reply, nil
	}
	wait := time.Duration(request.WaitMs) * time.Millisecond
	maxAge := time.Duration(request.MaxAgeMs) * time.Millisecond
	if maxAge > 0 && time.Since(s.mesh.cfg.Mirror.Confirmed(kind)) > maxAge {
		wait = 0
	}
	changes, version, confirmed, err := s.mesh.cfg.Mirror.Changes(ctx, kind, request.From, wait)
	switch {
	case errors.Is(err, platform.ErrTooOld):
		reply.TooOld = true
	case errors.Is(err, platform.ErrUnavailable):
		reply.Known = false
	case err != nil:
		return nil, err
	}
	reply.Version = version
	for _, e := range changes {
		reply.Objects = append(reply.Objects, encode(e.Object, e.Deleted))
	}
	setAge(reply, confirmed)
	return reply, nil
}

func setAge(reply *contract.FollowReply, confirmed time.Time) {
	reply.AgeMs = uint64(max(time.Since(confirmed).Milliseconds(), 0))
}

func encode(o platform.Object, deleted bool) *contract.StoredObject {
	return &contract.StoredObject{Name: o.Name, Version: o.Version, Value: o.Value, Deleted: deleted}
}

// Charge takes a quarantine report.
func (s service) Charge(_ context.Context, request *contract.ReportRequest) (*contract.ReportReply, error) {
	if _, err := s.mesh.wire.Agree(request.Hello); err != nil {
		return nil, err
	}
	if s.mesh.cfg.Hear == nil {
		return nil, errNotTaken
	}
	for _, charge := range request.Charges {
		s.mesh.cfg.Hear(reportOf(charge))
	}
	return &contract.ReportReply{Hello: s.mesh.wire.Hello()}, nil
}

var errNotTaken = errors.New("call is not taken here")
