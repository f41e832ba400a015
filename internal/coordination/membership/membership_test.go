package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/membership"
	"github.com/hickorydock/hickorydock/internal/protocol/rapidtest"
)

// TestMain fixes the seed of the random histories; -rapid.seed overrides it.
func TestMain(m *testing.M) { rapidtest.Run(m, 1) }

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// network runs members under virtual time. Messages take one step of 1 ms; drop
// reports whether a message is not delivered.
type network struct {
	now   time.Time
	nodes map[string]*Membership
	down  map[string]bool // failed or paused
	drop  func(p Packet) bool
	// earlier are the nodes of a release that does not know Member.Isolated.
	earlier  map[string]bool
	inFlight []Packet
	// falseDeaths describes members that were declared dead while they ran.
	falseDeaths []string
	// seed is added to the seeds of the nodes.
	seed uint64
}

func member(id string, start uint64) membership.Member {
	return membership.Member{ID: id, Address: id + ":1", AvailabilityZone: "zone-" + id[len(id)-1:], Start: start, State: membership.Alive}
}

func name(i int) string { return fmt.Sprintf("n%d", i) }

// newNetwork starts nodes that know each other from the platform's list and
// runs them for 3 s.
func newNetwork(size int) *network { return newSeededNetwork(size, 0) }

func newSeededNetwork(size int, seed uint64) *network {
	n := &network{now: epoch, nodes: map[string]*Membership{}, down: map[string]bool{}, seed: seed}
	var list []membership.Member
	for i := range size {
		list = append(list, member(name(i), 0))
	}
	for i := range size {
		n.start(name(i), uint64(i+1), list)
	}
	n.run(3 * time.Second)
	return n
}

func (n *network) start(id string, start uint64, list []membership.Member) {
	m := New(Config{Self: member(id, start), Seed: n.seed + start})
	n.nodes[id] = m
	n.dispatch(id, m.MergePlatformList(n.now, list))
}

// dispatch queues messages and records members wrongly declared dead.
func (n *network) dispatch(by string, a Actions) {
	n.inFlight = append(n.inFlight, a.Packets...)
	for _, changed := range a.Changed {
		target := n.nodes[changed.ID]
		if changed.State == membership.Dead && target != nil && !n.down[changed.ID] && target.self.Start == changed.Start {
			n.falseDeaths = append(n.falseDeaths, fmt.Sprintf("%s declared %s dead at %s", by, changed.ID, n.now.Sub(epoch)))
		}
	}
}

func (n *network) deliver() {
	inFlight := n.inFlight
	n.inFlight = nil
	for _, p := range inFlight {
		target := n.nodes[p.To]
		if target == nil || n.down[p.To] || (n.drop != nil && n.drop(p)) {
			continue
		}
		if n.earlier[p.To] {
			p.Message.Updates = withoutIsolated(p.Message.Updates)
		}
		n.dispatch(p.To, target.Receive(n.now, p.Message))
	}
}

func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(TickInterval) {
		for _, id := range sortedKeys(n.nodes) {
			if !n.down[id] {
				n.dispatch(id, n.nodes[id].Tick(n.now))
			}
		}
		for range 4 {
			n.deliver()
		}
	}
}

// views returns the number of running nodes by the state in which they see id.
func (n *network) views(id string) map[membership.State]int {
	count := map[membership.State]int{}
	for viewer, m := range n.nodes {
		if viewer == id || n.down[viewer] {
			continue
		}
		known, _ := m.Lookup(id)
		count[known.State]++
	}
	return count
}

func (n *network) requireState(t *testing.T, id string, state membership.State) {
	t.Helper()
	if views := n.views(id); len(views) != 1 || views[state] == 0 {
		t.Fatalf("%s is seen as %v, want %v by all", id, views, state)
	}
}

func TestDeadIsKnownWithin5s(t *testing.T) {
	for _, size := range []int{2, 3, 7, 40} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			n := newNetwork(size)
			n.down[name(1)] = true
			n.run(5 * time.Second)
			if size == 2 {
				n.run(2 * time.Second) // no third node can confirm, so the only other node decides alone
			}
			n.requireState(t, name(1), membership.Dead)
			if len(n.falseDeaths) > 0 {
				t.Fatal(n.falseDeaths)
			}
		})
	}
}

func TestHalfOfNodesFail(t *testing.T) {
	n := newNetwork(40)
	for i := 0; i < 40; i += 2 {
		n.down[name(i)] = true
	}
	n.run(20 * time.Second)
	for i := 0; i < 40; i += 2 {
		n.requireState(t, name(i), membership.Dead)
	}
	if len(n.falseDeaths) > 0 {
		t.Fatal(n.falseDeaths)
	}
}

// TestZoneFails checks that the failure of a whole availability zone is detected within
// the same 5 s as that of a single node.
func TestZoneFails(t *testing.T) {
	n := newNetwork(60)
	for i := 3; i < 60; i += 10 { // zones go by the last digit
		n.down[name(i)] = true
	}
	n.run(5 * time.Second)
	for i := 3; i < 60; i += 10 {
		n.requireState(t, name(i), membership.Dead)
	}
}

func TestLeaving(t *testing.T) {
	n := newNetwork(20)
	n.dispatch(name(3), n.nodes[name(3)].Leave(n.now))
	n.run(3 * time.Second)
	n.requireState(t, name(3), membership.Leaving)
	n.dispatch(name(3), n.nodes[name(3)].Stop(n.now))
	n.deliver()
	n.down[name(3)] = true
	n.run(3 * time.Second)
	n.requireState(t, name(3), membership.Left)
}

// TestPausedNodeIsSameMember checks that a node that was paused for 30 s is the same
// member afterwards and declares no other node dead.
func TestPausedNodeIsSameMember(t *testing.T) {
	n := newNetwork(10)
	n.down[name(4)] = true
	n.run(30 * time.Second)
	n.requireState(t, name(4), membership.Dead)
	n.down[name(4)] = false
	n.run(TickInterval)
	if got := n.nodes[name(4)].self.Refutation; got != 1 {
		t.Errorf("refutation %d right after the pause", got)
	}
	n.run(3 * time.Second)
	n.requireState(t, name(4), membership.Alive)
	for id, m := range n.nodes {
		if got := len(m.Members()); got != 10 {
			t.Errorf("%s has %d members", id, got)
		}
	}
	if len(n.falseDeaths) > 0 {
		t.Fatal(n.falseDeaths)
	}
}

// TestRestartIsANewMember checks that delayed updates about an older incarnation change
// nothing, and that a process with an older incarnation stops taking part.
func TestRestartIsANewMember(t *testing.T) {
	n := newNetwork(10)
	old := n.nodes[name(5)]
	oldIncarnation, _ := old.Lookup(name(5))
	n.start(name(5), 99, []membership.Member{member(name(0), 0), member(name(1), 0)})
	n.run(6 * time.Second)
	n.requireState(t, name(5), membership.Alive)
	for _, state := range []membership.State{membership.Leaving, membership.Dead, membership.Left} {
		late := oldIncarnation
		late.State = state
		late.Refutation = 7
		n.dispatch(name(0), n.nodes[name(0)].Receive(n.now, membership.Message{Kind: membership.Gossip, From: name(2), Updates: []membership.Member{late}}))
	}
	n.run(3 * time.Second)
	n.requireState(t, name(5), membership.Alive)
	known, _ := n.nodes[name(0)].Lookup(name(5))
	old.Receive(n.now, membership.Message{Kind: membership.Gossip, From: name(0), Updates: []membership.Member{known}})
	if !old.IsSuperseded() || len(old.Tick(n.now.Add(time.Second)).Packets) > 0 {
		t.Error("the older process still takes part")
	}
}

func TestPartitionHeals(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { partitionHeals(t, 1000*seed) })
	}
}

func partitionHeals(t *testing.T, seed uint64) {
	n := newSeededNetwork(12, seed)
	var list []membership.Member
	for i := range 12 {
		list = append(list, member(name(i), 0))
	}
	side := func(id string) bool { return id < name(5) }
	n.drop = func(p Packet) bool { return side(p.To) != side(p.Message.From) }
	n.run(time.Minute)
	n.drop = nil
	n.falseDeaths = nil
	for id, m := range n.nodes {
		n.dispatch(id, m.MergePlatformList(n.now, list))
	}
	n.run(30 * time.Second)
	for i := range 12 {
		n.requireState(t, name(i), membership.Alive)
	}
	if len(n.falseDeaths) > 0 {
		t.Fatal(n.falseDeaths)
	}
}

// TestBrokenLink checks that a node is not declared dead by a monitor that cannot reach
// it while others can.
func TestBrokenLink(t *testing.T) {
	n := newNetwork(8)
	monitor := name(2)
	target := n.nodes[monitor].neighbours[0]
	n.drop = func(p Packet) bool {
		return (p.To == monitor && p.Message.From == target) || (p.To == target && p.Message.From == monitor)
	}
	n.run(time.Minute)
	if len(n.falseDeaths) > 0 {
		t.Fatal(n.falseDeaths)
	}
}

// TestOutdatedPlatformList checks that the platform's list adds members and overrides
// no newer state.
func TestOutdatedPlatformList(t *testing.T) {
	n := newNetwork(6)
	n.down[name(1)] = true
	n.run(6 * time.Second)
	list := []membership.Member{member(name(1), 0), member("n9", 0)}
	list = append(list, membership.Member{ID: name(2), State: membership.Leaving})
	m := n.nodes[name(0)]
	m.MergePlatformList(n.now, list)
	wants := map[string]membership.State{name(1): membership.Dead, name(2): membership.Alive, name(3): membership.Alive, "n9": membership.Alive}
	for id, want := range wants {
		if got, _ := m.Lookup(id); got.State != want {
			t.Errorf("%s is %v, want %v", id, got.State, want)
		}
	}
	m.MergePlatformList(n.now, nil)
	if _, known := m.Lookup("n9"); known {
		t.Error("a member known only from an older list is kept")
	}
}

func TestSuspectProbesAtOnce(t *testing.T) {
	n := newNetwork(40)
	m := n.nodes[name(0)]
	var nonNeighbour string
	for i := 1; i < 40; i++ {
		if m.probes[name(i)] == nil {
			nonNeighbour = name(i)
			break
		}
	}
	a := m.Suspect(n.now, nonNeighbour)
	if len(a.Packets) != 1 || a.Packets[0].To != nonNeighbour || a.Packets[0].Message.Kind != membership.Ping {
		t.Fatalf("actions %+v", a)
	}
	if again := m.Suspect(n.now, nonNeighbour); len(again.Packets) != 0 {
		t.Error("probed again while a probe is open")
	}
}

// TestMassLossIsDetectedQuickly guards against slow detection when 40 of 67 nodes lose
// power at once, many of them monitors of each other: survivors whose requests to a node
// get no answer declare it dead within two seconds, and declare no running node dead.
func TestMassLossIsDetectedQuickly(t *testing.T) {
	const size, lost = 67, 40
	n := newNetwork(size)
	for i := range lost {
		n.down[name(i)] = true
	}
	// Each survivor sends requests to three lost nodes every 500 ms.
	for round := range 4 {
		for i := lost; i < size; i++ {
			for k := range 3 {
				target := name((7*i + 13*k + 5*round) % lost)
				n.dispatch(name(i), n.nodes[name(i)].Suspect(n.now, target))
			}
		}
		n.run(500 * time.Millisecond)
	}
	for i := range lost {
		n.requireState(t, name(i), membership.Dead)
	}
	if len(n.falseDeaths) > 0 {
		t.Fatal(n.falseDeaths)
	}
}

// TestEvidenceAgainstLiveNode checks that a node that is paused briefly, or whose
// answers are slow, is not declared dead because other nodes suspect it.
func TestEvidenceAgainstLiveNode(t *testing.T) {
	suspectAll := func(n *network) {
		for i := 1; i < 7; i++ {
			n.dispatch(name(i), n.nodes[name(i)].Suspect(n.now, name(0)))
		}
	}
	t.Run("paused", func(t *testing.T) {
		n := newNetwork(7)
		n.down[name(0)] = true
		suspectAll(n)
		n.run(2 * TickInterval)
		delete(n.down, name(0))
		n.run(3 * time.Second)
		n.requireState(t, name(0), membership.Alive)
	})
	t.Run("slow", func(t *testing.T) {
		n := newNetwork(7)
		const delay = 3 * TickInterval
		type delayedPacket struct {
			at     time.Time
			packet Packet
		}
		var late []delayedPacket
		n.drop = func(p Packet) bool {
			if p.Message.From == name(0) && p.Message.Kind == membership.Ack {
				late = append(late, delayedPacket{n.now.Add(delay), p})
				return true
			}
			return false
		}
		suspectAll(n)
		for range 60 {
			n.run(TickInterval)
			for len(late) > 0 && !late[0].at.After(n.now) {
				p := late[0].packet
				late = late[1:]
				n.dispatch(p.To, n.nodes[p.To].Receive(n.now, p.Message))
			}
		}
		if len(n.falseDeaths) > 0 {
			t.Fatal(n.falseDeaths)
		}
	})
}
