package experiment

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/standin/leaf"
)

var drainExperiment = Experiment{
	Name:    "drain",
	Summary: "10 shards of 2 replicas under load; one replica each of three shards drains: by manifest and header, by header while the manifest denies it, by the platform's list; later all return",
	Target:  "subrequests sent to draining leafs from 3 s on: 0; queries without a complete answer: 0; all leafs receive requests again afterwards",
	Run:     runDrain,
}

const (
	drainShards  = 10
	drainRate    = 200.0
	drainQueries = 2600 // 13 s
	// drainBegin, drainEnd and drainCountEnd are times from the start of the load;
	// requests after the return are counted until drainCountEnd.
	drainBegin    = 1 * time.Second
	drainEnd      = 7 * time.Second
	drainCountEnd = 9 * time.Second
	// drainPropagation is the time after which no node may send new requests to a
	// draining leaf.
	drainPropagation = 3 * time.Second
)

// drainCounts are the numbers of subrequests that the three leafs received: within
// drainPropagation, between that and drainEnd, and after the return.
type drainCounts struct {
	early, late, afterReturn [3]int
}

// drainLeafs returns the leafs that drain: by manifest and header, by header while
// the manifest denies it, and by the platform's list.
func (r *rig) drainLeafs() [3]*leaf.Leaf {
	return [3]*leaf.Leaf{r.leafs[0][0], r.leafs[1][0], r.leafs[2][0]}
}

// setVMState sets the state of one leaf in the list of VMs of every node.
func (r *rig) setVMState(id string, state platform.VMState) {
	r.vms = slices.Clone(r.vms)
	for i := range r.vms {
		if r.vms[i].ID == id {
			r.vms[i].State = state
		}
	}
	for _, n := range r.nodes {
		n.Discovery().SetVMs(r.vms)
	}
}

// countReceived returns how many subrequests each leaf has run or shed so far.
func countReceived(leafs [3]*leaf.Leaf) (counts [3]int) {
	for i, l := range leafs {
		counts[i] = l.RunCount() + l.ShedCount()
	}
	return counts
}

func difference(before, after [3]int) (counts [3]int) {
	for i := range counts {
		counts[i] = after[i] - before[i]
	}
	return counts
}

// drainAndReturn drains the three leafs, ends their drain and counts the subrequests
// that they receive.
func (r *rig) drainAndReturn(ctx context.Context, start time.Time) drainCounts {
	leafs := r.drainLeafs()
	var d drainCounts
	sleepUntil(ctx, start.Add(drainBegin))
	atBegin := countReceived(leafs)
	leafs[0].SetDraining(true)
	leafs[1].SetManifestDraining(false)
	leafs[1].SetDraining(true)
	r.setVMState(leafs[2].ID(), platform.VMLeaving)

	sleepUntil(ctx, start.Add(drainBegin+drainPropagation))
	atPropagated := countReceived(leafs)
	sleepUntil(ctx, start.Add(drainEnd))
	atEnd := countReceived(leafs)
	leafs[0].SetDraining(false)
	leafs[1].SetDraining(false)
	r.setVMState(leafs[2].ID(), platform.VMLive)

	sleepUntil(ctx, start.Add(drainCountEnd))
	d.early, d.late = difference(atBegin, atPropagated), difference(atPropagated, atEnd)
	d.afterReturn = difference(atEnd, countReceived(leafs))
	return d
}

func runDrain(ctx context.Context, seed uint64) (Result, error) {
	options := tailRigOptions(seed, 0.05, leaf.ServiceTime{Median: 5 * time.Millisecond, Sigma: 0.3})
	options.shards = drainShards
	options.nodes = 3
	r, err := newRig(ctx, options)
	if err != nil {
		return Result{}, err
	}
	defer r.close()
	if err := r.awaitComplete(ctx); err != nil {
		return Result{}, err
	}
	c := newCaller()
	defer c.close()
	t := newTally(false)
	var d drainCounts
	var draining sync.WaitGroup
	start := time.Now()
	draining.Go(func() { d = r.drainAndReturn(ctx, start) })
	r.drive(ctx, c, t, drainRate, drainQueries)
	draining.Wait()
	late := d.late[0] + d.late[1] + d.late[2]
	// Nodes may return to the leaf whose manifest denied its drain after the count ends.
	afterReturn := min(d.afterReturn[0], d.afterReturn[2])
	return Result{
		Policy: append(t.figures(),
			Figure{"sent_within_3s_manifest", float64(d.early[0])},
			Figure{"sent_within_3s_denied", float64(d.early[1])},
			Figure{"sent_within_3s_list", float64(d.early[2])},
			Figure{"sent_after_return_manifest", float64(d.afterReturn[0])},
			Figure{"sent_after_return_denied", float64(d.afterReturn[1])},
			Figure{"sent_after_return_list", float64(d.afterReturn[2])},
		),
		Checks: []Check{
			AtMost("sent_after_3s", float64(late), 0),
			AtMost("not_complete", float64(t.total()-t.complete), 0),
			AtLeast("sent_after_return", float64(afterReturn), 1),
		},
	}, ctx.Err()
}
