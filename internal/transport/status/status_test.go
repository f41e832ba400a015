package status

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/transport/metrics"
)

// sources returns a group of three leafs, the last one modified by change.
func sources(change func(r *leaf.Record, now time.Time)) Sources {
	table := leaf.NewTable()
	now := time.Now()
	for _, id := range []string{"leaf-1", "leaf-2", "leaf-3"} {
		r := table.Record(id)
		r.Begin(now)
		r.End(now, 2*time.Millisecond, leaf.Answered)
	}
	change(table.Record("leaf-3"), now)
	return Sources{
		NodeID: "<node>",
		Ready:  func() error { return nil },
		Catalogue: func() (note.Catalogue, bool) {
			return note.Catalogue{Revision: 41, Services: []note.Service{{Name: "desk"}}}, true
		},
		VMs: func() []platform.VM {
			return []platform.VM{{ID: "leaf-3", Group: "g"}, {ID: "leaf-1", Group: "g"}, {ID: "leaf-2", Group: "g"}}
		},
		LeafTable: table,
		Services: func() map[string]metrics.ServiceSummary {
			return map[string]metrics.ServiceSummary{"desk": {Queries: 10, Done: 9, Partial: 1, CoveragePercent: 98.5, P99MS: 41.25}}
		},
	}
}

func TestEjectionReason(t *testing.T) {
	run := func(r *leaf.Record, now time.Time, elapsed time.Duration, result leaf.Result, count int) {
		for range count {
			r.Begin(now)
			r.End(now, elapsed, result)
		}
	}
	cases := []struct {
		name   string
		change func(r *leaf.Record, now time.Time)
		want   string
	}{
		{"like the others", func(*leaf.Record, time.Time) {}, ""},
		{"leaving", func(r *leaf.Record, _ time.Time) { r.UpdateDrain(setReplyDraining) }, "leaving"},
		{"failing", func(r *leaf.Record, now time.Time) { run(r, now, 0, leaf.Errored, 3) }, "failing"},
		{"slow", func(r *leaf.Record, now time.Time) { run(r, now, time.Second, leaf.Answered, 50) }, "slow or busy"},
		{"busy", func(r *leaf.Record, now time.Time) {
			for range 50 {
				r.Begin(now)
			}
		}, "slow or busy"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			leafs := New(sources(c.change)).View(time.Now()).Leafs
			if len(leafs) != 3 || leafs[2].ID != "leaf-3" {
				t.Fatalf("got %+v, want three leafs in order", leafs)
			}
			if leafs[0].EjectionReason != "" || leafs[2].EjectionReason != c.want {
				t.Errorf("got %q and %q, want none and %q", leafs[0].EjectionReason, leafs[2].EjectionReason, c.want)
			}
		})
	}
}

func render(s Sources) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	New(s).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
	return w
}

func TestPageShowsTheNode(t *testing.T) {
	w := render(sources(func(r *leaf.Record, _ time.Time) { r.UpdateDrain(setReplyDraining) }))
	for _, want := range []string{"&lt;node&gt;", "revision 41 in force", "ready", "desk", "98.50 %", "41.2", "leaf-3", "leaving", `name="viewport"`} {
		if !strings.Contains(w.Body.String(), want) {
			t.Errorf("the page lacks %q:\n%s", want, w.Body)
		}
	}
}

func TestPageOfANodeThatIsNotReady(t *testing.T) {
	s := sources(func(*leaf.Record, time.Time) {})
	s.Ready = func() error { return errors.New("node is stopping") }
	s.Catalogue = func() (note.Catalogue, bool) { return note.Catalogue{}, false }
	s.VMs = func() []platform.VM { return nil }
	body := render(s).Body.String()
	for _, want := range []string{"not ready: node is stopping", "none in force", "none known"} {
		if !strings.Contains(body, want) {
			t.Errorf("the page lacks %q:\n%s", want, body)
		}
	}
}

// setReplyDraining sets the drain state of a leaf whose reply reports that it drains.
func setReplyDraining(d leaf.DrainState) leaf.DrainState {
	d.Reply = true
	return d
}
