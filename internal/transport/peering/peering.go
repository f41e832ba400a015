// Package peering carries the calls between nodes besides queries: offers of the current
// catalogue and list of VMs, commands forwarded to the issuers of their tickets,
// quarantine reports and planned stops. It listens on the node's peer address and keeps
// a bounded number of connections to the other nodes, whose addresses come from the
// platform's list of VMs and from the settings. A node that cannot be reached delays
// only the calls to it, each by its timeout.
package peering

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"

	"github.com/hickorydock/hickorydock/internal/coordination/quarantine"
	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/transport/follow"
	"github.com/hickorydock/hickorydock/internal/transport/peer"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
)

// Offer is the state that a node sends to another one that starts while the platform is
// down.
type Offer struct {
	// Catalogue is the current one; HasCatalogue is false when the node has none.
	Catalogue    note.Catalogue
	HasCatalogue bool
	// VMs is the platform's list as of VMsVersion; HasVMs is false when the node has none.
	VMs        []platform.VM
	VMsVersion uint64
	HasVMs     bool
}

// Handlers handle the calls of other nodes; a nil handler makes its call fail. They are
// called concurrently.
type Handlers struct {
	Offer   func() Offer
	Forward func(ctx context.Context, f command.ForwardedCommand) (command.Result, error)
	// OnReport handles a quarantine report.
	OnReport func(quarantine.Report)
}

// Metrics receives measurements; metrics.Metrics implements it.
type Metrics interface {
	// SetPeers records the number of nodes that connections are open to.
	SetPeers(connected int)
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Config configures a Network.
type Config struct {
	Self command.Incarnation
	// Bootstrap lists peer addresses to call before any list of VMs is known.
	Bootstrap []string
	Dial      DialFunc
	// MaxMessageBytes bounds a message in either direction, in bytes.
	MaxMessageBytes int
	Log             log.Interface
	Metrics         Metrics
	// Tracer starts the spans of calls; nil records none.
	Tracer *tracing.Tracer
}

// Bounds of connections.
const (
	// maxIdleConnections is the maximum number of idle connections to all nodes.
	maxIdleConnections = 1024
	// maxIdlePerNode is the maximum number of idle connections to one node.
	maxIdlePerNode = 2
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 2 * time.Minute
	// acceptedIdleTimeout closes a connection from a node that sends nothing for longer.
	acceptedIdleTimeout = 2 * idleTimeout
	// replyLinger is how long a node that closes keeps its connections after its latest
	// reply. A call whose connection ends before drpc has closed its stream fails, even
	// with the reply read.
	replyLinger = 250 * time.Millisecond
	// maxCallsPerNode is the maximum number of concurrent calls to one node, and so of
	// connections to it.
	maxCallsPerNode = 16
	// maxBroadcastCalls is the maximum number of concurrent calls that go to all nodes.
	maxBroadcastCalls = 64
)

// Network makes and serves the calls between this node and the others. It is safe for
// concurrent use. One mutex guards the links and the number of calls being served; it is
// not held during a call.
type Network struct {
	cfg            Config
	peerConfig     peer.Config
	handlers       atomic.Pointer[Handlers]
	directory      *directory
	pool           *drpcpool.Pool[string, *drpcconn.Conn]
	server         *drpcserver.Server
	broadcastSlots chan struct{} // holds one entry for each call that goes to all nodes

	closing context.Context // ends calls in the background
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu       sync.Mutex
	links    map[string]*link // by address
	address  string
	serving  int
	servedAt time.Time // the end of the latest call served
	stopping bool
	idle     chan struct{} // closed when stopping and serving is 0
}

// New returns a network that does not listen before Serve.
func New(cfg Config) (*Network, error) {
	peerConfig := peer.DefaultConfig(cfg.Self.Node, cfg.Self.Number)
	if cfg.MaxMessageBytes > 0 {
		peerConfig.MaxMessageBytes = cfg.MaxMessageBytes
	}
	peerConfig.OnPanic = func(call string, cause any) {
		cfg.Log.WithField("call", call).WithField("cause", fmt.Sprint(cause)).Error("call of a peer failed")
	}
	if cfg.Tracer == nil {
		cfg.Tracer = tracing.Off()
	}
	n := &Network{
		cfg:        cfg,
		peerConfig: peerConfig,
		directory:  newDirectory(cfg.Self.Node, cfg.Bootstrap),
		pool: drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{
			Expiration: idleTimeout, Capacity: maxIdleConnections, KeyCapacity: maxIdlePerNode,
		}),
		broadcastSlots: make(chan struct{}, maxBroadcastCalls),
		links:          make(map[string]*link),
		idle:           make(chan struct{}),
	}
	n.handlers.Store(&Handlers{})
	n.closing, n.cancel = context.WithCancel(context.Background())
	mux := drpcmux.New()
	if err := contract.DRPCRegisterControl(mux, service{n}); err != nil {
		return nil, err
	}
	options := peerConfig.ManagerOptions()
	options.InactivityTimeout = acceptedIdleTimeout
	n.server = drpcserver.NewWithOptions(callCounter{n, peerConfig.Guarded(mux)}, drpcserver.Options{Manager: options})
	return n, nil
}

// SetHandlers sets the handlers of the calls of other nodes.
func (n *Network) SetHandlers(h Handlers) { n.handlers.Store(&h) }

// SetVMs updates the addresses of the other nodes from the platform's list of VMs.
func (n *Network) SetVMs(vms []platform.VM) {
	n.directory.setVMs(vms)
	known := n.directory.addresses()
	n.mu.Lock()
	defer n.mu.Unlock()
	for address := range n.links {
		if _, ok := known[address]; !ok {
			delete(n.links, address) // its idle connections end after idleTimeout
		}
	}
}

// Address is the address that the network listens on, host:port.
func (n *Network) Address() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.address
}

// Serve serves the calls of other nodes on a listener until Close.
func (n *Network) Serve(listener net.Listener) {
	n.mu.Lock()
	n.address = listener.Addr().String()
	n.mu.Unlock()
	n.directory.setSelfAddress(listener.Addr().String())
	n.running.Go(func() {
		if err := peer.ServeAll(n.closing, n.server, listener); err != nil {
			n.cfg.Log.WithError(err).Error("peer listener failed")
		}
	})
}

// Close refuses new calls, lets those being served end until ctx ends, and
// closes all connections, replyLinger after the latest reply at the earliest.
func (n *Network) Close(ctx context.Context) error {
	n.mu.Lock()
	first := !n.stopping
	n.stopping = true
	if first && n.serving == 0 {
		close(n.idle)
	}
	n.mu.Unlock()
	var err error
	select {
	case <-n.idle:
		n.awaitReplyRead(ctx)
	case <-ctx.Done():
		err = ctx.Err()
	}
	n.cancel()
	n.running.Wait()
	// A connection whose Close returns an error is closed nevertheless.
	_ = n.pool.Close()
	return err
}

// awaitReplyRead waits until replyLinger has passed since the latest call served, or ctx
// ends.
func (n *Network) awaitReplyRead(ctx context.Context) {
	n.mu.Lock()
	linger := time.Until(n.servedAt.Add(replyLinger))
	n.mu.Unlock()
	follow.Sleep(ctx, linger)
}

// beginCall counts a call being served, unless the network is closing.
func (n *Network) beginCall() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopping {
		return false
	}
	n.serving++
	return true
}

func (n *Network) endCall() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.serving--
	n.servedAt = time.Now()
	if n.serving == 0 && n.stopping {
		close(n.idle)
	}
}
