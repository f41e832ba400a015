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
	Summary: "one shard loses all replicas, another one of two, at a random moment",
	Target:  "stated coverage equals the leafs' own count for every answer; coverage policy misses only the lost shard; tail policy answers within its longest wait",
	Run:     runCoverage,
}

const (
	coverageShards  = 10
	coverageRate    = 150.0
	coverageQueries = 1500
	coverageWaitMS  = 300
	// coverageGrace covers the way between caller and node and the client's work.
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

// coverageResult is a tally with the faults of the stated coverage.
type coverageResult struct {
	tally *tally
	// incorrect counts answers that state a shard which no leaf replied for, or
	// hold another number of items than the covered shards gave.
	incorrect int
	// missedOthers counts answers that miss a shard besides the lost one.
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
	moment := time.Duration((0.3 + 0.4*random.Float64()) * coverageQueries / coverageRate * float64(time.Second))
	var loser sync.WaitGroup
	loser.Go(func() {
		if sleepUntil(ctx, time.Now().Add(moment)) {
			r.leafs[lostShard][0].Close()
			r.leafs[lostShard][1].Close()
			r.leafs[degradedShard][0].Close()
		}
	})
	r.drive(ctx, c, t, coverageRate, coverageQueries)
	loser.Wait()
	return r.checkCoverage(t), ctx.Err()
}

// repliedShards tells for which shards of each request a leaf handed out a reply.
func (r *rig) repliedShards() map[string]map[int]bool {
	found := make(map[string]map[int]bool)
	r.eachLeaf(func(l *leaf.Leaf) {
		for _, run := range l.AllRuns() {
			if !run.Replied {
				continue
			}
			if found[run.RequestID] == nil {
				found[run.RequestID] = make(map[int]bool)
			}
			found[run.RequestID][run.Shard] = true
		}
	})
	return found
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

// missingShards is the set of shards that an answer names as missing, and
// whether it names another than the lost one.
func missingShards(a *query.Answer) (missing map[int]bool, others bool) {
	missing = make(map[int]bool)
	for _, m := range a.Coverage.Missing {
		missing[m.Shard] = true
		others = others || m.Shard != lostShard
	}
	return missing, others
}

// isCoverageCorrect compares stated coverage with the leafs' replies and with the items,
// of which the leafs give one a shard.
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
