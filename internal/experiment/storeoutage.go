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
	Summary: "platform calls hang for 10 s while a node restarts and an operator applies a note, under query load",
	Target:  "query errors 0, reverts 0, restarted node ready from its peers in at most 3 s, the apply reports its actual outcome",
	Run:     runStoreOutage,
}

const (
	storeOutageRate     = 150.0 // queries/s
	storeOutageQueries  = 2700
	storeOutageStart    = 2 * time.Second
	storeOutageDuration = 10 * time.Second
	// restartDelay and applyDelay count from the start of the outage.
	restartDelay = time.Second
	applyDelay   = 1500 * time.Millisecond
	// maxRestartTime is the longest time until the restarted node is ready.
	maxRestartTime = 3 * time.Second
	// revisionMonitorInterval is the time between two polls of a revisionMonitor.
	revisionMonitorInterval = 10 * time.Millisecond
	// storeOutageSettleTime is the time within which every node has to apply the stored
	// revision.
	storeOutageSettleTime = 5 * time.Second
)

// storeOutageRun is a run of the experiment with its results.
type storeOutageRun struct {
	demo      *Demo
	balancer  *balancer
	queries   *tally
	revisions revisionMonitor

	stopTime, readyTime time.Duration
	restartErr          error
	applyErr            error
	applyTime           time.Duration
}

func runStoreOutage(ctx context.Context, seed uint64) (Result, error) {
	d, err := startCommandDemo(ctx)
	if err != nil {
		return Result{}, err
	}
	defer d.Stop(context.WithoutCancel(ctx))
	r := &storeOutageRun{demo: d, balancer: newBalancer(d.URLs()), queries: newTally(false)}
	defer r.balancer.close()
	for _, n := range d.nodes {
		r.revisions.addNode(n)
	}
	watchCtx, stop := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { r.revisions.watch(watchCtx) })
	running.Go(func() { r.runOutage(ctx) })
	poisson(ctx, seed, storeOutageRate, storeOutageQueries, func(i int, at time.Time) {
		r.queries.add(r.balancer.sendQuery(ctx, demoGroups[i%len(demoGroups)].name, i, at))
	})
	sleepUntil(ctx, time.Now().Add(storeOutageSettleTime))
	stop()
	running.Wait()
	if r.restartErr != nil || ctx.Err() != nil {
		return Result{}, firstError(r.restartErr, ctx.Err())
	}
	return r.result(ctx)
}

func (r *storeOutageRun) result(ctx context.Context) (Result, error) {
	stored, err := operator.ReadCatalogue(ctx, r.demo.Client())
	if err != nil {
		return Result{}, err
	}
	reported, misreported := checkApply(r.applyErr, inHistory(stored.Catalogue, outageNote.ID))
	behind := 0
	for _, n := range r.demo.nodes {
		if n.Revision() != stored.Catalogue.Revision {
			behind++
		}
	}
	failedOver, interrupted := r.balancer.counts()
	q := r.queries
	return Result{
		Policy: append(q.figures(),
			Figure{"moved_to_another_node", float64(failedOver)},
			Figure{"stop_s", r.stopTime.Seconds()},
			Figure{"apply_s", r.applyTime.Seconds()},
			Figure{"apply_told", reported},
		),
		Checks: []Check{
			AtMost("query_errors", float64(q.failed+q.notRun+q.partial+q.mixed+interrupted), 0),
			AtMost("reverts", float64(r.revisions.revertCount()), 0),
			AtMost("restarted_ready_s", r.readyTime.Seconds(), maxRestartTime.Seconds()),
			AtMost("apply_told_untrue", misreported, 0),
			AtMost("nodes_behind_at_the_end", float64(behind), 0),
			AtLeast("revisions_seen", float64(r.revisions.pollCount()), 1000),
		},
	}, nil
}

// outageNote is the note that the operator applies during the outage.
var outageNote = note.Note{ID: "in-the-outage", Author: "operator", Base: 2, Changed: []note.Service{changedComplaints()}}

// changedComplaints is the service demoComplaints with a longer maximum wait.
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

// Outcomes of the note as the operator received them.
const (
	reportedApplied = iota
	reportedNotApplied
	reportedUnknown
	reportedOther
)

// checkApply returns the outcome that the operator received, and 1 if it is wrong. An
// unknown outcome is never wrong.
func checkApply(err error, stored bool) (reported, misreported float64) {
	var unknown *operator.OutcomeUnknownError
	var notApplied *operator.NotAppliedError
	switch {
	case err == nil:
		reported = reportedApplied
	case errors.As(err, &notApplied):
		reported = reportedNotApplied
	case errors.As(err, &unknown):
		return reportedUnknown, 0
	default:
		return reportedOther, 1
	}
	if (reported == reportedApplied) != stored {
		return reported, 1
	}
	return reported, 0
}

// runOutage makes platform calls hang, restarts a node and applies the note.
func (r *storeOutageRun) runOutage(ctx context.Context) {
	sleepUntil(ctx, time.Now().Add(storeOutageStart))
	start := time.Now()
	r.demo.platform.SetFaults(standin.Faults{Outage: standin.OutageHang})
	var running sync.WaitGroup
	running.Go(func() {
		sleepUntil(ctx, start.Add(restartDelay))
		r.restartErr = r.restart(ctx)
	})
	running.Go(func() {
		sleepUntil(ctx, start.Add(applyDelay))
		sent := time.Now()
		_, r.applyErr = operator.Apply(ctx, r.demo.Client(), outageNote, operator.Options{})
		r.applyTime = time.Since(sent)
	})
	sleepUntil(ctx, start.Add(storeOutageDuration))
	r.demo.platform.SetFaults(standin.Faults{})
	running.Wait()
}

// restart stops a node gracefully and starts it again at the same addresses.
func (r *storeOutageRun) restart(ctx context.Context) error {
	d := r.demo
	index := demoNodes - 1
	old := d.nodes[index]
	s := withAddresses(old, d.nodeSettings(index))
	start := time.Now()
	// While the platform is unreachable, Stop cannot store the ledger of tickets and
	// returns an error.
	_ = old.Stop(ctx)
	r.stopTime = time.Since(start)
	start = time.Now()
	n, err := d.launch(ctx, s, io.Discard)
	if err != nil {
		return err
	}
	d.nodes[index] = n
	if err := awaitReady(ctx, n); err != nil {
		return err
	}
	r.readyTime = time.Since(start)
	r.revisions.addNode(n)
	return nil
}

// revisionMonitor polls the current revisions of nodes and counts decreases.
type revisionMonitor struct {
	mu      sync.Mutex
	nodes   []*node.Node
	highest []uint64
	polls   int
	reverts int
}

func (r *revisionMonitor) addNode(n *node.Node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nodes = append(r.nodes, n)
	r.highest = append(r.highest, 2) // the revision after the two notes of startCommandDemo
}

func (r *revisionMonitor) watch(ctx context.Context) {
	for sleepUntil(ctx, time.Now().Add(revisionMonitorInterval)) {
		r.poll()
	}
}

func (r *revisionMonitor) poll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, n := range r.nodes {
		revision := n.Revision()
		r.polls++
		if revision < r.highest[i] {
			r.reverts++
		}
		r.highest[i] = max(r.highest[i], revision)
	}
}

func (r *revisionMonitor) revertCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reverts
}

func (r *revisionMonitor) pollCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.polls
}
