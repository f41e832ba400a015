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
	// P50MS and P99MS are estimated from histogram buckets, by linear
	// interpolation within a bucket.
	P50MS float64
	P99MS float64
	// ExtraPercent is the number of hedges, retries and restarts in percent of the
	// number of first subrequests.
	ExtraPercent float64
}

// ServiceSummaries returns a summary of each service with at least one finished query.
func (m *Metrics) ServiceSummaries() map[string]ServiceSummary {
	latency := map[string]*histogramSum{}
	summaries := map[string]ServiceSummary{}
	for _, metric := range collect(m.queryDuration) {
		name := labelValue(metric, "service")
		s := summaries[name]
		s.count(query.Outcome(labelValue(metric, "outcome")), metric.GetHistogram().GetSampleCount())
		summaries[name] = s
		if latency[name] == nil {
			latency[name] = &histogramSum{}
		}
		latency[name].add(metric.GetHistogram())
	}
	for name, s := range summaries {
		s.P50MS = 1000 * latency[name].quantile(0.50)
		s.P99MS = 1000 * latency[name].quantile(0.99)
		summaries[name] = s
	}
	m.addCoverage(summaries)
	m.addExtraLoad(summaries)
	return summaries
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

func (m *Metrics) addCoverage(summaries map[string]ServiceSummary) {
	for _, metric := range collect(m.queryCoverage) {
		name := labelValue(metric, "service")
		s := summaries[name]
		s.CoveragePercent = 100 * metric.GetHistogram().GetSampleSum() / float64(metric.GetHistogram().GetSampleCount())
		summaries[name] = s
	}
}

func (m *Metrics) addExtraLoad(summaries map[string]ServiceSummary) {
	first, extra := map[string]float64{}, map[string]float64{}
	for _, metric := range collect(m.subrequests) {
		counts := extra
		if labelValue(metric, "kind") == string(KindFirst) {
			counts = first
		}
		counts[labelValue(metric, "service")] += metric.GetCounter().GetValue()
	}
	for name, n := range first {
		s := summaries[name]
		s.ExtraPercent = 100 * extra[name] / n
		summaries[name] = s
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
		series := &dto.Metric{}
		if err := metric.Write(series); err == nil {
			list = append(list, series)
		}
	}
	return list
}

func labelValue(m *dto.Metric, name string) string {
	for _, pair := range m.GetLabel() {
		if pair.GetName() == name {
			return pair.GetValue()
		}
	}
	return ""
}

// histogramSum is the sum of histograms with the same bounds.
type histogramSum struct {
	bounds     []float64
	cumulative []uint64
	total      uint64
}

func (s *histogramSum) add(h *dto.Histogram) {
	if s.bounds == nil {
		s.cumulative = make([]uint64, len(h.GetBucket()))
		for _, bucket := range h.GetBucket() {
			s.bounds = append(s.bounds, bucket.GetUpperBound())
		}
	}
	for i, bucket := range h.GetBucket() {
		s.cumulative[i] += bucket.GetCumulativeCount()
	}
	s.total += h.GetSampleCount()
}

// quantile estimates the quantile q by linear interpolation within its bucket.
// Above the last finite bound it returns that bound.
func (s *histogramSum) quantile(q float64) float64 {
	rank := q * float64(s.total)
	lowerBound, lowerCount := 0.0, 0.0
	for i, bound := range s.bounds {
		count := float64(s.cumulative[i])
		if math.IsInf(bound, 1) {
			return lowerBound
		}
		if count >= rank && count > lowerCount {
			return lowerBound + (bound-lowerBound)*(rank-lowerCount)/(count-lowerCount)
		}
		lowerBound, lowerCount = bound, count
	}
	return lowerBound
}
