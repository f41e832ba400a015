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
	"github.com/hickorydock/hickorydock/internal/transport/ingress"
)

var gatewayCommand = command{
	name:    "gateway",
	summary: "Forward callers' requests by a routing table until SIGTERM.",
	examples: `The setting forward.adapter selects the platform that holds the routing table.
Settings come from a TOML file; they are checked again on SIGHUP and when the file changes.
Examples:
  hickorydock gateway --config gateway.toml
  hickorydock gateway --config gateway.toml --print-settings`,
	keepsOnHangup: true,
	bind:          bindGateway,
}

func bindGateway(flags *flaggy.Subcommand) runFunc {
	var opts serveOptions
	flags.String(&opts.config, "c", "config", "Settings file in TOML.")
	flags.Bool(&opts.printSettings, "", "print-settings", "Print the effective settings and exit.")
	return func(ctx context.Context, out, _ io.Writer) error { return runGateway(ctx, opts, out) }
}

// runGateway writes the log to out, since the process has no other output.
func runGateway(ctx context.Context, opts serveOptions, out io.Writer) error {
	// A SIGHUP that comes while the gateway starts or stops is read later or never.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
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
	g, err := gateway.New(gateway.Config{Settings: s, Logs: out})
	if err != nil {
		return err
	}
	if err := g.Start(ctx); err != nil {
		return fmt.Errorf("start gateway: %w", err)
	}
	watchSettings(ctx, g, opts.config, hangup)
	return g.Stop(context.WithoutCancel(ctx))
}

// settingsPollInterval is the interval at which the settings file is read, since it
// may change without a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings checks the settings file again when it changes, and on each
// SIGHUP, until ctx ends.
func watchSettings(ctx context.Context, g *gateway.Gateway, file string, hangup <-chan os.Signal) {
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	lastText, _ := os.ReadFile(file) // loadSettings has checked it at the start
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			lastText = recheckSettings(g, file, lastText, "signal")
		case <-poll.C:
			lastText = recheckSettings(g, file, lastText, "")
		}
	}
}

// recheckSettings checks the settings file if its text differs from lastText, or in
// any case if cause is set. It logs the result and returns the text that it read, or
// lastText if the file can't be read.
func recheckSettings(g *gateway.Gateway, file string, lastText []byte, cause string) []byte {
	text, err := os.ReadFile(file)
	if err != nil {
		g.Logger().WithField("file", file).WithError(err).Error("could not read the settings file")
		return lastText
	}
	changed := !bytes.Equal(text, lastText)
	if !changed && cause == "" {
		return lastText
	}
	if _, err := loadSettings(file); err != nil {
		g.Logger().WithField("file", file).WithError(err).Error("settings rejected")
		return text
	}
	g.Logger().WithField("changed", changed).Info("settings are valid and take effect at the next start")
	return text
}
