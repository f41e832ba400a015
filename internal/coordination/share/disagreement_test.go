package share

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleetNode is a node of the simulation. It receives each change after a random lag that
// differs per change and node, so the views of the nodes differ in content and order.
type fleetNode struct {
	id      int
	joined  int
	removed bool
	window  *Window
	known   map[int]bool // by node: true if it joined, false if it left
	held    int
}

// message notifies node of a membership change at a tick.
type message struct {
	at, node, member int
	joined           bool
}

// fleet simulates the nodes that connect to one leaf.
type fleet struct {
	t          *rapid.T
	limit      int
	settleTime int // maximum lag, in ticks of a second
	nodes      []*fleetNode
	pending    []message
}

func tick(n int) time.Time { return start.Add(time.Duration(n) * time.Second) }

func (f *fleet) broadcast(now, member int, joined bool) {
	for _, n := range f.nodes {
		lag := rapid.IntRange(0, f.settleTime).Draw(f.t, "lag")
		f.pending = append(f.pending, message{now + lag, n.id, member, joined})
	}
}

func (f *fleet) join(now int) {
	n := &fleetNode{id: len(f.nodes), joined: now, window: NewWindow(tick(now), time.Duration(f.settleTime)*time.Second), known: make(map[int]bool)}
	for _, other := range f.nodes {
		if !other.removed {
			f.pending = append(f.pending, message{now + rapid.IntRange(0, f.settleTime).Draw(f.t, "lag"), n.id, other.id, true})
		}
	}
	f.nodes = append(f.nodes, n)
	n.known[n.id] = true
	f.broadcast(now, n.id, true)
}

func (f *fleet) leave(now, id int) {
	f.nodes[id].removed = true
	f.nodes[id].held = 0
	f.broadcast(now, id, false)
}

// deliver delivers the messages that are due. A node that was notified that a member
// left ignores an older message that it joined.
func (f *fleet) deliver(now int) {
	var undelivered []message
	for _, m := range f.pending {
		if m.at > now {
			undelivered = append(undelivered, m)
			continue
		}
		n := f.nodes[m.node]
		if n.removed {
			continue
		}
		if _, notified := n.known[m.member]; m.joined && notified {
			continue
		}
		n.known[m.member] = m.joined
		f.grant(n, now)
	}
	f.pending = undelivered
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
		if n.removed {
			continue
		}
		n.held = n.window.Allowed(tick(now))
		sum += n.held
	}
	if sum > f.limit {
		f.t.Fatalf("at %d s the leaf has %d connections, cap %d", now, sum, f.limit)
	}
}

// TestLeafCapHoldsWhileViewsDiffer simulates nodes that join, leave and receive each
// other's changes late and in different orders, including restarts of all nodes at
// once, and checks that they never exceed the connection cap of a leaf together.
func TestLeafCapHoldsWhileViewsDiffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{t: t, limit: rapid.SampledFrom([]int{10, 25, 40, 100}).Draw(t, "cap"), settleTime: 4}
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
	if id := rapid.IntRange(0, len(f.nodes)-1).Draw(f.t, "leaves"); !f.nodes[id].removed {
		f.leave(now, id)
	}
}

// restartAll replaces every live node; with overlap, the old nodes stay until a later event
// removes them.
func (f *fleet) restartAll(now int) {
	overlap := rapid.Bool().Draw(f.t, "overlap")
	var old []int
	for _, n := range f.nodes {
		if !n.removed {
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
