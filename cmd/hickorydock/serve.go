package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"github.com/hickorydock/hickorydock/internal/protocol/settings"
)

var serveCommand = command{
	name:    "serve",
	summary: "Run a node until SIGTERM.",
	examples: `Settings come from a TOML file and from HICKORYDOCK_… variables, which go first.
Examples:
  hickorydock serve --config node.toml
  hickorydock serve --config node.toml --print-settings`,
	bind: bindServe,
}

// serveOptions are the flags of serve.
type serveOptions struct {
	config        string
	printSettings bool
}

func bindServe(flags *flaggy.Subcommand) runFunc {
	var opts serveOptions
	flags.String(&opts.config, "c", "config", "Settings file in TOML.")
	flags.Bool(&opts.printSettings, "", "print-settings", "Print the settings in force and exit.")
	return func(ctx context.Context, out, errOut io.Writer) error {
		return runServe(ctx, opts, out, errOut)
	}
}

func runServe(_ context.Context, opts serveOptions, out, _ io.Writer) error {
	s, err := loadSettings(opts.config)
	if err != nil {
		return err
	}
	if opts.printSettings {
		return s.Print(out)
	}
	return usageError("serve needs --print-settings")
}

// loadSettings reads a settings file and the environment. Without a file the
// defaults and the environment hold.
func loadSettings(file string) (settings.Settings, error) {
	if file == "" {
		return settings.Load("defaults", "", os.LookupEnv)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return settings.Settings{}, usageError("settings: %w", err)
	}
	s, err := settings.Load(file, string(text), os.LookupEnv)
	if err != nil {
		return settings.Settings{}, fmt.Errorf("settings are refused:\n%w", err)
	}
	return s, nil
}
