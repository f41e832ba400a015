// Package load sends queries to a hickorydock URL at the times of a Poisson
// process and checks the answers while it runs. The load is open loop: a slow
// answer does not delay the queries after it, and the latency of a query counts
// from the time at which it was due, so that coordinated omission does not hide
// waiting. A run is bounded by its rate, its length and the queries in flight.
package load

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

// Bounds of a run.
const (
	MaxRate     = 100_000 // queries a second
	MaxFor      = 24 * time.Hour
	MaxInFlight = 100_000
)

// answerTimeout is the time after which a query without an answer is an error.
const answerTimeout = time.Minute

// Config says what to send.
type Config struct {
	// Services are chosen from at random for each query.
	Services []string
	// Queries are chosen from at random for each query.
	Queries []json.RawMessage
	// Rate is the mean number of queries a second.
	Rate float64
	For  time.Duration
	Seed uint64
	// InFlight bounds the queries in flight; a query due above it is not sent and
	// counts as unsent.
	InFlight    int
	DeadlineMS  int64
	MinCoverage float64
	// StandIn checks items too: they must be those of the stand-in leafs.
	StandIn bool
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
	check(c.For > 0 && c.For <= MaxFor, "the length must be above 0 and at most 24h")
	check(c.InFlight > 0 && c.InFlight <= MaxInFlight, "queries in flight must be 1 to 100000")
	check(c.DeadlineMS >= 0, "the deadline must not be negative")
	check(c.MinCoverage >= 0 && c.MinCoverage <= 1, "the minimum coverage must be in 0 to 1")
	return errors.Join(faults...)
}

// Target answers queries; it is met by client.Client.
type Target interface {
	Query(ctx context.Context, service string, request query.Request) (query.Answer, error)
}

// Runner sends the load of one configuration. Progress may be called while Run
// works.
type Runner struct {
	cfg      Config
	target   Target
	tally    *tally
	inFlight atomic.Int64
}

// New returns a runner for a valid configuration.
func New(cfg Config, target Target) (*Runner, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Runner{cfg: cfg, target: target, tally: newTally()}, nil
}

// planned is one query before it is sent.
type planned struct {
	due     time.Time
	service string
	body    json.RawMessage
}

// Run sends the load, waits for every answer and reports. When ctx ends, the
// report covers what was sent until then.
func (r *Runner) Run(ctx context.Context) Report {
	random := rand.New(rand.NewPCG(r.cfg.Seed, 0))
	start := time.Now()
	due := start
	var running sync.WaitGroup
	for ctx.Err() == nil {
		due = due.Add(time.Duration(random.ExpFloat64() / r.cfg.Rate * float64(time.Second)))
		if due.Sub(start) >= r.cfg.For {
			break
		}
		p := planned{
			due:     due,
			service: r.cfg.Services[random.IntN(len(r.cfg.Services))],
			body:    r.cfg.Queries[random.IntN(len(r.cfg.Queries))],
		}
		if !sleepUntil(ctx, due) {
			break
		}
		if r.inFlight.Add(1) > int64(r.cfg.InFlight) {
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

func (r *Runner) send(ctx context.Context, p planned) {
	request := query.Request{Query: p.body, DeadlineMS: r.cfg.DeadlineMS, MinCoverage: r.cfg.MinCoverage}
	bounded, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	sent := time.Now()
	answer, err := r.target.Query(bounded, p.service, request)
	end := time.Now()
	if ctx.Err() != nil && err != nil {
		return // cut off by the end of the run, not by the target
	}
	s := sample{service: p.service, latency: end.Sub(p.due), wait: sent.Sub(p.due), answer: answer, err: err}
	if err == nil {
		s.violations = check(&answer, r.cfg.StandIn)
	}
	r.tally.add(s)
}

// Progress is the state of a run.
type Progress struct {
	Answered   int64
	Unsent     int64
	Violations int64
	InFlight   int64
}

// Progress returns the state so far.
func (r *Runner) Progress() Progress {
	p := r.tally.progress()
	p.InFlight = r.inFlight.Load()
	return p
}
