package experiment

import (
	"context"
	"fmt"
	"io"

	"go.uber.org/fx"

	"github.com/hickorydock/hickorydock/internal/coordination/replica"
	"github.com/hickorydock/hickorydock/internal/node"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/protocol/settings"
	"github.com/hickorydock/hickorydock/internal/protocol/upstream"
	"github.com/hickorydock/hickorydock/internal/standin/leaf"
	"github.com/hickorydock/hickorydock/internal/transport/server"
)

// zones are the availability zones of a rig.
var zones = []string{"az-1", "az-2", "az-3", "az-4"}

// firstSnapshot is the snapshot that leafs hold at the start.
var firstSnapshot = query.Snapshot{Generation: 1, Version: 1}

// rigOptions describe leafs and nodes for an experiment.
type rigOptions struct {
	seed     uint64
	service  note.Service
	shards   int
	replicas int
	// leaf is the template of all leafs; the rig sets ID, zone, seed and holdings.
	leaf leaf.Options
	// adjustLeaf changes the options of one leaf; nil changes none.
	adjustLeaf func(shard, replica int, o *leaf.Options)
	nodes      int
	// choose replaces the nodes' choice of replicas; nil keeps it.
	choose replica.Chooser
	// control replaces the static catalogue of the rig's nodes; nil keeps it.
	control fx.Option
	// adjustSettings changes the settings of each node; nil changes none.
	adjustSettings func(s *settings.Settings)
}

// rig is a test cluster of leafs and nodes on loopback. Each leaf holds one shard.
type rig struct {
	options rigOptions
	leafs   [][]*leaf.Leaf // by shard and replica
	vms     []platform.VM
	nodes   []*node.Node
}

// staticServices is a catalogue that does not change.
type staticServices []note.Service

// Find returns the service with a name.
func (s staticServices) Find(name string) (note.Service, bool) {
	catalogue := note.Catalogue{Services: s}
	return catalogue.Find(name)
}

// staticControl provides a fixed catalogue to a node that is always ready.
func staticControl(services ...note.Service) fx.Option {
	return fx.Provide(
		func() server.Services { return staticServices(services) },
		func() server.Readiness { return func() error { return nil } },
	)
}

// newRig starts leafs and nodes; close stops them.
func newRig(ctx context.Context, options rigOptions) (*rig, error) {
	r := &rig{options: options}
	if err := r.start(ctx); err != nil {
		r.close()
		return nil, err
	}
	return r, nil
}

func (r *rig) start(ctx context.Context) error {
	for shard := range r.options.shards {
		replicas := make([]*leaf.Leaf, r.options.replicas)
		for replica := range replicas {
			l, err := r.startLeaf(shard, replica)
			if err != nil {
				return err
			}
			replicas[replica] = l
		}
		r.leafs = append(r.leafs, replicas)
	}
	for i := range max(r.options.nodes, 1) {
		if err := r.startNode(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func (r *rig) startLeaf(shard, replica int) (*leaf.Leaf, error) {
	o := r.options.leaf
	o.ID = fmt.Sprintf("leaf-%d-%d", shard, replica)
	o.AvailabilityZone = zones[(shard+replica)%len(zones)]
	o.Seed = r.options.seed + uint64(shard*r.options.replicas+replica)
	o.Holdings = []upstream.Holding{r.holding(firstSnapshot, shard)}
	if r.options.adjustLeaf != nil {
		r.options.adjustLeaf(shard, replica, &o)
	}
	l := leaf.New(o)
	address, err := l.Start("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.vms = append(r.vms, platform.VM{
		ID:               o.ID,
		Group:            r.options.service.UpstreamGroup,
		Address:          address,
		AvailabilityZone: o.AvailabilityZone,
		Rack:             fmt.Sprintf("rack-%d", shard%3),
		State:            platform.VMLive,
	})
	return l, nil
}

// holding returns the holding of the leafs of a shard in a snapshot.
func (r *rig) holding(s query.Snapshot, shard int) upstream.Holding {
	return upstream.Holding{Service: r.options.service.Name, Snapshot: s, ShardCount: r.options.shards, Shards: []int{shard}}
}

func (r *rig) startNode(ctx context.Context, i int) error {
	s := settings.Default()
	s.Node.ID = fmt.Sprintf("node-%d", i)
	s.Node.AvailabilityZone = zones[i%len(zones)]
	s.Node.CallerAddress = "127.0.0.1:0"
	s.Node.AdminAddress = "127.0.0.1:0"
	s.Node.PeerAddress = "127.0.0.1:0"
	s.Query.ManifestIntervalMS = 250
	if r.options.adjustSettings != nil {
		r.options.adjustSettings(&s)
	}
	control := r.options.control
	if control == nil {
		control = staticControl(r.options.service)
	}
	n, err := node.New(node.Config{Settings: s, Logs: io.Discard, Control: control, Choose: r.options.choose})
	if err != nil {
		return err
	}
	if err := n.Start(ctx); err != nil {
		return err
	}
	r.nodes = append(r.nodes, n)
	n.Discovery().SetVMs(r.vms)
	return nil
}

// url is the caller URL of a node, chosen by the number of the request.
func (r *rig) url(i int) string { return r.nodes[i%len(r.nodes)].URL() }

// runCount counts the runs that the leafs started.
func (r *rig) runCount() int {
	total := 0
	r.eachLeaf(func(l *leaf.Leaf) { total += l.RunCount() })
	return total
}

// resetRuns clears the recorded runs of the leafs.
func (r *rig) resetRuns() { r.eachLeaf(func(l *leaf.Leaf) { l.ResetRuns() }) }

func (r *rig) eachLeaf(f func(l *leaf.Leaf)) {
	for _, replicas := range r.leafs {
		for _, l := range replicas {
			f(l)
		}
	}
}

// violations counts the violated invariants on all nodes.
func (r *rig) violations() int64 {
	var total int64
	for _, n := range r.nodes {
		total += n.Violations()
	}
	return total
}

// close stops the nodes, then the leafs.
func (r *rig) close() {
	for _, n := range r.nodes {
		// A node that does not stop in time does not matter: the experiment is over.
		_ = n.Stop(context.Background())
	}
	r.eachLeaf(func(l *leaf.Leaf) { l.Close() })
}
