package experiment

import (
	"context"
	"sync"
	"time"
)

// leafCounts are the leafs' own counts of connections.
type leafCounts struct {
	// peak is the maximum of connections that a leaf had at once, opensPerSecond the
	// maximum that one accepted within a second.
	peak, opensPerSecond int
}

// sampleConnections samples the number of connections that each leaf accepts per second.
func (c *churnFleet) sampleConnections(ctx context.Context) leafCounts {
	var counts leafCounts
	const samplesPerSecond = 10
	history := make([][]int, len(c.leafs))
	for sleepUntil(ctx, time.Now().Add(time.Second/samplesPerSecond)) {
		for i, l := range c.leafs {
			history[i] = append(history[i], l.ConnectionsOpened())
			if n := len(history[i]); n > samplesPerSecond {
				counts.opensPerSecond = max(counts.opensPerSecond, history[i][n-1]-history[i][n-1-samplesPerSecond])
			}
		}
	}
	for _, l := range c.leafs {
		counts.peak = max(counts.peak, l.PeakConnections())
	}
	return counts
}

// connectionsResult is the result of one run.
type connectionsResult struct {
	quiet, churn *tally
	counts       leafCounts
	changes      int
}

// measureConnections measures a period without changes of the membership and one
// in which nodes join and leave.
func measureConnections(ctx context.Context, seed uint64, useWindow bool, quietRequests, churnRequests int) (connectionsResult, error) {
	c, err := newChurnFleet(seed, useWindow)
	if err != nil {
		return connectionsResult{}, err
	}
	defer c.close()
	result := connectionsResult{quiet: newTally(false), churn: newTally(false)}
	running, stop := context.WithCancel(ctx)
	defer stop()
	var workers sync.WaitGroup
	var failure error
	workers.Go(func() { failure = c.run(running) })
	workers.Go(func() { result.counts = c.sampleConnections(running) })
	for len(c.readyNodes()) < connectionsInitialNodes && ctx.Err() == nil {
		sleepUntil(ctx, time.Now().Add(settlePollInterval))
	}
	drive := func(t *tally, count int) {
		poisson(ctx, seed, connectionsRate, count, func(i int, at time.Time) { c.request(ctx, t, i, at) })
	}
	drive(newTally(false), quietRequests/4)
	drive(result.quiet, quietRequests)
	changing, stopChanges := context.WithCancel(ctx)
	defer stopChanges()
	var changes sync.WaitGroup
	changes.Go(func() {
		for sleepUntil(changing, time.Now().Add(connectionsChangeInterval)) {
			result.changes++
			c.changeMembers(ctx, result.changes)
		}
	})
	drive(result.churn, churnRequests)
	stopChanges()
	changes.Wait()
	stop()
	workers.Wait()
	if failure == nil {
		failure = ctx.Err()
	}
	return result, failure
}

func (r connectionsResult) figures() []Figure {
	return append(r.churn.figures(),
		Figure{"quiet_p99_ms", r.quiet.quantileMS(0.99)},
		Figure{"membership_changes", float64(r.changes)},
		Figure{"leaf_peak_connections", float64(r.counts.peak)},
		Figure{"leaf_opens_in_a_second", float64(r.counts.opensPerSecond)})
}

func runConnections(ctx context.Context, seed uint64) (Result, error) {
	baseline, err := measureConnections(ctx, seed, false, connectionsQuietRequests/4, connectionsChurnRequests/2)
	if err != nil {
		return Result{}, err
	}
	policy, err := measureConnections(ctx, seed, true, connectionsQuietRequests, connectionsChurnRequests)
	if err != nil {
		return Result{}, err
	}
	return Result{
		Baseline: baseline.figures(),
		Policy:   policy.figures(),
		Checks: []Check{
			AtMost("leaf_peak_connections", float64(policy.counts.peak), connectionsCap),
			AtMost("leaf_opens_in_a_second", float64(policy.counts.opensPerSecond), connectionsCap),
			AtMost("failed", float64(policy.churn.failed+policy.quiet.failed), 0),
			AtMost("p99_over_quiet", policy.churn.quantileMS(0.99)/policy.quiet.quantileMS(0.99), 1.3),
		},
	}, nil
}
