package command

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

func TestWriteBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster()
		cluster.settings.FleetWriteRate = 4
		one := cluster.node(t, "one")
		defer stop(t, one)
		outcomes := map[command.Cause]int{}
		for i := range 5 {
			outcomes[send(t, one, fmt.Sprint("key-", i), request(`1`)).Cause]++
		}
		if outcomes[command.CauseRan] != 2 || outcomes[command.CauseBudget] != 3 || cluster.platform.writes() != 4 {
			t.Errorf("outcomes %v with %d writes", outcomes, cluster.platform.writes())
		}
		if got := send(t, one, "key-0", request(`1`)); got.Outcome != query.Done {
			t.Errorf("a recorded key without budget: %+v", got)
		}
		if wait := one.budget.RetryAfter(one.now()); wait != 500*time.Millisecond {
			t.Errorf("retry after %s", wait)
		}
		time.Sleep(time.Second)
		if got := send(t, one, "key-4", request(`1`)); got.Outcome != query.Done {
			t.Errorf("after the budget has filled: %+v", got)
		}
	})
}

func TestBudgetCountsLiveNodes(t *testing.T) {
	b := NewBudget(200, 100)
	vm := func(group string, state platform.VMState) platform.VM { return platform.VM{Group: group, State: state} }
	b.SetVMs([]platform.VM{
		vm(platform.NodeGroup, platform.VMLive), vm(platform.NodeGroup, platform.VMLive),
		vm(platform.NodeGroup, platform.VMLeaving), vm("complaints", platform.VMLive),
	})
	if b.Nodes() != 2 {
		t.Errorf("%d nodes", b.Nodes())
	}
}

func TestBudgetIsSharedByTheFleet(t *testing.T) {
	b := NewBudget(200, 100)
	now := time.Unix(1_000_000, 0)
	for _, c := range []struct{ nodes, commands int }{{1, 50}, {4, 25}, {610, 1}} {
		b.SetNodes(c.nodes)
		now = now.Add(time.Hour)
		taken := 0
		for b.Take(now) {
			taken++
		}
		if taken != c.commands {
			t.Errorf("%d nodes: %d commands at once, want %d", c.nodes, taken, c.commands)
		}
		if b.TakeSpare(now) {
			t.Errorf("%d nodes: clean-up took from an empty budget", c.nodes)
		}
	}
}

// TestRetention checks that claims are removed when their retention has passed,
// by the node that settled them or, if that does not run, by another.
func TestRetention(t *testing.T) {
	for _, owner := range []bool{true, false} {
		t.Run(fmt.Sprint("owner running ", owner), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newTestCluster()
				one, two := cluster.node(t, "one"), cluster.node(t, "two")
				defer stop(t, two)
				defer stop(t, one)
				if owner {
					one.Start()
				} else {
					two.Start()
				}
				send(t, one, key, request(`1`))
				time.Sleep(cluster.settings.Retention - time.Minute)
				name := command.ClaimName(testService.Name, key)
				if _, ok := cluster.platform.stored(t, name); !ok {
					t.Error("removed before its retention had passed")
				}
				time.Sleep(time.Minute + 3*cluster.settings.SweepInterval)
				if _, ok := cluster.platform.stored(t, name); ok {
					t.Error("not removed")
				}
			})
		})
	}
}

// TestUnsettledClaimIsKept checks that a claim without an outcome is kept for
// longer than settled ones, since its node may only be paused.
func TestUnsettledClaimIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster()
		two := cluster.node(t, "two")
		defer stop(t, two)
		two.Start()
		name := command.ClaimName(testService.Name, key)
		claim := command.Record{RequestID: "x", BodyHash: request(`1`).BodyHash(), State: command.StateClaimed, ClaimedAt: time.Now()}
		storeRecord(t, cluster, name, claim)
		time.Sleep(cluster.settings.UnsettledRetention - time.Minute)
		if got := send(t, two, key, request(`1`)); got.Outcome != query.Unknown || got.Final || cluster.upstream.runCount() != 0 {
			t.Errorf("got %+v after %d runs", got, cluster.upstream.runCount())
		}
		time.Sleep(time.Hour)
		if _, ok := cluster.platform.stored(t, name); ok {
			t.Error("never removed")
		}
	})
}

// TestWritesPerCommand counts the platform writes of a send and of its resend through
// another node, also if the writes take effect and their replies are lost.
func TestWritesPerCommand(t *testing.T) {
	for _, c := range []struct {
		name   string
		calls  map[string][]callBehaviour
		first  bool
		writes int
	}{
		{"first send", nil, true, 2},
		{"send without first_send", nil, false, 2},
		{"replies lost", map[string][]callBehaviour{"create": {appliedReplyLost}, "update": {appliedReplyLost}}, true, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newTestCluster()
				for method, behaviours := range c.calls {
					cluster.platform.next[method] = behaviours
				}
				one, two := cluster.node(t, "one"), cluster.node(t, "two")
				req := request(`1`)
				req.FirstSend = c.first
				send(t, one, key, req)
				send(t, two, key, request(`1`))
				if writes := cluster.platform.writes(); writes != c.writes {
					t.Errorf("%d writes, want %d", writes, c.writes)
				}
				stop(t, two)
				stop(t, one)
			})
		})
	}
}
