package share

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleetNode is a node of the random run: it hears of each change after a lag of
// its own for each change and node, so views differ in content and order.
type fleetNode struct {
	id     int
	joined int
	gone   bool
	window *Window
	known  map[int]bool
	held   int
}

// message tells node of a change that it hears at a tick.
type message struct {
	at, node, member int
	joined           bool
}

type fleet struct {
	t       *rapid.T
	limit   int
	settle  int
	nodes   []*fleetNode
	pending []message
}

func tick(n int) time.Time { return start.Add(time.Duration(n) * time.Second) }

func (f *fleet) tell(now, member int, joined bool) {
	for _, n := range f.nodes {
		lag := rapid.IntRange(0, f.settle).Draw(f.t, "lag")
		f.pending = append(f.pending, message{now + lag, n.id, member, joined})
	}
}

func (f *fleet) join(now int) {
	n := &fleetNode{id: len(f.nodes), joined: now, window: NewWindow(tick(now), time.Duration(f.settle)*time.Second), known: make(map[int]bool)}
	for _, other := range f.nodes {
		if !other.gone {
			f.pending = append(f.pending, message{now + rapid.IntRange(0, f.settle).Draw(f.t, "lag"), n.id, other.id, true})
		}
	}
	f.nodes = append(f.nodes, n)
	n.known[n.id] = true
	f.tell(now, n.id, true)
}

func (f *fleet) leave(now, id int) {
	f.nodes[id].gone = true
	f.nodes[id].held = 0
	f.tell(now, id, false)
}

// deliver hands out the messages of a tick. A node that was told that a member
// left does not believe an older word that it joined.
func (f *fleet) deliver(now int) {
	var rest []message
	for _, m := range f.pending {
		if m.at > now {
			rest = append(rest, m)
			continue
		}
		n := f.nodes[m.node]
		if n.gone {
			continue
		}
		if _, told := n.known[m.member]; m.joined && told {
			continue
		}
		n.known[m.member] = m.joined
		f.grant(n, now)
	}
	f.pending = rest
}

func (f *fleet) grant(n *fleetNode, now int) {
	live := 0
	for _, joined := range n.known {
		if joined {
			live++
		}
	}
	s, err := DirectShare(f.limit, live, Reserve(f.limit))
	if err != nil {
		f.t.Fatal(err)
	}
	n.window.Grant(tick(now), s.PerHolder)
}

func (f *fleet) check(now int) {
	sum := 0
	for _, n := range f.nodes {
		if n.gone {
			continue
		}
		n.held = n.window.Allowed(tick(now))
		sum += n.held
	}
	if sum > f.limit {
		f.t.Fatalf("at %d s the leaf sees %d connections, cap %d", now, sum, f.limit)
	}
}

// TestLeafCapHoldsWhileViewsDiffer runs nodes that come, go and hear of each
// other late and in different orders, among them restarts of all nodes at once.
func TestLeafCapHoldsWhileViewsDiffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{t: t, limit: rapid.SampledFrom([]int{10, 25, 40, 100}).Draw(t, "cap"), settle: 4}
		for range rapid.IntRange(1, 8).Draw(t, "nodes") {
			f.join(0)
		}
		for now := 1; now < 60; now++ {
			switch rapid.IntRange(0, 12).Draw(t, "event") {
			case 0:
				f.join(now)
			case 1:
				f.leaveOne(now)
			case 2:
				f.restartAll(now)
			}
			f.deliver(now)
			f.check(now)
		}
	})
}

func (f *fleet) leaveOne(now int) {
	if id := rapid.IntRange(0, len(f.nodes)-1).Draw(f.t, "leaves"); !f.nodes[id].gone {
		f.leave(now, id)
	}
}

// restartAll replaces every live node; with overlap the old ones stay until later events.
func (f *fleet) restartAll(now int) {
	overlap := rapid.Bool().Draw(f.t, "overlap")
	var old []int
	for _, n := range f.nodes {
		if !n.gone {
			old = append(old, n.id)
		}
	}
	if len(old) > 10 {
		overlap = false
	}
	for _, id := range old {
		if !overlap {
			f.leave(now, id)
		}
		f.join(now)
	}
}
