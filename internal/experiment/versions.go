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
	Summary: "the index version changes every 500 ms, on the leafs up to 300 ms apart; the shard map changes twice",
	Target:  "mixed 0; complete at least 99.9 %; p99 at most twice that without changes",
	Run:     runVersions,
}

const (
	versionsInterval = 500 * time.Millisecond
	versionsSpread   = 300 * time.Millisecond
	versionsShards   = 20
	versionsRate     = 300.0
	// firstRepartition and secondRepartition are the version changes that change the
	// shard map too.
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
	moveCtx, stop := context.WithCancel(ctx)
	var mover sync.WaitGroup
	mover.Go(func() { r.moveVersions(moveCtx) })
	m, err := r.measure(ctx, versionsRate, tailWarmup, tailQueries)
	stop()
	mover.Wait()
	return m, err
}

// layout is a snapshot with its shard count, which all leafs hold after a change.
type layout struct {
	snapshot query.Snapshot
	shards   int
}

// moveVersions gives the leafs the next snapshot after each versionsInterval, each
// leaf at a different time. A leaf keeps the previous snapshot until the next change.
func (r *rig) moveVersions(ctx context.Context) {
	old := layout{firstSnapshot, r.options.shards}
	var pending sync.WaitGroup
	defer pending.Wait()
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
		pending.Add(1)
		go func(old layout) {
			defer pending.Done()
			r.moveLeafs(ctx, old, next)
		}(old)
		old = next
	}
}

// moveLeafs gives the leafs the next layout, one after another within versionsSpread.
func (r *rig) moveLeafs(ctx context.Context, old, next layout) {
	count := r.options.shards * r.options.replicas
	pause := versionsSpread / time.Duration(count)
	start := time.Now()
	i := 0
	for replica := range r.options.replicas {
		for shard := range r.leafs {
			i++
			if !sleepUntil(ctx, start.Add(time.Duration(i)*pause)) {
				return
			}
			holdings := []upstream.Holding{r.holdingIn(old, shard), r.holdingIn(next, shard)}
			r.leafs[shard][replica].SetHoldings(holdings)
		}
	}
}

// holdingIn returns the holding in a layout of the leafs that hold shard in the first
// layout: the shards that cover the same part of the index.
func (r *rig) holdingIn(l layout, shard int) upstream.Holding {
	h := upstream.Holding{Service: r.options.service.Name, Snapshot: l.snapshot, ShardCount: l.shards}
	for s := range l.shards {
		if s%r.options.shards == shard {
			h.Shards = append(h.Shards, s)
		}
	}
	return h
}
