package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

// sample is the result of one query as its caller saw it.
type sample struct {
	index       int
	status      int
	answer      query.Answer
	scheduledAt time.Time // elapsed counts from here, so that a late send counts as latency
	elapsed     time.Duration
	mixed       bool
	err         error
}

// ok reports whether the query has a usable answer.
func (s *sample) ok() bool {
	return s.err == nil && (s.answer.Outcome == query.Done || s.answer.Outcome == query.Partial)
}

// poisson calls send count times in goroutines of their own at the times of a
// Poisson process with rate per second, and waits for all of them.
func poisson(ctx context.Context, seed uint64, rate float64, count int, send func(i int, at time.Time)) {
	random := rand.New(rand.NewPCG(seed, 1))
	var running sync.WaitGroup
	defer running.Wait()
	next := time.Now()
	for i := range count {
		next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		at := next // a copy: next changes while the call runs
		if !sleepUntil(ctx, at) {
			return
		}
		running.Add(1)
		go func() {
			defer running.Done()
			send(i, at)
		}()
	}
}

// sleepUntil waits until a time and reports whether it came before ctx ended.
func sleepUntil(ctx context.Context, at time.Time) bool {
	delay := time.Until(at)
	if delay <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// caller sends queries over HTTP and checks the answers.
type caller struct {
	http *http.Client
}

func newCaller() *caller {
	return &caller{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
}

func (c *caller) close() { c.http.CloseIdleConnections() }

// echoItem is the part of a stand-in's item that identifies its query and snapshot.
type echoItem struct {
	Echo       string `json:"echo"`
	Generation uint64 `json:"generation"`
	Version    uint64 `json:"version"`
}

// echo returns the text that the stand-ins repeat in the answer to a query.
func echo(index int) string { return fmt.Sprintf("caller-%d", index) }

// sendQuery sends one query that was scheduled at the given time.
func (c *caller) sendQuery(ctx context.Context, url, service string, index int, scheduled time.Time) sample {
	s := sample{index: index, scheduledAt: scheduled}
	body := fmt.Sprintf(`{"query":{"echo":%q}}`, echo(index))
	s.status, s.answer, s.err = c.post(ctx, url+"/v1/services/"+service+"/query", body)
	s.elapsed = time.Since(scheduled)
	if s.err == nil {
		s.mixed = isMixed(&s.answer, echo(index))
	}
	return s
}

// settlePollInterval is the time between two checks of a condition that is awaited.
const settlePollInterval = 20 * time.Millisecond

// awaitComplete waits until a node answers a query of a service with full coverage.
func (c *caller) awaitComplete(ctx context.Context, url, service string) error {
	for {
		s := c.sendQuery(ctx, url, service, 0, time.Now())
		if s.ok() && len(s.answer.Coverage.Missing) == 0 {
			return nil
		}
		if !sleepUntil(ctx, time.Now().Add(settlePollInterval)) {
			return ctx.Err()
		}
	}
}

func (c *caller) post(ctx context.Context, url, body string) (int, query.Answer, error) {
	var answer query.Answer
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, answer, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return 0, answer, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return response.StatusCode, answer, err
	}
	return response.StatusCode, answer, json.Unmarshal(content, &answer)
}

// isMixed reports whether an answer contains an item of another snapshot or another
// caller.
func isMixed(a *query.Answer, echo string) bool {
	for _, item := range a.Items {
		var e echoItem
		if err := json.Unmarshal(item, &e); err != nil {
			return true
		}
		if e.Echo != echo || e.Generation != a.Snapshot.Generation || e.Version != a.Snapshot.Version {
			return true
		}
	}
	return false
}

// tally counts samples by outcome and records their latency. It is safe for concurrent use.
type tally struct {
	mu          sync.Mutex
	latency     *hdrhistogram.Histogram
	complete    int
	partial     int
	notRun      int
	failed      int
	mixed       int
	samples     []sample
	keepSamples bool
}

// histogramDigits is the number of significant digits of latencies.
const histogramDigits = 3

func newTally(keepSamples bool) *tally {
	return &tally{latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), histogramDigits), keepSamples: keepSamples}
}

func (t *tally) add(s sample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	// RecordValue fails only above a minute, which no query may take.
	_ = t.latency.RecordValue(s.elapsed.Microseconds())
	switch {
	case s.err != nil:
		t.failed++
	case s.answer.Outcome == query.Done:
		t.complete++
	case s.answer.Outcome == query.Partial:
		t.partial++
	case s.answer.Outcome == query.NotRun:
		t.notRun++
	default:
		t.failed++
	}
	if s.mixed {
		t.mixed++
	}
	if t.keepSamples {
		t.samples = append(t.samples, s)
	}
}

// quantileMS is a quantile of the latency in milliseconds.
func (t *tally) quantileMS(q float64) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(t.latency.ValueAtQuantile(100*q)) / 1000
}

func (t *tally) total() int { return t.complete + t.partial + t.notRun + t.failed }

// figures returns the common figures of a tally.
func (t *tally) figures() []Figure {
	return []Figure{
		{"queries", float64(t.total())},
		{"complete", float64(t.complete)},
		{"partial", float64(t.partial)},
		{"not_run", float64(t.notRun)},
		{"failed", float64(t.failed)},
		{"mixed", float64(t.mixed)},
		{"p50_ms", t.quantileMS(0.50)},
		{"p99_ms", t.quantileMS(0.99)},
	}
}
