package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// lose runs a fingerprint on a leaf whose connection is then lost.
func lose(l *Ledger, now time.Time, f Fingerprint, leaf string) []Report {
	a := Attempt{Fingerprint: f, Leaf: leaf, StartedAt: now}
	if decision, _ := l.Begin(now, a); decision != Allow {
		return nil
	}
	return l.End(now.Add(time.Millisecond), a, ConnectionLost)
}

// TestWithdrawnAttributions guards against a good request that stays in quarantine on all nodes
// since two nodes had lost their own links under it.
func TestWithdrawnAttributions(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b, other := New(), New(), New()
	for leaf, node := range map[string]*Ledger{"x": a, "y": b} {
		reports := lose(node, now, 1, leaf)
		if len(reports) != 1 || reports[0].Kind != CrashAttributed {
			t.Fatalf("reports %v", reports)
		}
		other.Receive(now, reports[0])
	}
	if _, quarantined := other.Quarantined(now, 1); !quarantined {
		t.Fatal("two attributions put nothing into quarantine")
	}
	if reports := a.Withdraw(now.Add(time.Second), now.Add(time.Second)); len(reports) != 0 {
		t.Errorf("what came before is withdrawn: %v", reports)
	}
	for _, node := range []*Ledger{a, b} {
		reports := node.Withdraw(now.Add(time.Second), now.Add(-time.Second))
		if len(reports) != 1 || node.IsSuspect(now, 1) {
			t.Fatalf("reports %v, suspect: %v", reports, node.IsSuspect(now, 1))
		}
		if again := node.Withdraw(now.Add(time.Second), now.Add(-time.Second)); len(again) != 0 {
			t.Errorf("withdrawn twice: %v", again)
		}
		other.Receive(now.Add(time.Second), reports[0])
		if _, quarantined := other.Quarantined(now.Add(time.Second), 1); quarantined {
			t.Error("in quarantine although one attribution is left")
		}
	}
	if other.IsSuspect(now, 1) || other.QuarantinedCount(now) != 0 {
		t.Error("a suspect on the other node although all is withdrawn")
	}
}

// TestWithdrawLeavesRealCrashes checks that what other nodes have attributed, or this one
// before, outlasts a withdrawal.
func TestWithdrawLeavesRealCrashes(t *testing.T) {
	now := time.Unix(1000, 0)
	l := New()
	lose(l, now, 1, "early")
	l.Receive(now.Add(5*time.Second), Report{CrashAttributed, 1, "elsewhere"})
	if _, quarantined := l.Quarantined(now.Add(5*time.Second), 1); !quarantined {
		t.Fatal("not in quarantine")
	}
	lose(l, now.Add(6*time.Second), 2, "late")
	reports := l.Withdraw(now.Add(7*time.Second), now.Add(5500*time.Millisecond))
	if len(reports) != 1 || reports[0].Fingerprint != 2 {
		t.Errorf("reports %v", reports)
	}
	if _, quarantined := l.Quarantined(now.Add(7*time.Second), 1); !quarantined {
		t.Error("the crashing request is out of quarantine")
	}
}

// TestWithdrawalEndsEverySuspicion checks, over random losses at several nodes and in any order
// of reports, that nothing is left once each node has withdrawn all that it had attributed.
func TestWithdrawalEndsEverySuspicion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := []*Ledger{New(), New(), New()}
		start := time.Unix(1000, 0)
		now := start
		pending := make([][]Report, len(nodes)) // by the node that sends them
		deliver := func() {
			for from, reports := range pending {
				for to, peer := range nodes {
					for _, r := range reports {
						if to != from {
							peer.Receive(now, r)
						}
					}
				}
				pending[from] = nil
			}
		}
		for range rapid.IntRange(1, 20).Draw(t, "losses") {
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
			node := rapid.IntRange(0, 2).Draw(t, "node")
			f := Fingerprint(rapid.IntRange(1, 3).Draw(t, "fingerprint"))
			reports := lose(nodes[node], now, f, fmt.Sprint(node, rapid.IntRange(0, 3).Draw(t, "leaf")))
			pending[node] = append(pending[node], reports...)
			if rapid.Bool().Draw(t, "deliver") {
				deliver()
			}
		}
		for i, n := range nodes {
			pending[i] = append(pending[i], n.Withdraw(now, start)...)
		}
		deliver()
		for i, n := range nodes {
			for f := Fingerprint(1); f <= 3; f++ {
				if n.IsSuspect(now, f) {
					t.Fatalf("node %d: %d is still a suspect", i, f)
				}
			}
		}
	})
}

// TestReportsOfLaterReleases guards against reports of a kind that this release does not know,
// which must change nothing: as this one's withdrawals do at earlier releases, which keep the
// request in quarantine until it ends.
func TestReportsOfLaterReleases(t *testing.T) {
	now := time.Unix(1000, 0)
	l := New()
	for _, leaf := range []string{"x", "y"} {
		l.Receive(now, Report{Kind: CrashAttributed, Fingerprint: 1, Leaf: leaf})
		l.Receive(now, Report{Kind: 99, Fingerprint: 1, Leaf: leaf})
		l.Receive(now, Report{Kind: 99, Fingerprint: 2, Leaf: leaf})
	}
	if _, quarantined := l.Quarantined(now, 1); !quarantined {
		t.Error("a report of an unknown kind ends a quarantine")
	}
	if l.IsSuspect(now, 2) {
		t.Error("a report of an unknown kind makes a request suspect")
	}
}

// TestWithdrawnLossesOfVerifiedRequests guards against an answered request that becomes a suspect
// since the links of this node had failed under it.
func TestWithdrawnLossesOfVerifiedRequests(t *testing.T) {
	l := New()
	lose := func(at time.Duration, leaf string) {
		a := Attempt{Fingerprint: good, Leaf: leaf, StartedAt: start.Add(at)}
		l.Begin(a.StartedAt, a)
		l.End(a.StartedAt.Add(5*ms), a, ConnectionLost)
	}
	a := Attempt{Fingerprint: good, Leaf: "a", StartedAt: start}
	l.Begin(start, a)
	l.End(start.Add(ms), a, Answered)
	lose(1000*ms, "a")
	l.Withdraw(start.Add(1100*ms), start.Add(900*ms))
	lose(1200*ms, "b")
	if l.IsSuspect(start.Add(1300*ms), good) {
		t.Error("a suspect after one loss that was not withdrawn")
	}
}
