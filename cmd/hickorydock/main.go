// Command hickorydock is a query tier over sharded services: one binary
// whose subcommands serve queries, manage release notes and run measurements.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"

	"github.com/integrii/flaggy"

	_ "github.com/hickorydock/hickorydock/internal/transport/hangup"
)

// runFunc runs a subcommand. Results go to out, messages to errOut.
// The context ends with SIGTERM or SIGINT.
type runFunc func(ctx context.Context, out, errOut io.Writer) error

// command is one subcommand.
type command struct {
	name    string
	summary string
	// examples are shown below the flags in the help.
	examples string
	// keepsOnHangup is true if SIGHUP asks the subcommand for something else than to end.
	keepsOnHangup bool
	// bind declares the flags and returns the function that reads them and runs the
	// subcommand.
	bind func(flags *flaggy.Subcommand) runFunc
}

// commands holds every subcommand in the order of the help.
var commands = []command{
	serveCommand,
	gatewayCommand,
	demoCommand,
	standinCommand,
	checkCommand,
	applyCommand,
	statusCommand,
	exportCommand,
	historyCommand,
	experimentCommand,
	queryCommand,
	loadCommand,
	versionCommand,
}

const overview = `A query tier over many shards: answers are consistent, and complete or marked as partial.

  Try it:       hickorydock demo
  Run a node:   hickorydock serve --config node.toml
  Shell:        hickorydock completion bash

Exit codes: 0 done, 1 failed, 2 wrong usage or settings, 3 conflict with another operator.
Results go to stdout, messages to stderr. Help for one subcommand: hickorydock SUBCOMMAND --help`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run parses the arguments and runs one subcommand. It returns the exit code.
// On --help and on wrong arguments the parser ends the process with 0 or 2.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	parser := flaggy.NewParser("hickorydock")
	parser.Description = overview
	parser.ShowVersionWithVersionFlag = false
	runFuncs := make(map[*flaggy.Subcommand]runFunc, len(commands))
	for _, c := range commands {
		sub := flaggy.NewSubcommand(c.name)
		sub.Description = c.summary
		sub.AdditionalHelpAppend = "\n" + c.examples
		runFuncs[sub] = c.bind(sub)
		if !c.keepsOnHangup {
			runFuncs[sub] = endOnHangup(runFuncs[sub])
		}
		parser.AttachSubcommand(sub, 1)
	}
	if name, ok := unknownCommand(args); ok {
		return reportError(usageError("unknown subcommand %q; see hickorydock --help", name), errOut)
	}
	if err := parser.ParseArgs(args); err != nil {
		return reportError(usageError("%v", err), errOut)
	}
	runSubcommand, ok := runFuncs[parser.TrailingSubcommand()]
	if !ok {
		parser.ShowHelp()
		return exitUsage
	}
	return reportError(runSubcommand(ctx, out, errOut), errOut)
}

// endOnHangup returns a function whose context also ends with SIGHUP, which package hangup
// makes the process ignore.
func endOnHangup(next runFunc) runFunc {
	return func(ctx context.Context, out, errOut io.Writer) error {
		ctx, stop := signal.NotifyContext(ctx, syscall.SIGHUP)
		defer stop()
		return next(ctx, out, errOut)
	}
}

// unknownCommand returns the first argument and true if it names no subcommand.
func unknownCommand(args []string) (string, bool) {
	if len(args) == 0 || strings.HasPrefix(args[0], "-") || args[0] == "completion" {
		return "", false
	}
	known := slices.ContainsFunc(commands, func(c command) bool { return c.name == args[0] })
	return args[0], !known
}

// reportError writes an error to errOut, if there is one, and returns its exit code.
func reportError(err error, errOut io.Writer) int {
	if err != nil {
		fmt.Fprintf(errOut, "hickorydock: %v\n", err)
	}
	return exitCode(err)
}
