package experiment

import (
	"context"
	"time"

	"github.com/hickorydock/hickorydock/internal/standin/leaf"
)

var slowExperiment = Experiment{
	Name:    "slow-upstream",
	Summary: "one of 40 leafs permanently 10 times slower while its manifest reports no load; a quarter of the capacity",
	Target:  "from 2 s on p99 at most 1.3 of the run without the slow leaf; at most 5 % of its fair share sent to it; extra load at most 5 %",
	Run:     runSlow,
}

const (
	slowShards = 20
	slowSlots  = 4
	// slowRate is a quarter of the leafs' capacity in queries per second, since
	// the other replica of the slow leaf's shard takes both shares: 2 replicas of 4 slots at a
	// mean service time of 5.2 ms give about 1500.
	slowRate   = 375.0
	slowFactor = 10
	// slowWarmup is the number of queries in the first 2 s.
	slowWarmup = 2 * slowRate
)

func runSlow(ctx context.Context, seed uint64) (Result, error) {
	quiet, _, err := slowRun(ctx, seed, 1)
	if err != nil {
		return Result{}, err
	}
	slow, runs, err := slowRun(ctx, seed, slowFactor)
	if err != nil {
		return Result{}, err
	}
	fairShare := float64(tailQueries) / tailReplicas
	return Result{
		Baseline: quiet.figures(),
		Policy:   slow.figures(),
		Checks: []Check{
			AtMost("p99_over_quiet", slow.tally.quantileMS(0.99)/quiet.tally.quantileMS(0.99), 1.3),
			AtMost("share_of_fair_share", float64(runs)/fairShare, 0.05),
			AtMost("extra_load", slow.extraLoad, 0.05),
			AtMost("mixed", float64(slow.tally.mixed), 0),
		},
	}, nil
}

// slowRun returns the measurement and the number of runs of the leaf that was slowed
// down by factor.
func slowRun(ctx context.Context, seed uint64, factor float64) (measurement, int, error) {
	service := leaf.ServiceTime{Median: 5 * time.Millisecond, Sigma: 0.3}
	options := tailRigOptions(seed, 0.05, service)
	options.shards = slowShards
	options.leaf.Slots = slowSlots
	options.service.LeafSlots = slowSlots
	r, err := newRig(ctx, options)
	if err != nil {
		return measurement{}, 0, err
	}
	defer r.close()
	r.leafs[0][0].SetSlowFactor(factor)
	r.leafs[0][0].SetManifestLoad(0)
	m, err := r.measure(ctx, slowRate, slowWarmup, tailQueries)
	return m, r.leafs[0][0].RunCount(), err
}
