package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleet runs requests through ledgers that exchange reports without delay.
type fleet struct {
	t       *rapid.T
	now     time.Time
	ledgers []*Ledger
	upAt    map[string]time.Time // when a lost leaf is up again
	running []runningAttempt
	crashes int
}

type runningAttempt struct {
	node int
	a    Attempt
}

// lose ends every attempt on a leaf, in a random order.
func (f *fleet) lose(leaf string) {
	f.upAt[leaf] = f.now.Add(500 * ms)
	var lost, rest []runningAttempt
	for _, r := range f.running {
		if r.a.Leaf == leaf {
			lost = append(lost, r)
		} else {
			rest = append(rest, r)
		}
	}
	f.running = rest
	for _, r := range rapid.Permutation(lost).Draw(f.t, "order") {
		f.end(r, ConnectionLost)
	}
}

func (f *fleet) end(r runningAttempt, outcome Outcome) {
	f.broadcast(r.node, f.ledgers[r.node].End(f.now, r.a, outcome))
}

func (f *fleet) broadcast(from int, reports []Report) {
	for _, report := range reports {
		for i, l := range f.ledgers {
			if i != from {
				l.Receive(f.now, report)
			}
		}
	}
}

// send starts an attempt of a request that a caller sends through a node.
func (f *fleet) send(fp Fingerprint, node int) Decision {
	leaf := fmt.Sprint("leaf-", rapid.IntRange(0, 5).Draw(f.t, "leaf"))
	if f.now.Before(f.upAt[leaf]) {
		return Hold // the connection is refused, nothing is sent
	}
	a := Attempt{Fingerprint: fp, Leaf: leaf, StartedAt: f.now, Shard: len(f.running)} // distinct, as if of different shards
	decision, reports := f.ledgers[node].Begin(f.now, a)
	f.broadcast(node, reports)
	if decision == Allow {
		f.running = append(f.running, runningAttempt{node, a})
	}
	return decision
}

// finish ends one running attempt. An attempt of the bad request crashes its leaf.
func (f *fleet) finish(i int) {
	r := f.running[i]
	if r.a.Fingerprint == bad {
		f.crashes++
		f.lose(r.a.Leaf)
		return
	}
	f.running = append(f.running[:i], f.running[i+1:]...)
	f.end(r, Answered)
}

// TestRandomOrders sends good requests, some of them repeatedly, through 3 nodes.
// Meanwhile either a bad request crashes each leaf that it reaches, or one leaf fails
// for an unrelated reason. It checks that there are at most crashThreshold crashes and
// that no good request is quarantined. It does not cover a good request that is lost
// with two leafs for unrelated reasons, which looks like a bad one.
func TestRandomOrders(t *testing.T) {
	for _, withBadRequest := range []bool{true, false} {
		t.Run(fmt.Sprintf("crashing=%v", withBadRequest), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { randomOrder(t, withBadRequest) })
		})
	}
}

func randomOrder(t *rapid.T, withBadRequest bool) {
	f := &fleet{t: t, now: start, upAt: make(map[string]time.Time)}
	for range 3 {
		f.ledgers = append(f.ledgers, New())
	}
	newest := Fingerprint(100)
	leafCrashed := false
	for range rapid.IntRange(1, 120).Draw(t, "steps") {
		f.now = f.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "ms")) * ms)
		node := rapid.IntRange(0, 2).Draw(t, "node")
		switch rapid.IntRange(0, 9).Draw(t, "event") {
		case 0, 1:
			if withBadRequest && !f.isRunning(bad) {
				f.send(bad, node)
			}
		case 2, 3, 4:
			fp := Fingerprint(rapid.Uint64Range(101, uint64(newest)+1).Draw(t, "good"))
			newest = max(newest, fp)
			if f.send(fp, node) == Refuse {
				t.Fatal("a good request was refused")
			}
		case 5:
			if !withBadRequest && !leafCrashed {
				leafCrashed = true
				f.lose(fmt.Sprint("leaf-", rapid.IntRange(0, 5).Draw(t, "dies")))
			}
		default:
			if len(f.running) > 0 {
				f.finish(rapid.IntRange(0, len(f.running)-1).Draw(t, "finished"))
			}
		}
		if f.crashes > crashThreshold {
			t.Fatalf("%d crashes", f.crashes)
		}
	}
}

func (f *fleet) isRunning(fp Fingerprint) bool {
	for _, r := range f.running {
		if r.a.Fingerprint == fp {
			return true
		}
	}
	return false
}
