package main

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"regexp"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/transport/credentials"
	"github.com/hickorydock/hickorydock/internal/transport/loopback"
	"github.com/hickorydock/hickorydock/internal/transport/server"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
)

// TestCallerScripts runs the cases in testdata/caller against a caller interface
// with canned answers, whose base URL is in $URL. $PLATFORM, $CALLERS, $ADMIN and
// $PEERS are free addresses.
func TestCallerScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata/caller",
		UpdateScripts: false,
		Setup: func(env *testscript.Env) error {
			cfg := server.Config{MaxBodyBytes: 1 << 10, MaxDeadline: time.Second}
			node := httptest.NewServer(server.New(cfg, cannedServices{}, cannedQueries{}, nil, tracing.Off()))
			env.Defer(node.Close)
			env.Setenv("URL", node.URL)
			for _, name := range []string{"PLATFORM", "CALLERS", "ADMIN", "PEERS"} {
				address, err := loopback.Reserve()
				if err != nil {
					return err
				}
				env.Setenv(name, address)
			}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"waitfor": waitFor},
	})
}

// maxWaitTries bounds the tries of waitFor; they are waitInterval apart.
const (
	maxWaitTries = 600
	waitInterval = 50 * time.Millisecond
)

// waitFor is the script command "waitfor PATTERN COMMAND...": it repeats a
// command until its output matches.
func waitFor(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: waitfor PATTERN COMMAND...")
	}
	pattern, err := regexp.Compile(args[0])
	ts.Check(err)
	for range maxWaitTries {
		if ts.Exec(args[1], args[2:]...) == nil && pattern.MatchString(ts.ReadFile("stdout")) {
			return
		}
		time.Sleep(waitInterval)
	}
	ts.Fatalf("no output of %v matched %q", args[1:], args[0])
}

// cannedServices has the services whole, half, mixed, broken and closed. cannedQueries
// answers them with all shards, one shard missing, items of two snapshots, an error,
// and all shards for callers with the token.
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
