package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"

	"github.com/hickorydock/hickorydock/internal/transport/operator"
)

var historyCommand = command{
	name:    "history",
	summary: "List the release notes that were applied, oldest first.",
	examples: `Examples:
  hickorydock history
  hickorydock history --json`,
	bind: bindHistory,
}

// historyOptions are the flags of history.
type historyOptions struct {
	platform string
	json     bool
}

func bindHistory(flags *flaggy.Subcommand) runFunc {
	var opts historyOptions
	bindPlatform(flags, &opts.platform)
	flags.Bool(&opts.json, "j", "json", "Print JSON for programs.")
	return func(ctx context.Context, out, errOut io.Writer) error {
		return runHistory(ctx, opts, out, errOut)
	}
}

func runHistory(ctx context.Context, opts historyOptions, out, _ io.Writer) error {
	client, err := connectPlatform(opts.platform)
	if err != nil {
		return err
	}
	history, err := operator.History(ctx, client)
	if err != nil {
		return err
	}
	if opts.json {
		return printJSON(out, history)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "REVISION\tAPPLIED\tAUTHOR\tNOTE\tSERVICES")
	for _, a := range history {
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\n", a.Revision, a.At.Format(time.RFC3339), a.Author, a.ID, strings.Join(a.Services, ", "))
	}
	return table.Flush()
}
