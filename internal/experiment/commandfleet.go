package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/gin-gonic/gin"

	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	contract "github.com/hickorydock/hickorydock/internal/protocol/upstream"
	"github.com/hickorydock/hickorydock/internal/standin/leaf"
	standin "github.com/hickorydock/hickorydock/internal/standin/platform"
	leafstate "github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
	runner "github.com/hickorydock/hickorydock/internal/transport/command"
	"github.com/hickorydock/hickorydock/internal/transport/discovery"
	adapter "github.com/hickorydock/hickorydock/internal/transport/platform"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
	"github.com/hickorydock/hickorydock/internal/transport/upstream"
)

const (
	commandNodes    = 3
	commandShards   = 2
	commandReplicas = 2
	// platformLatency is the latency of one platform call.
	platformLatency = 2 * time.Millisecond
	// commandWriteRate is the fleet's budget of platform writes, in writes/s.
	commandWriteRate = 600
)

// commandLeaf is the template of leafs of the service complaints: 4 slots, 100
// connections that take 1 ms each to open.
var commandLeaf = leaf.Options{
	Slots:         4,
	QueueLength:   64,
	ConnectionCap: 100,
	ConnectCost:   time.Millisecond,
	ServiceTime:   leaf.ServiceTime{Median: 5 * time.Millisecond, Sigma: 0.3},
	Items:         1,
}

// commandFleet is a platform, leafs and nodes on loopback that run commands.
type commandFleet struct {
	service  note.Service
	platform *standin.Platform
	server   *http.Server
	url      string
	leafs    []*leaf.Leaf
	vms      []platform.VM

	mu    sync.Mutex
	nodes []*commandNode // the current incarnations
}

// commandNode is one incarnation of a node.
type commandNode struct {
	id           string
	address      string
	gate         *gate
	server       *http.Server
	runner       *runner.Runner
	client       *upstream.Client
	platformHTTP *http.Client
	discovery    *discovery.Discovery
}

// newCommandFleet starts the platform, the leafs and the nodes; close stops them.
func newCommandFleet(seed uint64, wait time.Duration) (*commandFleet, error) {
	f := &commandFleet{
		service: note.Service{
			Name:          "complaints",
			UpstreamGroup: "complaints",
			LongestWaitMS: wait.Milliseconds(),
			Commands:      true,
		},
		platform: standin.New(standin.Options{Seed: seed, Faults: standin.Faults{Latency: platformLatency}}),
	}
	if err := f.start(seed); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *commandFleet) start(seed uint64) error {
	server, address, err := serveHTTP(f.platform)
	if err != nil {
		return err
	}
	f.server = server
	f.url = "http://" + address
	for i := range commandShards * commandReplicas {
		if err := f.startLeaf(seed, i); err != nil {
			return err
		}
	}
	for i := range commandNodes {
		n, err := f.startNode(fmt.Sprintf("node-%d", i))
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
	}
	return nil
}

func serveHTTP(handler http.Handler) (*http.Server, string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	server := &http.Server{Handler: handler}
	// Serve returns ErrServerClosed after Close.
	go func() { _ = server.Serve(listener) }()
	return server, listener.Addr().String(), nil
}

func (f *commandFleet) startLeaf(seed uint64, i int) error {
	o := commandLeaf
	o.ID = fmt.Sprintf("leaf-%d", i)
	o.Seed = seed + uint64(i)
	o.AvailabilityZone = zones[i%len(zones)]
	o.Holdings = []contract.Holding{{
		Service: f.service.Name, Snapshot: firstSnapshot, ShardCount: commandShards, Shards: []int{i % commandShards},
	}}
	l := leaf.New(o)
	address, err := l.Start("127.0.0.1:0")
	if err != nil {
		return err
	}
	f.leafs = append(f.leafs, l)
	f.vms = append(f.vms, platform.VM{
		ID: o.ID, Group: f.service.UpstreamGroup, Address: address, AvailabilityZone: o.AvailabilityZone, State: platform.VMLive,
	})
	return nil
}

// Find returns the fleet's only service.
func (f *commandFleet) Find(name string) (note.Service, bool) {
	return f.service, name == f.service.Name
}

func (f *commandFleet) startNode(id string) (*commandNode, error) {
	n := &commandNode{id: id, gate: newGate()}
	n.client = upstream.New(upstream.DefaultConfig(), nil)
	n.platformHTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	table := leafstate.NewTable()
	store := shardmap.NewStore(table)
	n.discovery = discovery.New(n.client, store, table, 200*time.Millisecond)
	n.discovery.SetVMs(f.vms)
	self, err := runner.NewIncarnation(id)
	if err != nil {
		return nil, err
	}
	secret, err := runner.NewSecret()
	if err != nil {
		return nil, err
	}
	s := runner.DefaultSettings()
	s.FleetWriteRate = commandWriteRate
	s.NodeWriteRate = commandWriteRate
	budget := runner.NewBudget(s.FleetWriteRate, s.NodeWriteRate)
	budget.SetNodes(commandNodes)
	n.runner, err = runner.New(runner.Options{
		Self:       self,
		Settings:   s,
		Platform:   gatedPlatform{adapter.New(adapter.Config{BaseURL: f.url, HTTPClient: n.platformHTTP}), n.gate},
		Dispatcher: gatedDispatcher{runner.NewLeafDispatcher(n.client, store, zones[0], tracing.Off()), n.gate},
		Peers:      fleetPeers{f},
		Services:   f,
		Budget:     budget,
	}, secret, &log.Logger{Handler: discard.New(), Level: log.FatalLevel})
	if err != nil {
		return nil, err
	}
	n.runner.Start()
	n.server, n.address, err = serveHTTP(n.routes())
	if err != nil {
		return nil, err
	}
	return n, f.awaitShards(store)
}

// awaitShards waits until a node has discovered every shard.
func (f *commandFleet) awaitShards(store *shardmap.Store) error {
	for range 500 {
		view := store.View(f.service.UpstreamGroup, f.service.Name)
		if view != nil && len(view.Snapshots) > 0 && view.Snapshots[0].Covered == commandShards {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return errors.New("the node did not discover a leaf of every shard within 5 s")
}

func (n *commandNode) routes() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.Use(func(c *gin.Context) { n.gate.wait() })
	runner.NewHandler(n.runner, tracing.Off()).Mount(engine)
	return engine
}

// node returns the current incarnation of node i.
func (f *commandFleet) node(i int) *commandNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[i%len(f.nodes)]
}

// pauseBeforeReplace is the time for which a node is paused before it is killed, so
// that it is killed with commands in progress at every step.
const pauseBeforeReplace = 300 * time.Millisecond

// replace pauses node i, starts its next incarnation and kills the paused one.
func (f *commandFleet) replace(i int) error {
	old := f.node(i)
	old.gate.pause(pauseBeforeReplace)
	successor, err := f.startNode(old.id)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.nodes[i] = successor
	f.mu.Unlock()
	old.kill()
	return nil
}

// kill stops a node without waiting for its commands.
func (n *commandNode) kill() {
	_ = n.server.Close()
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	_ = n.runner.Stop(expired)
	n.discovery.Close()
	n.client.Close()
	n.platformHTTP.CloseIdleConnections()
}

func (f *commandFleet) close() {
	for _, n := range f.nodes {
		n.kill()
	}
	for _, l := range f.leafs {
		l.Close()
	}
	if f.server != nil {
		_ = f.server.Close()
	}
}

// claimWrites counts the platform calls that create, update or delete claims.
func (f *commandFleet) claimWrites() float64 {
	total := uint64(0)
	for call, n := range f.platform.Calls() {
		switch call.Method {
		case standin.MethodCreate, standin.MethodUpdate, standin.MethodDelete:
			if call.Kind == platform.KindClaim {
				total += n
			}
		}
	}
	return float64(total)
}

// fleetPeers forwards commands under tickets to nodes within the process.
type fleetPeers struct{ fleet *commandFleet }

func (p fleetPeers) Forward(ctx context.Context, node string, forward command.ForwardedCommand) (command.Result, error) {
	for i := range commandNodes {
		if n := p.fleet.node(i); n.id == node {
			n.gate.wait()
			return n.runner.ServeForward(ctx, forward)
		}
	}
	return command.Result{}, fmt.Errorf("forward to node %s: no such node", node)
}

// gate blocks each call of a paused node, as a suspended process would be blocked.
type gate struct {
	mu   sync.Mutex
	open chan struct{}
}

func newGate() *gate {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	return g
}

// pause closes the gate for a time.
func (g *gate) pause(d time.Duration) {
	open := make(chan struct{})
	g.mu.Lock()
	g.open = open
	g.mu.Unlock()
	time.AfterFunc(d, func() { close(open) })
}

func (g *gate) wait() {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	<-open
}

// gatedPlatform waits at the gate before and after each call.
type gatedPlatform struct {
	platform.Client
	gate *gate
}

func (p gatedPlatform) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	p.gate.wait()
	defer p.gate.wait()
	return p.Client.Get(ctx, kind, name)
}

func (p gatedPlatform) Create(ctx context.Context, kind platform.Kind, name string, value json.RawMessage) (platform.Object, error) {
	p.gate.wait()
	defer p.gate.wait()
	return p.Client.Create(ctx, kind, name, value)
}

func (p gatedPlatform) Update(ctx context.Context, object platform.Object) (platform.Object, error) {
	p.gate.wait()
	defer p.gate.wait()
	return p.Client.Update(ctx, object)
}

func (p gatedPlatform) Delete(ctx context.Context, kind platform.Kind, name string, version uint64) error {
	p.gate.wait()
	defer p.gate.wait()
	return p.Client.Delete(ctx, kind, name, version)
}

// gatedDispatcher waits at the gate before and after each dispatch.
type gatedDispatcher struct {
	runner.Dispatcher
	gate *gate
}

// Dispatch dispatches an attempt; a pause at the gate counts towards its deadline.
func (d gatedDispatcher) Dispatch(ctx context.Context, a runner.Attempt) command.DispatchResult {
	d.gate.wait()
	defer d.gate.wait()
	return d.Dispatcher.Dispatch(ctx, a)
}
