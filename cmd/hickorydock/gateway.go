package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"github.com/hickorydock/hickorydock/internal/node/gateway"
)

var gatewayCommand = command{
	name:    "gateway",
	summary: "Pass callers' requests on by a routing table until SIGTERM.",
	examples: `The platform that holds the routing table is chosen by forward.adapter.
Settings come from a TOML file; they are checked again on SIGHUP and when the file changes.
Examples:
  hickorydock gateway --config gateway.toml
  hickorydock gateway --config gateway.toml --print-settings`,
	bind: bindGateway,
}

func bindGateway(flags *flaggy.Subcommand) runFunc {
	var opts serveOptions
	flags.String(&opts.config, "c", "config", "Settings file in TOML.")
	flags.Bool(&opts.printSettings, "", "print-settings", "Print the settings in force and exit.")
	return func(ctx context.Context, out, _ io.Writer) error { return runGateway(ctx, opts, out) }
}

// runGateway writes the log to out, since the process has no other output.
func runGateway(ctx context.Context, opts serveOptions, out io.Writer) error {
	// Without a receiver SIGHUP ends the process, also while it starts or stops.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	s, err := loadSettings(opts.config)
	if err != nil {
		return err
	}
	if opts.printSettings {
		return s.Print(out)
	}
	g, err := gateway.New(gateway.Config{Settings: s, Logs: out})
	if err != nil {
		return err
	}
	if err := g.Start(ctx); err != nil {
		return fmt.Errorf("start gateway: %w", err)
	}
	followSettings(ctx, g, opts.config, hangup)
	return g.Stop(context.WithoutCancel(ctx))
}

// settingsLook is the time between two looks at the settings file, which may
// change without a signal.
const settingsLook = 2 * time.Second

// followSettings checks the settings file again when it changes, and with each
// hangup, until ctx ends.
func followSettings(ctx context.Context, g *gateway.Gateway, file string, hangup <-chan os.Signal) {
	look := time.NewTicker(settingsLook)
	defer look.Stop()
	last, _ := os.ReadFile(file) // it was read at the start
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			last = reloadSettings(g, file, last, "signal")
		case <-look.C:
			last = reloadSettings(g, file, last, "")
		}
	}
}

// reloadSettings takes over a settings file that changed, or with a cause in any
// case, and returns its text.
func reloadSettings(g *gateway.Gateway, file string, last []byte, cause string) []byte {
	text, err := os.ReadFile(file)
	if err != nil {
		g.Logger().WithField("file", file).WithError(err).Error("reload refused")
		return last
	}
	changed := !bytes.Equal(text, last)
	if !changed && cause == "" {
		return last
	}
	if _, err := loadSettings(file); err != nil {
		g.Logger().WithField("file", file).WithError(err).Error("reload refused")
		return text
	}
	g.Logger().WithField("changed", changed).Info("settings checked, in force from the next start")
	return text
}
