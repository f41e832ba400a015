package experiment

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/upstream"
)

var rollingExperiment = Experiment{
	Name:    "rolling",
	Summary: "all three nodes replaced by new ones, one after another, under load of queries, commands and tickets",
	Target:  "requests cut off 0; commands run twice 0; p99 at most 1.5 times that without replacements",
	Run:     runRolling,
}

const (
	rollingRate    = 350.0 // queries/s
	rollingQueries = 3200
	// rollingWarmup is the number of queries before the phase without replacements; they are not counted.
	rollingWarmup            = 1000
	rollingQueriesPerCommand = 10 // every second command is sent under a ticket
	// rollingPause is the time between two replacements.
	rollingPause = 1500 * time.Millisecond
	// rollingMaxP99Ratio is the maximum of p99 over that of the phase without replacements.
	rollingMaxP99Ratio = 1.5
)

// rollingRun is the traffic of one phase with its results.
type rollingRun struct {
	*balancer
	queries *tally

	mu       sync.Mutex
	commands []commandSample
}

func runRolling(ctx context.Context, seed uint64) (Result, error) {
	d, err := startCommandDemo(ctx)
	if err != nil {
		return Result{}, err
	}
	defer d.Stop(context.WithoutCancel(ctx))
	d.drive(ctx, seed+2, "warm", rollingWarmup, nil).close()
	quiet := d.drive(ctx, seed, "quiet", rollingQueries, nil)
	defer quiet.close()
	var replaceErr error
	moving := d.drive(ctx, seed+1, "moving", rollingQueries, func(r *rollingRun) { replaceErr = d.replaceAll(ctx, r.balancer) })
	defer moving.close()
	if replaceErr != nil || ctx.Err() != nil {
		return Result{}, fmt.Errorf("replace nodes: %w", firstError(replaceErr, ctx.Err()))
	}
	runTwice := float64(d.countCommandsRunTwice())
	_, interrupted := moving.counts()
	_, quietInterrupted := quiet.counts()
	counts := moving.countOutcomes()
	return Result{
		Baseline: quiet.figures(),
		Policy:   append(moving.figures(), Figure{"commands_run_twice", runTwice}),
		Checks: []Check{
			AtMost("cut_off", float64(interrupted+quietInterrupted), 0),
			AtMost("queries_without_answer", float64(moving.queries.failed+moving.queries.notRun), 0),
			AtMost("commands_unknown", float64(counts.unknown+counts.other), 0),
			AtMost("commands_run_twice", runTwice, 0),
			AtMost("p99_ms", moving.queries.quantileMS(0.99), rollingMaxP99Ratio*quiet.queries.quantileMS(0.99)),
			AtLeast("queries", float64(moving.queries.total()), 3000),
		},
	}, nil
}

func firstError(all ...error) error {
	for _, err := range all {
		if err != nil {
			return err
		}
	}
	return nil
}

// drive sends the traffic of one phase and calls concurrent meanwhile, unless nil.
func (d *Demo) drive(ctx context.Context, seed uint64, phase string, queries int, concurrent func(*rollingRun)) *rollingRun {
	r := &rollingRun{balancer: newBalancer(d.URLs()), queries: newTally(false)}
	var background sync.WaitGroup
	if concurrent != nil {
		background.Go(func() { concurrent(r) })
	}
	poisson(ctx, seed, rollingRate, queries, func(i int, at time.Time) {
		if i%rollingQueriesPerCommand == 0 {
			background.Go(func() { r.sendCommand(ctx, phase, i/rollingQueriesPerCommand) })
		}
		r.queries.add(r.sendQuery(ctx, demoGroups[i%len(demoGroups)].name, i, at))
	})
	background.Wait()
	return r
}

func (r *rollingRun) sendCommand(ctx context.Context, phase string, i int) {
	var s commandSample
	if i%2 == 0 {
		s = r.command(ctx, demoComplaints.Name, fmt.Sprintf("%s-%d", phase, i), i)
	} else {
		s = r.redeem(ctx, demoComplaints.Name, i)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.commands = append(r.commands, s)
}

// countOutcomes counts the outcomes of the commands as their callers received them.
func (r *rollingRun) countOutcomes() outcomes {
	r.mu.Lock()
	defer r.mu.Unlock()
	var o outcomes
	for _, s := range r.commands {
		o.add(s)
	}
	return o
}

func (r *rollingRun) figures() []Figure {
	failedOver, interrupted := r.counts()
	o := r.countOutcomes()
	return append(r.queries.figures(),
		Figure{"moved_to_another_node", float64(failedOver)},
		Figure{"cut_off", float64(interrupted)},
		Figure{"commands", float64(o.sends)},
		Figure{"commands_done", float64(o.done)},
		Figure{"commands_not_run", float64(o.notRun)},
		Figure{"commands_unknown", float64(o.unknown)},
		Figure{"commands_without_answer", float64(o.other)},
	)
}

// replaceAll replaces each node by a new one and stops the previous one gracefully.
func (d *Demo) replaceAll(ctx context.Context, b *balancer) error {
	for i := range demoNodes {
		sleepUntil(ctx, time.Now().Add(rollingPause))
		previous := d.nodes[i]
		replacement, err := d.launch(ctx, d.nodeSettings(demoNodes+i), io.Discard)
		if err != nil {
			return err
		}
		d.nodes[i] = replacement
		if err := d.awaitNode(ctx, replacement); err != nil {
			return err
		}
		b.add(replacement.URL())
		if err := previous.Stop(ctx); err != nil {
			return fmt.Errorf("planned stop: %w", err)
		}
		b.remove(previous.URL())
		if err := d.removeVM(fmt.Sprintf("node-%d", i)); err != nil {
			return err
		}
	}
	return nil
}

// countCommandsRunTwice counts the commands that ran more than once.
func (d *Demo) countCommandsRunTwice() int {
	runs := map[string]int{}
	for _, l := range d.leafs {
		for _, run := range l.AllRuns() {
			if strings.HasPrefix(l.ID(), demoComplaints.Name) && run.Class == upstream.ClassCommand {
				runs[run.RequestID[:strings.LastIndexByte(run.RequestID, '-')+1]]++
			}
		}
	}
	runTwice := 0
	for _, n := range runs {
		if n > 1 {
			runTwice++
		}
	}
	return runTwice
}
