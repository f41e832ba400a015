package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"

	"github.com/hickorydock/hickorydock/internal/transport/operator"
)

var statusCommand = command{
	name:    "status",
	summary: "Show the current services and which nodes are behind.",
	examples: `Examples:
  hickorydock status
  hickorydock status --json`,
	bind: bindStatus,
}

// statusOptions are the flags of status.
type statusOptions struct {
	platform string
	json     bool
}

func bindStatus(flags *flaggy.Subcommand) runFunc {
	var opts statusOptions
	bindPlatform(flags, &opts.platform)
	flags.Bool(&opts.json, "j", "json", "Print JSON for programs.")
	return func(ctx context.Context, out, errOut io.Writer) error {
		return runStatus(ctx, opts, out, errOut)
	}
}

func runStatus(ctx context.Context, opts statusOptions, out, _ io.Writer) error {
	client, err := connectPlatform(opts.platform)
	if err != nil {
		return err
	}
	report, err := operator.Status(ctx, client)
	if err != nil {
		return err
	}
	if opts.json {
		return printJSON(out, report)
	}
	return printStatus(out, report)
}

func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func printStatus(out io.Writer, report operator.Report) error {
	fmt.Fprintf(out, "revision %d, %d services, %d nodes, %d behind\n\n", report.Revision, len(report.Services), len(report.Nodes), len(report.Behind()))
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SERVICE\tUPSTREAM GROUP\tPOLICY\tMERGE\tMIN COVERAGE\tLONGEST WAIT")
	for _, s := range report.Services {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%v\t%s\n", s.Name, s.UpstreamGroup, s.Policy, s.Merge, s.MinCoverage, s.LongestWait())
	}
	fmt.Fprintln(table, "\nNODE\tAVAILABILITY ZONE\tREVISION\tREPORTED\tSTATE")
	for _, n := range report.Nodes {
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\n", n.Node, n.AvailabilityZone, n.Revision, formatReportTime(n.At), nodeState(n))
	}
	return table.Flush()
}

func formatReportTime(at time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return at.UTC().Format(time.RFC3339)
}

func nodeState(n operator.NodeReport) string {
	switch {
	case n.Behind:
		return "behind"
	case n.Live:
		return "current"
	default:
		return "gone"
	}
}
