package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/transport/client"
)

// Default URL of query and load, and the environment variable with their token.
const (
	defaultURL    = "http://127.0.0.1:8080"
	tokenVariable = "HICKORYDOCK_TOKEN"
)

var queryCommand = command{
	name:    "query",
	summary: "Send one query and print its items.",
	examples: `Items go to stdout, one per line; outcome, coverage and snapshot go to stderr as one line.
A partial answer exits with 0. The bearer token is read from HICKORYDOCK_TOKEN.
Examples:
  hickorydock query licence-desk '{"name":"Ash"}'
  hickorydock query licence-desk '{"name":"Ash"}' --deadline-ms 200 --min-coverage 0.9
  hickorydock query licence-desk '{"name":"Ash"}' --json`,
	bind: bindQuery,
}

// queryOptions are the flags of query.
type queryOptions struct {
	service     string
	query       string
	url         string
	deadlineMS  int64
	minCoverage float64
	priority    string
	json        bool
}

func bindQuery(flags *flaggy.Subcommand) runFunc {
	opts := queryOptions{url: defaultURL}
	flags.AddPositionalValue(&opts.service, "service", 1, true, "Name of the service.")
	flags.AddPositionalValue(&opts.query, "query", 2, true, "The query, a JSON value.")
	flags.String(&opts.url, "u", "url", "Base URL of a node or of the load balancer.")
	flags.Int64(&opts.deadlineMS, "d", "deadline-ms", "Deadline in milliseconds; 0 uses the service's longest wait.")
	flags.Float64(&opts.minCoverage, "m", "min-coverage", "Minimum share of shards that the answer must cover, 0 to 1.")
	flags.String(&opts.priority, "p", "priority", "high, normal or low.")
	flags.Bool(&opts.json, "", "json", "Print the whole answer as one JSON object.")
	return func(ctx context.Context, out, errOut io.Writer) error {
		return runQuery(ctx, opts, out, errOut)
	}
}

func runQuery(ctx context.Context, opts queryOptions, out, errOut io.Writer) error {
	if !json.Valid([]byte(opts.query)) {
		return usageError("query %q is not JSON", opts.query)
	}
	c, err := client.New(client.Config{URL: opts.url, Token: os.Getenv(tokenVariable)})
	if err != nil {
		return usageError("%w", err)
	}
	defer c.Close()
	answer, err := c.Query(ctx, opts.service, query.Request{
		Query:       json.RawMessage(opts.query),
		DeadlineMS:  opts.deadlineMS,
		MinCoverage: opts.minCoverage,
		Priority:    query.Priority(opts.priority),
	})
	if err != nil {
		return err
	}
	if err := printAnswer(answer, opts.json, out, errOut); err != nil {
		return err
	}
	if answer.Outcome != query.Done && answer.Outcome != query.Partial {
		return fmt.Errorf("the outcome of the query is %q", answer.Outcome)
	}
	return nil
}

func printAnswer(a query.Answer, asJSON bool, out, errOut io.Writer) error {
	if asJSON {
		return json.NewEncoder(out).Encode(a)
	}
	for _, item := range a.Items {
		if _, err := fmt.Fprintf(out, "%s\n", item); err != nil {
			return err
		}
	}
	if a.Value != nil {
		if _, err := fmt.Fprintf(out, "%v\n", *a.Value); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(errOut, coverageLine(a))
	return err
}

// coverageLine summarises an answer in one line of text.
func coverageLine(a query.Answer) string {
	line := fmt.Sprintf("%s: %d of %d shards (%.1f %%), snapshot %s",
		a.Outcome, a.Coverage.Covered, a.Coverage.Total, 100*a.Coverage.Share(), a.Snapshot)
	for _, m := range a.Coverage.Missing {
		line += fmt.Sprintf(", missing %d: %s", m.Shard, m.Reason)
	}
	return line
}
