package experiment

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/hickorydock/hickorydock/internal/node"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	standin "github.com/hickorydock/hickorydock/internal/standin/platform"
	"github.com/hickorydock/hickorydock/internal/transport/operator"
)

var storeOutageExperiment = Experiment{
	Name:    "store-outage",
	Summary: "platform silent for 10 s while a node restarts and an operator applies a note, under queries",
	Target:  "query errors 0, reverts 0, restarted node ready from its peers in at most 3 s, the apply reports its true outcome",
	Run:     runStoreOutage,
}

const (
	storeRate    = 150.0 // queries/s
	storeQueries = 2700
	storeBefore  = 2 * time.Second
	storeOutage  = 10 * time.Second
	// restartAfter and applyAfter count from the start of the outage.
	restartAfter = time.Second
	applyAfter   = 1500 * time.Millisecond
	// restartReady is the most time until the restarted node is ready.
	restartReady = 3 * time.Second
	// watchEvery is the time between two looks at the revisions in force.
	watchEvery = 10 * time.Millisecond
	// storeSettled is the time after which every node has caught up.
	storeSettled = 5 * time.Second
)

// storeRun is the run of the experiment.
type storeRun struct {
	demo     *Demo
	balancer *balancer
	queries  *tally
	reverts  reverts

	stopTook, readyTook time.Duration
	restarted           error
	applied             error
	applyTook           time.Duration
}

func runStoreOutage(ctx context.Context, seed uint64) (Result, error) {
	d, err := startCommandDemo(ctx)
	if err != nil {
		return Result{}, err
	}
	defer d.Stop(context.WithoutCancel(ctx))
	r := &storeRun{demo: d, balancer: newBalancer(d.URLs()), queries: newTally(false)}
	defer r.balancer.close()
	for _, n := range d.nodes {
		r.reverts.follow(n)
	}
	watching, stop := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { r.reverts.watch(watching) })
	running.Go(func() { r.outage(ctx) })
	poisson(ctx, seed, storeRate, storeQueries, func(i int, at time.Time) {
		r.queries.add(r.balancer.ask(ctx, demoGroups[i%len(demoGroups)].name, i, at))
	})
	sleepUntil(ctx, time.Now().Add(storeSettled))
	stop()
	running.Wait()
	if r.restarted != nil || ctx.Err() != nil {
		return Result{}, firstError(r.restarted, ctx.Err())
	}
	return r.result(ctx)
}

func (r *storeRun) result(ctx context.Context) (Result, error) {
	stored, err := operator.ReadCatalogue(ctx, r.demo.Client())
	if err != nil {
		return Result{}, err
	}
	told, untrue := judgeApply(r.applied, inHistory(stored.Catalogue, outageNote.ID))
	behind := 0
	for _, n := range r.demo.nodes {
		if n.Revision() != stored.Catalogue.Revision {
			behind++
		}
	}
	moved, cut := r.balancer.counts()
	q := r.queries
	return Result{
		Policy: append(q.figures(),
			Figure{"moved_to_another_node", float64(moved)},
			Figure{"stop_s", r.stopTook.Seconds()},
			Figure{"apply_s", r.applyTook.Seconds()},
			Figure{"apply_told", told},
		),
		Checks: []Check{
			AtMost("query_errors", float64(q.failed+q.notRun+q.partial+q.mixed+cut), 0),
			AtMost("reverts", float64(r.reverts.count()), 0),
			AtMost("restarted_ready_s", r.readyTook.Seconds(), restartReady.Seconds()),
			AtMost("apply_told_untrue", untrue, 0),
			AtMost("nodes_behind_at_the_end", float64(behind), 0),
			AtLeast("revisions_seen", float64(r.reverts.seen()), 1000),
		},
	}, nil
}

// outageNote is what the operator applies in the outage.
var outageNote = note.Note{ID: "in-the-outage", Author: "operator", Base: 2, Changed: []note.Service{changedComplaints()}}

// changedComplaints differs from the complaints in force by its longest wait.
func changedComplaints() note.Service {
	s := demoComplaints
	s.LongestWaitMS += 1000
	return s.Normalize()
}

func inHistory(c note.Catalogue, id string) bool {
	for _, applied := range c.History {
		if applied.ID == id {
			return true
		}
	}
	return false
}

// What the operator was told of the note.
const (
	toldApplied = iota
	toldNotApplied
	toldUnknown
	toldOther
)

// judgeApply returns what the operator was told and 1 when it is not true. An
// unknown outcome is always true.
func judgeApply(err error, inForce bool) (told, untrue float64) {
	var unknown *operator.OutcomeUnknownError
	var not *operator.NotAppliedError
	switch {
	case err == nil:
		told = toldApplied
	case errors.As(err, &not):
		told = toldNotApplied
	case errors.As(err, &unknown):
		return toldUnknown, 0
	default:
		return toldOther, 1
	}
	if (told == toldApplied) != inForce {
		return told, 1
	}
	return told, 0
}

// outage takes the platform away, restarts a node and has the note applied.
func (r *storeRun) outage(ctx context.Context) {
	sleepUntil(ctx, time.Now().Add(storeBefore))
	begun := time.Now()
	r.demo.platform.SetFaults(standin.Faults{Outage: standin.OutageHang})
	var running sync.WaitGroup
	running.Go(func() {
		sleepUntil(ctx, begun.Add(restartAfter))
		r.restarted = r.restart(ctx)
	})
	running.Go(func() {
		sleepUntil(ctx, begun.Add(applyAfter))
		sent := time.Now()
		_, r.applied = operator.Apply(ctx, r.demo.Client(), outageNote, operator.Options{})
		r.applyTook = time.Since(sent)
	})
	sleepUntil(ctx, begun.Add(storeOutage))
	r.demo.platform.SetFaults(standin.Faults{})
	running.Wait()
}

// restart stops a node as planned and starts it again at its addresses.
func (r *storeRun) restart(ctx context.Context) error {
	d := r.demo
	last := demoNodes - 1
	old := d.nodes[last]
	s := addressesOf(old, d.nodeSettings(last))
	begun := time.Now()
	// Without the platform the stop cannot leave a ledger of tickets and says so.
	_ = old.Stop(ctx)
	r.stopTook = time.Since(begun)
	begun = time.Now()
	n, err := d.launch(ctx, s, io.Discard)
	if err != nil {
		return err
	}
	d.nodes[last] = n
	if err := awaitReady(ctx, n); err != nil {
		return err
	}
	r.readyTook = time.Since(begun)
	r.reverts.follow(n)
	return nil
}

// reverts counts revisions in force that were followed by lower ones.
type reverts struct {
	mu     sync.Mutex
	nodes  []*node.Node
	newest []uint64
	looks  int
	found  int
}

func (r *reverts) follow(n *node.Node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nodes = append(r.nodes, n)
	r.newest = append(r.newest, 2) // what every node had in force before
}

func (r *reverts) watch(ctx context.Context) {
	for sleepUntil(ctx, time.Now().Add(watchEvery)) {
		r.look()
	}
}

func (r *reverts) look() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, n := range r.nodes {
		revision := n.Revision()
		r.looks++
		if revision < r.newest[i] {
			r.found++
		}
		r.newest[i] = max(r.newest[i], revision)
	}
}

func (r *reverts) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.found
}

func (r *reverts) seen() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.looks
}
