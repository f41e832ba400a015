package leaf

import (
	"sync"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/upstream"
)

// Run is the record of one subrequest that acquired a slot. A cancelled run
// counts as a run, because it may have taken effect.
type Run struct {
	upstream.Subrequest
	Leaf string
	// Echo is the member "echo" of the query, as JSON; empty if there is none.
	Echo    string
	Started time.Time
	// Finished is the time at which the run ended, cancelled or not; zero while it runs.
	Finished  time.Time
	Cancelled bool
	// Replied reports whether the leaf sent a reply at the end of the run.
	Replied bool
}

// record holds the latest runs in a ring buffer.
type record struct {
	mu      sync.Mutex
	limit   int
	total   uint64 // runs started since the last reset
	epoch   uint64 // number of resets
	running int
	runs    []Run // run number n is at index n mod limit
}

// runRef identifies a run in a record.
type runRef struct{ epoch, number uint64 }

func newRecord(limit int) *record { return &record{limit: limit} }

func (r *record) start(run Run) runRef {
	r.mu.Lock()
	defer r.mu.Unlock()
	ref := runRef{r.epoch, r.total}
	if len(r.runs) < r.limit {
		r.runs = append(r.runs, run)
	} else {
		r.runs[r.total%uint64(r.limit)] = run
	}
	r.total++
	r.running++
	return ref
}

func (r *record) finish(ref runRef, at time.Time, cancelled, replied bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	if ref.epoch != r.epoch || ref.number+uint64(r.limit) < r.total {
		return // reset or overwritten
	}
	run := &r.runs[ref.number%uint64(r.limit)]
	run.Finished = at
	run.Cancelled = cancelled
	run.Replied = replied
}

// Runs returns the recorded runs of a request. It scans the whole record: use
// AllRuns to check many requests.
func (l *Leaf) Runs(requestID string) []Run {
	l.record.mu.Lock()
	defer l.record.mu.Unlock()
	var found []Run
	for i := range l.record.runs {
		if l.record.runs[i].RequestID == requestID {
			found = append(found, l.record.runs[i])
		}
	}
	return found
}

// AllRuns returns the recorded runs in no particular order: the latest
// Options.MaxRuns since the last reset.
func (l *Leaf) AllRuns() []Run {
	l.record.mu.Lock()
	defer l.record.mu.Unlock()
	return append([]Run(nil), l.record.runs...)
}

// RunCount returns the number of runs started since the last reset, recorded or not.
func (l *Leaf) RunCount() int {
	l.record.mu.Lock()
	defer l.record.mu.Unlock()
	return int(l.record.total)
}

// Running returns the number of runs in progress.
func (l *Leaf) Running() int {
	l.record.mu.Lock()
	defer l.record.mu.Unlock()
	return l.record.running
}

// ResetRuns removes all recorded runs and resets RunCount to 0.
func (l *Leaf) ResetRuns() {
	l.record.mu.Lock()
	defer l.record.mu.Unlock()
	l.record.runs = nil
	l.record.total = 0
	l.record.epoch++
}

// ShedCount returns the number of subrequests rejected with a not-run reply.
func (l *Leaf) ShedCount() int { return int(l.shed.Load()) }
