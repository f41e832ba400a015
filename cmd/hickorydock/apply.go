package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/integrii/flaggy"

	"github.com/hickorydock/hickorydock/internal/transport/operator"
)

var applyCommand = command{
	name:    "apply",
	summary: "Apply a release note, all of it or nothing.",
	examples: `Applying a note twice changes nothing. After a lost reply the outcome is read back from
the platform; if it stays unknown, apply the same note again.
Examples:
  hickorydock apply note.toml --dry-run
  hickorydock apply note.toml --wait 10s`,
	bind: bindApply,
}

// applyOptions are the flags of apply.
type applyOptions struct {
	file     string
	platform string
	dryRun   bool
	// wait is the longest time to wait until every live node has applied the note.
	wait time.Duration
}

func bindApply(flags *flaggy.Subcommand) runFunc {
	var opts applyOptions
	flags.AddPositionalValue(&opts.file, "note", 1, false, "File of the release note.")
	bindPlatform(flags, &opts.platform)
	flags.Bool(&opts.dryRun, "n", "dry-run", "Show the effect and write nothing.")
	flags.Duration(&opts.wait, "w", "wait", "Wait at most this long until every live node has applied it, such as 10s.")
	return func(ctx context.Context, out, errOut io.Writer) error {
		return runApply(ctx, opts, out, errOut)
	}
}

func runApply(ctx context.Context, opts applyOptions, out, _ io.Writer) error {
	if opts.wait < 0 {
		return usageError("--wait %s is negative", opts.wait)
	}
	document, err := readNote(opts.file)
	if err != nil {
		return err
	}
	client, err := connectPlatform(opts.platform)
	if err != nil {
		return err
	}
	result, err := operator.Apply(ctx, client, document.Note, operator.Options{DryRun: opts.dryRun})
	if err != nil {
		return locateInvalidEntries(document, err)
	}
	verb := "is stored as revision"
	if opts.dryRun {
		verb = "would come into force as revision"
	}
	if err := printEffect(out, document.Note.ID, result, verb); err != nil {
		return err
	}
	if opts.dryRun || opts.wait == 0 {
		return nil
	}
	waitCtx, cancel := context.WithTimeout(ctx, opts.wait)
	defer cancel()
	if err := operator.WaitForRevision(waitCtx, client, result.Revision); err != nil {
		return fmt.Errorf("note %s is stored, but not reported by every live node: %w", document.Note.ID, err)
	}
	_, err = fmt.Fprintf(out, "revision %d is in force on every live node\n", result.Revision)
	return err
}
