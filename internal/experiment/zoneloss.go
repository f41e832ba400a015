package experiment

import (
	"context"
	"sync"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/standin/leaf"
)

var zoneLossExperiment = Experiment{
	Name:    "zone-loss",
	Summary: "one of four availability zones becomes unreachable under load, without a notice or closed connections",
	Target:  "complete at least 0.99 over the run and 1 from 3 s after the loss on; extra load at most 10 % while the zone is lost",
	Run:     runZoneLoss,
}

const (
	zoneLossShards  = 20
	zoneLossRate    = 250.0
	zoneLossWarmup  = 250
	zoneLossQueries = 2500
	// zoneLossDelay is the time from the start of the counted queries to the loss.
	zoneLossDelay = 3 * time.Second
	// zoneLossSettleTime is the time after the loss from which answers have to be complete.
	zoneLossSettleTime = 3 * time.Second
	zoneLossTimeoutMS  = 1000
)

// lostZone holds leafs but no nodes, so that callers still reach every node.
const lostZone = "az-4"

// runZoneLoss checks the coverage policy. The baseline is the tail policy, which by
// definition may respond without late shards.
func runZoneLoss(ctx context.Context, seed uint64) (Result, error) {
	tail, err := zoneLossRun(ctx, seed, note.PolicyTail)
	if err != nil {
		return Result{}, err
	}
	coverage, err := zoneLossRun(ctx, seed, note.PolicyCoverage)
	if err != nil {
		return Result{}, err
	}
	t := coverage.tally
	return Result{
		Baseline: tail.figures(),
		Policy:   coverage.figures(),
		Checks: []Check{
			AtLeast("complete_share", float64(t.complete)/zoneLossQueries, 0.99),
			AtMost("incomplete_from_3_s", float64(coverage.incomplete), 0),
			AtLeast("queries_from_3_s", float64(coverage.settled), 1),
			AtMost("extra_load_while_lost", coverage.extra, 0.10),
			AtMost("mixed", float64(t.mixed+tail.tally.mixed), 0),
			AtMost("violations", float64(coverage.violations+tail.violations), 0),
		},
	}, nil
}

// zoneLoss is the result of the loss of a zone.
type zoneLoss struct {
	tally *tally
	// settled counts the queries from zoneLossSettleTime on, incomplete those of them
	// without a complete answer.
	settled, incomplete int
	// first counts the first subrequests while the zone is lost, extra is the
	// number of others as a share of them.
	first, extra float64
	violations   int64
}

func (z zoneLoss) figures() []Figure {
	return append(z.tally.figures(),
		Figure{"queries_from_3_s", float64(z.settled)},
		Figure{"incomplete_from_3_s", float64(z.incomplete)},
		Figure{"first_subrequests_while_lost", z.first},
		Figure{"extra_load_while_lost", z.extra},
		Figure{"missing_late", float64(countMissing(z.tally, query.ReasonDeadline))},
		Figure{"missing_shed", float64(countMissing(z.tally, query.ReasonShed))},
		Figure{"missing_lost", float64(countMissing(z.tally, query.ReasonConnectionLost))},
	)
}

func zoneLossRun(ctx context.Context, seed uint64, policy note.Policy) (zoneLoss, error) {
	service := experimentService(0.05)
	service.Policy = policy
	service.LongestWaitMS = zoneLossTimeoutMS
	r, err := newRig(ctx, rigOptions{
		seed:     seed,
		service:  service,
		shards:   zoneLossShards,
		replicas: tailReplicas,
		leaf:     leaf.Options{Slots: tailSlots, QueueLength: 50, Items: 1, ServiceTime: leaf.ServiceTime{Median: 5 * time.Millisecond, Sigma: 0.3}},
		nodes:    3,
	})
	if err != nil {
		return zoneLoss{}, err
	}
	defer r.close()
	if err := r.awaitComplete(ctx); err != nil {
		return zoneLoss{}, err
	}
	c := newCaller()
	defer c.close()
	r.drive(ctx, c, newTally(false), zoneLossRate, zoneLossWarmup)
	t := newTally(true)
	var before subrequestCounts
	lossAt := time.Now().Add(zoneLossDelay)
	var failure sync.WaitGroup
	failure.Go(func() {
		if sleepUntil(ctx, lossAt) {
			before = r.countSubrequests()
			r.disconnectZone(lostZone)
		}
	})
	r.drive(ctx, c, t, zoneLossRate, zoneLossQueries)
	failure.Wait()
	after := r.countSubrequests()
	z := zoneLoss{tally: t, first: after.first - before.first, violations: r.violations()}
	z.extra = (after.extra - before.extra) / max(z.first, 1)
	z.settled, z.incomplete = countIncomplete(t, lossAt.Add(zoneLossSettleTime))
	return z, ctx.Err()
}

// disconnectZone makes the leafs of an availability zone unreachable.
func (r *rig) disconnectZone(zone string) {
	r.eachLeaf(func(l *leaf.Leaf) {
		if l.AvailabilityZone() == zone {
			l.PartitionNetwork()
		}
	})
}

// countIncomplete counts the queries scheduled from a time on, and those of them
// without a complete answer.
func countIncomplete(t *tally, from time.Time) (settled, incomplete int) {
	for i := range t.samples {
		s := &t.samples[i]
		if s.scheduledAt.Before(from) {
			continue
		}
		settled++
		if s.err != nil || s.answer.Outcome != query.Done {
			incomplete++
		}
	}
	return settled, incomplete
}

// countMissing counts the shards that are missing in answers for a reason.
func countMissing(t *tally, reason query.Reason) int {
	count := 0
	for i := range t.samples {
		for _, m := range t.samples[i].answer.Coverage.Missing {
			if m.Reason == reason {
				count++
			}
		}
	}
	return count
}

// subrequestCounts counts the subrequests that the nodes sent to leafs.
type subrequestCounts struct{ first, extra float64 }

// countSubrequests reads the metrics of the nodes. The runs that the leafs record
// don't include subrequests to unreachable leafs.
func (r *rig) countSubrequests() subrequestCounts {
	var sum subrequestCounts
	for _, n := range r.nodes {
		families, err := n.Metrics().Gatherer().Gather()
		if err != nil {
			continue // a failing collector is not the concern of this experiment
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
func (s *subrequestCounts) add(kind string, count float64) {
	if kind == "first" {
		s.first += count
		return
	}
	s.extra += count
}
