package membership

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorydock/hickorydock/internal/protocol/membership"
)

// digestOf hashes what a digest covers of one member. Digests of several
// members are joined by exclusive or.
func digestOf(m membership.Member) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(m.ID)
	var tail [13]byte
	binary.LittleEndian.PutUint64(tail[:], m.Start)
	binary.LittleEndian.PutUint32(tail[8:], m.Refutation)
	tail[12] = byte(m.State)
	_, _ = h.Write(tail[:])
	return h.Sum64()
}

// place is a member's position on a ring.
type place struct {
	hash uint64
	id   string
	zone string
}

func placeOf(id, zone string) place {
	return place{hash: xxhash.Sum64String(id), id: id, zone: zone}
}

func comparePlaces(a, b place) int {
	switch {
	case a.hash < b.hash:
		return -1
	case a.hash > b.hash:
		return 1
	default:
		return 0
	}
}

// buildRing returns the present members and this node in the order of the ring.
func (m *Membership) buildRing() []place {
	ring := make([]place, 0, len(m.present)+1)
	ring = append(ring, placeOf(m.self.ID, m.self.AvailabilityZone))
	for _, id := range m.present {
		ring = append(ring, placeOf(id, m.members[id].AvailabilityZone))
	}
	slices.SortFunc(ring, comparePlaces)
	return ring
}

// chooseNeighbours returns the members that this node probes: the ones for
// which it is among the Monitors nodes that precede them on the ring, where
// after the first one nodes in availability zones not yet used go first. Every
// node computes the same monitors from the same members.
func (m *Membership) chooseNeighbours() []string {
	self := slices.IndexFunc(m.ring, func(p place) bool { return p.id == m.self.ID })
	var neighbours []string
	for step := 1; step <= m.stretch(); step++ {
		target := (self + step) % len(m.ring)
		if slices.Contains(monitorsOf(m.ring, target, m.cfg.Monitors), m.self.ID) {
			neighbours = append(neighbours, m.ring[target].id)
		}
	}
	return neighbours
}

// stretch is the number of places before a member that may hold its monitors.
func (m *Membership) stretch() int {
	return min(len(m.ring)-1, searchFactor*m.cfg.Monitors)
}

// searchFactor bounds the stretch of the ring that is searched for other zones,
// in units of the number of monitors.
const searchFactor = 4

// monitorsOf returns the nodes that probe ring[target].
func monitorsOf(ring []place, target, count int) []string {
	stretch := min(len(ring)-1, searchFactor*count)
	count = min(count, len(ring)-1)
	chosen := make([]string, 0, count)
	zones := make([]string, 0, count)
	for pass := 0; pass < 2 && len(chosen) < count; pass++ {
		for step := 1; step <= stretch && len(chosen) < count; step++ {
			candidate := ring[(target-step+len(ring))%len(ring)]
			if pass == 0 && slices.Contains(zones, candidate.zone) || slices.Contains(chosen, candidate.id) {
				continue
			}
			chosen = append(chosen, candidate.id)
			zones = append(zones, candidate.zone)
		}
	}
	return chosen
}

// witnesses returns the other present nodes that should know whether a member
// lives: its monitors, and one node picked at random.
func (m *Membership) witnesses(id string) []string {
	m.refresh()
	target := slices.IndexFunc(m.ring, func(p place) bool { return p.id == id })
	if target < 0 {
		return nil
	}
	chosen := monitorsOf(m.ring, target, m.cfg.Monitors)
	chosen = append(chosen, m.present[m.random.IntN(len(m.present))])
	slices.Sort(chosen)
	chosen = slices.Compact(chosen)
	return slices.DeleteFunc(chosen, func(other string) bool { return other == id || other == m.self.ID })
}
