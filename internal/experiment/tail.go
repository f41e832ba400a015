package experiment

import (
	"context"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/replica"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/standin/leaf"
)

var tailExperiment = Experiment{
	Name:    "tail",
	Summary: "40 shards of 2 replicas, 1 % of replies 20 times slower, half of the capacity",
	Target:  "p99 at most 0.25 of that with random replicas without hedges and 1.5 of that without stragglers; extra load at most 5 %",
	Run:     runTail,
}

const (
	tailShards   = 40
	tailReplicas = 2
	tailSlots    = 3
	tailQueries  = 3000
	tailWarmup   = 300
	// tailRate is half of the leafs' capacity in queries per second: 2 replicas
	// of 3 slots at a mean service time of 6.2 ms give about 960.
	tailRate = 480.0
)

// tailServiceTime has a median of 5 ms and 1 % of runs 20 times as long.
var tailServiceTime = leaf.ServiceTime{Median: 5 * time.Millisecond, Sigma: 0.3, StragglerShare: 0.01, StragglerFactor: 20}

// experimentService is the service that experiments query.
func experimentService(hedgeShare float64) note.Service {
	return note.Service{
		Name:            "licence-desk",
		UpstreamGroup:   "licence-desk",
		Policy:          note.PolicyTail,
		Merge:           note.MergeConcat,
		LongestWaitMS:   2000,
		HedgeShare:      hedgeShare,
		LeafSlots:       tailSlots,
		LeafConnections: 100,
	}
}

func runTail(ctx context.Context, seed uint64) (Result, error) {
	baseline, err := tailRun(ctx, seed, 0, replica.Random, tailServiceTime)
	if err != nil {
		return Result{}, err
	}
	quietTime := tailServiceTime
	quietTime.StragglerShare = 0
	quiet, err := tailRun(ctx, seed, 0.05, nil, quietTime)
	if err != nil {
		return Result{}, err
	}
	policy, err := tailRun(ctx, seed, 0.05, nil, tailServiceTime)
	if err != nil {
		return Result{}, err
	}
	p99 := policy.tally.quantileMS(0.99)
	return Result{
		Baseline: baseline.figures(),
		Policy:   append(policy.figures(), Figure{"quiet_p99_ms", quiet.tally.quantileMS(0.99)}),
		Checks: []Check{
			AtMost("p99_over_baseline", p99/baseline.tally.quantileMS(0.99), 0.25),
			AtMost("p99_over_quiet", p99/quiet.tally.quantileMS(0.99), 1.5),
			AtMost("extra_load", policy.extraLoad, 0.05),
			AtMost("mixed", float64(policy.tally.mixed), 0),
			AtMost("violations", float64(policy.violations), 0),
			AtLeast("complete", float64(policy.tally.complete), tailQueries),
		},
	}, nil
}

// measurement is the tally of a run with the extra load on the leafs.
type measurement struct {
	tally *tally
	// extraLoad is the number of runs beyond one per shard and query, as a share of
	// those.
	extraLoad float64
	// violations counts the violated invariants on the nodes.
	violations int64
}

func (m measurement) figures() []Figure {
	return append(m.tally.figures(), Figure{"extra_load", m.extraLoad})
}

// tailRun measures one configuration. A hedge share of 0 turns hedges and retries
// off; choose replaces the choice of replicas unless it is nil.
func tailRun(ctx context.Context, seed uint64, hedgeShare float64, choose replica.Chooser, service leaf.ServiceTime) (measurement, error) {
	options := tailRigOptions(seed, hedgeShare, service)
	options.choose = choose
	// Complete answers only: otherwise the tail policy would leave out stragglers in
	// the baseline too.
	options.service.MinCoverage = 1
	r, err := newRig(ctx, options)
	if err != nil {
		return measurement{}, err
	}
	defer r.close()
	return r.measure(ctx, tailRate, tailWarmup, tailQueries)
}

// tailRigOptions are the options that most experiments start from.
func tailRigOptions(seed uint64, hedgeShare float64, service leaf.ServiceTime) rigOptions {
	return rigOptions{
		seed:     seed,
		service:  experimentService(hedgeShare),
		shards:   tailShards,
		replicas: tailReplicas,
		leaf:     leaf.Options{Slots: tailSlots, QueueLength: 200, ServiceTime: service, Items: 1},
		nodes:    1,
	}
}

// measure sends warm-up queries, then counted ones, at a rate in queries per second.
func (r *rig) measure(ctx context.Context, rate float64, warmup, count int) (measurement, error) {
	if err := r.awaitComplete(ctx); err != nil {
		return measurement{}, err
	}
	c := newCaller()
	defer c.close()
	r.drive(ctx, c, newTally(false), rate, warmup)
	r.resetRuns()
	t := newTally(false)
	r.drive(ctx, c, t, rate, count)
	expected := count * r.options.shards
	extra := float64(r.runCount()-expected) / float64(expected)
	return measurement{tally: t, extraLoad: extra, violations: r.violations()}, ctx.Err()
}

func (r *rig) drive(ctx context.Context, c *caller, t *tally, rate float64, count int) {
	poisson(ctx, r.options.seed, rate, count, func(i int, at time.Time) {
		t.add(c.sendQuery(ctx, r.url(i), r.options.service.Name, i, at))
	})
}

// awaitComplete waits until every node answers a query completely.
func (r *rig) awaitComplete(ctx context.Context) error {
	c := newCaller()
	defer c.close()
	for i := range r.nodes {
		if err := c.awaitComplete(ctx, r.url(i), r.options.service.Name); err != nil {
			return err
		}
	}
	return nil
}
