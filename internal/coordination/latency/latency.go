// Package latency learns the distribution of a service's subrequest latency
// over a sliding window.
package latency

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// windowLength is the age at which the older half of the window is dropped.
	windowLength = 5 * time.Second
	// refreshEvery is the number of samples between two updates of the quantile.
	refreshEvery = 256
	// minSamples is the number of samples below which no quantile is given.
	minSamples = 100
	// maxLatency is the largest latency that is told apart.
	maxLatency = time.Minute
	// digits is the number of significant digits kept.
	digits = 2
)

// Window keeps latencies of the last one to two window lengths and one
// quantile of them. It is safe for concurrent use.
type Window struct {
	mu       sync.Mutex
	quantile float64
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	turned   time.Time
	sinceRef int
	cached   time.Duration
}

// NewWindow returns an empty window that tracks a quantile in (0, 1).
func NewWindow(quantile float64) *Window {
	return &Window{quantile: quantile, current: newHistogram(), previous: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(int64(time.Microsecond), int64(maxLatency), digits)
}

// SetQuantile changes the tracked quantile.
func (w *Window) SetQuantile(quantile float64) {
	w.mu.Lock()
	w.quantile = quantile
	w.sinceRef = refreshEvery
	w.mu.Unlock()
}

// Observe adds a latency measured at now.
func (w *Window) Observe(now time.Time, latency time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.turned) > windowLength {
		w.previous, w.current = w.current, w.previous
		w.current.Reset()
		w.turned = now
	}
	// RecordValue fails only above maxLatency, which the minimum rules out.
	_ = w.current.RecordValue(int64(min(latency, maxLatency)))
	w.sinceRef++
	if w.sinceRef >= refreshEvery {
		w.refresh()
	}
}

func (w *Window) refresh() {
	w.sinceRef = 0
	source := w.previous
	if w.current.TotalCount() > source.TotalCount() {
		source = w.current
	}
	if source.TotalCount() < minSamples {
		return
	}
	w.cached = time.Duration(source.ValueAtQuantile(100 * w.quantile))
}

// Quantile returns the tracked quantile, or 0 before enough samples are known.
func (w *Window) Quantile() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cached
}
