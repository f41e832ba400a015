package membership

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickorydock/hickorydock/internal/protocol/membership"
)

// drawMember draws a member whose fields may be anything that a datagram can hold.
func drawMember(t *rapid.T) membership.Member {
	return membership.Member{
		ID:               rapid.SampledFrom([]string{"", "self", "a", "b", "c"}).Draw(t, "id"),
		Address:          rapid.SampledFrom([]string{"", "no address", "10.0.0.1:1"}).Draw(t, "address"),
		AvailabilityZone: rapid.SampledFrom([]string{"", "z"}).Draw(t, "zone"),
		Start:            rapid.SampledFrom([]uint64{0, 1, 4, 1 << 63, math.MaxUint64}).Draw(t, "start"),
		Refutation:       rapid.SampledFrom([]uint32{0, 1, 1<<32 - 1}).Draw(t, "refutation"),
		State:            membership.State(rapid.IntRange(0, 5).Draw(t, "state")),
	}
}

// TestMalformedMessages: no message of another node, whatever its fields hold, takes a node
// down or makes it consider itself absent.
func TestMalformedMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		self := membership.Member{ID: "self", Address: "10.0.0.9:1", AvailabilityZone: "z", Start: 4, State: membership.Alive}
		m := New(Config{Self: self, Seed: 1})
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 20).Draw(t, "messages") {
			message := membership.Message{
				Kind:    membership.Kind(rapid.IntRange(0, 9).Draw(t, "kind")),
				From:    rapid.SampledFrom([]string{"", "self", "a", "b"}).Draw(t, "from"),
				Seq:     rapid.Uint64Range(0, 3).Draw(t, "seq"),
				Subject: membership.Subject{ID: rapid.SampledFrom([]string{"", "self", "a", "z"}).Draw(t, "subject")},
				Known:   rapid.SliceOfN(rapid.Uint32(), 0, 3).Draw(t, "known"),
				Updates: rapid.SliceOfN(rapid.Custom(drawMember), 0, 4).Draw(t, "updates"),
			}
			m.Receive(now, message)
			now = now.Add(TickInterval)
			m.Tick(now)
		}
		if own, ok := m.Lookup("self"); ok && !own.State.IsPresent() {
			t.Fatalf("the node considers itself %s", own.State)
		}
		found := false
		for _, member := range m.Members() {
			found = found || member.ID == "self" && member.State == membership.Alive
		}
		if !found {
			t.Fatalf("the node is not among its members %v", m.Members())
		}
	})
}

// TestRestartAfterClockStep: a node starts while its clock is ahead and restarts when the
// clock has jumped back, so that its new process has the lower start. It must take part as
// the newer one.
func TestRestartAfterClockStep(t *testing.T) {
	n := newNetwork(10)
	id := name(5)
	list := []membership.Member{member(name(0), 0), member(name(1), 0)}
	const ahead = 2400 * time.Millisecond
	n.start(id, membership.StartAt(n.now.Add(ahead)), list)
	n.run(time.Second)
	n.dispatch(id, n.nodes[id].Stop(n.now))
	n.deliver()
	n.start(id, membership.StartAt(n.now), list)
	n.run(2 * time.Second)
	n.requireState(t, id, membership.Alive)
	if n.nodes[id].IsSuperseded() {
		t.Error("the new process stopped taking part")
	}
	own, _ := n.nodes[id].Lookup(id)
	if seen, _ := n.nodes[name(0)].Lookup(id); seen.Start != own.Start {
		t.Errorf("start %d is seen, the node announces %d", seen.Start, own.Start)
	}
}
