package experiment

import (
	"context"
	"sync"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/standin/leaf"
)

var zoneLossExperiment = Experiment{
	Name:    "zone-loss",
	Summary: "one of four availability zones vanishes without a word under load",
	Target:  "complete at least 0.99 over the run and 1 from 3 s on; extra load at most 10 % while it lasts",
	Run:     runZoneLoss,
}

const (
	zoneLossShards  = 20
	zoneLossRate    = 250.0
	zoneLossWarmup  = 250
	zoneLossQueries = 3000
	// zoneLossAt is when the zone vanishes, after the start of the counted queries.
	zoneLossAt = 3 * time.Second
	// zoneLossSettled is when answers have to be complete, after the loss.
	zoneLossSettled = 3 * time.Second
	zoneLossWaitMS  = 1000
)

// lostZone has leafs but no node of the rig, so that callers reach every node.
const lostZone = "az-4"

func runZoneLoss(ctx context.Context, seed uint64) (Result, error) {
	service := experimentService(0.05)
	service.LongestWaitMS = zoneLossWaitMS
	r, err := newRig(ctx, rigOptions{
		seed:     seed,
		service:  service,
		shards:   zoneLossShards,
		replicas: tailReplicas,
		leaf:     leaf.Options{Slots: tailSlots, QueueLength: 50, Items: 1, ServiceTime: leaf.ServiceTime{Median: 5 * time.Millisecond, Sigma: 0.3}},
		nodes:    3,
	})
	if err != nil {
		return Result{}, err
	}
	defer r.close()
	if err := r.awaitComplete(ctx); err != nil {
		return Result{}, err
	}
	c := newCaller()
	defer c.close()
	r.drive(ctx, c, newTally(false), zoneLossRate, zoneLossWarmup)
	t := newTally(true)
	var before subrequests
	lost := time.Now().Add(zoneLossAt)
	var loser sync.WaitGroup
	loser.Go(func() {
		if sleepUntil(ctx, lost) {
			before = r.subrequests()
			r.vanish(lostZone)
		}
	})
	r.drive(ctx, c, t, zoneLossRate, zoneLossQueries)
	loser.Wait()
	after := r.subrequests()
	extra := (after.extra - before.extra) / max(after.first-before.first, 1)
	settled, incomplete := countIncomplete(t, lost.Add(zoneLossSettled))
	return Result{
		Policy: append(t.figures(),
			Figure{"queries_from_3_s", float64(settled)},
			Figure{"subrequests_while_lost", after.first - before.first},
		),
		Checks: []Check{
			AtLeast("complete_share", float64(t.complete)/zoneLossQueries, 0.99),
			AtMost("incomplete_from_3_s", float64(incomplete), 0),
			AtLeast("queries_from_3_s", float64(settled), 1),
			AtMost("extra_load_while_lost", extra, 0.10),
			AtMost("mixed", float64(t.mixed), 0),
			AtMost("violations", float64(r.violations()), 0),
		},
	}, ctx.Err()
}

// vanish makes the leafs of an availability zone unreachable.
func (r *rig) vanish(zone string) {
	r.each(func(l *leaf.Leaf) {
		if l.AvailabilityZone() == zone {
			l.Vanish()
		}
	})
}

// countIncomplete counts the queries due from a moment on, and those of them
// without a complete answer.
func countIncomplete(t *tally, from time.Time) (settled, incomplete int) {
	for i := range t.samples {
		s := &t.samples[i]
		if s.begun.Before(from) {
			continue
		}
		settled++
		if s.err != nil || s.answer.Outcome != query.Done {
			incomplete++
		}
	}
	return settled, incomplete
}

// subrequests counts what the nodes sent to leafs.
type subrequests struct{ first, extra float64 }

// subrequests reads the nodes' own counters. The leafs' record of runs would
// miss what is sent to leafs that vanished.
func (r *rig) subrequests() subrequests {
	var sum subrequests
	for _, n := range r.nodes {
		families, err := n.Metrics().Gatherer().Gather()
		if err != nil {
			continue // collectors that fail at gathering are a fault of their test
		}
		for _, family := range families {
			if family.GetName() != "hickorydock_subrequests_total" {
				continue
			}
			for _, m := range family.GetMetric() {
				sum.add(m.GetLabel()[0].GetValue(), m.GetCounter().GetValue())
			}
		}
	}
	return sum
}

// add counts subrequests of a kind.
func (s *subrequests) add(kind string, count float64) {
	if kind == "first" {
		s.first += count
		return
	}
	s.extra += count
}
