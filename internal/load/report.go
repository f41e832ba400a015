package load

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

// LatencyQuantile is one quantile of a latency distribution.
type LatencyQuantile struct {
	Quantile float64 `json:"quantile"` // in [0, 1]
	MS       float64 `json:"ms"`
}

// Summary holds the results of one service, or of all.
type Summary struct {
	Service  string                  `json:"service,omitempty"`
	Answered int64                   `json:"answered"`
	Unsent   int64                   `json:"unsent"`
	Outcomes map[query.Outcome]int64 `json:"outcomes"`
	// Coverage is the covered share of all shards of all answers.
	Coverage float64 `json:"coverage"`
	// Latency counts from the time at which each query was due.
	Latency []LatencyQuantile `json:"latency"`
	MaxMS   float64           `json:"max_ms"`
}

// Report is the result of a run.
type Report struct {
	Rate     float64   `json:"rate"`
	Achieved float64   `json:"achieved_rate"` // answers a second
	Seconds  float64   `json:"seconds"`
	Seed     uint64    `json:"seed"`
	All      Summary   `json:"all"`
	Services []Summary `json:"services"`
	// SendDelayP99MS is the load tool's own delay between due and sent; if it is
	// high, the load tool's machine was too slow for the rate.
	SendDelayP99MS float64             `json:"send_delay_p99_ms"`
	Violations     map[Violation]int64 `json:"violations"`
	Examples       []string            `json:"examples,omitempty"`
	Errors         []string            `json:"errors,omitempty"`
}

// quantiles are the latency quantiles of a report.
var quantiles = []float64{0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999}

func (t *tally) report(cfg Config, elapsed time.Duration) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Report{
		Rate:           cfg.Rate,
		Seconds:        elapsed.Seconds(),
		Seed:           cfg.Seed,
		All:            t.all.summary(""),
		Services:       []Summary{},
		SendDelayP99MS: millis(t.sendDelay.ValueAtPercentile(99)),
		Violations:     maps.Clone(t.violations),
		Examples:       slices.Clone(t.examples),
		Errors:         slices.Clone(t.errors),
	}
	if elapsed > 0 {
		r.Achieved = float64(t.all.answered) / elapsed.Seconds()
	}
	for _, name := range slices.Sorted(maps.Keys(t.services)) {
		r.Services = append(r.Services, t.services[name].summary(name))
	}
	return r
}

func (s *series) summary(name string) Summary {
	out := Summary{
		Service: name, Answered: s.answered, Unsent: s.unsent, Outcomes: maps.Clone(s.outcomes),
		Latency: latencyQuantiles(s.latency), MaxMS: millis(s.latency.Max()),
	}
	if s.shards > 0 {
		out.Coverage = float64(s.covered) / float64(s.shards)
	}
	return out
}

func latencyQuantiles(h *hdrhistogram.Histogram) []LatencyQuantile {
	list := make([]LatencyQuantile, len(quantiles))
	for i, q := range quantiles {
		list[i] = LatencyQuantile{Quantile: q, MS: millis(h.ValueAtPercentile(100 * q))}
	}
	return list
}

func millis(micros int64) float64 { return float64(micros) / 1000 }

// OK reports whether the run found no failure: every query was sent and answered,
// and no answer violated a guarantee. Partial answers and requests rejected as
// not_run are no failures.
func (r Report) OK() bool {
	return r.All.Answered > 0 && r.All.Unsent == 0 && len(r.Violations) == 0 &&
		r.All.Outcomes[outcomeError] == 0 && r.All.Outcomes[query.Failed] == 0 && r.All.Outcomes[query.Unknown] == 0
}

//go:embed report.html
var pageSource string

var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent": func(v float64) string { return fmt.Sprintf("%.2f%%", 100*v) },
	"ms":      func(v float64) string { return fmt.Sprintf("%.2f", v) },
	"title":   func(q float64) string { return fmt.Sprintf("p%g", math.Round(q*1e5)/1e3) },
	"curve":   curve,
}).Parse(pageSource))

// HTML writes the report as one page without external resources.
func (r Report) HTML(w io.Writer) error { return pageTemplate.Execute(w, r) }

// Size of the latency curve in the page, in pixels.
const (
	curveWidth  = 600
	curveHeight = 200
)

// curve returns the points attribute of an SVG polyline: latency over quantiles,
// scaled to the highest latency.
func curve(latency []LatencyQuantile) string {
	highest := 0.0
	for _, p := range latency {
		highest = max(highest, p.MS)
	}
	if highest == 0 {
		return ""
	}
	var out strings.Builder
	step := float64(curveWidth) / float64(len(latency)-1)
	for i, p := range latency {
		fmt.Fprintf(&out, "%.0f,%.0f ", float64(i)*step, curveHeight*(1-p.MS/highest))
	}
	return strings.TrimSpace(out.String())
}
