package experiment

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/quarantine"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/protocol/settings"
	"github.com/hickorydock/hickorydock/internal/standin/leaf"
	"github.com/hickorydock/hickorydock/internal/transport/guard"
)

var crashExperiment = Experiment{
	Name:    "crash",
	Summary: "one request that crashes each leaf that runs it, sent 50 times through 3 nodes alongside good load; nodes exchange reports within the process",
	Target:  "at most 2 leafs crashed when sent serially, 4 when racing; no good query rejected by the quarantine",
	Run:     runCrash,
}

const (
	crashMarker      = "crash-marker"
	crashResends     = 50
	crashGoodRate    = 150.0
	crashGoodQueries = 600
	// crashDelay is the time of good load before the first crash.
	crashDelay    = time.Second
	crashDownTime = time.Second
)

// crashCase is one way to send the crashing request.
type crashCase struct {
	name string
	// replicas is the leafs per shard; canaryShards is the nodes' setting
	// query.canary_shards.
	shards, replicas int
	canaryShards     int64
	racing           bool
	bound            float64 // crashes
}

var crashCases = []crashCase{
	{"serial_1_shard", 1, 8, 0, false, 2},
	{"racing_1_shard", 1, 8, 0, true, 4},
	{"serial_4_shards_canary", 4, 3, 2, false, 2},
	{"racing_4_shards_canary", 4, 3, 2, true, 4},
}

func runCrash(ctx context.Context, seed uint64) (Result, error) {
	var result Result
	for _, c := range crashCases {
		if err := c.run(ctx, seed, &result); err != nil {
			return Result{}, err
		}
	}
	return result, nil
}

// run adds the figures and checks of one case to result.
func (c crashCase) run(ctx context.Context, seed uint64, result *Result) error {
	service := experimentService(0.05)
	service.LongestWaitMS = 500
	r, err := newRig(ctx, rigOptions{
		seed:     seed,
		service:  service,
		shards:   c.shards,
		replicas: c.replicas,
		leaf: leaf.Options{
			Slots: tailSlots, QueueLength: 50, Items: 1, CrashMarker: crashMarker, DownTime: crashDownTime,
			ServiceTime: leaf.ServiceTime{Median: 5 * time.Millisecond, Sigma: 0.3},
		},
		nodes:          3,
		adjustSettings: func(s *settings.Settings) { s.Query.CanaryShards = c.canaryShards },
	})
	if err != nil {
		return err
	}
	defer r.close()
	r.connectGuards()
	if err := r.awaitComplete(ctx); err != nil {
		return err
	}
	good := newTally(true)
	if err := r.sendCrashingRequest(ctx, good, c.racing); err != nil {
		return err
	}
	crashes := r.runsWith(crashMarker)
	quarantined := countQuarantined(good)
	result.Policy = append(result.Policy,
		Figure{c.name + "_crashes", float64(crashes)},
		Figure{c.name + "_good_complete", float64(good.complete)},
		Figure{c.name + "_good_total", float64(good.total())},
		Figure{c.name + "_good_p99_ms", good.quantileMS(0.99)},
	)
	result.Checks = append(result.Checks,
		AtMost(c.name+"_crashes", float64(crashes), c.bound),
		AtLeast(c.name+"_crashes_seen", float64(crashes), 1),
		AtMost(c.name+"_good_refused_as_suspect", float64(quarantined), 0),
		AtMost(c.name+"_violations", float64(r.violations()), 0),
	)
	return nil
}

// sendCrashingRequest sends the crashing request alongside good load.
func (r *rig) sendCrashingRequest(ctx context.Context, good *tally, racing bool) error {
	c := newCaller()
	defer c.close()
	var running sync.WaitGroup
	running.Go(func() { r.drive(ctx, c, good, crashGoodRate, crashGoodQueries) })
	defer running.Wait()
	sleepUntil(ctx, time.Now().Add(crashDelay))
	body := `{"query":{"echo":"` + crashMarker + `"}}`
	send := func(i int) {
		// The answer isn't needed: the leafs count the runs.
		_, _, _ = c.post(ctx, r.url(i)+"/v1/services/"+r.options.service.Name+"/query", body)
	}
	for i := range crashResends {
		if racing {
			running.Go(func() { send(i) })
		} else {
			send(i)
		}
	}
	return ctx.Err()
}

// runsWith counts the runs whose echo contains a marker.
func (r *rig) runsWith(marker string) int {
	count := 0
	r.eachLeaf(func(l *leaf.Leaf) {
		for _, run := range l.AllRuns() {
			if strings.Contains(run.Echo, marker) {
				count++
			}
		}
	})
	return count
}

// countQuarantined counts queries that the quarantine rejected wholly or in part.
func countQuarantined(t *tally) int {
	count := 0
	for i := range t.samples {
		s := &t.samples[i]
		rejected := s.status == http.StatusUnprocessableEntity
		for _, m := range s.answer.Coverage.Missing {
			rejected = rejected || m.Reason == query.ReasonQuarantined
		}
		if rejected {
			count++
		}
	}
	return count
}

// guardPeers sends reports to the guards of other nodes within the process.
type guardPeers []*guard.Guard

// Broadcast sends a report to each guard.
func (p guardPeers) Broadcast(report quarantine.Report) {
	for _, g := range p {
		g.Receive(report)
	}
}

// connectGuards makes each node's guard report to the guards of the other nodes.
func (r *rig) connectGuards() {
	for _, n := range r.nodes {
		var others guardPeers
		for _, other := range r.nodes {
			if other != n {
				others = append(others, other.Guard())
			}
		}
		n.Guard().SetPeers(others)
	}
}
