package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"github.com/hickorydock/hickorydock/examples"
	"github.com/hickorydock/hickorydock/internal/experiment"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
)

var demoCommand = command{
	name:    "demo",
	summary: "Run the whole system on loopback with stand-in upstreams.",
	examples: `One process runs a stand-in platform, 12 stand-in leafs and three nodes. It applies
examples/first.toml, prints a URL and a curl line and serves until SIGTERM.
Examples:
  hickorydock demo
  hickorydock demo --queries 1000`,
	bind: bindDemo,
}

// demoOptions are the flags of demo.
type demoOptions struct {
	queries int
	logs    bool
}

func bindDemo(flags *flaggy.Subcommand) runFunc {
	var opts demoOptions
	flags.Int(&opts.queries, "q", "queries", "Send this many queries, print one line of JSON and exit.")
	flags.Bool(&opts.logs, "", "logs", "Write the nodes' log lines to standard error.")
	return func(ctx context.Context, out, errOut io.Writer) error {
		return runDemo(ctx, opts, out, errOut)
	}
}

// errDemoFaulty is returned when a query of the demo failed or its answer mixed
// items of several snapshots.
var errDemoFaulty = errors.New("a query failed or an answer mixed items of several snapshots")

func runDemo(ctx context.Context, opts demoOptions, out, errOut io.Writer) error {
	if opts.queries < 0 {
		return usageError("--queries must not be negative")
	}
	firstNote, faults := note.Parse("examples/first.toml", examples.FirstNote)
	if len(faults) > 0 {
		return faults
	}
	logs := io.Discard
	if opts.logs {
		logs = errOut
	}
	demo, err := experiment.StartDemo(ctx, firstNote, logs)
	if err != nil {
		return fmt.Errorf("start demo: %w", err)
	}
	defer demo.Stop(context.WithoutCancel(ctx))
	if opts.queries > 0 {
		return sendDemoQueries(ctx, demo, opts.queries, out)
	}
	printEndpoints(demo, errOut)
	<-ctx.Done()
	return nil
}

func sendDemoQueries(ctx context.Context, demo *experiment.Demo, count int, out io.Writer) error {
	summary, err := demo.Query(ctx, count)
	if err != nil {
		return err
	}
	if err := summary.Print(out); err != nil {
		return err
	}
	if summary.Faulty() {
		return errDemoFaulty
	}
	return nil
}

// printEndpoints prints the URLs of the demo, its process and a sample request.
func printEndpoints(demo *experiment.Demo, w io.Writer) {
	fmt.Fprintf(w, "callers:   %v\noperators: %v\nplatform:  %s\n", demo.URLs(), demo.AdminURLs(), demo.PlatformURL())
	fmt.Fprintf(w, "process:   %d, stops on SIGTERM or Ctrl-C\n\n", os.Getpid())
	fmt.Fprintf(w, "curl -s -d '{\"query\":{\"text\":\"ring\"}}' %s/v1/services/licence-desk/query\n", demo.URLs()[0])
}
