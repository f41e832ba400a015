package guard

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/quarantine"
)

type peer struct{ guard *Guard }

func (p peer) Broadcast(r quarantine.Report) { p.guard.Receive(r) }

func pair() (*Guard, *Guard) {
	a, b := New(nil), New(nil)
	a.SetPeers(peer{b})
	b.SetPeers(peer{a})
	return a, b
}

func attempt(leaf string) *quarantine.Attempt {
	return &quarantine.Attempt{Fingerprint: 1, Leaf: leaf}
}

func enter(t *testing.T, g *Guard, a *quarantine.Attempt) quarantine.Decision {
	t.Helper()
	verdict, err := g.Enter(t.Context(), a)
	if err != nil {
		t.Fatal(err)
	}
	return verdict
}

// TestCopyWaitsForFirst holds that a copy of an unproven request waits for the
// end of the first, not for a timer.
func TestCopyWaitsForFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := pair()
		first := attempt("a")
		enter(t, g, first)
		begun := time.Now()
		time.AfterFunc(7*time.Millisecond, func() { g.Leave(*first, quarantine.Answered) })
		if verdict := enter(t, g, attempt("b")); verdict != quarantine.Allow {
			t.Errorf("verdict %v", verdict)
		}
		if waited := time.Since(begun); waited != 7*time.Millisecond {
			t.Errorf("waited %v", waited)
		}
	})
}

// TestPeerConvicts holds that a copy that waits on one node is refused when
// another node's loss convicts the request.
func TestPeerConvicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := pair()
		first, second := attempt("a"), attempt("b")
		enter(t, a, first)
		enter(t, b, second)
		time.AfterFunc(5*time.Millisecond, func() {
			a.Leave(*first, quarantine.ConnectionLost)
			b.Leave(*second, quarantine.ConnectionLost)
		})
		if verdict := enter(t, a, attempt("c")); verdict != quarantine.Refuse {
			t.Errorf("verdict %v", verdict)
		}
		if left, refused := b.Quarantined(1); !refused || left <= 0 {
			t.Errorf("peer refuses %v for %v", refused, left)
		}
	})
}

func TestHeldAttemptEndsWithItsContext(t *testing.T) {
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
			t.Errorf("%d channels are left", len(g.waiting))
		}
	})
}
