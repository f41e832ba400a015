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
	m.Subrequest("s", KindHedge)
	m.Cancelled("s", CancelLoser)
	m.Refused(RefusalOverload)
	m.InvariantViolated("one_snapshot")
	m.RevisionInForce(7)
	m.OldRevisionRefused()
	m.PlatformCall("get", "ok", time.Millisecond)
	m.LeafConnections("g", 3)
	m.LeafConnectionDelta("g", -1)
	m.QuarantineSize(2)
	m.Peers(6)
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
		"revision":    testutil.ToFloat64(m.revision),
		"connections": testutil.ToFloat64(m.connections.WithLabelValues("g")),
		"hedges":      testutil.ToFloat64(m.subrequests.WithLabelValues("s", "hedge")),
		"in flight":   testutil.ToFloat64(m.inFlight),
		"violations":  testutil.ToFloat64(m.invariants.WithLabelValues("one_snapshot")),
	}
	want := map[string]float64{"revision": 7, "connections": 2, "hedges": 1, "in flight": 0, "violations": 1}
	for name, value := range want {
		if counts[name] != value {
			t.Errorf("%s is %v, want %v", name, counts[name], value)
		}
	}
	if got := testutil.CollectAndCount(m.coverage); got != 1 {
		t.Errorf("%d coverage series, want 1", got)
	}
}

func TestNilMetricsDoNothing(t *testing.T) { record(nil) }
