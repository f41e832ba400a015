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
	Summary: "watches of 7, 70 and 610 nodes reconnect after the platform refused calls for 2 min, simulated in virtual time",
	Target:  "610 nodes: at most 400 calls in the busiest second after the recovery, all watches reconnected within 5 s",
	Run:     runPlatformReturn,
}

const (
	platformReturnOutage = 2 * time.Minute
	// watchesPerNode counts the watches of the catalogue and of the VM list.
	watchesPerNode = 2
	// fixedReconnectDelay is the delay of the baseline, which has no jitter.
	fixedReconnectDelay = time.Second
	// disconnectSpread is the time within which all nodes notice the platform's outage.
	disconnectSpread = 5 * time.Millisecond
)

// reconnectFigures are the results of one simulated recovery of the platform.
type reconnectFigures struct {
	busiestSecond float64 // calls
	busiest100ms  float64 // calls
	lastReconnect float64 // seconds after the platform's recovery
	outageRate    float64 // calls per second during the outage
}

// simulateReconnect simulates every watch from its disconnect to its first success.
// newDelay returns a function that gives the delay from a failure to the next call.
func simulateReconnect(nodes int, seed uint64, newDelay func() func(jitter float64) time.Duration) reconnectFigures {
	random := rand.New(rand.NewPCG(seed, seed))
	var figures reconnectFigures
	seconds, tenths := map[int]float64{}, map[int]float64{}
	callsDuringOutage := 0
	for range nodes * watchesPerNode {
		nextDelay := newDelay()
		at := time.Duration(random.Float64() * float64(disconnectSpread))
		for at < platformReturnOutage {
			at += nextDelay(random.Float64())
			if at < platformReturnOutage {
				callsDuringOutage++
			}
		}
		sinceRecovery := at - platformReturnOutage
		seconds[int(sinceRecovery/time.Second)]++
		tenths[int(sinceRecovery/(100*time.Millisecond))]++
		figures.lastReconnect = max(figures.lastReconnect, sinceRecovery.Seconds())
	}
	for _, count := range seconds {
		figures.busiestSecond = max(figures.busiestSecond, count)
	}
	for _, count := range tenths {
		figures.busiest100ms = max(figures.busiest100ms, count)
	}
	figures.outageRate = float64(callsDuringOutage) / platformReturnOutage.Seconds()
	return figures
}

func fixedDelay() func(float64) time.Duration {
	return func(float64) time.Duration { return fixedReconnectDelay }
}

func jitteredDelay() func(float64) time.Duration {
	b := backoff.New(backoff.PlatformReconnect)
	return func(jitter float64) time.Duration { return b.Next(0, jitter) }
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

// nodeCounts are the fleet sizes at which control traffic is measured.
var nodeCounts = []int{7, 70, 610}
