package main

import (
	"context"
	"fmt"
	"io"

	"github.com/integrii/flaggy"

	"github.com/hickorydock/hickorydock/internal/transport/operator"
)

var exportCommand = command{
	name:    "export",
	summary: "Print the current services as a release note.",
	examples: `The note adds every service and has base 0, so that it can be kept in a repository or
applied to an empty platform.
Examples:
  hickorydock export --author me@example.org > services.toml`,
	bind: bindExport,
}

// exportOptions are the flags of export.
type exportOptions struct {
	platform string
	author   string
}

func bindExport(flags *flaggy.Subcommand) runFunc {
	opts := exportOptions{author: "export"}
	bindPlatform(flags, &opts.platform)
	flags.String(&opts.author, "a", "author", "Author of the note.")
	return func(ctx context.Context, out, errOut io.Writer) error {
		return runExport(ctx, opts, out, errOut)
	}
}

func runExport(ctx context.Context, opts exportOptions, out, _ io.Writer) error {
	client, err := connectPlatform(opts.platform)
	if err != nil {
		return err
	}
	exported, err := operator.Export(ctx, client, opts.author)
	if err != nil {
		return err
	}
	if len(exported.Added) == 0 {
		return fmt.Errorf("no service is in force")
	}
	text, err := exported.Format()
	if err != nil {
		return err
	}
	_, err = out.Write(text)
	return err
}
