// Package mesh carries what gateways tell each other: who is present, over
// datagrams; and what the platform says, quarantine reports and parts of queries,
// over drpc. A node that cannot be reached costs the time limit of the one call.
package mesh

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/hickorydock/hickorydock/internal/coordination/membership"
	"github.com/hickorydock/hickorydock/internal/coordination/quarantine"
	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	messages "github.com/hickorydock/hickorydock/internal/protocol/membership"
	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
	"github.com/hickorydock/hickorydock/internal/state/mirror"
	"github.com/hickorydock/hickorydock/internal/transport/peer"
)

const (
	// joinInterval is the time between two attempts to reach the seeds while no
	// other node is known.
	joinInterval = 200 * time.Millisecond
	// datagramBytes is the largest datagram that is read.
	datagramBytes = 64 << 10
)

// Config configures a Mesh.
type Config struct {
	Node             string
	AvailabilityZone string
	// Address is the ip:port for datagrams and connections of other nodes.
	Address string
	// Seeds are addresses of nodes to begin with; they may be stale.
	Seeds  []string
	Mirror *mirror.Mirror
	// OnReport takes a quarantine report of another node; nil refuses it.
	OnReport func(quarantine.Report)
	Log      log.Interface
	// OnMembersChanged is told the present members after each change; nil tells nobody.
	OnMembersChanged func([]messages.Member)
}

// Mesh is one node's traffic with the others. It is safe for concurrent use.
type Mesh struct {
	cfg     Config
	wire    peer.Config
	self    messages.Member
	started time.Time
	batches *peer.Server
	server  *drpcserver.Server

	mu      sync.Mutex // guards view
	view    *membership.Membership
	present []messages.Member

	lanes     sync.Map // node -> *lane
	reports   chan quarantine.Report
	datagrams net.PacketConn
	listener  net.Listener
	closing   context.Context
	end       context.CancelFunc
	running   sync.WaitGroup
}

// New returns a mesh that listens nowhere yet. batches serves parts of queries for
// other nodes.
func New(cfg Config, batches peer.Handler) (*Mesh, error) {
	started := time.Now()
	m := &Mesh{
		cfg:     cfg,
		wire:    peer.DefaultConfig(cfg.Node, messages.StartAt(started)),
		started: started,
		reports: make(chan quarantine.Report, pendingCharges),
		self: messages.Member{
			ID:               cfg.Node,
			Address:          cfg.Address,
			AvailabilityZone: cfg.AvailabilityZone,
			Start:            messages.StartAt(started),
			State:            messages.Alive,
		},
	}
	m.view = membership.New(membership.Config{Self: m.self, Seed: rand.Uint64()})
	m.present = m.view.Members()
	m.closing, m.end = context.WithCancel(context.Background())
	var err error
	if m.batches, err = peer.NewServer(m.wire, batches); err != nil {
		return nil, err
	}
	mux := drpcmux.New()
	if err := errors.Join(contract.DRPCRegisterPeer(mux, m.batches), contract.DRPCRegisterGateway(mux, service{m})); err != nil {
		return nil, err
	}
	m.server = drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: m.wire.ManagerOptions()})
	return m, nil
}

// Start binds the address and joins the others.
func (m *Mesh) Start() error {
	var err error
	if m.listener, err = net.Listen("tcp", m.cfg.Address); err != nil {
		return fault.Wrap(err, fault.StepSettings, m.cfg.Address, "listen for nodes")
	}
	if m.datagrams, err = net.ListenPacket("udp", m.cfg.Address); err != nil {
		return errors.Join(fault.Wrap(err, fault.StepSettings, m.cfg.Address, "listen for datagrams"), m.listener.Close())
	}
	m.running.Go(func() {
		if err := m.server.Serve(m.closing, m.listener); err != nil && m.closing.Err() == nil {
			m.cfg.Log.WithError(err).Error("listener for nodes failed")
		}
	})
	m.running.Go(m.receive)
	m.running.Go(m.tick)
	m.running.Go(m.tellAll)
	return nil
}

// Leave tells the others that this node takes no new work.
func (m *Mesh) Leave() {
	m.act(func(now time.Time) membership.Actions { return m.view.Leave(now) })
}

// Close says good-bye and ends all traffic. Batches in progress get until ctx ends.
func (m *Mesh) Close(ctx context.Context) {
	err := m.batches.Drain(ctx)
	if err != nil {
		m.cfg.Log.WithError(err).Warn("batches of other nodes cut off")
	}
	m.act(func(now time.Time) membership.Actions { return m.view.Stop(now) })
	m.end()
	m.closeLanes()
	_ = m.listener.Close()
	_ = m.datagrams.Close()
	m.running.Wait()
}

// Members returns the present members, this node included, sorted by id.
func (m *Mesh) Members() []messages.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.present
}

// Suspect takes evidence that a node does not answer: it is probed at once, so that
// all nodes learn soon whether it is lost.
func (m *Mesh) Suspect(id string) {
	m.act(func(now time.Time) membership.Actions { return m.view.Suspect(now, id) })
}

// isSeed reports whether the node's own address is among the seeds.
func (m *Mesh) isSeed() bool { return slices.Contains(m.cfg.Seeds, m.cfg.Address) }

// act changes the view and sends what follows from it.
func (m *Mesh) act(change func(now time.Time) membership.Actions) {
	m.mu.Lock()
	actions := change(time.Now())
	if len(actions.Changed) > 0 {
		m.present = m.view.Members()
	}
	present := m.present
	m.mu.Unlock()
	for _, member := range actions.Changed {
		m.cfg.Log.WithFields(log.Fields{"node": member.ID, "state": member.State.String(), "start": member.Start, "present": len(present)}).Info("node changed")
	}
	for _, send := range actions.Packets {
		m.send(send.Address, send.Message)
	}
	if len(actions.Changed) > 0 && m.cfg.OnMembersChanged != nil {
		m.cfg.OnMembersChanged(present)
	}
}

// send writes one datagram. One that is lost is noticed by the protocol.
func (m *Mesh) send(address string, message messages.Message) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return
	}
	_, _ = m.datagrams.WriteTo(message.Append(nil), net.UDPAddrFromAddrPort(to))
}

func (m *Mesh) receive() {
	buffer := make([]byte, datagramBytes)
	for m.closing.Err() == nil {
		n, from, err := m.datagrams.ReadFrom(buffer)
		if err != nil {
			if m.closing.Err() == nil {
				m.cfg.Log.WithError(err).Warn("datagram not read")
			}
			continue
		}
		message, err := messages.Decode(buffer[:n])
		if err != nil {
			m.cfg.Log.WithField("from", from.String()).WithError(err).Warn("datagram not readable")
			continue
		}
		m.act(func(now time.Time) membership.Actions {
			actions := m.view.Receive(now, message)
			for i := range actions.Packets {
				if actions.Packets[i].Address == "" {
					actions.Packets[i].Address = from.String()
				}
			}
			return actions
		})
	}
}

// tick advances the view and joins through the seeds while nobody is known.
func (m *Mesh) tick() {
	ticker := time.NewTicker(membership.TickInterval)
	defer ticker.Stop()
	var joined time.Time
	for {
		if len(m.Members()) <= 1 && time.Since(joined) >= joinInterval {
			joined = time.Now()
			m.join()
		}
		select {
		case <-m.closing.Done():
			return
		case <-ticker.C:
			m.act(m.view.Tick)
		}
	}
}

// join asks the seeds for all members.
func (m *Mesh) join() {
	for _, seed := range m.cfg.Seeds {
		if seed != m.cfg.Address {
			m.send(seed, messages.Message{Kind: messages.Sync, From: m.cfg.Node, Updates: []messages.Member{m.self}})
		}
	}
}
