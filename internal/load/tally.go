package load

import (
	"errors"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

// Range and precision of the latency histograms, in microseconds.
const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// maxExamples bounds the examples kept of each violation and of errors.
const maxExamples = 5

// outcomeError is the outcome of a query or command that got neither an answer nor a
// problem document.
const outcomeError = query.Outcome("error")

// sample is the result of one query or command.
type sample struct {
	service    string
	latency    time.Duration // from the time at which it was due
	sendDelay  time.Duration // between due and sent, caused by the load tool itself
	answer     query.Answer
	err        error
	violations map[Violation]string
}

func (s sample) outcome() query.Outcome {
	var problem *fault.Error
	switch {
	case s.err == nil:
		return s.answer.Outcome
	case errors.As(s.err, &problem) && problem.Status != 0:
		return problem.Outcome
	default:
		return outcomeError
	}
}

// series aggregates the samples of one service, or of all.
type series struct {
	latency  *hdrhistogram.Histogram
	outcomes map[query.Outcome]int64
	covered  int64
	shards   int64
	answered int64
	unsent   int64
}

func newSeries() *series {
	return &series{latency: hdrhistogram.New(1, histogramMax, histogramDigits), outcomes: map[query.Outcome]int64{}}
}

func (s *series) add(result sample) {
	latencyUS := min(max(result.latency.Microseconds(), 1), histogramMax)
	_ = s.latency.RecordValue(latencyUS) // the value is within the range
	s.outcomes[result.outcome()]++
	s.covered += int64(result.answer.Coverage.Covered)
	s.shards += int64(result.answer.Coverage.Total)
	s.answered++
}

// tally aggregates samples as they arrive. It is safe for concurrent use.
type tally struct {
	mu         sync.Mutex
	all        *series
	services   map[string]*series
	sendDelay  *hdrhistogram.Histogram
	violations map[Violation]int64
	examples   []string
	errors     []string
}

func newTally() *tally {
	return &tally{
		all:        newSeries(),
		services:   map[string]*series{},
		sendDelay:  hdrhistogram.New(1, histogramMax, histogramDigits),
		violations: map[Violation]int64{},
	}
}

func (t *tally) service(name string) *series {
	s := t.services[name]
	if s == nil {
		s = newSeries()
		t.services[name] = s
	}
	return s
}

func (t *tally) add(s sample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all.add(s)
	t.service(s.service).add(s)
	_ = t.sendDelay.RecordValue(min(max(s.sendDelay.Microseconds(), 1), histogramMax))
	for violation, example := range s.violations {
		t.violations[violation]++
		if t.violations[violation] <= maxExamples {
			t.examples = append(t.examples, string(violation)+": "+example)
		}
	}
	if s.err != nil && len(t.errors) < maxExamples {
		t.errors = append(t.errors, s.err.Error())
	}
}

func (t *tally) unsent(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all.unsent++
	t.service(service).unsent++
}

func (t *tally) progress() Progress {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := Progress{Answered: t.all.answered, Unsent: t.all.unsent}
	for _, n := range t.violations {
		p.Violations += n
	}
	return p
}
