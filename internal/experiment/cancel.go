package experiment

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hickorydock/hickorydock/internal/standin/leaf"
)

var cancelExperiment = Experiment{
	Name:    "cancel",
	Summary: "callers disconnect at random moments of queries that take 200 ms",
	Target:  "runs that continue upstream 50 ms after their caller disconnected: 0",
	Run:     runCancel,
}

const (
	cancelShards      = 10
	cancelRounds      = 30
	cancelCallers     = 5
	cancelServiceTime = 200 * time.Millisecond
	// cancelGrace is the time for which a cancelled run may continue.
	cancelGrace = 50 * time.Millisecond
)

func runCancel(ctx context.Context, seed uint64) (Result, error) {
	options := tailRigOptions(seed, 0.05, leaf.ServiceTime{Median: cancelServiceTime, Sigma: 0.01})
	options.shards = cancelShards
	options.leaf.Slots = 2 * cancelCallers
	r, err := newRig(ctx, options)
	if err != nil {
		return Result{}, err
	}
	defer r.close()
	if err := r.awaitComplete(ctx); err != nil {
		return Result{}, err
	}
	r.resetRuns()
	random := rand.New(rand.NewPCG(seed, 5))
	stillRunning, cancelled := 0, 0
	for range cancelRounds {
		r.queryAndDisconnect(ctx, random)
		sleepUntil(ctx, time.Now().Add(cancelGrace))
		r.eachLeaf(func(l *leaf.Leaf) { stillRunning += l.Running() })
	}
	r.eachLeaf(func(l *leaf.Leaf) {
		for _, run := range l.AllRuns() {
			if run.Cancelled {
				cancelled++
			}
		}
	})
	return Result{
		Policy: []Figure{{"runs", float64(r.runCount())}, {"runs_cancelled", float64(cancelled)}, {"still_running", float64(stillRunning)}},
		Checks: []Check{
			AtMost("still_running", float64(stillRunning), 0),
			AtLeast("runs_cancelled", float64(cancelled), 1),
		},
	}, ctx.Err()
}

// queryAndDisconnect sends queries whose callers disconnect at random moments
// before the reply.
func (r *rig) queryAndDisconnect(ctx context.Context, random *rand.Rand) {
	c := newCaller()
	defer c.close()
	var callers sync.WaitGroup
	for i := range cancelCallers {
		timeout := time.Duration(random.Float64() * 0.8 * float64(cancelServiceTime))
		callers.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			c.sendQuery(ctx, r.url(i), r.options.service.Name, i, time.Now())
		})
	}
	callers.Wait()
}
