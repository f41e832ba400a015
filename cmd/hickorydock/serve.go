package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/hickorydock/hickorydock/internal/node"
	"github.com/hickorydock/hickorydock/internal/protocol/settings"
	"github.com/hickorydock/hickorydock/internal/transport/ingress"
)

var serveCommand = command{
	name:    "serve",
	summary: "Run a node until SIGTERM.",
	examples: `Settings come from a TOML file and from HICKORYDOCK_… variables, which take precedence.
SIGTERM stops the node after the requests in progress; SIGHUP reloads the certificates.
Examples:
  hickorydock serve --config node.toml
  hickorydock serve --config node.toml --print-settings`,
	keepsOnHangup: true,
	bind:          bindServe,
}

// serveOptions are the flags of serve.
type serveOptions struct {
	config        string
	printSettings bool
}

func bindServe(flags *flaggy.Subcommand) runFunc {
	var opts serveOptions
	flags.String(&opts.config, "c", "config", "Settings file in TOML.")
	flags.Bool(&opts.printSettings, "", "print-settings", "Print the effective settings and exit.")
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
	plan, err := ingress.PlanOf(s)
	if err != nil {
		return err
	}
	ingress.BoundHeap(plan)
	n, err := node.New(node.Config{
		Settings: s,
		Logs:     errOut,
		Control:  node.PlatformControlFromSettings(),
	})
	if err != nil {
		return err
	}
	if err := n.Start(ctx); err != nil {
		return fmt.Errorf("start node: %w", err)
	}
	reloadOnHangup(ctx, n, opts)
	// The stop is bounded by the limit in the settings and by a second signal, not by
	// ctx, which the first signal has cancelled already.
	stopCtx, cancel := signal.NotifyContext(context.WithoutCancel(ctx), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	return n.Stop(stopCtx)
}

// reloadOnHangup reloads the TLS settings on each SIGHUP until ctx ends.
func reloadOnHangup(ctx context.Context, n *node.Node, opts serveOptions) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			s, err := loadSettings(opts.config)
			if err == nil {
				err = n.ReloadTLS(s.TLS)
			}
			if err != nil {
				n.Logger().WithField("error", err.Error()).Error("could not reload the certificates")
				continue
			}
			n.Logger().Info("certificates reloaded")
		}
	}
}

// loadSettings reads a settings file and the environment. Without a file the
// defaults and the environment apply.
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
