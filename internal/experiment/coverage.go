package experiment

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/standin/leaf"
)

var coverageExperiment = Experiment{
	Name:    "coverage",
	Summary: "one shard loses all its replicas and another one of two, at a random moment",
	Target:  "the coverage stated in every answer equals the leafs' own count; the coverage policy misses only the lost shard; the tail policy answers within its longest wait",
	Run:     runCoverage,
}

const (
	coverageShards  = 10
	coverageRate    = 150.0
	coverageQueries = 1500
	coverageWaitMS  = 300
	// coverageGrace allows for the network between caller and node and for the work
	// of the client.
	coverageGrace = 20 * time.Millisecond
	lostShard     = 3
	degradedShard = 6
)

func runCoverage(ctx context.Context, seed uint64) (Result, error) {
	tail, err := measureCoverage(ctx, seed, note.PolicyTail)
	if err != nil {
		return Result{}, err
	}
	coverage, err := measureCoverage(ctx, seed, note.PolicyCoverage)
	if err != nil {
		return Result{}, err
	}
	longest := (coverageWaitMS*time.Millisecond + coverageGrace).Seconds() * 1000
	return Result{
		Baseline: tail.figures(),
		Policy:   coverage.figures(),
		Checks: []Check{
			AtMost("untrue_coverage", float64(tail.incorrect+coverage.incorrect), 0),
			AtMost("coverage_policy_misses_other_shards", float64(coverage.missedOthers), 0),
			AtMost("tail_policy_longest_ms", tail.tally.quantileMS(1), longest),
			AtMost("without_answer", float64(tail.tally.notRun+coverage.tally.notRun), 0),
		},
	}, nil
}

// coverageResult is a tally with the errors of the stated coverage.
type coverageResult struct {
	tally *tally
	// incorrect counts answers that state a shard as covered for which no leaf
	// replied, or whose number of items differs from that of the covered shards.
	incorrect int
	// missedOthers counts answers that miss a shard other than the lost one.
	missedOthers int
}

func (c coverageResult) figures() []Figure {
	return append(c.tally.figures(),
		Figure{"untrue_coverage", float64(c.incorrect)}, Figure{"missed_others", float64(c.missedOthers)})
}

func measureCoverage(ctx context.Context, seed uint64, policy note.Policy) (coverageResult, error) {
	options := tailRigOptions(seed, 0.1, leaf.ServiceTime{Median: 5 * time.Millisecond, Sigma: 0.3})
	options.shards = coverageShards
	options.nodes = 3
	options.service.Policy = policy
	options.service.LongestWaitMS = coverageWaitMS
	r, err := newRig(ctx, options)
	if err != nil {
		return coverageResult{}, err
	}
	defer r.close()
	if err := r.awaitComplete(ctx); err != nil {
		return coverageResult{}, err
	}
	c := newCaller()
	defer c.close()
	r.resetRuns()
	t := newTally(true)
	random := rand.New(rand.NewPCG(seed, 4))
	failureDelay := time.Duration((0.3 + 0.4*random.Float64()) * coverageQueries / coverageRate * float64(time.Second))
	var failing sync.WaitGroup
	failing.Go(func() {
		if sleepUntil(ctx, time.Now().Add(failureDelay)) {
			r.leafs[lostShard][0].Close()
			r.leafs[lostShard][1].Close()
			r.leafs[degradedShard][0].Close()
		}
	})
	r.drive(ctx, c, t, coverageRate, coverageQueries)
	failing.Wait()
	return r.checkCoverage(t), ctx.Err()
}

// repliedShards returns, by request ID, the shards for which a leaf replied.
func (r *rig) repliedShards() map[string]map[int]bool {
	replied := make(map[string]map[int]bool)
	r.eachLeaf(func(l *leaf.Leaf) {
		for _, run := range l.AllRuns() {
			if !run.Replied {
				continue
			}
			if replied[run.RequestID] == nil {
				replied[run.RequestID] = make(map[int]bool)
			}
			replied[run.RequestID][run.Shard] = true
		}
	})
	return replied
}

func (r *rig) checkCoverage(t *tally) coverageResult {
	result := coverageResult{tally: t}
	replied := r.repliedShards()
	for i := range t.samples {
		a := &t.samples[i].answer
		if a.RequestID == "" {
			continue
		}
		missing, others := missingShards(a)
		if !isCoverageCorrect(a, missing, replied[a.RequestID]) {
			result.incorrect++
		}
		if others {
			result.missedOthers++
		}
	}
	return result
}

// missingShards returns the shards that an answer names as missing, and whether
// one other than the lost one is among them.
func missingShards(a *query.Answer) (missing map[int]bool, others bool) {
	missing = make(map[int]bool)
	for _, m := range a.Coverage.Missing {
		missing[m.Shard] = true
		others = others || m.Shard != lostShard
	}
	return missing, others
}

// isCoverageCorrect compares the stated coverage with the leafs' replies and with
// the items, of which the leafs return one per shard.
func isCoverageCorrect(a *query.Answer, missing, replied map[int]bool) bool {
	if a.Coverage.Covered != a.Coverage.Total-len(missing) || len(a.Items) != a.Coverage.Covered {
		return false
	}
	for shard := range a.Coverage.Total {
		if !missing[shard] && !replied[shard] {
			return false
		}
	}
	return true
}
