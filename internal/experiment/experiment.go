// Package experiment measures nodes against stand-in upstreams and a stand-in
// platform on loopback. Each experiment is bounded in time and count, seeded, and
// prints its target and the figures of a baseline and of the policy under test,
// both from the same run.
package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// DefaultLimit bounds the duration of one experiment.
const DefaultLimit = 30 * time.Second

// Figure is one measured number.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// Check compares a figure with a bound that the target sets.
type Check struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	// Bound is the largest allowed value, or the smallest when AtLeast is true.
	Bound   float64 `json:"bound"`
	AtLeast bool    `json:"at_least,omitempty"`
	Pass    bool    `json:"pass"`
}

// AtMost checks that value does not exceed bound.
func AtMost(name string, value, bound float64) Check {
	return Check{Name: name, Value: value, Bound: bound, Pass: value <= bound}
}

// AtLeast checks that value does not fall below bound.
func AtLeast(name string, value, bound float64) Check {
	return Check{Name: name, Value: value, Bound: bound, AtLeast: true, Pass: value >= bound}
}

// Result is what an experiment prints, as one line of JSON.
type Result struct {
	Name     string   `json:"name"`
	Seed     uint64   `json:"seed"`
	Target   string   `json:"target"`
	Baseline []Figure `json:"baseline,omitempty"`
	Policy   []Figure `json:"policy"`
	Checks   []Check  `json:"checks"`
	Pass     bool     `json:"pass"`
	Seconds  float64  `json:"seconds"`
	// Plot shows the figures; nil unless Experiment.HasPlot is true.
	Plot *Plot `json:"-"`
}

// Experiment is a named measurement.
type Experiment struct {
	Name    string
	Summary string
	Target  string
	// Limit bounds the duration; 0 means DefaultLimit.
	Limit time.Duration
	// Run fills in Baseline, Policy and Checks.
	Run func(ctx context.Context, seed uint64) (Result, error)
	// HasPlot reports whether Run also fills in Plot.
	HasPlot bool
}

// All lists the experiments in the order in which they run.
func All() []Experiment {
	return []Experiment{
		tailExperiment,
		hedgeCurveExperiment,
		commandsExperiment,
		commandsOutageExperiment,
		storeOutageExperiment,
		rollingExperiment,
		slowExperiment,
		versionsExperiment,
		coverageExperiment,
		cancelExperiment,
		cancelCostExperiment,
		platformReturnExperiment,
		ownershipExperiment,
		sharesExperiment,
		slopesExperiment,
		connectionsExperiment,
		overloadExperiment,
		crashExperiment,
		zoneLossExperiment,
		membershipExperiment,
		drainExperiment,
		configExperiment,
		outageKindsExperiment,
		controlSizeExperiment,
		soakExperiment,
	}
}

// Find returns the experiment with a name.
func Find(name string) (Experiment, bool) {
	for _, e := range All() {
		if e.Name == name {
			return e, true
		}
	}
	return Experiment{}, false
}

// Execute runs an experiment within its limit and evaluates its checks.
func Execute(ctx context.Context, e Experiment, seed uint64) (Result, error) {
	limit := e.Limit
	if limit == 0 {
		limit = DefaultLimit
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	start := time.Now()
	result, err := e.Run(ctx, seed)
	if err != nil {
		return result, fmt.Errorf("experiment %s: %w", e.Name, err)
	}
	result.Name = e.Name
	result.Seed = seed
	result.Target = e.Target
	result.Seconds = time.Since(start).Seconds()
	result.Pass = len(result.Checks) > 0
	for _, c := range result.Checks {
		result.Pass = result.Pass && c.Pass
	}
	return result, nil
}

// Print writes a result as one line of JSON.
func Print(w io.Writer, r Result) error {
	return json.NewEncoder(w).Encode(r)
}
