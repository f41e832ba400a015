package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/apex/log"

	"github.com/hickorydock/hickorydock/internal/coordination/reconcile"
	"github.com/hickorydock/hickorydock/internal/node/control"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/settings"
	standin "github.com/hickorydock/hickorydock/internal/standin/platform"
	"github.com/hickorydock/hickorydock/internal/state/catalogue"
	"github.com/hickorydock/hickorydock/internal/transport/logging"
	"github.com/hickorydock/hickorydock/internal/transport/operator"
	client "github.com/hickorydock/hickorydock/internal/transport/platform"
)

var configExperiment = Experiment{
	Name:    "config",
	Summary: "two operators apply 100 notes in all concurrently, 7 control loops watch over HTTP; baseline with all replies, policy with 10 % of the replies to writes lost",
	Target:  "applied on every node, p99 at most 2 s after the update of the catalogue; reverts 0; notes lost, duplicated or of unknown outcome 0",
	Run:     runConfig,
}

const (
	configNodes       = 7
	configNotes       = 50 // for each of two operators
	configInterval    = 60 * time.Millisecond
	configLostReplies = 0.1
	// configSettleTimeout is the time within which the last note must reach all nodes.
	configSettleTimeout = 3 * time.Second
)

// configNode records the revisions that one node applies.
type configNode struct {
	store *catalogue.Store

	mu      sync.Mutex
	seen    map[uint64]time.Time
	highest uint64
	reverts int
}

func (n *configNode) SetCatalogueRevision(revision uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if revision < n.highest {
		n.reverts++
	}
	n.highest = max(n.highest, revision)
	n.seen[revision] = time.Now()
}

func (n *configNode) OldRevisionRefused() {}

// configRun is one run of the experiment.
type configRun struct {
	applyLatency                                    *hdrhistogram.Histogram // microseconds
	reverts, lost, duplicated, unknown, nodesBehind int
	conflicts                                       int
}

func (c *configRun) figures() []Figure {
	return []Figure{
		{"in_force_p50_ms", float64(c.applyLatency.ValueAtQuantile(50)) / 1000},
		{"in_force_p99_ms", float64(c.applyLatency.ValueAtQuantile(99)) / 1000},
		{"in_force_max_ms", float64(c.applyLatency.Max()) / 1000},
		{"conflicts", float64(c.conflicts)},
		{"reverts", float64(c.reverts)},
		{"notes_lost", float64(c.lost)},
		{"notes_doubled", float64(c.duplicated)},
		{"outcome_unknown", float64(c.unknown)},
		{"nodes_behind_at_end", float64(c.nodesBehind)},
	}
}

// applyNotes applies a note every configInterval from start on, each rewritten after
// a conflict. Operators with the same start compete for every revision.
func (c *configRun) applyNotes(ctx context.Context, api platform.Client, name string, start time.Time, mu *sync.Mutex) {
	for i := range configNotes {
		sleepUntil(ctx, start.Add(time.Duration(i)*configInterval))
		id := fmt.Sprintf("%s-%d", name, i)
		for ctx.Err() == nil {
			err := applyNote(ctx, api, id, operator.Options{MaxAttempts: 50, InitialBackoff: 20 * time.Millisecond})
			var conflict *reconcile.Conflict
			if err == nil {
				break
			}
			mu.Lock()
			if errors.As(err, &conflict) {
				c.conflicts++
			} else {
				c.unknown++
			}
			mu.Unlock()
		}
	}
}

// applyNote applies a note on the current revision that adds or changes the one
// service that both operators change.
func applyNote(ctx context.Context, api platform.Client, id string, options operator.Options) error {
	stored, err := operator.ReadCatalogue(ctx, api)
	if err != nil {
		return err
	}
	service := experimentService(0)
	service.LeafSlots = 1 + int(stored.Catalogue.Revision%50)
	n := note.Note{ID: id, Author: "operator", Base: stored.Catalogue.Revision}
	if _, found := stored.Catalogue.Find(service.Name); found {
		n.Changed = []note.Service{service.Normalize()}
	} else {
		n.Added = []note.Service{service.Normalize()}
	}
	_, err = operator.Apply(ctx, api, n, options)
	return err
}

// evaluate compares the stored history with the revisions that the nodes applied.
func (c *configRun) evaluate(history []note.Applied, nodes []*configNode) error {
	applications := map[string]int{} // by note ID
	for _, applied := range history {
		applications[applied.ID]++
		for _, n := range nodes {
			at, seen := n.seen[applied.Revision]
			if !seen {
				continue // the node went to a later revision directly
			}
			if err := c.applyLatency.RecordValue(max(0, at.Sub(applied.At).Microseconds())); err != nil {
				return err
			}
		}
	}
	c.lost = 2*configNotes - len(applications)
	for _, count := range applications {
		c.duplicated += count - 1
	}
	for _, n := range nodes {
		c.reverts += n.reverts
		if n.store.Revision() != history[len(history)-1].Revision {
			c.nodesBehind++
		}
	}
	return nil
}

func measureConfig(ctx context.Context, seed uint64, lostReplies float64) (*configRun, error) {
	p := standin.New(standin.Options{Seed: seed, Faults: standin.Faults{LostReplyShare: lostReplies}})
	api, closePlatform, err := servePlatform(p)
	if err != nil {
		return nil, err
	}
	defer closePlatform()
	nodes, stop := startConfigNodes(ctx, api)
	c := &configRun{applyLatency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), histogramDigits)}
	var operators sync.WaitGroup
	var mu sync.Mutex
	start := time.Now()
	for _, name := range []string{"a", "b"} {
		operators.Go(func() { c.applyNotes(ctx, api, name, start, &mu) })
	}
	operators.Wait()
	stored, err := operator.ReadCatalogue(ctx, api)
	if err == nil {
		settleCtx, cancel := context.WithTimeout(ctx, configSettleTimeout)
		for _, n := range nodes {
			// A node that does not reach the revision in time is counted as behind.
			_, _ = n.store.Wait(settleCtx, stored.Catalogue.Revision)
		}
		cancel()
	}
	stop()
	if err != nil {
		return nil, err
	}
	return c, c.evaluate(stored.Catalogue.History, nodes)
}

// servePlatform serves a stand-in platform on loopback and returns a client for it.
func servePlatform(p *standin.Platform) (api platform.Client, stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	server := &http.Server{Handler: p}
	go func() { _ = server.Serve(listener) }()
	connections := &http.Transport{MaxIdleConnsPerHost: 64}
	api = client.New(client.Config{
		BaseURL:    "http://" + listener.Addr().String(),
		HTTPClient: &http.Client{Transport: connections},
		Timeout:    settings.Default().Platform.Timeout(),
	})
	return api, func() {
		connections.CloseIdleConnections()
		_ = server.Close()
	}, nil
}

// startConfigNodes starts the control loops; stop stops them and waits for them.
func startConfigNodes(ctx context.Context, api platform.Client) (nodes []*configNode, stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	for i := range configNodes {
		n := &configNode{store: catalogue.New(), seen: make(map[uint64]time.Time)}
		nodes = append(nodes, n)
		loop := control.New(control.Config{
			Node:    fmt.Sprintf("node-%d", i),
			Client:  api,
			Store:   n.store,
			Log:     logging.New(io.Discard, log.ErrorLevel),
			Metrics: n,
		})
		running.Go(func() { loop.Run(ctx) })
	}
	return nodes, func() {
		cancel()
		running.Wait()
	}
}

func runConfig(ctx context.Context, seed uint64) (Result, error) {
	baseline, err := measureConfig(ctx, seed, 0)
	if err != nil {
		return Result{}, err
	}
	policy, err := measureConfig(ctx, seed, configLostReplies)
	if err != nil {
		return Result{}, err
	}
	failures := policy.lost + policy.duplicated + policy.unknown
	return Result{
		Baseline: baseline.figures(),
		Policy:   policy.figures(),
		Checks: []Check{
			AtMost("in_force_p99_ms", float64(policy.applyLatency.ValueAtQuantile(99))/1000, 2000),
			AtMost("reverts", float64(policy.reverts), 0),
			AtMost("notes_lost_doubled_unknown", float64(failures), 0),
			AtMost("nodes_behind_at_end", float64(policy.nodesBehind), 0),
		},
	}, ctx.Err()
}
