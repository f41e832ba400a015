package experiment

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/reconcile"
	"github.com/hickorydock/hickorydock/internal/node"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/settings"
	"github.com/hickorydock/hickorydock/internal/standin/leaf"
	standin "github.com/hickorydock/hickorydock/internal/standin/platform"
	"github.com/hickorydock/hickorydock/internal/transport/operator"
)

var outageKindsExperiment = Experiment{
	Name:    "outage-kinds",
	Summary: "platform down for 10 s, refusing calls in one fleet and hanging in another, while a node is replaced and an operator applies a note under load",
	Target:  "query errors 0; reverts 0; replaced node ready from peers in at most 3 s; the apply reports what the history shows; the note applied on every node afterwards",
	Run:     runOutageKinds,
}

const (
	outageKindsShards   = 6
	outageKindsRate     = 60.0
	outageKindsQueries  = 1000 // about 17 s
	outageKindsStart    = 1 * time.Second
	outageKindsDuration = 10 * time.Second
	// outageKindsApplyDelay is the time from the start of the outage until the operator
	// applies a note.
	outageKindsApplyDelay = 5 * time.Second
	// outageKindsSettleTime is the time that the nodes have to apply the last revision
	// afterwards.
	outageKindsSettleTime   = 6 * time.Second
	outageKindsPollInterval = 100 * time.Millisecond
)

// outageFleet is a fleet under one kind of outage, with its results.
type outageFleet struct {
	*rig
	platform *standin.Platform
	api      platform.Client
	kind     standin.Outage

	mu      sync.Mutex
	serving []*node.Node // nodes that receive queries

	tally      *tally
	reverts    int
	readyAfter time.Duration
	applyErr   error
	stopErr    error // of the graceful stop during the outage
	// applyMisreported is true when the outcome that the apply reported differs from
	// the history.
	applyMisreported bool
	nodesBehind      int
}

func newOutageFleet(ctx context.Context, seed uint64, kind standin.Outage) (*outageFleet, func(), error) {
	p := standin.New(standin.Options{Seed: seed})
	api, stop, err := servePlatform(p)
	if err != nil {
		return nil, nil, err
	}
	options := tailRigOptions(seed, 0.05, leaf.ServiceTime{Median: 5 * time.Millisecond, Sigma: 0.3})
	options.shards = outageKindsShards
	options.control = node.PlatformControl(api)
	s := &outageFleet{rig: &rig{options: options}, platform: p, api: api, kind: kind, tally: newTally(false)}
	s.options.adjustSettings = func(cfg *settings.Settings) {
		for _, n := range s.nodes {
			cfg.Node.BootstrapPeers = append(cfg.Node.BootstrapPeers, n.PeerAddress())
		}
	}
	cleanup := func() {
		p.SetFaults(standin.Faults{}) // nodes stop without waiting for a call
		s.close()
		stop()
	}
	return s, cleanup, s.prepare(ctx)
}

// prepare stores the catalogue, starts leafs and three nodes and waits until each
// node answers completely.
func (s *outageFleet) prepare(ctx context.Context) error {
	catalogue := note.Catalogue{Revision: 1, Services: []note.Service{s.options.service.Normalize()}}
	if err := s.platform.Set(platform.KindCatalogue, platform.CatalogueName, catalogue); err != nil {
		return err
	}
	for shard := range s.options.shards {
		var replicas []*leaf.Leaf
		for replica := range s.options.replicas {
			l, err := s.startLeaf(shard, replica)
			if err != nil {
				return err
			}
			replicas = append(replicas, l)
		}
		s.leafs = append(s.leafs, replicas)
	}
	for _, vm := range s.vms {
		if err := s.platform.Set(platform.KindVM, vm.ID, vm); err != nil {
			return err
		}
	}
	for i := range 3 {
		if err := s.join(ctx, i); err != nil {
			return err
		}
	}
	s.serving = append(s.serving, s.nodes...)
	return s.awaitComplete(ctx)
}

// join starts a node and registers its VM at the platform.
func (s *outageFleet) join(ctx context.Context, i int) error {
	if err := s.startNode(ctx, i); err != nil {
		return err
	}
	n := s.nodes[len(s.nodes)-1]
	id := fmt.Sprintf("node-%d", i)
	return s.platform.Set(platform.KindVM, id, platform.VM{
		ID: id, Group: platform.NodeGroup, Address: n.Address(), PeerAddress: n.PeerAddress(), State: platform.VMLive,
	})
}

// pickNode returns the node for a request, as a load balancer that skips nodes that
// are not ready.
func (s *outageFleet) pickNode(i int) *node.Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serving[i%len(s.serving)]
}

// run runs the outage under load.
func (s *outageFleet) run(ctx context.Context) error {
	c := newCaller()
	defer c.close()
	var background sync.WaitGroup
	var err error
	watchCtx, stop := context.WithCancel(ctx)
	background.Go(func() { s.watchRevisions(watchCtx) })
	background.Go(func() {
		defer stop()
		err = s.runOutage(ctx)
	})
	poisson(ctx, s.options.seed, outageKindsRate, outageKindsQueries, func(i int, at time.Time) {
		s.tally.add(c.sendQuery(ctx, s.pickNode(i).URL(), s.options.service.Name, i, at))
	})
	background.Wait()
	return err
}

func (s *outageFleet) runOutage(ctx context.Context) error {
	sleepUntil(ctx, time.Now().Add(outageKindsStart))
	start := time.Now()
	s.platform.SetFaults(standin.Faults{Outage: s.kind})
	recovery := time.AfterFunc(outageKindsDuration, func() { s.platform.SetFaults(standin.Faults{}) })
	defer recovery.Stop()
	var applied sync.WaitGroup
	applied.Go(func() {
		sleepUntil(ctx, start.Add(outageKindsApplyDelay))
		s.applyErr = s.apply(ctx, "during")
	})
	if err := s.replaceNode(ctx); err != nil {
		return err
	}
	applied.Wait()
	sleepUntil(ctx, start.Add(outageKindsDuration))
	stored, err := operator.ReadCatalogue(ctx, s.api)
	if err != nil {
		return err
	}
	_, found := reconcile.FindNote(stored.Catalogue, "during")
	s.applyMisreported = found != (s.applyErr == nil)
	if err := s.apply(ctx, "after"); err != nil {
		return err
	}
	sleepUntil(ctx, time.Now().Add(outageKindsSettleTime))
	stored, err = operator.ReadCatalogue(ctx, s.api)
	if err != nil {
		return err
	}
	for _, n := range s.serving {
		if revisionOf(n) != stored.Catalogue.Revision {
			s.nodesBehind++
		}
	}
	return nil
}

// apply changes the service by a note. Its base is the current revision of node 0,
// as an operator has it from before the outage; after the outage it is the stored one.
func (s *outageFleet) apply(ctx context.Context, id string) error {
	service := s.options.service.Normalize()
	service.LongestWaitMS++
	n := note.Note{ID: id, Author: "operator", Base: revisionOf(s.nodes[0]), Changed: []note.Service{service}}
	if id == "after" {
		stored, err := operator.ReadCatalogue(ctx, s.api)
		if err != nil {
			return err
		}
		n.Base = stored.Catalogue.Revision
	}
	_, err := operator.Apply(ctx, s.api, n, operator.Options{})
	return err
}

// replaceNode stops the last node and starts a new one instead.
func (s *outageFleet) replaceNode(ctx context.Context) error {
	s.mu.Lock()
	s.serving = s.serving[:2]
	s.mu.Unlock()
	s.stopErr = s.nodes[2].Stop(ctx)
	s.nodes = s.nodes[:2]
	start := time.Now()
	if err := s.startNode(ctx, 3); err != nil {
		return err
	}
	n := s.nodes[2]
	for n.Ready() != nil && sleepUntil(ctx, time.Now().Add(settlePollInterval)) {
		continue
	}
	s.readyAfter = time.Since(start)
	s.mu.Lock()
	s.serving = append(s.serving, n)
	s.mu.Unlock()
	return ctx.Err()
}

// watchRevisions counts how often the current revision of the first two nodes decreased.
func (s *outageFleet) watchRevisions(ctx context.Context) {
	var highest [2]uint64
	for sleepUntil(ctx, time.Now().Add(outageKindsPollInterval)) {
		for i := range highest {
			revision := revisionOf(s.nodes[i])
			if revision < highest[i] {
				s.reverts++
			}
			highest[i] = max(highest[i], revision)
		}
	}
}

// revisionOf reads the current revision from a node's metrics.
func revisionOf(n *node.Node) uint64 {
	families, err := n.Metrics().Gatherer().Gather()
	if err != nil {
		return 0
	}
	for _, family := range families {
		if family.GetName() == "hickorydock_catalogue_revision" {
			return uint64(family.GetMetric()[0].GetGauge().GetValue())
		}
	}
	return 0
}

func (s *outageFleet) figures(prefix string) []Figure {
	var figures []Figure
	list := append(s.tally.figures(),
		Figure{"reverts", float64(s.reverts)}, Figure{"ready_s", s.readyAfter.Seconds()},
		Figure{"apply_untrue", boolFigure(s.applyMisreported)}, Figure{"apply_failed", boolFigure(s.applyErr != nil)}, Figure{"nodes_behind", float64(s.nodesBehind)},
		Figure{"stop_failed", boolFigure(s.stopErr != nil)})
	for _, f := range list {
		figures = append(figures, Figure{prefix + f.Name, f.Value})
	}
	return figures
}

// boolFigure is 1 for true and 0 for false.
func boolFigure(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func runOutageKinds(ctx context.Context, seed uint64) (Result, error) {
	var result Result
	kinds := []standin.Outage{standin.OutageRefuse, standin.OutageHang}
	fleets, errs := make([]*outageFleet, len(kinds)), make([]error, len(kinds))
	var running sync.WaitGroup
	for i, kind := range kinds {
		fleet, cleanup, err := newOutageFleet(ctx, seed, kind)
		if cleanup != nil {
			defer cleanup()
		}
		if err != nil {
			return result, err
		}
		fleets[i] = fleet
		running.Go(func() { errs[i] = fleet.run(ctx) })
	}
	running.Wait()
	for i, fleet := range fleets {
		if errs[i] != nil {
			return result, errs[i]
		}
		prefix := string(kinds[i]) + "_"
		result.Policy = append(result.Policy, fleet.figures(prefix)...)
		result.Checks = append(result.Checks,
			AtMost(prefix+"query_errors", float64(fleet.tally.total()-fleet.tally.complete), 0),
			AtMost(prefix+"reverts", float64(fleet.reverts), 0),
			AtMost(prefix+"ready_s", fleet.readyAfter.Seconds(), 3),
			AtMost(prefix+"apply_untrue", boolFigure(fleet.applyMisreported), 0),
			AtMost(prefix+"stop_failed", boolFigure(fleet.stopErr != nil), 0),
			AtMost(prefix+"nodes_behind", float64(fleet.nodesBehind), 0),
		)
	}
	return result, ctx.Err()
}
