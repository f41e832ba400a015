package peering

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
	"github.com/hickorydock/hickorydock/internal/transport/peer"
)

// link holds the state of this node's calls to one address.
type link struct {
	slots chan struct{} // holds one entry for each call in progress
	open  atomic.Int64  // connections

	mu      sync.Mutex
	pending []*contract.Charge
	sending bool
}

func (n *Network) link(address string) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.links[address]
	if !ok {
		l = &link{slots: make(chan struct{}, maxCallsPerNode)}
		n.links[address] = l
	}
	return l
}

// exchange performs one call on a connection and returns the hello of the reply.
type exchange func(ctx context.Context, client contract.DRPCControlClient) (*contract.Hello, error)

// call makes one call to an address within timeout.
func (n *Network) call(ctx context.Context, address string, timeout time.Duration, do exchange) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	stop := context.AfterFunc(n.closing, cancel)
	defer stop()
	l := n.link(address)
	select {
	case l.slots <- struct{}{}:
		defer func() { <-l.slots }()
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.StepPeer, address, "wait for one of %d calls", maxCallsPerNode)
	}
	conn := n.pool.Get(ctx, address, n.dial)
	ctx, span := n.startClientSpan(ctx, address)
	hello, err := do(ctx, contract.NewDRPCControlClient(conn))
	if err == nil {
		_, err = n.peerConfig.NegotiateVersion(hello)
	}
	span.End(err)
	if err != nil {
		return fault.Wrap(err, fault.StepPeer, address, "call")
	}
	n.directory.markPresent(hello.Node, hello.Incarnation)
	return nil
}

// dial opens a connection for the pool.
func (n *Network) dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	raw, err := n.cfg.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	l := n.link(address)
	l.open.Add(1)
	n.updateMetrics()
	closed := func() {
		l.open.Add(-1)
		n.updateMetrics()
	}
	return drpcconn.NewWithOptions(&countedConn{Conn: raw, closed: closed}, drpcconn.Options{Manager: n.peerConfig.ManagerOptions()}), nil
}

// countedConn calls closed on its first Close.
type countedConn struct {
	net.Conn
	once   sync.Once
	closed func()
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.once.Do(c.closed)
	return c.Conn.Close()
}

// updateMetrics records to how many nodes connections are open.
func (n *Network) updateMetrics() {
	if n.cfg.Metrics == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock() // held during the call, so that the values are recorded in order
	connected := 0
	for _, l := range n.links {
		if l.open.Load() > 0 {
			connected++
		}
	}
	n.cfg.Metrics.SetPeers(connected)
}

// forEach calls do for each of the addresses, for at most maxBroadcastCalls of them
// concurrently, and returns when all have ended.
func (n *Network) forEach(addresses []string, do func(address string)) {
	var running sync.WaitGroup
	for _, address := range addresses {
		running.Go(func() {
			n.broadcastSlots <- struct{}{}
			defer func() { <-n.broadcastSlots }()
			do(address)
		})
	}
	running.Wait()
}

// tooLarge returns the error of a message that the other side would not accept.
func tooLarge(to string, size int) error {
	return fault.Wrap(peer.ErrTooLarge, fault.StepPeer, to, "message of %d bytes", size)
}
