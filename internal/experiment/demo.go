package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/hickorydock/hickorydock/internal/node"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/settings"
	"github.com/hickorydock/hickorydock/internal/protocol/upstream"
	"github.com/hickorydock/hickorydock/internal/standin/leaf"
	standin "github.com/hickorydock/hickorydock/internal/standin/platform"
	"github.com/hickorydock/hickorydock/internal/transport/operator"
	client "github.com/hickorydock/hickorydock/internal/transport/platform"
)

const (
	// demoNodes is the number of entry nodes of the demo.
	demoNodes = 3
	// demoRate is the rate of demo queries, per second.
	demoRate = 150.0
	// demoSettleMS is the settle time of the nodes, in milliseconds: far above the
	// time between two nodes of one process applying a change.
	demoSettleMS = 300
	// demoClientTimeout bounds one call of the platform.
	demoClientTimeout = 2 * time.Second
)

// demoGroup is an upstream group whose leafs hold one shard each.
type demoGroup struct {
	name          string
	shards        int
	replicas      int
	slots         int
	connectionCap int
	connectCost   time.Duration
	serviceTime   leaf.ServiceTime
}

// demoGroups are the upstream groups of the demo: 12 leafs in two services.
var demoGroups = []demoGroup{
	{"licence-desk", 4, 2, 4, 100, time.Millisecond, leaf.ServiceTime{Median: 3 * time.Millisecond, Sigma: 0.3, StragglerShare: 0.01, StragglerFactor: 20}},
	{"job-history", 2, 2, 2, 25, 6 * time.Millisecond, leaf.ServiceTime{Median: 3 * time.Millisecond, Sigma: 0.3, StragglerShare: 0.01, StragglerFactor: 20}},
}

// Demo is a complete deployment in one process: a stand-in platform, 12 stand-in
// leafs and three nodes, on loopback.
type Demo struct {
	platform *standin.Platform
	server   *http.Server
	url      string
	leafs    []*leaf.Leaf
	// addresses holds the leafs' addresses by leaf ID.
	addresses map[string]string
	nodes     []*node.Node
}

// StartDemo starts the demo and applies a release note. Log lines go to logs.
func StartDemo(ctx context.Context, first note.Note, logs io.Writer) (*Demo, error) {
	d := &Demo{platform: standin.New(standin.Options{Seed: 1}), addresses: make(map[string]string)}
	if err := d.start(ctx, first, logs); err != nil {
		d.Stop(ctx)
		return nil, err
	}
	return d, nil
}

func (d *Demo) start(ctx context.Context, first note.Note, logs io.Writer) error {
	if err := d.listen(); err != nil {
		return err
	}
	if err := d.startLeafs(); err != nil {
		return err
	}
	if _, err := operator.Apply(ctx, d.Client(), first, operator.Options{}); err != nil {
		return fmt.Errorf("apply note %s: %w", first.ID, err)
	}
	for i := range demoNodes {
		if err := d.startNode(ctx, i, logs); err != nil {
			return err
		}
	}
	return d.awaitFullCoverage(ctx, first.Added)
}

func (d *Demo) listen() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.url = "http://" + listener.Addr().String()
	d.server = &http.Server{Handler: d.platform, ReadHeaderTimeout: demoClientTimeout}
	// Serve returns when Stop closes the server.
	go func() { _ = d.server.Serve(listener) }()
	return nil
}

// Client returns a client of the demo's platform.
func (d *Demo) Client() platform.Client {
	return client.New(client.Config{BaseURL: d.url, Timeout: demoClientTimeout})
}

func (d *Demo) startLeafs() error {
	for _, g := range demoGroups {
		for shard := range g.shards {
			for replica := range g.replicas {
				o := g.leaf(shard, replica)
				o.Seed = uint64(len(d.leafs))
				if err := d.startLeaf(g.name, leaf.New(o)); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// leaf returns the options of one leaf of the group.
func (g demoGroup) leaf(shard, replica int) leaf.Options {
	return leaf.Options{
		ID:               fmt.Sprintf("%s-%d-%d", g.name, shard, replica),
		AvailabilityZone: zones[(shard+replica)%len(zones)],
		Slots:            g.slots,
		ConnectionCap:    g.connectionCap,
		ConnectCost:      g.connectCost,
		ServiceTime:      g.serviceTime,
		CrashMarker:      crashMarker,
		Holdings:         []upstream.Holding{{Service: g.name, Snapshot: firstSnapshot, ShardCount: g.shards, Shards: []int{shard}}},
	}
}

// startLeaf starts a leaf and adds it to the platform's list of VMs.
func (d *Demo) startLeaf(group string, l *leaf.Leaf) error {
	address, err := l.Start("127.0.0.1:0")
	if err != nil {
		return err
	}
	d.leafs = append(d.leafs, l)
	d.addresses[l.ID()] = address
	return d.platform.Set(platform.KindVM, l.ID(), platform.VM{
		ID: l.ID(), Group: group, Address: address, AvailabilityZone: l.AvailabilityZone(), State: platform.VMLive,
	})
}

func (d *Demo) startNode(ctx context.Context, i int, logs io.Writer) error {
	n, err := d.launch(ctx, d.nodeSettings(i), logs)
	if err == nil {
		d.nodes = append(d.nodes, n)
	}
	return err
}

// nodeSettings returns the settings of node number i, counted over all starts.
func (d *Demo) nodeSettings(i int) settings.Settings {
	s := settings.Default()
	s.Node.ID = fmt.Sprintf("node-%d", i)
	s.Node.AvailabilityZone = zones[i%len(zones)]
	s.Node.CallerAddress = "127.0.0.1:0"
	s.Node.AdminAddress = "127.0.0.1:0"
	s.Node.PeerAddress = "127.0.0.1:0"
	for _, n := range d.nodes {
		s.Node.BootstrapPeers = append(s.Node.BootstrapPeers, n.PeerAddress())
	}
	s.Platform.URL = d.url
	s.Platform.SettleMS = demoSettleMS
	return s
}

// launch starts a node and adds it to the platform's list of VMs.
func (d *Demo) launch(ctx context.Context, s settings.Settings, logs io.Writer) (*node.Node, error) {
	n, err := node.New(node.Config{Settings: s, Logs: logs, Control: node.PlatformControl(d.Client())})
	if err != nil {
		return nil, err
	}
	if err := n.Start(ctx); err != nil {
		return nil, err
	}
	return n, d.platform.Set(platform.KindVM, s.Node.ID, platform.VM{
		ID: s.Node.ID, Group: platform.NodeGroup, Address: n.Address(), PeerAddress: n.PeerAddress(),
		AvailabilityZone: s.Node.AvailabilityZone, State: platform.VMLive,
	})
}

// awaitFullCoverage waits until every node answers queries of every service with full
// coverage.
func (d *Demo) awaitFullCoverage(ctx context.Context, services []note.Service) error {
	c := newCaller()
	defer c.close()
	for _, n := range d.nodes {
		for _, service := range services {
			if err := c.awaitComplete(ctx, n.URL(), service.Name); err != nil {
				return fmt.Errorf("service %s on %s: %w", service.Name, n.URL(), err)
			}
		}
	}
	return nil
}

// URLs returns the nodes' URLs for callers.
func (d *Demo) URLs() []string {
	urls := make([]string, len(d.nodes))
	for i, n := range d.nodes {
		urls[i] = n.URL()
	}
	return urls
}

// AdminURLs returns the nodes' URLs for operators.
func (d *Demo) AdminURLs() []string {
	urls := make([]string, len(d.nodes))
	for i, n := range d.nodes {
		urls[i] = n.AdminURL()
	}
	return urls
}

// PlatformURL is the base URL of the stand-in platform.
func (d *Demo) PlatformURL() string { return d.url }

// Summary is what the demo prints after a number of queries.
type Summary struct {
	Queries  int     `json:"queries"`
	Complete int     `json:"complete"`
	Partial  int     `json:"partial"`
	Failed   int     `json:"failed"`
	Mixed    int     `json:"mixed"`
	P50MS    float64 `json:"p50_ms"`
	P99MS    float64 `json:"p99_ms"`
	// ExtraLoad is the runs on leafs beyond one per shard and query, as a share of
	// one per shard and query.
	ExtraLoad float64 `json:"extra_load"`
}

// Faulty reports whether a query failed or an answer was mixed.
func (s Summary) Faulty() bool { return s.Failed > 0 || s.Mixed > 0 }

// Query sends count queries, over all nodes and services in turn.
func (d *Demo) Query(ctx context.Context, count int) (Summary, error) {
	c := newCaller()
	defer c.close()
	for _, l := range d.leafs {
		l.ResetRuns()
	}
	t := newTally(false)
	expected := 0
	for i := range count {
		expected += demoGroups[i%len(demoGroups)].shards
	}
	poisson(ctx, 1, demoRate, count, func(i int, at time.Time) {
		service := demoGroups[i%len(demoGroups)].name
		t.add(c.sendQuery(ctx, d.nodes[i%len(d.nodes)].URL(), service, i, at))
	})
	runs := 0
	for _, l := range d.leafs {
		runs += l.RunCount()
	}
	return Summary{
		Queries:   t.total(),
		Complete:  t.complete,
		Partial:   t.partial,
		Failed:    t.failed + t.notRun,
		Mixed:     t.mixed,
		P50MS:     t.quantileMS(0.50),
		P99MS:     t.quantileMS(0.99),
		ExtraLoad: float64(runs-expected) / float64(max(expected, 1)),
	}, ctx.Err()
}

// Print writes the summary as one line of JSON.
func (s Summary) Print(w io.Writer) error { return json.NewEncoder(w).Encode(s) }

// Stop stops the nodes gracefully, then the leafs and the platform.
func (d *Demo) Stop(ctx context.Context) {
	for _, n := range d.nodes {
		// A node that exceeds its stop limit logs that itself.
		_ = n.Stop(ctx)
	}
	for _, l := range d.leafs {
		l.Close()
	}
	if d.server != nil {
		_ = d.server.Close()
	}
}
