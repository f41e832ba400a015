package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/backoff"
)

var platformReturnExperiment = Experiment{
	Name:    "platform-return",
	Summary: "watches of 7, 70 and 610 nodes come back after the platform refused calls for 2 min, by decisions under virtual time",
	Target:  "610 nodes: at most 400 calls in the busiest second after the return, all watches back within 5 s",
	Run:     runPlatformReturn,
}

const (
	platformReturnOutage = 2 * time.Minute
	// watchesPerNode are those of the catalogue and of the VM list.
	watchesPerNode = 2
	// fixedReconnectDelay is the wait of the baseline, which has no jitter.
	fixedReconnectDelay = time.Second
	// disconnectSpread is the time within which the platform's end reaches every node.
	disconnectSpread = 5 * time.Millisecond
)

// reconnectFigures are counts of one simulated return.
type reconnectFigures struct {
	busiestSecond float64 // calls
	busiest100ms  float64 // calls
	lastReconnect float64 // seconds after the platform's return
	outageRate    float64 // calls per second during the outage
}

// simulateReconnect plays every watch from its break to its first success. wait
// returns the time from a failure to the next call.
func simulateReconnect(nodes int, seed uint64, waitOf func() func(draw float64) time.Duration) reconnectFigures {
	random := rand.New(rand.NewPCG(seed, seed))
	var figures reconnectFigures
	seconds, tenths := map[int]float64{}, map[int]float64{}
	during := 0
	for range nodes * watchesPerNode {
		wait := waitOf()
		at := time.Duration(random.Float64() * float64(disconnectSpread))
		for at < platformReturnOutage {
			at += wait(random.Float64())
			if at < platformReturnOutage {
				during++
			}
		}
		back := at - platformReturnOutage
		seconds[int(back/time.Second)]++
		tenths[int(back/(100*time.Millisecond))]++
		figures.lastReconnect = max(figures.lastReconnect, back.Seconds())
	}
	for _, count := range seconds {
		figures.busiestSecond = max(figures.busiestSecond, count)
	}
	for _, count := range tenths {
		figures.busiest100ms = max(figures.busiest100ms, count)
	}
	figures.outageRate = float64(during) / platformReturnOutage.Seconds()
	return figures
}

func fixedDelay() func(float64) time.Duration {
	return func(float64) time.Duration { return fixedReconnectDelay }
}

func jitteredDelay() func(float64) time.Duration {
	b := backoff.New(backoff.PlatformReconnect)
	return func(draw float64) time.Duration { return b.Next(0, draw) }
}

func (f reconnectFigures) list(nodes int) []Figure {
	prefix := fmt.Sprintf("nodes_%d_", nodes)
	return []Figure{
		{prefix + "busiest_second_calls", f.busiestSecond},
		{prefix + "busiest_100ms_calls", f.busiest100ms},
		{prefix + "last_back_s", f.lastReconnect},
		{prefix + "outage_calls_per_s", f.outageRate},
	}
}

func runPlatformReturn(_ context.Context, seed uint64) (Result, error) {
	var result Result
	for _, nodes := range nodeCounts {
		baseline := simulateReconnect(nodes, seed, fixedDelay)
		policy := simulateReconnect(nodes, seed, jitteredDelay)
		result.Baseline = append(result.Baseline, baseline.list(nodes)...)
		result.Policy = append(result.Policy, policy.list(nodes)...)
		if nodes == nodeCounts[len(nodeCounts)-1] {
			result.Checks = append(result.Checks,
				AtMost("busiest_second_calls", policy.busiestSecond, 400),
				AtMost("last_back_s", policy.lastReconnect, 5),
			)
		}
	}
	return result, nil
}

// nodeCounts are the numbers of nodes that control work is measured at.
var nodeCounts = []int{7, 70, 610}
