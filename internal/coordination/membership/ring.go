package membership

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorydock/hickorydock/internal/protocol/membership"
)

// isolatedBit is set beside the state of an isolated member. A release whose digest lacks it
// differs while a member is isolated, and exchanges lists each minSyncInterval.
const isolatedBit = 0x80

// digestOf hashes the fields of one member that a digest covers. Digests of several
// members are combined by exclusive or.
func digestOf(m membership.Member) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(m.ID)
	var tail [13]byte
	binary.LittleEndian.PutUint64(tail[:], m.Start)
	binary.LittleEndian.PutUint32(tail[8:], m.Refutation)
	tail[12] = byte(m.State)
	if m.Isolated {
		tail[12] |= isolatedBit
	}
	_, _ = h.Write(tail[:])
	return h.Sum64()
}

// ringPosition is a member's position on the hash ring.
type ringPosition struct {
	hash uint64
	id   string
	zone string
}

func positionOf(id, zone string) ringPosition {
	return ringPosition{hash: xxhash.Sum64String(id), id: id, zone: zone}
}

func comparePositions(a, b ringPosition) int {
	switch {
	case a.hash < b.hash:
		return -1
	case a.hash > b.hash:
		return 1
	default:
		return 0
	}
}

// buildRing returns the present members and this node in ring order.
func (m *Membership) buildRing() []ringPosition {
	ring := make([]ringPosition, 0, len(m.present)+1)
	ring = append(ring, positionOf(m.self.ID, m.self.AvailabilityZone))
	for _, id := range m.present {
		ring = append(ring, positionOf(id, m.members[id].AvailabilityZone))
	}
	slices.SortFunc(ring, comparePositions)
	return ring
}

// chooseNeighbours returns the members that this node probes: those of which it is a
// monitor. The monitors of a member are Monitors nodes that precede it on the ring;
// after the first one, nodes in availability zones without a monitor are preferred.
// Every node computes the same monitors from the same members.
func (m *Membership) chooseNeighbours() []string {
	self := slices.IndexFunc(m.ring, func(p ringPosition) bool { return p.id == m.self.ID })
	var neighbours []string
	for step := 1; step <= m.searchLength(); step++ {
		target := (self + step) % len(m.ring)
		if slices.Contains(monitorsOf(m.ring, target, m.cfg.Monitors), m.self.ID) {
			neighbours = append(neighbours, m.ring[target].id)
		}
	}
	return neighbours
}

// searchLength is the number of ring positions before a member that are searched for
// its monitors.
func (m *Membership) searchLength() int {
	return min(len(m.ring)-1, searchFactor*m.cfg.Monitors)
}

// searchFactor bounds the number of ring positions that are searched for other zones,
// as a multiple of the number of monitors.
const searchFactor = 4

// monitorsOf returns the nodes that probe ring[target].
func monitorsOf(ring []ringPosition, target, count int) []string {
	searchLength := min(len(ring)-1, searchFactor*count)
	count = min(count, len(ring)-1)
	chosen := make([]string, 0, count)
	zones := make([]string, 0, count)
	for pass := 0; pass < 2 && len(chosen) < count; pass++ {
		for step := 1; step <= searchLength && len(chosen) < count; step++ {
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

// observersOf returns the other present nodes that are asked whether a member is alive:
// its monitors, and one node picked at random.
func (m *Membership) observersOf(id string) []string {
	m.refresh()
	target := slices.IndexFunc(m.ring, func(p ringPosition) bool { return p.id == id })
	if target < 0 {
		return nil
	}
	chosen := monitorsOf(m.ring, target, m.cfg.Monitors)
	chosen = append(chosen, m.present[m.random.IntN(len(m.present))])
	slices.Sort(chosen)
	chosen = slices.Compact(chosen)
	return slices.DeleteFunc(chosen, func(other string) bool { return other == id || other == m.self.ID })
}
