package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"github.com/hickorydock/hickorydock/internal/coordination/quarantine"
	"github.com/hickorydock/hickorydock/internal/protocol/membership"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/settings"
	"github.com/hickorydock/hickorydock/internal/state/group"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/mirror"
	"github.com/hickorydock/hickorydock/internal/state/routing"
	"github.com/hickorydock/hickorydock/internal/transport/forward"
	"github.com/hickorydock/hickorydock/internal/transport/guard"
	"github.com/hickorydock/hickorydock/internal/transport/ingress"
	"github.com/hickorydock/hickorydock/internal/transport/leafwire"
	"github.com/hickorydock/hickorydock/internal/transport/links"
	"github.com/hickorydock/hickorydock/internal/transport/mesh"
	"github.com/hickorydock/hickorydock/internal/transport/metrics"
	"github.com/hickorydock/hickorydock/internal/transport/peer"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
)

// newMirror returns a mirror that keeps the newest routing table, also when the platform is
// restored from a copy with an older one.
func newMirror(a Adapter) *mirror.Mirror {
	m := mirror.New()
	m.Keep(platform.KindRouting, func(held, next platform.Object) bool {
		heldTable, err := a.DecodeTable(held)
		if err != nil {
			return false
		}
		nextTable, err := a.DecodeTable(next)
		return err != nil || heldTable.Version > nextTable.Version
	})
	return m
}

// observeQuarantine logs and counts the events of the quarantine.
func observeQuarantine(g *guard.Guard, m *metrics.Metrics, logger log.Interface) {
	g.SetObserver(func(e quarantine.Event) {
		m.QuarantineEvent(string(e.Kind))
		fields := log.Fields{"event": string(e.Kind), "fingerprint": fmt.Sprintf("%016x", uint64(e.Fingerprint)), "attributions": e.Attributions}
		if e.Leaf != "" {
			fields["leaf"] = e.Leaf
		}
		logger.WithFields(fields).Info("quarantine changed")
	})
}

// newMesh connects the node to the other gateways.
func newMesh(s settings.Settings, limiter *ingress.Limiter, localMirror *mirror.Mirror, f *forward.Forwarder, r *relays, g *guard.Guard, collectors *metrics.Metrics, logger log.Interface, lifecycle fx.Lifecycle) (*mesh.Mesh, error) {
	observeQuarantine(g, collectors, logger)
	m, err := mesh.New(mesh.Config{
		Node:             s.Node.ID,
		Endpoint:         limiter.NewEndpoint(peer.EndpointConfig(limiter)),
		AvailabilityZone: s.Node.AvailabilityZone,
		Address:          s.Node.PeerAddress,
		Seeds:            s.Node.BootstrapPeers,
		Mirror:           localMirror,
		Heartbeat:        s.Forward.LeafHeartbeat(),
		OnReport:         g.Receive,
		OnReportsSent:    collectors.QuarantineReports,
		Quarantines:      g.Entries,
		OnReadFailed:     collectors.PlatformReadFailed,
		Log:              logger,
		OnMembersChanged: func(members []membership.Member) {
			r.setMembers(members)
			f.SetNodes(max(len(members), int(s.Forward.ExpectedNodes)))
		},
	}, f)
	if err != nil {
		return nil, err
	}
	r.mesh = m
	f.Relays = r
	f.Holders = r.holders
	f.LeafListConfirmedAt = func() time.Time { return localMirror.Confirmed(platform.KindVM) }
	g.SetPeers(m)
	lifecycle.Append(fx.StartStopHook(m.Start, m.Close))
	return m, nil
}

// maxConnectionsPerLeaf limits this node's connections to a leaf regardless of its share.
const maxConnectionsPerLeaf = 8

func newRelays(s settings.Settings, routes *routing.Store, groups *group.Store, logger log.Interface) *relays {
	return &relays{node: s.Node.ID, zone: s.Node.AvailabilityZone, routing: routes, groups: groups, records: leaf.NewTable(), log: logger}
}

func newLeafClient(s settings.Settings, a Adapter, r *relays, m *metrics.Metrics, logger log.Interface) *leafwire.Client {
	maxConnections := func(group string) int { return r.maxConnections(group, int(s.Forward.ExpectedNodes)) }
	return leafwire.New(leafwire.Config{
		Names:          a.Headers(),
		OnConnect:      m.LeafConnected,
		MaxConnections: maxConnections,
		OnRefused: func(vm platform.VM, open int) {
			logger.WithFields(log.Fields{"leaf": vm.ID, "group": vm.Group, "open": open, "limit": maxConnections(vm.Group)}).Warn("leaf reset a fresh connection")
		},
		OnFailure: func(vm platform.VM, cause leafwire.Cause, open int) {
			m.LeafConnectionFailed(string(cause))
			logger.WithFields(log.Fields{"leaf": vm.ID, "group": vm.Group, "cause": string(cause), "open": open}).Info("connection to leaf failed")
		},
	})
}

func newForwarder(s settings.Settings, a Adapter, routes *routing.Store, groups *group.Store, leafClient *leafwire.Client, g *guard.Guard, m *metrics.Metrics, tracer *tracing.Tracer, limiter *ingress.Limiter, logger log.Interface) *forward.Forwarder {
	f := forward.New(forward.Config{
		AvailabilityZone: s.Node.AvailabilityZone,
		Names:            a.Headers(),
		DecodeLoad:       a.DecodeLoad,
		CallerTrip:       s.Forward.CallerTrip(),
		MergeReserve:     s.Forward.MergeReserve(),
		ExtraShare:       s.Forward.ExtraShare,
		ExtraSlack:       s.Forward.ExtraSlack,
		Linger:           s.Forward.Linger(),
	}, routes, groups, leafClient, g, m, logger)
	f.Tracer = tracer
	f.Memory = limiter.Pool()
	f.SetNodes(int(s.Forward.ExpectedNodes))
	return f
}

// withdrawBefore is the time before a node is isolated in which its lost connections are no
// evidence against requests.
const withdrawBefore = time.Second

// newLinks monitors the links to the leafs. When the node reaches them again, what failed
// attempts say about single leafs is dropped: its own links had failed.
func newLinks(leafClient *leafwire.Client, groups *group.Store, f *forward.Forwarder, peerMesh *mesh.Mesh, g *guard.Guard, m *metrics.Metrics, logger log.Interface, lifecycle fx.Lifecycle) *links.Monitor {
	monitor := links.New(links.Config{
		Client:    leafClient,
		Observer:  m,
		Log:       logger,
		OnLasting: func() { peerMesh.SetIsolated(true) },
		// Connections may have been reset before they were found to have failed.
		OnConfirmed: func(since time.Time) { g.Withdraw(since.Add(-withdrawBefore)) },
		OnReturn: func() {
			groups.ForgetFailures()
			peerMesh.SetIsolated(false)
		},
	})
	f.Links = monitor
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	lifecycle.Append(fx.StartStopHook(
		func() { go func() { defer close(done); monitor.Run(ctx) }() },
		func() { cancel(); <-done },
	))
	return monitor
}

func newController(s settings.Settings, a Adapter, peerMesh *mesh.Mesh, routes *routing.Store, groups *group.Store, leafClient *leafwire.Client, r *relays, f *forward.Forwarder, m *metrics.Metrics, logger log.Interface, lifecycle fx.Lifecycle) *controller {
	client := mesh.NewClient(a.Client(s), peerMesh, s.Forward.WatchWait())
	c := &controller{
		adapter:    a,
		client:     client,
		routing:    routes,
		groups:     groups,
		leafClient: leafClient,
		relays:     r,
		metrics:    m,
		log:        logger,
		heartbeat:  s.Forward.LeafHeartbeat(),

		followsEvacuations: s.Forward.HasEvacuations(),
		setCold:            f.SetCold,
		confirmedAt:        client.Confirmed,
		outageEnded:        client.OutageEnded,
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.onAssignment = func() {
		c.applyAssignment()
		f.RedistributeSlack()
		r.prepare(ctx)
	}
	f.OnMisdirected = c.leafMisdirected
	done := make(chan struct{})
	lifecycle.Append(fx.StartStopHook(
		func() { go func() { defer close(done); c.run(ctx) }() },
		func() { cancel(); client.Close(); <-done },
	))
	return c
}
