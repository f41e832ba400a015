package experiment

import (
	"context"
	"sync"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/protocol/upstream"
	"github.com/hickorydock/hickorydock/internal/standin/leaf"
)

var versionsExperiment = Experiment{
	Name:    "versions",
	Summary: "the index version moves each 500 ms, leafs up to 300 ms apart; the shard map moves twice",
	Target:  "mixed 0; complete at least 99.9 %; p99 at most twice the run without moves",
	Run:     runVersions,
}

const (
	versionsInterval = 500 * time.Millisecond
	versionsSpread   = 300 * time.Millisecond
	versionsShards   = 20
	versionsRate     = 300.0
	// versionsRepartitions are the moves after which the shard map changes too.
	firstRepartition  = 6
	secondRepartition = 12
)

func runVersions(ctx context.Context, seed uint64) (Result, error) {
	quiet, err := versionsRun(ctx, seed, false)
	if err != nil {
		return Result{}, err
	}
	moving, err := versionsRun(ctx, seed, true)
	if err != nil {
		return Result{}, err
	}
	complete := float64(moving.tally.complete) / float64(moving.tally.total())
	return Result{
		Baseline: quiet.figures(),
		Policy:   moving.figures(),
		Checks: []Check{
			AtMost("mixed", float64(moving.tally.mixed), 0),
			AtMost("violations", float64(moving.violations), 0),
			AtLeast("complete_share", complete, 0.999),
			AtMost("p99_over_quiet", moving.tally.quantileMS(0.99)/quiet.tally.quantileMS(0.99), 2),
		},
	}, nil
}

func versionsRun(ctx context.Context, seed uint64, moving bool) (measurement, error) {
	options := tailRigOptions(seed, 0.05, leaf.ServiceTime{Median: 5 * time.Millisecond, Sigma: 0.3})
	options.shards = versionsShards
	options.nodes = 3
	r, err := newRig(ctx, options)
	if err != nil {
		return measurement{}, err
	}
	defer r.close()
	if !moving {
		return r.measure(ctx, versionsRate, tailWarmup, tailQueries)
	}
	moves, stop := context.WithCancel(ctx)
	var mover sync.WaitGroup
	mover.Go(func() { r.moveVersions(moves) })
	m, err := r.measure(ctx, versionsRate, tailWarmup, tailQueries)
	stop()
	mover.Wait()
	return m, err
}

// layout is what all leafs hold after a move: a snapshot and its shard count.
type layout struct {
	snapshot query.Snapshot
	shards   int
}

// moveVersions gives each leaf the next snapshot at its own moment after each
// tick. A leaf keeps the snapshot before it until the next move.
func (r *rig) moveVersions(ctx context.Context) {
	old := layout{firstSnapshot, r.options.shards}
	var settling sync.WaitGroup
	defer settling.Wait()
	for move := 1; sleepUntil(ctx, time.Now().Add(versionsInterval)); move++ {
		next := old
		next.snapshot.Version++
		if move == firstRepartition {
			next.snapshot.Generation++
			next.shards *= 2 // every shard is split
		}
		if move == secondRepartition {
			next.snapshot.Generation++
			next.shards /= 2 // shards are merged again
		}
		settling.Add(1)
		go func(old layout) {
			defer settling.Done()
			r.moveLeafs(ctx, old, next)
		}(old)
		old = next
	}
}

// spread moves the leafs one after another within versionsSpread.
func (r *rig) moveLeafs(ctx context.Context, old, next layout) {
	count := r.options.shards * r.options.replicas
	pause := versionsSpread / time.Duration(count)
	begun := time.Now()
	i := 0
	for replica := range r.options.replicas {
		for shard := range r.leafs {
			i++
			if !sleepUntil(ctx, begun.Add(time.Duration(i)*pause)) {
				return
			}
			holdings := []upstream.Holding{r.holdingIn(old, shard), r.holdingIn(next, shard)}
			r.leafs[shard][replica].SetHoldings(holdings)
		}
	}
}

// holdingIn is what the leafs of position shard hold in a layout: the shards of
// the same part of the index.
func (r *rig) holdingIn(l layout, shard int) upstream.Holding {
	h := upstream.Holding{Service: r.options.service.Name, Snapshot: l.snapshot, ShardCount: l.shards}
	for s := range l.shards {
		if s%r.options.shards == shard {
			h.Shards = append(h.Shards, s)
		}
	}
	return h
}
