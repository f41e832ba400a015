package forward

import (
	"testing"
	"testing/synctest"
	"time"
)

// spendAll spends the whole budget of a group and returns the number of extra attempts.
func spendAll(f *Forwarder, group string) (n int) {
	for f.budget(group).Spend() {
		n++
	}
	return n
}

// TestSlackOfUpstreams checks that all nodes together can spend a large part of the
// upstreams' slack in a window, and never more than the slack, if each spends its whole
// budget, even if nodes restart or relays are replaced meanwhile. It covers the case of many
// leafs that are slow at once soon after a start.
func TestSlackOfUpstreams(t *testing.T) {
	const (
		nodeCount  = 67
		relayCount = 8
		slack      = 174
	)
	relays := func(holds bool) func(string) (int, bool) {
		return func(string) (int, bool) { return relayCount, holds }
	}
	allNodes := func(string) (int, bool) { return 0, true }
	newNode := func(holders func(string) (int, bool)) *Forwarder {
		f := newRig(t, queryRoute(1, 1), nil).Forwarder
		f.cfg.ExtraSlack = slack
		f.Holders = holders
		f.SetNodes(nodeCount)
		return f
	}
	tests := []struct {
		name string
		// firstCount and secondCount are the numbers of nodes that spend, the second ones
		// after they have restarted or replaced others.
		firstCount, secondCount     int
		firstHolders, secondHolders func(string) (int, bool)
		firstUptime, secondUptime   time.Duration
		minShare                    float64 // share of the slack
	}{
		{name: "relays, long after their start", firstCount: relayCount, firstHolders: relays(true), firstUptime: time.Minute, minShare: 0.5},
		{name: "relays, then half of them replaced", firstCount: relayCount, firstHolders: relays(true), firstUptime: time.Minute, secondCount: relayCount / 2, secondHolders: relays(true), secondUptime: time.Minute, minShare: 0.5},
		{name: "relays, then all restart", firstCount: relayCount, firstHolders: relays(true), firstUptime: time.Minute, secondCount: relayCount, secondHolders: relays(true), secondUptime: time.Second, minShare: 0.5},
		{name: "nodes that do not relay", firstCount: nodeCount - relayCount, firstHolders: relays(false), firstUptime: time.Minute, minShare: 0},
		// Only whole attempts count: each of the 67 nodes has 1 of its 2.3.
		{name: "all nodes, long after their start", firstCount: nodeCount, firstHolders: allNodes, firstUptime: time.Minute, minShare: 0.35},
		{name: "all nodes, then all restart", firstCount: nodeCount, firstHolders: allNodes, firstUptime: time.Minute, secondCount: nodeCount, secondHolders: allNodes, secondUptime: time.Second, minShare: 0.35},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				spent := 0
				spend := func(n int, holders func(string) (int, bool), up time.Duration) {
					for range n {
						f := newNode(holders)
						f.startedAt = time.Now().Add(-up)
						spent += spendAll(f, "a")
					}
				}
				spend(test.firstCount, test.firstHolders, test.firstUptime)
				spend(test.secondCount, test.secondHolders, test.secondUptime)
				if spent > slack || float64(spent) < test.minShare*slack {
					t.Errorf("%d extra attempts, want %.0f to %d", spent, test.minShare*slack, slack)
				}
			})
		})
	}
}

// TestReplacedRelayDropsAccumulatedBudget checks that a node keeps no accumulated budget
// for groups that other nodes relay to now.
func TestReplacedRelayDropsAccumulatedBudget(t *testing.T) {
	f := newRig(t, queryRoute(1, 1), nil).Forwarder
	f.cfg.ExtraSlack = 174
	holds := true
	f.Holders = func(string) (int, bool) { return 8, holds }
	f.startedAt = time.Now().Add(-time.Minute)
	f.budget("a")
	holds = false
	f.RedistributeSlack()
	if got := spendAll(f, "a"); got > 1 {
		t.Errorf("%d extra attempts of a node that no longer relays, want at most 1", got)
	}
}
