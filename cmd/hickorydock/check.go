package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/integrii/flaggy"

	"github.com/hickorydock/hickorydock/internal/coordination/reconcile"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/transport/operator"
)

var checkCommand = command{
	name:    "check",
	summary: "Check a release note and show its effect.",
	examples: `Every fault is reported with its file, line and field. With --platform the note is
compared with the current services; without it, a note of base 0 is compared with an
empty catalogue.
Examples:
  hickorydock check examples/first.toml
  hickorydock check note.toml --platform http://192.0.2.1:8500`,
	bind: bindCheck,
}

// checkOptions are the flags of check.
type checkOptions struct {
	file     string
	platform string
}

func bindCheck(flags *flaggy.Subcommand) runFunc {
	var opts checkOptions
	flags.AddPositionalValue(&opts.file, "note", 1, false, "File of the release note.")
	flags.String(&opts.platform, "p", "platform", "Base URL of the platform's object API.")
	return func(ctx context.Context, out, errOut io.Writer) error {
		return runCheck(ctx, opts, out, errOut)
	}
}

func runCheck(ctx context.Context, opts checkOptions, out, _ io.Writer) error {
	document, err := readNote(opts.file)
	if err != nil {
		return err
	}
	var current note.Catalogue
	if opts.platform != "" {
		client, err := connectPlatform(opts.platform)
		if err != nil {
			return err
		}
		stored, err := operator.ReadCatalogue(ctx, client)
		if err != nil {
			return err
		}
		current = stored.Catalogue
	} else if document.Note.Base != 0 {
		_, err := fmt.Fprintf(out, "%s is well formed; give --platform to compare it with revision %d\n", opts.file, document.Note.Base)
		return err
	}
	result, err := reconcile.Apply(current, document.Note, time.Now())
	if err != nil {
		return locateInvalidEntries(document, err)
	}
	return printEffect(out, document.Note.ID, result, "would come into force as revision")
}

// printEffect writes what a note changes.
func printEffect(out io.Writer, id string, result reconcile.Result, verb string) error {
	if result.Repeated {
		_, err := fmt.Fprintf(out, "note %s is in force already, since revision %d\n", id, result.Revision)
		return err
	}
	_, err := fmt.Fprintf(out, "note %s %s %d\n%s", id, verb, result.Revision, result.Diff)
	return err
}
