package metrics

import (
	"math"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"

	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

// ServiceSummary sums up the queries of one service since the process started.
type ServiceSummary struct {
	Queries uint64
	Done    uint64
	Partial uint64
	Failed  uint64
	// CoveragePercent is the mean covered share of shards.
	CoveragePercent float64
	// P50MS and P99MS are read from histogram buckets, linear within a bucket.
	P50MS float64
	P99MS float64
	// ExtraPercent is hedges, retries and restarts over first subrequests.
	ExtraPercent float64
}

// ServiceSummaries sums up each service that answered a query.
func (m *Metrics) ServiceSummaries() map[string]ServiceSummary {
	latency := map[string]*buckets{}
	out := map[string]ServiceSummary{}
	for _, one := range collect(m.queries) {
		name := label(one, "service")
		s := out[name]
		s.count(query.Outcome(label(one, "outcome")), one.GetHistogram().GetSampleCount())
		out[name] = s
		if latency[name] == nil {
			latency[name] = &buckets{}
		}
		latency[name].add(one.GetHistogram())
	}
	for name, s := range out {
		s.P50MS = 1000 * latency[name].quantile(0.50)
		s.P99MS = 1000 * latency[name].quantile(0.99)
		out[name] = s
	}
	m.addCoverage(out)
	m.addExtra(out)
	return out
}

func (s *ServiceSummary) count(outcome query.Outcome, n uint64) {
	s.Queries += n
	switch outcome {
	case query.Done:
		s.Done += n
	case query.Partial:
		s.Partial += n
	default:
		s.Failed += n
	}
}

func (m *Metrics) addCoverage(out map[string]ServiceSummary) {
	for _, one := range collect(m.coverage) {
		name := label(one, "service")
		s := out[name]
		s.CoveragePercent = 100 * one.GetHistogram().GetSampleSum() / float64(one.GetHistogram().GetSampleCount())
		out[name] = s
	}
}

func (m *Metrics) addExtra(out map[string]ServiceSummary) {
	first, extra := map[string]float64{}, map[string]float64{}
	for _, one := range collect(m.subrequests) {
		kind := extra
		if label(one, "kind") == string(KindFirst) {
			kind = first
		}
		kind[label(one, "service")] += one.GetCounter().GetValue()
	}
	for name, n := range first {
		s := out[name]
		s.ExtraPercent = 100 * extra[name] / n
		out[name] = s
	}
}

// collect reads the series of one collector.
func collect(c prometheus.Collector) []*dto.Metric {
	channel := make(chan prometheus.Metric)
	go func() {
		defer close(channel)
		c.Collect(channel)
	}()
	var list []*dto.Metric
	for metric := range channel {
		one := &dto.Metric{}
		if err := metric.Write(one); err == nil {
			list = append(list, one)
		}
	}
	return list
}

func label(m *dto.Metric, name string) string {
	for _, pair := range m.GetLabel() {
		if pair.GetName() == name {
			return pair.GetValue()
		}
	}
	return ""
}

// buckets adds up histograms with the same bounds.
type buckets struct {
	bounds     []float64
	cumulative []uint64
	total      uint64
}

func (b *buckets) add(h *dto.Histogram) {
	if b.bounds == nil {
		b.cumulative = make([]uint64, len(h.GetBucket()))
		for _, bucket := range h.GetBucket() {
			b.bounds = append(b.bounds, bucket.GetUpperBound())
		}
	}
	for i, bucket := range h.GetBucket() {
		b.cumulative[i] += bucket.GetCumulativeCount()
	}
	b.total += h.GetSampleCount()
}

// quantile interpolates within the bucket that holds q. Above the last bound
// it returns that bound.
func (b *buckets) quantile(q float64) float64 {
	rank := q * float64(b.total)
	lower, below := 0.0, 0.0
	for i, bound := range b.bounds {
		count := float64(b.cumulative[i])
		if math.IsInf(bound, 1) {
			return lower
		}
		if count >= rank && count > below {
			return lower + (bound-lower)*(rank-below)/(count-below)
		}
		lower, below = bound, count
	}
	return lower
}
