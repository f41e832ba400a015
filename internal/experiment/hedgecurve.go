package experiment

import (
	"context"
	"fmt"

	"golang.org/x/sync/errgroup"
)

var hedgeCurveExperiment = Experiment{
	Name:    "hedge-curve",
	Summary: "tail with 10 shards and 4 times the service time, p99 and extra load over the hedge share, 2,000 queries a point",
	Target:  "p99 at a share of 0.05 at most 0.25 of that at 0; extra load exceeds each share by at most 100 accumulated tokens",
	Run:     runHedgeCurve,
	HasPlot: true,
}

// hedgeCurveShares are the points of the curve. The first is the baseline.
var hedgeCurveShares = []float64{0, 0.01, 0.02, 0.05, 0.1}

const (
	// hedgeCurveSlowdown multiplies the service times of the experiment tail. All
	// points run concurrently, so that other load on the machine affects them
	// equally, and short waits for a CPU change little.
	hedgeCurveSlowdown = 4
	hedgeCurveShards   = 10
	hedgeCurveRate     = tailRate / hedgeCurveSlowdown
	// hedgeCurveQueries keeps the points within DefaultLimit.
	hedgeCurveQueries = 2000
	hedgeCurveWarmup  = 200
	// hedgeCurveDefaultShare is the default share, to which the bound on p99 applies.
	hedgeCurveDefaultShare = 0.05
	// hedgeCurveMaxTokens is the maximum number of tokens that the budget accumulates.
	hedgeCurveMaxTokens = 100.0
)

// hedgePoint is one point of the curve.
type hedgePoint struct {
	share float64
	measurement
}

func (p hedgePoint) p99MS() float64 { return p.tally.quantileMS(0.99) }

func runHedgeCurve(ctx context.Context, seed uint64) (Result, error) {
	points := make([]hedgePoint, len(hedgeCurveShares))
	group, ctx := errgroup.WithContext(ctx)
	for i, share := range hedgeCurveShares {
		group.Go(func() error {
			m, err := hedgeCurvePoint(ctx, seed, share)
			points[i] = hedgePoint{share, m}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return Result{}, err
	}
	return Result{
		Baseline: points[0].figures(),
		Policy:   hedgeCurveFigures(points),
		Checks:   hedgeCurveChecks(points),
		Plot:     hedgeCurvePlot(points),
	}, nil
}

// hedgeCurvePoint measures one hedge share. Answers wait for every shard, so that
// stragglers affect the latency and not the coverage.
func hedgeCurvePoint(ctx context.Context, seed uint64, share float64) (measurement, error) {
	service := tailServiceTime
	service.Median *= hedgeCurveSlowdown
	options := tailRigOptions(seed, share, service)
	options.service.MinCoverage = 1
	options.shards = hedgeCurveShards
	r, err := newRig(ctx, options)
	if err != nil {
		return measurement{}, err
	}
	defer r.close()
	return r.measure(ctx, hedgeCurveRate, hedgeCurveWarmup, hedgeCurveQueries)
}

func hedgeCurveFigures(points []hedgePoint) []Figure {
	var figures []Figure
	for _, p := range points {
		figures = append(figures,
			Figure{fmt.Sprintf("share_%g_p50_ms", p.share), p.tally.quantileMS(0.5)},
			Figure{fmt.Sprintf("share_%g_p99_ms", p.share), p.p99MS()},
			Figure{fmt.Sprintf("share_%g_extra_load", p.share), p.extraLoad},
		)
	}
	return figures
}

func hedgeCurveChecks(points []hedgePoint) []Check {
	baseline := points[0].p99MS()
	above, violations, incomplete := points[0].extraLoad, int64(0), 0
	var checks []Check
	for _, p := range points {
		above = max(above, p.extraLoad-p.share)
		violations += p.violations
		incomplete += hedgeCurveQueries - p.tally.complete
		if p.share == hedgeCurveDefaultShare {
			checks = append(checks, AtMost("p99_over_no_hedges", p.p99MS()/baseline, 0.25))
		}
	}
	return append(checks,
		AtMost("extra_load_above_share", above, hedgeCurveMaxTokens/(hedgeCurveQueries*hedgeCurveShards)),
		AtMost("violations", float64(violations), 0),
		AtMost("incomplete", float64(incomplete), 0),
	)
}

func hedgeCurvePlot(points []hedgePoint) *Plot {
	latency := Panel{YLabel: "p99 of queries (ms)"}
	extra := Panel{YLabel: "extra load on leafs (%)"}
	for _, p := range points {
		latency.Points = append(latency.Points, Point{100 * p.share, p.p99MS()})
		extra.Points = append(extra.Points, Point{100 * p.share, 100 * p.extraLoad})
	}
	return &Plot{
		Title:  "Hedge share under 1 % stragglers",
		XLabel: "hedge share (% of first subrequests)",
		Panels: []Panel{latency, extra},
	}
}
