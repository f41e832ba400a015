// Package latency tracks the distribution of a service's subrequest latency
// over a sliding window.
package latency

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// windowLength is the time after which the older half of the window is dropped and
	// the current half takes its place.
	windowLength = 5 * time.Second
	// refreshSamples is the number of samples between two updates of the quantile.
	refreshSamples = 256
	// minSamples is the number of samples below which the quantile is not updated.
	minSamples = 100
	// maxLatency is the largest latency that is recorded; longer ones count as this.
	maxLatency = time.Minute
	// significantDigits is the precision of the histograms in decimal digits.
	significantDigits = 2
)

// Window holds the latencies of the last one to two window lengths and tracks one
// quantile. It is safe for concurrent use.
type Window struct {
	mu                  sync.Mutex
	quantile            float64
	current             *hdrhistogram.Histogram
	previous            *hdrhistogram.Histogram
	rotatedAt           time.Time
	samplesSinceRefresh int
	cachedValue         time.Duration
}

// NewWindow returns an empty window that tracks a quantile in (0, 1).
func NewWindow(quantile float64) *Window {
	return &Window{quantile: quantile, current: newHistogram(), previous: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(int64(time.Microsecond), int64(maxLatency), significantDigits)
}

// SetQuantile changes the tracked quantile.
func (w *Window) SetQuantile(quantile float64) {
	w.mu.Lock()
	w.quantile = quantile
	w.samplesSinceRefresh = refreshSamples
	w.mu.Unlock()
}

// Observe adds a latency measured at now.
func (w *Window) Observe(now time.Time, latency time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.rotatedAt) > windowLength {
		w.previous, w.current = w.current, w.previous
		w.current.Reset()
		w.rotatedAt = now
	}
	// RecordValue fails only above maxLatency, which min excludes.
	_ = w.current.RecordValue(int64(min(latency, maxLatency)))
	w.samplesSinceRefresh++
	if w.samplesSinceRefresh >= refreshSamples {
		w.refresh()
	}
}

func (w *Window) refresh() {
	w.samplesSinceRefresh = 0
	source := w.previous
	if w.current.TotalCount() > source.TotalCount() {
		source = w.current
	}
	if source.TotalCount() < minSamples {
		return
	}
	w.cachedValue = time.Duration(source.ValueAtQuantile(100 * w.quantile))
}

// Quantile returns the latency at the tracked quantile, or 0 before there are enough
// samples.
func (w *Window) Quantile() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cachedValue
}
