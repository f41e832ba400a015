package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"github.com/hickorydock/hickorydock/internal/experiment"
)

var experimentCommand = command{
	name:    "experiment",
	summary: "Measure nodes against stand-ins on loopback.",
	examples: `Each experiment takes at most 30 s, unless --for sets another time, and prints one line of JSON with the
measurements of a baseline and of the policy, its target and "pass". The exit code is 1 when a check fails.
Examples:
  hickorydock experiment --list
  hickorydock experiment tail --seed 7
  hickorydock experiment slopes --markdown
  hickorydock experiment soak --for 60s --seed 7
  hickorydock experiment hedge-curve --svg curve.svg
  hickorydock experiment --all`,
	bind: bindExperiment,
}

// experimentOptions are the flags of experiment.
type experimentOptions struct {
	name     string
	list     bool
	all      bool
	seed     uint64
	markdown bool
	duration time.Duration
	svg      string
}

// defaultSeed is the seed of experiments when none is given.
const defaultSeed = 1

func bindExperiment(flags *flaggy.Subcommand) runFunc {
	opts := experimentOptions{seed: defaultSeed}
	flags.AddPositionalValue(&opts.name, "name", 1, false, "Name of the experiment; see --list.")
	flags.Bool(&opts.list, "l", "list", "List the experiments and exit.")
	flags.Bool(&opts.all, "a", "all", "Run every experiment.")
	flags.UInt64(&opts.seed, "s", "seed", "Seed of all random numbers.")
	flags.Bool(&opts.markdown, "m", "markdown", "With slopes: print docs/CAPACITY.md.")
	flags.Duration(&opts.duration, "", "for", "With soak: how long to send load, at least 15s.")
	flags.String(&opts.svg, "", "svg", "With an experiment that has a plot: SVG file to write the plot to.")
	return func(ctx context.Context, out, errOut io.Writer) error {
		return runExperiment(ctx, opts, out, errOut)
	}
}

// errTargetMissed is returned when an experiment ran but missed its target.
var errTargetMissed = errors.New("target missed")

func runExperiment(ctx context.Context, opts experimentOptions, out, errOut io.Writer) error {
	switch {
	case opts.svg != "":
		return plotExperiment(ctx, opts, out)
	case opts.list:
		return listExperiments(out)
	case opts.all:
		return runExperiments(ctx, experiment.All(), opts.seed, out)
	case opts.markdown:
		return printCapacity(ctx, opts.name, out)
	case opts.duration != 0:
		return runSoak(ctx, opts, out)
	}
	e, ok := experiment.Find(opts.name)
	if !ok {
		return usageError("no experiment %q; see hickorydock experiment --list", opts.name)
	}
	return runExperiments(ctx, []experiment.Experiment{e}, opts.seed, out)
}

// runSoak runs the experiment soak for the requested time.
func runSoak(ctx context.Context, opts experimentOptions, out io.Writer) error {
	if opts.name != "soak" || opts.duration < experiment.MinSoakDuration {
		return usageError("--for goes with the experiment soak and is at least %s", experiment.MinSoakDuration)
	}
	return runExperiments(ctx, []experiment.Experiment{experiment.Soak(opts.duration)}, opts.seed, out)
}

// plotExperiment runs an experiment and writes its plot to a file, even if it misses
// its target.
func plotExperiment(ctx context.Context, opts experimentOptions, out io.Writer) error {
	e, ok := experiment.Find(opts.name)
	if !ok || !e.HasPlot || opts.all || opts.list || opts.markdown {
		return usageError("--svg goes with the name of an experiment that has a plot, such as hedge-curve")
	}
	result, err := experiment.Execute(ctx, e, opts.seed)
	if err != nil {
		return err
	}
	if err := writePlot(opts.svg, result.Plot); err != nil {
		return err
	}
	if err := experiment.Print(out, result); err != nil {
		return err
	}
	if !result.Pass {
		return fmt.Errorf("experiment %s: %w", e.Name, errTargetMissed)
	}
	return nil
}

func writePlot(path string, plot *experiment.Plot) error {
	var svg bytes.Buffer
	if err := plot.WriteSVG(&svg); err != nil {
		return err
	}
	return os.WriteFile(path, svg.Bytes(), 0o644)
}

// printCapacity measures the slopes and prints docs/CAPACITY.md.
func printCapacity(ctx context.Context, name string, out io.Writer) error {
	if name != "slopes" {
		return usageError("--markdown goes with the experiment slopes")
	}
	ctx, cancel := context.WithTimeout(ctx, experiment.DefaultLimit)
	defer cancel()
	slopes, err := experiment.MeasureSlopes(ctx)
	if err != nil {
		return err
	}
	return experiment.RenderCapacity(out, slopes)
}

func listExperiments(out io.Writer) error {
	for _, e := range experiment.All() {
		if _, err := fmt.Fprintf(out, "%-16s %s\n%-16s target: %s\n", e.Name, e.Summary, "", e.Target); err != nil {
			return err
		}
	}
	return nil
}

func runExperiments(ctx context.Context, experiments []experiment.Experiment, seed uint64, out io.Writer) error {
	var failures error
	for _, e := range experiments {
		result, err := experiment.Execute(ctx, e, seed)
		if err != nil {
			return err
		}
		if err := experiment.Print(out, result); err != nil {
			return err
		}
		if !result.Pass {
			failures = errors.Join(failures, fmt.Errorf("experiment %s: %w", e.Name, errTargetMissed))
		}
	}
	return failures
}
