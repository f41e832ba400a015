package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/integrii/flaggy"
	"github.com/mattn/go-isatty"

	"github.com/hickorydock/hickorydock/internal/load"
	"github.com/hickorydock/hickorydock/internal/transport/client"
)

var loadCommand = command{
	name:    "load",
	summary: "Send open-loop load and check the answers.",
	examples: `Queries are due at the times of a Poisson process; latency counts from the due time.
The exit code is 1 when a query failed, was not sent or got an answer that violates a
guarantee. Requests rejected as not_run and partial answers are counted and do not fail the run.
Examples:
  hickorydock load --service licence-desk --rate 200 --for 10s
  hickorydock load --service a --service b --query '{"q":1}' --query '{"q":2}' --rate 50 --for 1m --json
  hickorydock load --service complaints --commands 0.2 --rate 20 --for 30s
  hickorydock load --service licence-desk --rate 500 --for 30s --html report.html`,
	bind: bindLoad,
}

// loadOptions are the flags of load.
type loadOptions struct {
	url         string
	services    []string
	queries     []string
	rate        float64
	runTime     time.Duration
	seed        uint64
	inFlight    int
	deadlineMS  int64
	minCoverage float64
	commands    float64
	standIn     bool
	json        bool
	html        string
}

// Defaults of load.
const (
	defaultInFlight  = 2000
	defaultQuery     = `{}`
	progressInterval = time.Second
)

func bindLoad(flags *flaggy.Subcommand) runFunc {
	opts := loadOptions{url: defaultURL, seed: defaultSeed, inFlight: defaultInFlight}
	flags.String(&opts.url, "u", "url", "Base URL of a node or of the load balancer.")
	flags.StringSlice(&opts.services, "s", "service", "Service to query; repeat for a mix. Required.")
	flags.StringSlice(&opts.queries, "q", "query", "Query as JSON; repeat for a mix. Without it {} is sent.")
	flags.Float64(&opts.rate, "r", "rate", "Mean queries per second. Required.")
	flags.Duration(&opts.runTime, "f", "for", "Length of the run, such as 10s. Required.")
	flags.UInt64(&opts.seed, "", "seed", "Seed of the arrival times and of the mix.")
	flags.Int(&opts.inFlight, "", "in-flight", "Maximum number of queries in flight; queries due above it count as unsent.")
	flags.Int64(&opts.deadlineMS, "d", "deadline-ms", "Deadline of each query in milliseconds; 0 uses the service's longest wait.")
	flags.Float64(&opts.minCoverage, "m", "min-coverage", "Minimum share of shards that an answer must cover, 0 to 1.")
	flags.Float64(&opts.commands, "", "commands", "Share of commands, 0 to 1; some are sent twice and must not run twice.")
	flags.Bool(&opts.standIn, "", "stand-in", "The leafs are stand-ins: also check each item's snapshot and shard.")
	flags.Bool(&opts.json, "", "json", "Print the report as one JSON object.")
	flags.String(&opts.html, "", "html", "Write the report to this file as an HTML page.")
	return func(ctx context.Context, out, errOut io.Writer) error {
		return runLoad(ctx, opts, out, errOut)
	}
}

// errRunFailed is returned for a run whose report is not OK.
var errRunFailed = errors.New("a query failed, was not sent or got an answer that violates a guarantee")

func runLoad(ctx context.Context, opts loadOptions, out, errOut io.Writer) error {
	c, err := client.New(client.Config{URL: opts.url, Token: os.Getenv(tokenVariable), MaxIdleConnections: opts.inFlight})
	if err != nil {
		return usageError("%w", err)
	}
	defer c.Close()
	runner, err := load.New(opts.config(), c)
	if err != nil {
		return usageError("%w", err)
	}
	stop := showProgress(runner, errOut)
	report := runner.Run(ctx)
	stop()
	if err := opts.write(report, out); err != nil {
		return err
	}
	if !report.OK() {
		return errRunFailed
	}
	return nil
}

func (o loadOptions) config() load.Config {
	queries := o.queries
	if len(queries) == 0 {
		queries = []string{defaultQuery}
	}
	cfg := load.Config{
		Services: o.services, Rate: o.rate, RunTime: o.runTime, Seed: o.seed, InFlightLimit: o.inFlight,
		DeadlineMS: o.deadlineMS, MinCoverage: o.minCoverage, CheckStandInItems: o.standIn,
		CommandShare: o.commands, KeyPrefix: "load-" + uuid.NewString(),
	}
	for _, q := range queries {
		cfg.Queries = append(cfg.Queries, json.RawMessage(q))
	}
	return cfg
}

func (o loadOptions) write(report load.Report, out io.Writer) error {
	if o.html != "" {
		if err := writeHTML(o.html, report); err != nil {
			return err
		}
	}
	if o.json {
		return json.NewEncoder(out).Encode(report)
	}
	return printLoadReport(report, out)
}

func writeHTML(file string, report load.Report) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if err := report.HTML(f); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

func printLoadReport(r load.Report, out io.Writer) error {
	_, err := fmt.Fprintf(out, "answered %d at %.1f/s, unsent %d, coverage %.2f %%, outcomes %v\n",
		r.All.Answered, r.Achieved, r.All.Unsent, 100*r.All.Coverage, r.All.Outcomes)
	for _, p := range r.All.Latency {
		fmt.Fprintf(out, "p%-5g %9.2f ms\n", 100*p.Quantile, p.MS)
	}
	fmt.Fprintf(out, "max    %9.2f ms, send delay p99 %.2f ms\n", r.All.MaxMS, r.SendDelayP99MS)
	for _, example := range append(r.Examples, r.Errors...) {
		fmt.Fprintln(out, example)
	}
	return err
}

// showProgress updates a progress line each second if errOut is a terminal. The
// returned function stops it.
func showProgress(runner *load.Runner, errOut io.Writer) (stop func()) {
	terminal, ok := errOut.(*os.File)
	if !ok || !isatty.IsTerminal(terminal.Fd()) {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				fmt.Fprintln(errOut)
				return
			case <-ticker.C:
				p := runner.Progress()
				fmt.Fprintf(errOut, "\ranswered %d, in flight %d, unsent %d, violations %d ", p.Answered, p.InFlight, p.Unsent, p.Violations)
			}
		}
	}()
	return func() { close(done) }
}
