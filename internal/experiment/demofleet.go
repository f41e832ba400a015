package experiment

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/hickorydock/hickorydock/internal/node"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/settings"
	"github.com/hickorydock/hickorydock/internal/protocol/upstream"
	"github.com/hickorydock/hickorydock/internal/standin/leaf"
	"github.com/hickorydock/hickorydock/internal/transport/operator"
)

// demoComplaints is the service for commands that experiments add to the demo.
var demoComplaints = note.Service{
	Name: "complaints", UpstreamGroup: "complaints", Policy: note.PolicyCoverage, Merge: note.MergeConcat,
	LongestWaitMS: 5000, LeafSlots: 4, LeafConnections: 100, Commands: true,
}

// demoNote adds the demo's services.
func demoNote() note.Note {
	n := note.Note{ID: "first", Author: "operator"}
	for _, g := range demoGroups {
		s := note.Service{
			Name: g.name, UpstreamGroup: g.name, Policy: note.PolicyCoverage, Merge: note.MergeConcat,
			LongestWaitMS: 2000, HedgeShare: 0.05, LeafSlots: g.slots, LeafConnections: g.connectionCap,
		}
		n.Added = append(n.Added, s.Normalize())
	}
	return n
}

// startCommandDemo starts the demo with demoComplaints applied on every node.
func startCommandDemo(ctx context.Context) (*Demo, error) {
	d, err := StartDemo(ctx, demoNote(), io.Discard)
	if err != nil {
		return nil, err
	}
	err = d.addComplaints(ctx)
	if err == nil {
		for _, n := range d.nodes {
			err = d.awaitNode(ctx, n)
		}
	}
	if err != nil {
		d.Stop(ctx)
		return nil, err
	}
	return d, nil
}

func (d *Demo) addComplaints(ctx context.Context) error {
	for i := range commandReplicas {
		if err := d.startLeaf(demoComplaints.UpstreamGroup, leaf.New(complaintsLeaf(i))); err != nil {
			return err
		}
	}
	added := note.Note{ID: "complaints", Author: "operator", Base: 1, Added: []note.Service{demoComplaints.Normalize()}}
	_, err := operator.Apply(ctx, d.Client(), added, operator.Options{})
	return err
}

// complaintsLeaf returns the options of one leaf of demoComplaints.
func complaintsLeaf(replica int) leaf.Options {
	o := commandLeaf
	o.ID = "complaints-" + string(rune('a'+replica))
	o.Seed = uint64(replica)
	o.AvailabilityZone = zones[replica]
	o.Holdings = []upstream.Holding{{Service: demoComplaints.Name, Snapshot: firstSnapshot, ShardCount: 1, Shards: []int{0}}}
	return o
}

// awaitNode waits until a node is ready and answers queries of every service with
// full coverage.
func (d *Demo) awaitNode(ctx context.Context, n *node.Node) error {
	if err := awaitReady(ctx, n); err != nil {
		return err
	}
	c := newCaller()
	defer c.close()
	for _, service := range append(demoNote().Added, demoComplaints) {
		if err := c.awaitComplete(ctx, n.URL(), service.Name); err != nil {
			return err
		}
	}
	return nil
}

// readyPollInterval is the time between two readiness checks of a node.
const readyPollInterval = 5 * time.Millisecond

func awaitReady(ctx context.Context, n *node.Node) error {
	for n.Ready() != nil {
		if !sleepUntil(ctx, time.Now().Add(readyPollInterval)) {
			return ctx.Err()
		}
	}
	return nil
}

// withAddresses sets the addresses of a running node in settings.
func withAddresses(n *node.Node, s settings.Settings) settings.Settings {
	s.Node.CallerAddress = n.Address()
	s.Node.AdminAddress = strings.TrimPrefix(n.AdminURL(), "http://")
	s.Node.PeerAddress = n.PeerAddress()
	return s
}

// removeVM removes a VM from the platform's list.
func (d *Demo) removeVM(id string) error { return d.platform.Remove(platform.KindVM, id) }
