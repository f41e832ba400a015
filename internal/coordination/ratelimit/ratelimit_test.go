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
		allowed := 1.5*limit*4 + 5
		first := 0
		for i := range sent {
			for sent[i].Sub(sent[first]) > 4*time.Second {
				first++
			}
			if n := float64(i - first + 1); n > allowed {
				t.Fatalf("%v requests in 4 s, allowed %v", n, allowed)
			}
		}
	})
}
