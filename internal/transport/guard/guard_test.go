package guard

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/quarantine"
)

type otherNode struct{ guard *Guard }

func (p otherNode) Broadcast(r quarantine.Report) { p.guard.Receive(r) }

func pair() (*Guard, *Guard) {
	a, b := New(nil), New(nil)
	a.SetPeers(otherNode{b})
	b.SetPeers(otherNode{a})
	return a, b
}

func attempt(leaf string) *quarantine.Attempt {
	return &quarantine.Attempt{Fingerprint: 1, Leaf: leaf}
}

func enter(t *testing.T, g *Guard, a *quarantine.Attempt) quarantine.Decision {
	t.Helper()
	decision, err := g.Enter(t.Context(), a)
	if err != nil {
		t.Fatal(err)
	}
	return decision
}

// TestDuplicateWaitsForFirst checks that a duplicate of an unverified request waits for
// the end of the first one, not for a timer.
func TestDuplicateWaitsForFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := pair()
		first := attempt("a")
		enter(t, g, first)
		started := time.Now()
		time.AfterFunc(7*time.Millisecond, func() { g.Leave(*first, quarantine.Answered) })
		if decision := enter(t, g, attempt("b")); decision != quarantine.Allow {
			t.Errorf("decision %v", decision)
		}
		if waited := time.Since(started); waited != 7*time.Millisecond {
			t.Errorf("waited %v", waited)
		}
	})
}

// TestPeerQuarantines checks that a duplicate that waits on one node is refused when the
// loss of a leaf on another node quarantines the request.
func TestPeerQuarantines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := pair()
		first, second := attempt("a"), attempt("b")
		enter(t, a, first)
		enter(t, b, second)
		time.AfterFunc(5*time.Millisecond, func() {
			a.Leave(*first, quarantine.ConnectionLost)
			b.Leave(*second, quarantine.ConnectionLost)
		})
		if decision := enter(t, a, attempt("c")); decision != quarantine.Refuse {
			t.Errorf("decision %v", decision)
		}
		if remaining, refused := b.Quarantined(1); !refused || remaining <= 0 {
			t.Errorf("peer refuses %v for %v", refused, remaining)
		}
	})
}

func TestWaitEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := pair()
		first := attempt("a")
		enter(t, g, first)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := g.Enter(ctx, attempt("b")); err != context.DeadlineExceeded {
			t.Errorf("error %v", err)
		}
		if len(g.waiting) != 0 {
			t.Errorf("%d channels left behind", len(g.waiting))
		}
	})
}
