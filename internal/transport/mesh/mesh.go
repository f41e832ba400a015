// Package mesh carries the traffic between gateways: membership over datagrams; and
// the platform's objects, quarantine reports and parts of queries over drpc. A node
// that cannot be reached delays only the calls to it, each by its timeout.
package mesh

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
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
	"github.com/hickorydock/hickorydock/internal/transport/ingress"
	"github.com/hickorydock/hickorydock/internal/transport/peer"
)

const (
	// joinInterval is the time between two attempts to reach the seeds while no
	// other member is present.
	joinInterval = 200 * time.Millisecond
	// datagramBytes is the largest datagram that is read.
	datagramBytes = 64 << 10
)

// Config configures a Mesh.
type Config struct {
	Node             string
	AvailabilityZone string
	// Endpoint bounds the connections of other nodes.
	Endpoint *ingress.Endpoint
	// Address is the ip:port on which to receive datagrams and connections of other
	// nodes.
	Address string
	// Seeds are addresses of the nodes to join through; they may be stale.
	Seeds  []string
	Mirror *mirror.Mirror
	// Heartbeat is the time between two heartbeats of a leaf at the platform, which is the
	// length of the shortest outage in which registrations may expire.
	Heartbeat time.Duration
	// OnReport is called with each quarantine report of another node; if nil, the
	// call of the other node fails.
	OnReport func(quarantine.Report)
	// Quarantines returns the requests in quarantine, for members that join and for the
	// platform; it may be nil.
	Quarantines func() []quarantine.Entry
	// OnReportsSent is called with the result for n reports to another node; it may be nil.
	OnReportsSent func(result string, n int)
	// OnReadFailed is called with the kind of each list or watch of the platform that failed;
	// it may be nil.
	OnReadFailed func(kind string)
	Log          log.Interface
	// OnMembersChanged is called with the present members after each change; it may
	// be nil.
	OnMembersChanged func([]messages.Member)
}

// Mesh is one node's side of the traffic between gateways. It is safe for concurrent
// use.
type Mesh struct {
	cfg        Config
	peerConfig peer.Config
	self       messages.Member
	started    time.Time
	batches    *peer.Server
	server     *drpcserver.Server

	mu      sync.Mutex // guards view and present
	view    *membership.Membership
	present []messages.Member

	// contacts are the addresses that the platform lists, besides the seeds.
	contacts atomic.Pointer[[]string]

	outages outages
	streams sync.Map // node -> *batchStream
	reports *reportSender
	// crashAttributed holds a value after this node has attributed a crash, until
	// Client.RunQuarantines handles it.
	crashAttributed chan struct{}
	datagrams       net.PacketConn
	listener        net.Listener
	closing         context.Context // ends when the mesh is closed
	cancel          context.CancelFunc
	running         sync.WaitGroup
}

// New returns a mesh that does not listen before Start. batches serves parts of
// queries for other nodes.
func New(cfg Config, batches peer.Handler) (*Mesh, error) {
	started := time.Now()
	m := &Mesh{
		cfg:        cfg,
		peerConfig: peer.DefaultConfig(cfg.Node, messages.StartAt(started)),
		started:    started,
		self: messages.Member{
			ID:               cfg.Node,
			Address:          cfg.Address,
			AvailabilityZone: cfg.AvailabilityZone,
			Start:            messages.StartAt(started),
			State:            messages.Alive,
		},
	}
	m.peerConfig.OnPanic = func(call string, cause any) {
		cfg.Log.WithFields(log.Fields{"call": call, "cause": fmt.Sprint(cause)}).Error("call of a node failed")
	}
	m.view = membership.New(membership.Config{Self: m.self, Seed: rand.Uint64()})
	m.present = m.view.Members()
	m.closing, m.cancel = context.WithCancel(context.Background())
	m.reports = newReportSender(m)
	m.crashAttributed = make(chan struct{}, 1)
	var err error
	if m.batches, err = peer.NewServer(m.peerConfig, batches); err != nil {
		return nil, err
	}
	mux := drpcmux.New()
	if err := errors.Join(contract.DRPCRegisterPeer(mux, m.batches), contract.DRPCRegisterGateway(mux, service{m})); err != nil {
		return nil, err
	}
	m.server = drpcserver.NewWithOptions(m.peerConfig.Guarded(mux), drpcserver.Options{Manager: m.peerConfig.ManagerOptions()})
	return m, nil
}

// Start binds the address and joins the other nodes.
func (m *Mesh) Start() error {
	var err error
	if m.listener, err = peer.Listen(m.cfg.Address, m.cfg.Endpoint); err != nil {
		return fault.Wrap(err, fault.StepSettings, m.cfg.Address, "listen for nodes")
	}
	if m.datagrams, err = net.ListenPacket("udp", m.cfg.Address); err != nil {
		return errors.Join(fault.Wrap(err, fault.StepSettings, m.cfg.Address, "listen for datagrams"), m.listener.Close())
	}
	m.running.Go(func() {
		if err := peer.ServeAll(m.closing, m.server, m.listener); err != nil && m.closing.Err() == nil {
			m.cfg.Log.WithError(err).Error("listener for nodes failed")
		}
	})
	m.running.Go(m.receive)
	m.running.Go(m.tick)
	return nil
}

// Leave announces to the other nodes that this node accepts no new work.
func (m *Mesh) Leave() {
	m.update(func(now time.Time) membership.Actions { return m.view.Leave(now) })
}

// SetIsolated announces to the other nodes whether this node reaches no leaf.
func (m *Mesh) SetIsolated(isolated bool) {
	m.update(func(now time.Time) membership.Actions { return m.view.SetIsolated(now, isolated) })
}

// Close announces that this node stops and ends all traffic. Batches in progress may
// finish until ctx ends.
func (m *Mesh) Close(ctx context.Context) {
	err := m.batches.Drain(ctx)
	if err != nil {
		m.cfg.Log.WithError(err).Warn("batches of other nodes cut off")
	}
	m.update(func(now time.Time) membership.Actions { return m.view.Stop(now) })
	m.reports.stop(m.cancel)
	m.closeStreams()
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

// Suspect handles evidence that a node does not answer: the node is probed at once, so
// that all nodes soon receive its state.
func (m *Mesh) Suspect(id string) {
	m.update(func(now time.Time) membership.Actions { return m.view.Suspect(now, id) })
}

// isSeed reports whether the node's own address is among the seeds.
func (m *Mesh) isSeed() bool { return slices.Contains(m.cfg.Seeds, m.cfg.Address) }

// update changes the view and executes the resulting actions.
func (m *Mesh) update(change func(now time.Time) membership.Actions) {
	m.mu.Lock()
	actions := change(time.Now())
	before := m.present
	if len(actions.Changed) > 0 {
		m.present = m.view.Members()
	}
	present := m.present
	m.mu.Unlock()
	m.sendQuarantines(before, present, actions.Changed)
	for _, member := range actions.Changed {
		m.cfg.Log.WithFields(log.Fields{"node": member.ID, "state": member.State.String(), "start": member.Start, "isolated": member.Isolated, "present": len(present)}).Info("node changed")
	}
	for _, packet := range actions.Packets {
		m.send(packet.Address, packet.Message)
	}
	if len(actions.Changed) > 0 && m.cfg.OnMembersChanged != nil {
		m.cfg.OnMembersChanged(present)
	}
}

// send writes one datagram. The membership protocol tolerates lost ones.
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
				m.cfg.Log.WithError(err).Warn("failed to read datagram")
			}
			continue
		}
		message, err := messages.Decode(buffer[:n])
		if err != nil {
			m.cfg.Log.WithField("from", from.String()).WithError(err).Warn("failed to decode datagram")
			continue
		}
		m.update(func(now time.Time) membership.Actions {
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

// tick advances the view and joins through the seeds while no other member is present.
func (m *Mesh) tick() {
	ticker := time.NewTicker(membership.TickInterval)
	defer ticker.Stop()
	var lastJoin time.Time
	for {
		if len(m.Members()) <= 1 && time.Since(lastJoin) >= joinInterval {
			lastJoin = time.Now()
			m.join()
		}
		select {
		case <-m.closing.Done():
			return
		case <-ticker.C:
			m.update(m.view.Tick)
		}
	}
}

// join requests the list of members from the seeds and the contacts.
func (m *Mesh) join() {
	addresses := m.cfg.Seeds
	if contacts := m.contacts.Load(); contacts != nil {
		addresses = append(slices.Clone(addresses), *contacts...)
	}
	for _, address := range addresses {
		if address != m.cfg.Address {
			m.send(address, messages.Message{Kind: messages.Sync, From: m.cfg.Node, Updates: []messages.Member{m.self}})
		}
	}
}
