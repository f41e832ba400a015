package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"github.com/hickorydock/hickorydock/internal/node"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/settings"
	client "github.com/hickorydock/hickorydock/internal/transport/platform"
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

func runServe(ctx context.Context, opts serveOptions, out, errOut io.Writer) error {
	s, err := loadSettings(opts.config)
	if err != nil {
		return err
	}
	if opts.printSettings {
		return s.Print(out)
	}
	n, err := node.New(node.Config{
		Settings: s,
		Logs:     errOut,
		Control:  node.PlatformControl(platformClient(s)),
	})
	if err != nil {
		return err
	}
	if err := n.Start(ctx); err != nil {
		return fmt.Errorf("start node: %w", err)
	}
	<-ctx.Done()
	// The stop limit in the settings bounds the stop; the ended ctx must not.
	return n.Stop(context.WithoutCancel(ctx))
}

// platformClient reaches the platform that the settings name.
func platformClient(s settings.Settings) platform.Client {
	return client.New(client.Config{BaseURL: s.Platform.URL, Timeout: s.Platform.Timeout()})
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
