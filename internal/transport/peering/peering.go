// Package peering carries what nodes ask of each other beside queries: what is
// in force, tickets' commands on their way to their issuers, quarantine reports
// and planned stops. It listens on the node's peer address and keeps a bounded
// number of connections to the other nodes, which it knows from the platform's
// list of VMs and from the settings. A node that cannot be reached costs the
// time limit of the one call.
package peering

import (
	"context"
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
	"github.com/hickorydock/hickorydock/internal/transport/peer"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
)

// Offer is what one node can tell another that starts while the platform is
// down.
type Offer struct {
	// Catalogue is the one in force; HasCatalogue is false when none is known.
	Catalogue    note.Catalogue
	HasCatalogue bool
	// VMs is the platform's list as of VMsVersion; HasVMs is false when none is known.
	VMs        []platform.VM
	VMsVersion uint64
	HasVMs     bool
}

// Handlers answer the calls of other nodes; a nil one refuses its call. They
// are called from several goroutines at once.
type Handlers struct {
	Offer   func() Offer
	Forward func(ctx context.Context, f command.ForwardedCommand) (command.Result, error)
	// OnReport takes a quarantine report.
	OnReport func(quarantine.Report)
}

// Metrics receives figures. It is met by metrics.Metrics.
type Metrics interface {
	// Peers records the number of nodes that connections are open to.
	Peers(connected int)
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Config configures a Network.
type Config struct {
	Self command.Incarnation
	// Bootstrap lists peer addresses that are asked before any list of VMs is known.
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
	// keptConnections is the most idle connections to all nodes.
	keptConnections = 1024
	// keptPerNode is the most idle connections to one node.
	keptPerNode = 2
	// keptFor is how long an idle connection is kept.
	keptFor = 2 * time.Minute
	// acceptedIdle ends a connection from a node that sends nothing for longer.
	acceptedIdle = 2 * keptFor
	// callsPerNode is the most calls to one node at once, and so of connections to it.
	callsPerNode = 16
	// fanOut is the most calls at once that go to all nodes.
	fanOut = 64
)

// Network is a node's traffic with the other nodes. It is safe for concurrent
// use. One mutex guards the links and the calls being served; it is not held
// during a call.
type Network struct {
	cfg      Config
	wire     peer.Config
	handlers atomic.Pointer[Handlers]
	roster   *roster
	pool     *drpcpool.Pool[string, *drpcconn.Conn]
	server   *drpcserver.Server
	fan      chan struct{} // holds one entry for each call that goes to all nodes

	closing context.Context // ends the calls of the background
	end     context.CancelFunc
	running sync.WaitGroup

	mu       sync.Mutex
	links    map[string]*link // by address
	address  string
	serving  int
	stopping bool
	idle     chan struct{} // closed when stopping and serving is 0
}

// New returns a network that listens nowhere yet.
func New(cfg Config) (*Network, error) {
	wire := peer.DefaultConfig(cfg.Self.Node, cfg.Self.Number)
	if cfg.MaxMessageBytes > 0 {
		wire.MaxMessageBytes = cfg.MaxMessageBytes
	}
	if cfg.Tracer == nil {
		cfg.Tracer = tracing.Off()
	}
	n := &Network{
		cfg:    cfg,
		wire:   wire,
		roster: newRoster(cfg.Self.Node, cfg.Bootstrap),
		pool: drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{
			Expiration: keptFor, Capacity: keptConnections, KeyCapacity: keptPerNode,
		}),
		fan:   make(chan struct{}, fanOut),
		links: make(map[string]*link),
		idle:  make(chan struct{}),
	}
	n.handlers.Store(&Handlers{})
	n.closing, n.end = context.WithCancel(context.Background())
	mux := drpcmux.New()
	if err := contract.DRPCRegisterControl(mux, service{n}); err != nil {
		return nil, err
	}
	options := wire.ManagerOptions()
	options.InactivityTimeout = acceptedIdle
	n.server = drpcserver.NewWithOptions(counted{n, mux}, drpcserver.Options{Manager: options})
	return n, nil
}

// SetHandlers sets who answers the calls of other nodes.
func (n *Network) SetHandlers(h Handlers) { n.handlers.Store(&h) }

// SetVMs takes the platform's list of VMs.
func (n *Network) SetVMs(vms []platform.VM) {
	n.roster.setVMs(vms)
	known := n.roster.addresses()
	n.mu.Lock()
	defer n.mu.Unlock()
	for address := range n.links {
		if _, ok := known[address]; !ok {
			delete(n.links, address) // its idle connections end by keptFor
		}
	}
}

// Address is the address that the network listens on, host:port.
func (n *Network) Address() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.address
}

// Serve answers other nodes on a listener until Close.
func (n *Network) Serve(listener net.Listener) {
	n.mu.Lock()
	n.address = listener.Addr().String()
	n.mu.Unlock()
	n.roster.setOwn(listener.Addr().String())
	n.running.Go(func() {
		if err := n.server.Serve(n.closing, listener); err != nil {
			n.cfg.Log.WithError(err).Error("peer listener failed")
		}
	})
}

// Close refuses new calls, lets those being served end until ctx ends, and
// closes all connections.
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
	case <-ctx.Done():
		err = ctx.Err()
	}
	n.end()
	n.running.Wait()
	// A connection that fails to close is closed all the same.
	_ = n.pool.Close()
	return err
}

// begin counts a call being served, unless the network is closing.
func (n *Network) begin() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopping {
		return false
	}
	n.serving++
	return true
}

func (n *Network) finish() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.serving--
	if n.serving == 0 && n.stopping {
		close(n.idle)
	}
}
