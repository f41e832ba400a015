package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hickorydock/hickorydock/internal/coordination/ownership"
	"github.com/hickorydock/hickorydock/internal/coordination/share"
	"github.com/hickorydock/hickorydock/internal/node/control"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/protocol/upstream"
	standin "github.com/hickorydock/hickorydock/internal/standin/platform"
	"github.com/hickorydock/hickorydock/internal/state/catalogue"
	stateleaf "github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
)

var controlSizeExperiment = Experiment{
	Name:    "control-size",
	Summary: "control state of one node for 610 nodes, 2,900 leafs and 100 services, and the cost of its changes by cause",
	Target:  "at most 32 MB, 4.9 % of a core and 20 KB/s",
	Run:     runControlSize,
}

// The size of the deployment, the assumed rates of change and the bounds of the target.
const (
	controlServices = 100
	controlGroups   = 5
	controlShards   = 290 // of each service; 2 replicas
	// controlHoldings is the number of services on each leaf.
	controlHoldings = controlServices / controlGroups
	// controlVersionInterval is the time between two index versions of a leaf.
	controlVersionInterval = 10 * time.Minute
	// controlPollInterval is the interval of manifest polls at this size;
	// controlDefaultPollInterval, the default, is the baseline.
	controlPollInterval        = 5 * time.Second
	controlDefaultPollInterval = 500 * time.Millisecond
	controlSettle              = 5 * time.Second

	controlMemoryMB       = 32.0
	controlCoreShare      = 0.049
	controlBytesPerSecond = 20_000.0
	controlEvents         = 40 // of each cause
	controlEventTimeout   = 2 * time.Second
)

// controlState is the control state of one node.
type controlState struct {
	platform *standin.Platform
	client   platform.Client
	control  *control.Control
	services *catalogue.Store
	shards   *shardmap.Store
	states   map[string]serviceState
	windows  map[string]*share.Window // by leaf
	owners   *ownership.Assignment
	latest   atomic.Pointer[[]platform.VM]
	stop     context.CancelFunc
	done     chan struct{}
}

// controlVMs lists nodes and leafs.
func controlVMs() []platform.VM {
	var out []platform.VM
	for _, m := range fleetSizes[len(fleetSizes)-1].members() {
		out = append(out, platform.VM{
			ID: m.ID, Group: platform.NodeGroup, Address: "10.1.0.1:8080", PeerAddress: "10.1.0.1:7070",
			AvailabilityZone: m.AvailabilityZone, Rack: m.Rack, State: platform.VMLive,
		})
	}
	for g := range controlGroups {
		for s := range controlShards {
			for r := range 2 {
				out = append(out, controlLeaf(g, s, r))
			}
		}
	}
	return out
}

func controlLeaf(group, shard, replica int) platform.VM {
	return platform.VM{
		ID: fmt.Sprintf("leaf-%d-%d-%d", group, shard, replica), Group: fmt.Sprintf("group-%d", group),
		Address:          fmt.Sprintf("10.%d.%d.%d:8080", 2+group*2+replica, shard/250, shard%250),
		AvailabilityZone: fmt.Sprintf("az-%d", (shard+replica)%6), Rack: fmt.Sprintf("rack-%d", shard%racksPerZone), State: platform.VMLive,
	}
}

// controlManifest lists the services of a leaf's group, all in one snapshot.
func controlManifest(group, shard, replica int, version uint64) upstream.Manifest {
	m := upstream.Manifest{Leaf: fmt.Sprintf("leaf-%d-%d-%d", group, shard, replica), Load: 0.5}
	for i := range controlHoldings {
		m.Holdings = append(m.Holdings, upstream.Holding{
			Service:    fmt.Sprintf("service-%03d", group*controlHoldings+i),
			Snapshot:   query.Snapshot{Generation: 1, Version: version},
			ShardCount: controlShards, Shards: []int{shard},
		})
	}
	return m
}

func controlCatalogue(revision uint64) note.Catalogue {
	c := slopeServices(controlServices)
	c.Revision = revision
	for i := range c.Services {
		c.Services[i].UpstreamGroup = fmt.Sprintf("group-%d", i/controlHoldings)
	}
	for i := range note.MaxHistory {
		name := c.Services[i%controlServices].Name
		c.History = append(c.History, note.Applied{ID: fmt.Sprintf("note-%04d", i), Author: "operator", Revision: uint64(i), At: time.Unix(int64(i), 0).UTC(), Digest: "0123456789abcdef", Services: []string{name}})
	}
	return c
}

// fillPlatform stores the catalogue and the VMs.
func fillPlatform(ctx context.Context) (*standin.Platform, error) {
	p := standin.New(standin.Options{Seed: 1})
	client := p.Client()
	body, err := json.Marshal(controlCatalogue(1))
	if err != nil {
		return nil, err
	}
	if _, err := client.Create(ctx, platform.KindCatalogue, platform.CatalogueName, body); err != nil {
		return nil, err
	}
	for _, vm := range controlVMs() {
		body, err := json.Marshal(vm)
		if err != nil {
			return nil, err
		}
		if _, err := client.Create(ctx, platform.KindVM, vm.ID, body); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// startControl builds a node's control state from a platform.
func startControl(ctx context.Context, p *standin.Platform) (*controlState, error) {
	c := &controlState{
		platform: p,
		client:   p.Client(),
		services: catalogue.New(),
		shards:   shardmap.NewStore(stateleaf.NewTable()),
		states:   make(map[string]serviceState),
		windows:  make(map[string]*share.Window),
		done:     make(chan struct{}),
	}
	c.control = control.New(control.Config{
		Node: "node-0", AvailabilityZone: "az-0", Client: c.client, Store: c.services,
		OnVMs:   func(vms []platform.VM) { c.latest.Store(&vms) },
		Log:     &log.Logger{Handler: discard.New(), Level: log.ErrorLevel},
		Metrics: discardMetrics{},
	})
	running, stop := context.WithCancel(ctx)
	c.stop = stop
	go func() {
		defer close(c.done)
		c.control.Run(running)
	}()
	for c.control.Ready() != nil || c.latest.Load() == nil {
		if !sleepUntil(ctx, time.Now().Add(settlePollInterval)) {
			return c, ctx.Err()
		}
	}
	c.loadManifests()
	return c, c.assign()
}

// discardMetrics discards the metrics of the control loop.
type discardMetrics struct{}

// SetCatalogueRevision does nothing.
func (discardMetrics) SetCatalogueRevision(uint64) {}

// OldRevisionRefused does nothing.
func (discardMetrics) OldRevisionRefused() {}

// loadManifests stores every leaf's manifest and creates the state of each service.
func (c *controlState) loadManifests() {
	for g := range controlGroups {
		for s := range controlShards {
			for r := range 2 {
				c.shards.SetManifest(controlLeaf(g, s, r), controlManifest(g, s, r, 1), time.Now())
			}
		}
	}
	current, _ := c.services.Current()
	for _, s := range current.Services {
		c.states[s.Name] = newServiceState(s)
	}
}

// assign computes the owners of all leafs and this node's shares.
func (c *controlState) assign() error {
	var members []ownership.Member
	var leafs []ownership.Leaf
	for _, vm := range *c.latest.Load() {
		if vm.Group == platform.NodeGroup {
			members = append(members, ownership.Member{ID: vm.ID, AvailabilityZone: vm.AvailabilityZone, Rack: vm.Rack})
			continue
		}
		var group, shard, replica int
		if _, err := fmt.Sscanf(vm.ID, "leaf-%d-%d-%d", &group, &shard, &replica); err != nil {
			return err
		}
		leafs = append(leafs, ownership.Leaf{ID: vm.ID, Group: vm.Group, Key: fmt.Sprint(shard)})
	}
	a, err := ownership.Assign(members, leafs, ownership.DefaultConfig())
	if err != nil {
		return err
	}
	c.owners = a
	now := time.Now()
	for _, l := range leafs {
		c.setGrant(now, l.ID)
	}
	return nil
}

// setGrant sets this node's share of a leaf's connections: RelayConnections if it
// owns the leaf, otherwise 0.
func (c *controlState) setGrant(now time.Time, leafID string) {
	connections := 0
	for _, m := range c.owners.OwnersOf(leafID) {
		if m.ID == "node-0" {
			connections = share.RelayConnections
		}
	}
	w, ok := c.windows[leafID]
	if !ok && connections == 0 {
		return
	}
	if !ok {
		w = share.NewWindow(now, controlSettle)
		c.windows[leafID] = w
	}
	w.Grant(now, connections)
}

func (c *controlState) close() {
	c.stop()
	<-c.done
}
