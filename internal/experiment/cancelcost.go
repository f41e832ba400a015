package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hickorydock/hickorydock/internal/coordination/replica"
	"github.com/hickorydock/hickorydock/internal/protocol/upstream"
	"github.com/hickorydock/hickorydock/internal/standin/leaf"
	stateleaf "github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
	"github.com/hickorydock/hickorydock/internal/transport/relay"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
	client "github.com/hickorydock/hickorydock/internal/transport/upstream"
)

var cancelCostExperiment = Experiment{
	Name:    "cancel-cost",
	Summary: "three ways to end superseded hedging attempts, where a connection takes 6 ms to open with at most 25 per leaf, and 1 ms with at most 100",
	Target:  "every query answered; no cancelled attempt continues; cancelling a stream opens at most 0.01 connections per query",
	Run:     runCancelCost,
}

const (
	cancelCostShards  = 10
	cancelCostRate    = 240.0
	cancelCostQueries = 700
	cancelCostWarmup  = 200
	cancelCostTimeout = 2 * time.Second
	// cancelCostSettle is the time in which superseded attempts can finish.
	cancelCostSettle = 300 * time.Millisecond
)

// cancelMode is a way to end superseded attempts.
type cancelMode struct {
	name     string
	policy   relay.SupersededPolicy
	protocol client.Protocol
}

var cancelModes = []cancelMode{
	{"close", relay.CancelSuperseded, client.HTTP1},
	{"run_out", relay.FinishSuperseded, client.HTTP1},
	{"stream", relay.CancelSuperseded, client.HTTP2},
}

// connectionLimits is the time that a connection to a stand-in leaf takes to open
// and the number that a leaf accepts.
type connectionLimits struct {
	name           string
	connectCost    time.Duration
	maxConnections int
}

var connectionLimitSets = []connectionLimits{
	{"6ms_of_25", 6 * time.Millisecond, 25},
	{"1ms_of_100", time.Millisecond, 100},
}

// cancelCost is the cost of one mode under one set of connection limits.
type cancelCost struct {
	latency  *hdrhistogram.Histogram // microseconds
	answered int
	// extraRuns is the runs beyond one per subrequest; continuedRuns is the runs per
	// subrequest that had not ended cancelGrace after the first reply to it.
	connectionsPerQuery, continuedRuns, extraRuns float64
	// cpuMicros is the CPU time of both sides per subrequest, in microseconds.
	cpuMicros float64
}

func (c *cancelCost) figures(prefix string) []Figure {
	return []Figure{
		{prefix + "_p50_ms", float64(c.latency.ValueAtQuantile(50)) / 1000},
		{prefix + "_p99_ms", float64(c.latency.ValueAtQuantile(99)) / 1000},
		{prefix + "_answered", float64(c.answered)},
		{prefix + "_connections_per_query", c.connectionsPerQuery},
		{prefix + "_extra_load", c.extraRuns},
		{prefix + "_went_on_per_subrequest", c.continuedRuns},
		{prefix + "_processor_us_per_subrequest", c.cpuMicros},
	}
}

func runCancelCost(ctx context.Context, seed uint64) (Result, error) {
	var result Result
	for _, limits := range connectionLimitSets {
		for _, mode := range cancelModes {
			cost, err := measureCancelCost(ctx, seed, limits, mode)
			if err != nil {
				return Result{}, err
			}
			prefix := limits.name + "_" + mode.name
			result.Policy = append(result.Policy, cost.figures(prefix)...)
			result.Checks = append(result.Checks, AtLeast(prefix+"_answered", float64(cost.answered), cancelCostQueries))
			if mode.policy == relay.CancelSuperseded {
				result.Checks = append(result.Checks, AtMost(prefix+"_went_on", cost.continuedRuns, 0))
			}
			if mode.protocol == client.HTTP2 {
				result.Checks = append(result.Checks, AtMost(prefix+"_connections_per_query", cost.connectionsPerQuery, 0.01))
			}
		}
	}
	return result, ctx.Err()
}

// cancelRig is a relay with leafs, without the other components of a node.
type cancelRig struct {
	leafs    []*leaf.Leaf
	replicas [][]shardmap.Replica // by shard
	client   *client.Client
	relay    *relay.Relay
}

func newCancelRig(seed uint64, limits connectionLimits, mode cancelMode) (*cancelRig, error) {
	cfg := client.DefaultConfig()
	cfg.ConnectionsPerLeaf = limits.maxConnections
	cfg.Protocol = mode.protocol
	r := &cancelRig{client: client.New(cfg, nil)}
	leafStarter := &rig{options: tailRigOptions(seed, hedgeCurveDefaultShare, tailServiceTime)}
	leafStarter.options.shards = cancelCostShards
	leafStarter.options.leaf.ConnectCost = limits.connectCost
	leafStarter.options.leaf.ConnectionCap = limits.maxConnections
	for shard := range cancelCostShards {
		var replicas []shardmap.Replica
		for i := range tailReplicas {
			l, err := leafStarter.startLeaf(shard, i)
			if err != nil {
				r.close()
				return nil, err
			}
			r.leafs = append(r.leafs, l)
			vm := leafStarter.vms[len(leafStarter.vms)-1]
			replicas = append(replicas, shardmap.Replica{VM: vm, Record: &stateleaf.Record{}})
		}
		r.replicas = append(r.replicas, replicas)
	}
	store := shardmap.NewStore(stateleaf.NewTable())
	r.relay = relay.New(r.client, store, nil, zones[0], replica.Choose, nil, tracing.Off())
	r.relay.SetSupersededPolicy(mode.policy)
	return r, nil
}

func (r *cancelRig) close() {
	r.client.Close()
	for _, l := range r.leafs {
		l.Close()
	}
}

// query sends a subrequest to every shard and reports whether all replied.
func (r *cancelRig) query(ctx context.Context, id string) bool {
	service := experimentService(hedgeCurveDefaultShare)
	body, err := json.Marshal(upstream.RunRequest{Query: json.RawMessage(`{}`)})
	if err != nil {
		return false
	}
	deadline := time.Now().Add(cancelCostTimeout)
	answered := make([]bool, len(r.replicas))
	var running sync.WaitGroup
	for shard, replicas := range r.replicas {
		running.Go(func() {
			result := r.relay.Run(ctx, relay.Task{
				Service: &service, RequestID: id, QueryAttempt: 1, Shard: shard,
				Snapshot: firstSnapshot, Replicas: replicas, Deadline: deadline, Body: body,
			})
			answered[shard] = result.OK
		})
	}
	running.Wait()
	for _, ok := range answered {
		if !ok {
			return false
		}
	}
	return true
}

func (r *cancelRig) drive(ctx context.Context, seed uint64, name string, count int) *cancelCost {
	c := &cancelCost{latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), histogramDigits)}
	var mu sync.Mutex
	poisson(ctx, seed, cancelCostRate, count, func(i int, at time.Time) {
		ok := r.query(ctx, fmt.Sprintf("%s-%d", name, i))
		mu.Lock()
		defer mu.Unlock()
		if ok {
			c.answered++
		}
		// RecordValue fails only above a minute, which the deadline excludes.
		_ = c.latency.RecordValue(max(time.Since(at).Microseconds(), 1))
	})
	return c
}

func measureCancelCost(ctx context.Context, seed uint64, limits connectionLimits, mode cancelMode) (*cancelCost, error) {
	r, err := newCancelRig(seed, limits, mode)
	if err != nil {
		return nil, err
	}
	defer r.close()
	r.drive(ctx, seed, "warm-up", cancelCostWarmup)
	sleepUntil(ctx, time.Now().Add(cancelCostSettle))
	for _, l := range r.leafs {
		l.ResetRuns()
	}
	opened := r.client.ConnectionsOpened()
	var c *cancelCost
	used, err := cpuMicroseconds(func() error {
		c = r.drive(ctx, seed, "counted", cancelCostQueries)
		sleepUntil(ctx, time.Now().Add(cancelCostSettle))
		return ctx.Err()
	})
	if err != nil {
		return nil, err
	}
	subrequests := float64(cancelCostQueries * cancelCostShards)
	c.cpuMicros = used / subrequests
	c.connectionsPerQuery = float64(r.client.ConnectionsOpened()-opened) / cancelCostQueries
	runs, continued := r.countRuns()
	c.extraRuns = float64(runs)/subrequests - 1
	c.continuedRuns = float64(continued) / subrequests
	return c, nil
}

// countRuns returns the number of runs that started, and the number of those that had
// not ended cancelGrace after the first reply to their subrequest.
func (r *cancelRig) countRuns() (runs, continued int) {
	type subrequest struct {
		id    string
		shard int
	}
	all := make(map[subrequest][]leaf.Run)
	for _, l := range r.leafs {
		for _, run := range l.AllRuns() {
			runs++
			key := subrequest{run.RequestID, run.Shard}
			all[key] = append(all[key], run)
		}
	}
	for _, attempts := range all {
		first := time.Now()
		for _, run := range attempts {
			if run.Replied && run.Finished.Before(first) {
				first = run.Finished
			}
		}
		for _, run := range attempts {
			if run.Finished.IsZero() || run.Finished.After(first.Add(cancelGrace)) {
				continued++
			}
		}
	}
	return runs, continued
}
