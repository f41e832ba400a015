package ratelimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickorydock/hickorydock/internal/protocol/rapidtest"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
)

// TestMain fixes the seed of the random histories; -rapid.seed overrides it.
func TestMain(m *testing.M) { rapidtest.Run(m, 1) }

func TestParse(t *testing.T) {
	for _, value := range []string{"", "x", "-1", "NaN", "Inf", "1e7", "1,5", "5 per s"} {
		if limit, err := Parse(value); err == nil {
			t.Errorf("%q is accepted as %v", value, limit)
		}
	}
	for value, want := range map[string]float64{"0": 0, "12.5": 12.5, "1e2": 100} {
		if limit, err := Parse(value); err != nil || limit != want {
			t.Errorf("%q is %v, %v", value, limit, err)
		}
	}
}

// TestOldReplyDoesNotEndLimit guards against a limit that a reply to an earlier request ends.
func TestOldReplyDoesNotEndLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	state := OnStated(leaf.Limit{}, 10, Node{Sharers: 7, Origin: now}, now)
	if state = OnUnstated(state, now.Add(-time.Millisecond)); !state.Stated {
		t.Error("a reply to an earlier request ends the limit")
	}
	if state = OnUnstated(state, now.Add(time.Millisecond)); state.Stated {
		t.Error("a reply to a later request does not end the limit")
	}
}

// TestSumOverNodes checks that the nodes together stay within the users' bound, 1.5 times the
// limit and 5 requests in 4 s, whatever the load of each, after pauses, and while the limit
// changes.
func TestSumOverNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.SampledFrom([]int{1, 2, 7, 12, 70, 300}).Draw(t, "nodes")
		limit := rapid.Float64Range(1, 80).Draw(t, "limit")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		now := time.Unix(1000, 0)
		states := make([]leaf.Limit, nodes)
		own := make([]Node, nodes)
		for i := range states {
			own[i] = Node{Sharers: nodes, Phase: random.Float64(), Origin: now}
			states[i] = OnStated(leaf.Limit{}, limit, own[i], now)
		}
		pauseAt, pauseFor := rapid.IntRange(0, 200).Draw(t, "pause"), rapid.IntRange(0, 3000).Draw(t, "pause for")
		var sent []time.Time
		for step := range 400 {
			now = now.Add(20 * time.Millisecond)
			if step == pauseAt {
				now = now.Add(time.Duration(pauseFor) * 20 * time.Millisecond)
			}
			for i := range states {
				ok := false
				if states[i], ok = Take(states[i], own[i], now); ok {
					sent = append(sent, now)
				}
			}
		}
		checkWindows(t, sent, 4*time.Second, 1.5*limit*4+5)
	})
}

// checkWindows fails the test if more requests than allowed were sent in any window.
func checkWindows(t *rapid.T, sent []time.Time, window time.Duration, allowed float64) {
	first := 0
	for i := range sent {
		for sent[i].Sub(sent[first]) > window {
			first++
		}
		if n := float64(i - first + 1); n > allowed {
			t.Fatalf("%v requests in %v, allowed %v", n, window, allowed)
		}
	}
}

// warmupFactor and warmupSlack are the users' bound: in any second, a cold leaf may get
// warmupFactor times what it takes a second, and warmupSlack requests.
const (
	warmupFactor = 1.5
	warmupSlack  = 5
)

// TestWarmupSumOverNodes guards against a cold leaf that gets more requests in a second from all
// nodes together than it bears, whatever the load of each node, after pauses, and when it
// becomes cold again or states a limit as well.
func TestWarmupSumOverNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.SampledFrom([]int{1, 2, 3, 7, 12, 70, 300}).Draw(t, "nodes")
		limit := rapid.Float64Range(0.5, 100).Draw(t, "limit")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		now := time.Unix(1000, 0)
		states := make([]leaf.Limit, nodes)
		own := make([]Node, nodes)
		for i := range states {
			own[i] = Node{Sharers: nodes, Phase: random.Float64(), Origin: now.Add(-time.Duration(random.IntN(1e6)) * time.Millisecond)}
			states[i] = OnWarmup(leaf.Limit{}, limit, own[i], now)
		}
		pauseAt, pauseFor := rapid.IntRange(0, 200).Draw(t, "pause"), rapid.IntRange(0, 3000).Draw(t, "pause for")
		warmAt, statedAt := rapid.IntRange(0, 400).Draw(t, "warm"), rapid.IntRange(0, 400).Draw(t, "stated")
		load := rapid.Float64Range(0.02, 1).Draw(t, "load")
		var sent []time.Time
		for step := range 400 {
			now = now.Add(20 * time.Millisecond)
			if step == pauseAt {
				now = now.Add(time.Duration(pauseFor) * 20 * time.Millisecond)
			}
			for i := range states {
				switch step {
				case warmAt: // and cold again at once
					states[i] = OnWarmup(OnWarmup(states[i], 0, own[i], now), limit, own[i], now)
				case statedAt:
					states[i] = OnStated(states[i], 3*limit, own[i], now)
				}
				ok := false
				if random.Float64() > load {
					continue
				}
				if states[i], ok = Take(states[i], own[i], now); ok {
					sent = append(sent, now)
				}
			}
		}
		checkWindows(t, sent, time.Second, warmupFactor*limit+warmupSlack)
	})
}

// TestWarmupEnds guards against a limit that outlasts the warmup, or ends one that the leaf
// states.
func TestWarmupEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	node := Node{Sharers: 7, Origin: now}
	state := OnWarmup(leaf.Limit{}, 2, node, now)
	if !state.IsActive() {
		t.Fatal("a cold leaf is not limited")
	}
	state = OnStated(state, 10, node, now)
	if state = OnWarmup(state, 0, node, now); !state.Stated || state.PerSecond != 10 {
		t.Errorf("the end of the warmup changes the stated limit: %+v", state)
	}
	state = OnWarmup(state, 2, node, now)
	if state = OnUnstated(state, now.Add(time.Second)); !state.IsActive() || state.Stated {
		t.Errorf("the end of the stated limit ends that of the warmup: %+v", state)
	}
	if state = OnWarmup(state, 0, node, now); state.IsActive() {
		t.Errorf("a limit is left: %+v", state)
	}
	if _, taken := Take(state, node, now); !taken {
		t.Error("a warm leaf gets no request")
	}
}

// TestWarmupAfterHigherLimit guards against nodes that all send at the end of the period of a
// limit which a lower one has replaced.
func TestWarmupAfterHigherLimit(t *testing.T) {
	const nodes, limit = 12, 4
	now := time.Unix(1000, 0)
	sent := 0
	for i := range nodes {
		node := Node{Sharers: nodes, Phase: float64(i) / nodes, Origin: now}
		state := OnStated(leaf.Limit{}, 3*limit, node, now)
		state = OnWarmup(state, limit, node, now)
		for at := now; at.Sub(now) < 1500*time.Millisecond; at = at.Add(10 * time.Millisecond) {
			ok := false
			if state, ok = Take(state, node, at); ok && at.Sub(now) >= 500*time.Millisecond {
				sent++
			}
		}
	}
	if allowed := warmupFactor*limit + warmupSlack; float64(sent) > allowed {
		t.Errorf("%d requests in a second, allowed %v", sent, allowed)
	}
}
