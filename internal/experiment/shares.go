package experiment

import (
	"context"
	"fmt"
)

var sharesExperiment = Experiment{
	Name:    "shares",
	Summary: "4, 12 and 25 senders share a leaf of 2 slots in virtual time; one of them uses all slots at first and leaves halfway",
	Target:  "Jain's index at least 0.95 within 2 s of the start and 2 s after one left, no subrequest shed, at least half of the slots busy",
	Run:     runShares,
}

const (
	sharesSlots = 2
	// sharesQueue is the length of the leaf's queue; with 25 connections at most 23
	// subrequests can wait.
	sharesQueue = 16
	// sharesSeeds is the number of runs of each scenario; the worst one counts.
	sharesSeeds = 20
)

// sharesSenders are the numbers of senders.
var sharesSenders = []int{4, 12, 25}

// worstShares runs a scenario with several seeds and returns the worst value of each
// figure.
func worstShares(ctx context.Context, s sharesScenario, seed uint64) (sharesReport, error) {
	worst := sharesReport{windowIndex: 1, rateIndex: 1, lateIndex: 1, utilisation: 1, lateUtilisation: 1}
	for i := range uint64(sharesSeeds) {
		s.seed = seed*sharesSeeds + i
		r := simulateShares(s)
		worst.windowIndex = min(worst.windowIndex, r.windowIndex)
		worst.rateIndex = min(worst.rateIndex, r.rateIndex)
		worst.lateIndex = min(worst.lateIndex, r.lateIndex)
		worst.utilisation = min(worst.utilisation, r.utilisation)
		worst.lateUtilisation = min(worst.lateUtilisation, r.lateUtilisation)
		worst.shed += r.shed
		worst.queuePeak = max(worst.queuePeak, r.queuePeak)
	}
	return worst, ctx.Err()
}

func (r sharesReport) figures(prefix string) []Figure {
	return []Figure{
		{prefix + "window_index", r.windowIndex},
		{prefix + "rate_index", r.rateIndex},
		{prefix + "late_rate_index", r.lateIndex},
		{prefix + "use", r.utilisation},
		{prefix + "late_use", r.lateUtilisation},
		{prefix + "shed", float64(r.shed)},
		{prefix + "queue_peak", float64(r.queuePeak)},
	}
}

func (r sharesReport) checks(prefix string) []Check {
	return []Check{
		AtLeast(prefix+"window_index", r.windowIndex, 0.95),
		AtLeast(prefix+"rate_index", r.rateIndex, 0.95),
		AtLeast(prefix+"late_rate_index", r.lateIndex, 0.95),
		AtLeast(prefix+"use", r.utilisation, 0.5),
		AtLeast(prefix+"late_use", r.lateUtilisation, 0.5),
		AtMost(prefix+"shed", float64(r.shed), 0),
	}
}

func runShares(ctx context.Context, seed uint64) (Result, error) {
	var result Result
	for _, n := range sharesSenders {
		s := sharesScenario{senders: n, slots: sharesSlots, queue: sharesQueue, assumedSenders: n}
		r, err := worstShares(ctx, s, seed)
		if err != nil {
			return result, err
		}
		prefix := fmt.Sprintf("senders_%d_", n)
		result.Policy = append(result.Policy, r.figures(prefix)...)
		result.Checks = append(result.Checks, r.checks(prefix)...)
		if err := sharesVariants(ctx, &result, s, seed); err != nil {
			return result, err
		}
	}
	return result, nil
}

// sharesVariants adds figures without a target: with a shorter queue, and with
// senders that assume a wrong number of senders.
func sharesVariants(ctx context.Context, result *Result, s sharesScenario, seed uint64) error {
	short, half, double := s, s, s
	short.queue = sharesQueue / 2
	half.assumedSenders = s.senders / 2
	double.assumedSenders = 2 * s.senders
	for _, v := range []struct {
		name string
		s    sharesScenario
	}{{"queue_8", short}, {"believe_half", half}, {"believe_double", double}} {
		r, err := worstShares(ctx, v.s, seed)
		if err != nil {
			return err
		}
		result.Policy = append(result.Policy, r.figures(fmt.Sprintf("senders_%d_%s_", s.senders, v.name))...)
	}
	return nil
}
