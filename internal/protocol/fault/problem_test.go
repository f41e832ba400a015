package fault

import (
	"encoding/json"
	"testing"

	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

func TestProblemRoundTrip(t *testing.T) {
	sent := New(StepRelay, "leaf-1", "no reply").WithStatus(503, query.NotRun).WithField("query").WithRequestID("r-1")
	text, err := json.Marshal(sent.Problem())
	if err != nil {
		t.Fatal(err)
	}
	var document Problem
	if err := json.Unmarshal(text, &document); err != nil {
		t.Fatal(err)
	}
	got := document.Error()
	if got.Error() != sent.Error() || got.Status != 503 || got.Outcome != query.NotRun || got.Field != "query" || got.RequestID != "r-1" {
		t.Errorf("got %+v, want %+v", got, sent)
	}
}

func TestProblemDefaults(t *testing.T) {
	p := New(StepInternal, "", "x").Problem()
	if p.Status != 500 || p.Outcome != query.Failed || p.Title != "Internal Server Error" {
		t.Errorf("got %+v", p)
	}
}
