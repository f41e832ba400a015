package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/membership"
)

const (
	// joinRetry is the time between two attempts of a node without members to reach
	// the seeds.
	joinRetry = 200 * time.Millisecond
	// startSpread is the time within which all nodes of a fleet start.
	startSpread = 300 * time.Millisecond
	// largestDatagram bounds an encoded message, in bytes.
	largestDatagram = 64 << 10
)

// fleetStart runs nodes that start within startSpread and know only the addresses of
// three seeds.
type fleetStart struct {
	*network
	size  int
	sent  map[string]int // bytes by sender
	seeds []string
}

// joinMember has an id, an address and an availability zone of the usual lengths.
func joinMember(i int) membership.Member {
	return membership.Member{
		ID: fmt.Sprintf("frontend-zone-%d-%03d", i%6, i), Address: fmt.Sprintf("10.%d.0.%d:7380", i%6, i), AvailabilityZone: fmt.Sprintf("zone-%d", i%6),
		Start: 1_800_000_000_000_000 + uint64(i), State: membership.Alive,
	}
}

func startFleet(t *testing.T, size int, lossEvery int) *fleetStart {
	f := &fleetStart{network: &network{now: epoch, nodes: map[string]*Membership{}, down: map[string]bool{}}, size: size, sent: map[string]int{}}
	packets := 0
	f.drop = func(p Packet) bool {
		bytes := len(p.Message.Append(nil))
		if bytes > largestDatagram {
			t.Errorf("%s sends a datagram of %d bytes", p.Message.From, bytes)
			return true
		}
		f.sent[p.Message.From] += bytes
		packets++
		return packets%lossEvery == 0
	}
	for i := range 3 {
		f.seeds = append(f.seeds, joinMember(i*size/3).ID)
	}
	return f
}

// size is the number of members that a node knows, itself included.
func (m *Membership) size() int {
	m.refresh()
	return len(m.present) + 1
}

// step starts the nodes that are due, lets those without members call the seeds, and
// runs for one tick.
func (f *fleetStart) step(elapsed time.Duration) {
	for i := range f.size {
		self := joinMember(i)
		startsAt := time.Duration(i%3) * startSpread / 3
		m := f.nodes[self.ID]
		if m == nil && elapsed >= startsAt {
			m = New(Config{Self: self, Seed: uint64(i)})
			f.nodes[self.ID] = m
		}
		if m == nil || m.size() > 1 || (elapsed-startsAt)%joinRetry != 0 {
			continue
		}
		for _, seed := range f.seeds {
			if seed != self.ID {
				join := membership.Message{Kind: membership.Sync, From: self.ID, Updates: []membership.Member{self}}
				f.inFlight = append(f.inFlight, Packet{To: seed, Message: join})
			}
		}
	}
	f.run(TickInterval)
}

// complete returns the number of nodes that know all others.
func (f *fleetStart) complete() int {
	count := 0
	for _, m := range f.nodes {
		if m.size() == f.size {
			count++
		}
	}
	return count
}

// TestFleetStart guards against a slow start of many nodes at once: while nodes have
// different lists, many take themselves for readers of the platform, and requests go to
// the few that are known. The list must be complete everywhere soon, and a node, the
// seeds included, must not send more than in proportion to the size of the fleet.
func TestFleetStart(t *testing.T) {
	const (
		// limit is the time in which a fleet must serve again after all its nodes were
		// killed.
		limit = 2 * time.Second
		// maxBytes is the number of bytes that a node may send for each node of the fleet.
		maxBytes = 16 << 10
	)
	for _, size := range []int{8, 82, 295, 610} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := startFleet(t, size, 50)
			var elapsed time.Duration
			for ; elapsed < 10*time.Second && f.complete() < size; elapsed += TickInterval {
				f.step(elapsed)
			}
			most := 0
			for _, bytes := range f.sent {
				most = max(most, bytes)
			}
			t.Logf("%d of %d nodes know all after %v, at most %d bytes sent by one", f.complete(), size, elapsed, most)
			if elapsed > limit {
				t.Errorf("complete after %v, want at most %v", elapsed, limit)
			}
			if most > size*maxBytes {
				t.Errorf("a node sent %d bytes, want at most %d", most, size*maxBytes)
			}
		})
	}
}

// TestRollingRestartBetweenZones guards against the traffic of membership between
// availability zones while the nodes of a large fleet are restarted one after the other.
// Each node forwards each change, so nearly all of these messages must stay in one zone.
// A change still has to be known everywhere soon.
func TestRollingRestartBetweenZones(t *testing.T) {
	const (
		size     = 295
		restarts = 20
		interval = 200 * time.Millisecond // between two restarts
		settled  = 1500 * time.Millisecond
		// maxBytes is the number of bytes between zones for each node and restart.
		maxBytes = 1 << 10
	)
	f := startFleet(t, size, 50)
	for elapsed := time.Duration(0); elapsed < 8*time.Second; elapsed += TickInterval {
		f.step(elapsed)
	}
	between := 0
	count := f.drop
	f.drop = func(p Packet) bool {
		if f.nodes[p.Message.From].self.AvailabilityZone != f.nodes[p.To].self.AvailabilityZone {
			between += len(p.Message.Append(nil))
		}
		return count(p)
	}
	var restarted []string
	for i := range restarts {
		id := joinMember(10 * i).ID
		f.dispatch(id, f.nodes[id].Stop(f.now))
		f.deliver()
		next := joinMember(10 * i)
		next.Start += size
		f.nodes[id] = New(Config{Self: next, Seed: uint64(i)})
		join := membership.Message{Kind: membership.Sync, From: id, Updates: []membership.Member{next}}
		f.inFlight = append(f.inFlight, Packet{To: f.seeds[i%len(f.seeds)], Message: join})
		restarted = append(restarted, id)
		f.run(interval)
	}
	f.run(settled)
	for _, id := range restarted {
		f.requireState(t, id, membership.Alive)
		for viewer, m := range f.nodes {
			if known, _ := m.Lookup(id); known.Start != f.nodes[id].self.Start {
				t.Errorf("%s knows the former process of %s", viewer, id)
			}
		}
	}
	t.Logf("%d bytes between zones for each node and restart", between/size/restarts)
	if most := size * restarts * maxBytes; between > most {
		t.Errorf("%d bytes between zones, %d for each node and restart, want at most %d", between, between/size/restarts, maxBytes)
	}
}
