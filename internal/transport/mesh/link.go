package mesh

import (
	"context"
	"net"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// dialTimeout bounds opening a connection to another node.
const dialTimeout = 250 * time.Millisecond

// link is the connection over which a kind is followed.
type link struct {
	peer string
	conn *drpcconn.Conn
}

// callFollow makes one call on the link of a kind. Only one goroutine uses that link.
func (c *Client) callFollow(ctx context.Context, id string, kind platform.Kind, request *contract.FollowRequest) (*contract.FollowReply, error) {
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
	l = &link{peer: id, conn: drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: c.mesh.peerConfig.ManagerOptions()})}
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

// Close closes the links.
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
