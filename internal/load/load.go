// Package load sends queries and commands to a hickorydock URL at the times of a Poisson
// process and checks the answers while it runs. The load is open loop: a slow
// answer does not delay the queries after it, and the latency of a query counts
// from the time at which it was due, so that coordinated omission does not hide
// queueing time. A run is bounded by its rate, its length and the queries in flight.
package load

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

// Upper limits of the settings of a run.
const (
	MaxRate          = 100_000 // queries a second
	MaxRunTime       = 24 * time.Hour
	MaxInFlightLimit = 100_000
)

// answerTimeout is the time after which a query without an answer is an error.
const answerTimeout = time.Minute

// Config describes the load to send.
type Config struct {
	// Services is the list from which each query's service is chosen at random.
	Services []string
	// Queries is the list from which each query's body is chosen at random.
	Queries []json.RawMessage
	// Rate is the mean number of queries a second.
	Rate    float64
	RunTime time.Duration
	Seed    uint64
	// InFlightLimit bounds the queries in flight; a query due above it is not sent
	// and counts as unsent.
	InFlightLimit int
	DeadlineMS    int64
	MinCoverage   float64
	// CommandShare is the share of commands, in [0, 1]; the rest are queries.
	CommandShare float64
	// KeyPrefix is the start of each command's idempotency key; it must differ
	// between runs.
	KeyPrefix string
	// CheckStandInItems enables the check of each item's snapshot and shard, which
	// needs items of stand-in leafs.
	CheckStandInItems bool
}

// Validate returns every fault of the configuration.
func (c Config) Validate() error {
	var faults []error
	check := func(ok bool, message string) {
		if !ok {
			faults = append(faults, errors.New(message))
		}
	}
	check(len(c.Services) > 0, "no service is given")
	check(len(c.Queries) > 0, "no query is given")
	for _, q := range c.Queries {
		check(json.Valid(q), "query is not JSON: "+string(q))
	}
	check(c.Rate > 0 && c.Rate <= MaxRate, "rate must be above 0 and at most 100000 queries a second")
	check(c.RunTime > 0 && c.RunTime <= MaxRunTime, "the length must be above 0 and at most 24h")
	check(c.InFlightLimit > 0 && c.InFlightLimit <= MaxInFlightLimit, "queries in flight must be 1 to 100000")
	check(c.DeadlineMS >= 0, "the deadline must not be negative")
	check(c.MinCoverage >= 0 && c.MinCoverage <= 1, "the minimum coverage must be between 0 and 1")
	check(c.CommandShare >= 0 && c.CommandShare <= 1, "the share of commands must be between 0 and 1")
	check(c.CommandShare == 0 || command.ValidateKey(c.KeyPrefix) == nil, "the key prefix of commands must be a valid idempotency key")
	return errors.Join(faults...)
}

// Target answers queries and commands; client.Client implements it.
type Target interface {
	Query(ctx context.Context, service string, request query.Request) (query.Answer, error)
	Command(ctx context.Context, service, key string, request command.Request) (command.Answer, error)
}

// Runner sends the load of one configuration. Progress may be called during Run.
type Runner struct {
	cfg          Config
	target       Target
	tally        *tally
	inFlight     atomic.Int64
	commandCount int // planned so far
}

// New returns a runner for a valid configuration.
func New(cfg Config, target Target) (*Runner, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Runner{cfg: cfg, target: target, tally: newTally()}, nil
}

// plannedRequest is one query or command before it is sent.
type plannedRequest struct {
	due     time.Time
	service string
	body    json.RawMessage
	// key is the idempotency key of a command; empty for a query.
	key string
	// shardKey chooses the shard of a command.
	shardKey string
	// repeat sends the command a second time after its answer.
	repeat bool
}

func (p plannedRequest) itemRule() shardRule {
	if p.key != "" {
		return oneShard
	}
	return coveredShards
}

// repeatShare is the share of commands that are sent twice.
const repeatShare = 0.25

// Run sends the load, waits for every answer and reports. When ctx ends, the
// report covers what was sent until then.
func (r *Runner) Run(ctx context.Context) Report {
	random := rand.New(rand.NewPCG(r.cfg.Seed, 0))
	start := time.Now()
	due := start
	var running sync.WaitGroup
	for ctx.Err() == nil {
		due = due.Add(time.Duration(random.ExpFloat64() / r.cfg.Rate * float64(time.Second)))
		if due.Sub(start) >= r.cfg.RunTime {
			break
		}
		p := r.plan(random, due)
		if !sleepUntil(ctx, due) {
			break
		}
		if r.inFlight.Add(1) > int64(r.cfg.InFlightLimit) {
			r.inFlight.Add(-1)
			r.tally.unsent(p.service)
			continue
		}
		running.Go(func() {
			defer r.inFlight.Add(-1)
			r.send(ctx, p)
		})
	}
	running.Wait()
	return r.tally.report(r.cfg, time.Since(start))
}

// plan chooses the next query or command at random.
func (r *Runner) plan(random *rand.Rand, due time.Time) plannedRequest {
	p := plannedRequest{
		due:     due,
		service: r.cfg.Services[random.IntN(len(r.cfg.Services))],
		body:    r.cfg.Queries[random.IntN(len(r.cfg.Queries))],
	}
	if r.cfg.CommandShare > 0 && random.Float64() < r.cfg.CommandShare {
		r.commandCount++
		p.key = r.cfg.KeyPrefix + "-" + strconv.Itoa(r.commandCount)
		p.shardKey = strconv.Itoa(random.Int())
		p.repeat = random.Float64() < repeatShare
	}
	return p
}

func sleepUntil(ctx context.Context, due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (r *Runner) send(ctx context.Context, p plannedRequest) {
	requestCtx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	sent := time.Now()
	answer, err := r.sendFirst(requestCtx, p)
	end := time.Now()
	if ctx.Err() != nil && err != nil {
		return // cancelled by the end of the run, not a failure of the target
	}
	s := sample{service: p.service, latency: end.Sub(p.due), sendDelay: sent.Sub(p.due), answer: answer, err: err}
	if err == nil {
		s.violations = check(&answer, p.itemRule(), r.cfg.CheckStandInItems)
	}
	if err == nil && p.repeat {
		r.checkRepeat(requestCtx, p, answer, s.violations)
	}
	r.tally.add(s)
}

// sendFirst sends a query, or a command for the first time.
func (r *Runner) sendFirst(ctx context.Context, p plannedRequest) (query.Answer, error) {
	if p.key == "" {
		request := query.Request{Query: p.body, DeadlineMS: r.cfg.DeadlineMS, MinCoverage: r.cfg.MinCoverage}
		return r.target.Query(ctx, p.service, request)
	}
	answer, err := r.sendCommand(ctx, p)
	return answer.Answer, err
}

func (r *Runner) sendCommand(ctx context.Context, p plannedRequest) (command.Answer, error) {
	request := command.Request{Query: p.body, ShardKey: p.shardKey, DeadlineMS: r.cfg.DeadlineMS}
	return r.target.Command(ctx, p.service, p.key, request)
}

// checkRepeat sends an answered command a second time. The command must not run
// again: the answer must be the recorded one. An error does not show whether it ran
// again, and counts as no violation.
func (r *Runner) checkRepeat(ctx context.Context, p plannedRequest, first query.Answer, violations map[Violation]string) {
	second, err := r.sendCommand(ctx, p)
	if err != nil {
		return
	}
	if !second.Recorded || second.RequestID != first.RequestID {
		violations[ViolationRepeat] = "request " + first.RequestID + ": repeat answered by " + second.RequestID
	}
}

// Progress is the state of a run.
type Progress struct {
	Answered   int64
	Unsent     int64
	Violations int64
	InFlight   int64
}

// Progress returns the current state.
func (r *Runner) Progress() Progress {
	p := r.tally.progress()
	p.InFlight = r.inFlight.Load()
	return p
}
