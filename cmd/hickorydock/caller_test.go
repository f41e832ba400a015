package main

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/transport/credentials"
	"github.com/hickorydock/hickorydock/internal/transport/server"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
)

// TestCallerScripts runs the cases in testdata/caller against a caller interface
// with canned answers, whose base URL is in $URL.
func TestCallerScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata/caller",
		UpdateScripts: false,
		Setup: func(env *testscript.Env) error {
			cfg := server.Config{MaxBodyBytes: 1 << 10, MaxDeadline: time.Second}
			node := httptest.NewServer(server.New(cfg, cannedServices{}, cannedQueries{}, nil, tracing.Off()))
			env.Defer(node.Close)
			env.Setenv("URL", node.URL)
			return nil
		},
	})
}

// cannedServices has the services whole, half, mixed, broken and closed.
type cannedServices struct{}

func (cannedServices) Find(name string) (note.Service, bool) {
	s := note.Service{Name: name}
	if name == "closed" {
		s.CallerTokens = note.TokenHashes(credentials.TokenHash("secret"))
	}
	switch name {
	case "whole", "half", "mixed", "broken", "closed":
		return s, true
	}
	return note.Service{}, false
}

type cannedQueries struct{}

func (cannedQueries) Query(_ context.Context, s note.Service, _ query.Request, _ time.Time) (query.Answer, error) {
	answer := query.Answer{
		RequestID: "r-1",
		Outcome:   query.Done,
		Items:     []query.Item{json.RawMessage(`{"shard":0,"generation":3,"version":7}`)},
		Snapshot:  query.Snapshot{Generation: 3, Version: 7},
		Coverage:  query.Coverage{Covered: 2, Total: 2},
	}
	switch s.Name {
	case "half":
		answer.Outcome = query.Partial
		answer.Coverage = query.Coverage{Covered: 1, Total: 2, Missing: []query.Missing{{Shard: 1, Reason: query.ReasonDeadline}}}
	case "mixed":
		answer.Items = append(answer.Items, json.RawMessage(`{"shard":1,"generation":3,"version":6}`))
	case "broken":
		return query.Answer{}, fault.New(fault.StepRelay, "leaf-1", "no upstream ran the query").WithStatus(503, query.NotRun)
	}
	return answer, nil
}
