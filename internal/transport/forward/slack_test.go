package forward

import (
	"testing"
	"testing/synctest"
	"time"
)

// spendAll returns how many extra attempts at a group a node may send at once.
func spendAll(f *Forwarder, group string) (n int) {
	for f.budget(group).Spend() {
		n++
	}
	return n
}

// TestSlackOfUpstreams holds that all nodes together spend most of the upstreams'
// slack in a window, and never more, when each spends all it has: also when nodes
// start again or relays are replaced just then. It answers the pattern of many leafs
// that are slow at once soon after a start.
func TestSlackOfUpstreams(t *testing.T) {
	const (
		nodes = 67
		relay = 8
		slack = 174
	)
	relays := func(holds bool) func(string) (int, bool) {
		return func(string) (int, bool) { return relay, holds }
	}
	allNodes := func(string) (int, bool) { return 0, true }
	newNode := func(holders func(string) (int, bool)) *Forwarder {
		f := newRig(t, queryRoute(1, 1), nil).Forwarder
		f.cfg.ExtraSlack = slack
		f.Holders = holders
		f.SetNodes(nodes)
		return f
	}
	tests := []struct {
		name string
		// first and second are the nodes that spend, second after they start again or
		// take the place of others.
		firstCount, secondCount     int
		firstHolders, secondHolders func(string) (int, bool)
		firstUptime, secondUptime   time.Duration
		minShare                    float64 // share of the slack
	}{
		{name: "relays, long up", firstCount: relay, firstHolders: relays(true), firstUptime: time.Minute, minShare: 0.5},
		{name: "relays, then half of them replaced", firstCount: relay, firstHolders: relays(true), firstUptime: time.Minute, secondCount: relay / 2, secondHolders: relays(true), secondUptime: time.Minute, minShare: 0.5},
		{name: "relays, then all start again", firstCount: relay, firstHolders: relays(true), firstUptime: time.Minute, secondCount: relay, secondHolders: relays(true), secondUptime: time.Second, minShare: 0.5},
		{name: "nodes that do not relay", firstCount: nodes - relay, firstHolders: relays(false), firstUptime: time.Minute, minShare: 0},
		// Whole attempts only: each of 67 nodes has one of its 2.3.
		{name: "all nodes, long up", firstCount: nodes, firstHolders: allNodes, firstUptime: time.Minute, minShare: 0.35},
		{name: "all nodes, then all start again", firstCount: nodes, firstHolders: allNodes, firstUptime: time.Minute, secondCount: nodes, secondHolders: allNodes, secondUptime: time.Second, minShare: 0.35},
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

// TestRelayThatIsReplacedGivesSavingsUp holds that a node keeps no savings for groups
// that others relay to now.
func TestRelayThatIsReplacedGivesSavingsUp(t *testing.T) {
	f := newRig(t, queryRoute(1, 1), nil).Forwarder
	f.cfg.ExtraSlack = 174
	holds := true
	f.Holders = func(string) (int, bool) { return 8, holds }
	f.startedAt = time.Now().Add(-time.Minute)
	f.budget("a")
	holds = false
	f.RedistributeSlack()
	if got := spendAll(f, "a"); got > 1 {
		t.Errorf("%d extra attempts of a node that relays no more, want at most 1", got)
	}
}
