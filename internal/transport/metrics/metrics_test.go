package metrics

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

// record calls every method once.
func record(m *Metrics) {
	m.QueryStarted()()
	m.QueryDone("s", query.Partial, time.Second, query.Coverage{Covered: 1, Total: 2})
	m.QueryDone("s", query.NotRun, time.Second, query.Coverage{})
	m.SubrequestSent("s", KindHedge)
	m.SubrequestCancelled("s")
	m.RequestRefused(RefusalOverload)
	m.InvariantViolated("one_snapshot")
	m.SetCatalogueRevision(7)
	m.OldRevisionRefused()
	m.PlatformCall("get", "ok", time.Millisecond)
	m.LeafConnected()
	m.LeafConnected()()
	m.SetQuarantineSize(2)
	m.SetPeers(6)
}

func TestNamesFollowTheConventions(t *testing.T) {
	m := New()
	record(m)
	problems, err := testutil.GatherAndLint(m.Gatherer())
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range problems {
		t.Errorf("%s: %s", p.Metric, p.Text)
	}
}

func TestMethodsRecord(t *testing.T) {
	m := New()
	record(m)
	counts := map[string]float64{
		"revision":    testutil.ToFloat64(m.catalogueRevision),
		"connections": testutil.ToFloat64(m.leafConnections),
		"hedges":      testutil.ToFloat64(m.subrequests.WithLabelValues("s", "hedge")),
		"in flight":   testutil.ToFloat64(m.queriesInFlight),
		"violations":  testutil.ToFloat64(m.invariantViolations.WithLabelValues("one_snapshot")),
	}
	want := map[string]float64{"revision": 7, "connections": 1, "hedges": 1, "in flight": 0, "violations": 1}
	for name, value := range want {
		if counts[name] != value {
			t.Errorf("%s is %v, want %v", name, counts[name], value)
		}
	}
	if got := testutil.CollectAndCount(m.queryCoverage); got != 1 {
		t.Errorf("%d coverage series, want 1", got)
	}
}

func TestNilMetricsDoNothing(t *testing.T) { record(nil) }

func TestServiceSummaries(t *testing.T) {
	m := New()
	for i := range 100 {
		outcome, elapsed := query.Done, 10*time.Millisecond
		if i >= 98 {
			outcome, elapsed = query.Partial, 200*time.Millisecond
		}
		m.QueryDone("desk", outcome, elapsed, query.Coverage{Covered: 10 - i%2, Total: 10})
		m.SubrequestSent("desk", KindFirst)
	}
	m.SubrequestSent("desk", KindHedge)
	m.SubrequestSent("desk", KindRetry)
	m.QueryDone("far", query.Failed, time.Hour, query.Coverage{})
	got := m.ServiceSummaries()
	desk := got["desk"]
	if desk.Queries != 100 || desk.Done != 98 || desk.Partial != 2 || desk.Failed != 0 {
		t.Errorf("got %+v", desk)
	}
	if desk.CoveragePercent < 94.99 || desk.CoveragePercent > 95.01 || desk.ExtraPercent != 2 {
		t.Errorf("coverage %v, extra load %v, want 95 and 2", desk.CoveragePercent, desk.ExtraPercent)
	}
	// The buckets that hold the quantiles are (5, 10] and (150, 250].
	if desk.P50MS <= 5 || desk.P50MS > 10 || desk.P99MS <= 150 || desk.P99MS > 250 {
		t.Errorf("p50 %v ms, p99 %v ms", desk.P50MS, desk.P99MS)
	}
	if far := got["far"]; far.Failed != 1 || far.P99MS != 30_000 {
		t.Errorf("a value above the last bucket gives %+v, want its bound", far)
	}
}
