package reader

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/membership"
)

func fleet(n int) []membership.Member {
	members := make([]membership.Member, n)
	for i := range members {
		members[i] = membership.Member{ID: fmt.Sprintf("n%03d", i), AvailabilityZone: fmt.Sprintf("az-%d", i%4), State: membership.Alive}
	}
	return members
}

// TestReadersDoNotGrowWithTheFleet guards against many nodes that each page through
// the platform's lists.
func TestReadersDoNotGrowWithTheFleet(t *testing.T) {
	for _, n := range []int{1, 7, 70, 610} {
		members := fleet(n)
		reading := 0
		for _, m := range members {
			if Choose(Input{Self: m.ID, Members: members, SinceStart: time.Minute, Random: 0.5}).Platform {
				reading++
			}
		}
		if want := min(n, Count); reading != want {
			t.Errorf("%d of %d nodes read the platform, want %d", reading, n, want)
		}
	}
}

func TestReadersLieInDifferentZones(t *testing.T) {
	members := fleet(70)
	readers := Readers(members, nil)
	zones := map[string]bool{}
	for _, m := range members {
		if slices.Contains(readers, m.ID) {
			zones[m.AvailabilityZone] = true
		}
	}
	if len(zones) != Count {
		t.Errorf("readers %v lie in %d zones", readers, len(zones))
	}
	for i := range members {
		if members[i].ID == readers[0] {
			members[i].State = membership.Leaving
		}
	}
	if slices.Contains(Readers(members, nil), readers[0]) {
		t.Error("a leaving node is a reader")
	}
}

// sourceOf is the source of a node that has run for a while.
func sourceOf(id string, members []membership.Member, stale []string) Source {
	return Choose(Input{Self: id, Members: members, SinceStart: time.Minute, Stale: stale, Random: 0.5})
}

// chain returns the nodes through which a node fetches, up to the one that reads the
// platform. It ends after maxChain nodes.
func chain(id string, members []membership.Member, stale []string) []string {
	const maxChain = 10
	var nodes []string
	for len(nodes) < maxChain {
		source := sourceOf(id, members, stale)
		if source.Platform {
			break
		}
		id = source.Peer
		nodes = append(nodes, id)
	}
	return nodes
}

// TestSpreadOverTrees guards against readers that send everything to all nodes: with
// 295 of them a start of all kept their links busy for seconds. The children of a node,
// the nodes on the way and the ways between availability zones must stay few.
func TestSpreadOverTrees(t *testing.T) {
	const zones = 4
	for _, n := range []int{9, 82, 295, 1000} {
		members := fleet(n)
		children := map[string]int{}
		longest, betweenZones := 0, 0
		for _, m := range members {
			way := chain(m.ID, members, nil)
			longest = max(longest, len(way))
			if len(way) == 0 {
				continue
			}
			children[way[0]]++
			if zoneOf(members, way[0]) != m.AvailabilityZone {
				betweenZones++
			}
		}
		for id, count := range children {
			if most := fanout + zones; count > most {
				t.Errorf("%d nodes: %d fetch from %s, want at most %d", n, count, id, most)
			}
		}
		if maxLength := 4; longest > maxLength {
			t.Errorf("%d nodes: the longest way has %d nodes, want at most %d", n, longest, maxLength)
		}
		if betweenZones > zones-Count {
			t.Errorf("%d nodes: %d ways lead to another zone, want one for each zone without a reader", n, betweenZones)
		}
	}
}

// TestReadersCutOffFromPlatform guards against a partition between the platform and
// some nodes, including the readers: once the state of those is stale, all nodes agree
// on the next readers, which read the platform.
func TestReadersCutOffFromPlatform(t *testing.T) {
	members := fleet(70)
	cutOff := Readers(members, nil)
	next := Readers(members, cutOff)
	for _, id := range next {
		if slices.Contains(cutOff, id) {
			t.Fatalf("stale node %s is a reader", id)
		}
	}
	for _, m := range members {
		got := sourceOf(m.ID, members, cutOff)
		if isReader := slices.Contains(next, m.ID); got.Platform != isReader {
			t.Errorf("node %s has source %+v, readers %v", m.ID, got, next)
		}
		if got.Platform {
			continue
		}
		way := chain(m.ID, members, cutOff)
		if !slices.Contains(next, way[len(way)-1]) || slices.ContainsFunc(way, func(id string) bool { return slices.Contains(cutOff, id) }) {
			t.Errorf("node %s fetches through %v, readers %v, cut off %v", m.ID, way, next, cutOff)
		}
	}
}

// TestReaderRejectedByPlatform guards against a platform that serves only some nodes: a
// reader that it rejects reads from the others.
func TestReaderRejectedByPlatform(t *testing.T) {
	members := fleet(7)
	self := Readers(members, nil)[0]
	got := Choose(Input{Self: self, Members: members, SinceStart: time.Minute, Stale: []string{self}, Random: 0.5})
	if got.Platform || got.Peer == "" || got.Peer == self {
		t.Errorf("a rejected reader has source %+v", got)
	}
}

// TestOverdue guards against partitions that cut off one source after the other:
// whichever sources fail, the state of a node that the platform serves does not become
// stale.
func TestOverdue(t *testing.T) {
	members := fleet(70)
	readers := Readers(members, nil)
	for _, m := range members {
		input := Input{Self: m.ID, Members: members, SinceStart: time.Minute, Overdue: true, Random: 0.5}
		if got := Choose(input); !got.Platform {
			t.Fatalf("overdue node %s has source %+v", m.ID, got)
		}
		input.Overdue = false
		input.Stale = []string{"a", "b", "c"}
		if got := Choose(input); !got.Platform {
			t.Fatalf("node %s with three failed sources has source %+v", m.ID, got)
		}
		input.Overdue = true
		input.Stale = []string{m.ID}
		got := Choose(input)
		way := append([]string{got.Peer}, chain(got.Peer, members, input.Stale)...)
		if got.Platform || slices.Contains(way, m.ID) || !slices.Contains(Readers(members, input.Stale), way[len(way)-1]) {
			t.Fatalf("overdue and rejected node %s fetches through %v, readers %v", m.ID, way, readers)
		}
	}
}

func TestNoNodeIsFresh(t *testing.T) {
	members := fleet(3)
	input := Input{Self: "n000", Members: members, SinceStart: time.Minute, Stale: []string{"n000", "n001", "n002"}, Random: 0.9}
	if got := Choose(input); got != (Source{}) {
		t.Errorf("a high random number gives %+v, want to wait", got)
	}
	input.Empty = true
	if got := Choose(input); !got.Platform {
		t.Errorf("a node without state has source %+v, want the platform", got)
	}
	input.Empty = false
	input.Random = fallbackProbability / 2
	if got := Choose(input); !got.Platform {
		t.Errorf("a low random number gives %+v, want the platform", got)
	}
}

func TestStart(t *testing.T) {
	alone := fleet(1)
	input := Input{Self: alone[0].ID, Members: alone, HasSeeds: true}
	if got := Choose(input); got != (Source{}) {
		t.Errorf("a node that has just started: %+v, want to wait", got)
	}
	input.IsSeed = true
	if got := Choose(input); !got.Platform {
		t.Errorf("a seed: %+v, want the platform", got)
	}
	input.IsSeed = false
	input.SinceStart = JoinWait
	if got := Choose(input); !got.Platform {
		t.Errorf("a node that discovers no other node: %+v, want the platform", got)
	}
}

// TestRestartedNodeLeavesPlatformToOthers guards against the calls of nodes that are
// restarted one after the other: each knows few members at first, by which it may be a
// reader, and would page through all lists. When all nodes start together, those that
// the hashes choose read at once.
func TestRestartedNodeLeavesPlatformToOthers(t *testing.T) {
	members := fleet(5)
	for i := range members {
		members[i].Start = membership.StartAt(time.Unix(1000, 0))
	}
	self := Readers(members, nil)[0]
	i := slices.IndexFunc(members, func(m membership.Member) bool { return m.ID == self })
	tests := []struct {
		name       string
		later      time.Duration // start of the node after that of the others
		sinceStart time.Duration
		platform   bool
	}{
		{"restarted", time.Minute, 100 * time.Millisecond, false},
		{"restarted a while ago", time.Minute, newcomerPeriod, true},
		{"all have started", 300 * time.Millisecond, 100 * time.Millisecond, true},
	}
	for _, test := range tests {
		members[i].Start = membership.StartAt(time.Unix(1000, 0).Add(test.later))
		got := Choose(Input{Self: self, Members: members, SinceStart: test.sinceStart, Random: 0.5})
		if got.Platform != test.platform || !got.Platform && (got.Peer == "" || got.Peer == self) {
			t.Errorf("%s: source %+v, want the platform %v", test.name, got, test.platform)
		}
	}
}

// TestContacts: few nodes of a fleet of any size are contacts, also when some of them fail,
// and the addresses of nodes that are gone do not pile up.
func TestContacts(t *testing.T) {
	for _, size := range []int{1, 7, 82, 610} {
		members := fleet(size)
		for range 3 {
			var contacts []string
			for _, m := range members {
				if IsContact(members, m.ID) {
					contacts = append(contacts, m.ID)
				}
			}
			if want := min(len(members), contactCount); len(contacts) != want {
				t.Errorf("%d of %d nodes are contacts, want %d", len(contacts), len(members), want)
			}
			members = slices.DeleteFunc(members, func(m membership.Member) bool { return m.ID == contacts[0] })
			if len(members) == 0 {
				break
			}
		}
	}
	members := fleet(maxContacts)
	listed := []string{"gone-1"}
	for _, m := range members {
		if got := AbsentContacts(members, listed); len(listed) <= maxContacts && len(got) > 0 {
			t.Errorf("contacts %v of %d are removed", got, len(listed))
		}
		listed = append(listed, m.ID)
	}
	if got := AbsentContacts(members, listed); len(got) != 1 || got[0] != "gone-1" {
		t.Errorf("contacts %v are removed, want that of the absent node", got)
	}
}

// TestFirstNodesOfFleet: of a fleet that starts before its seeds, the nodes that a contact
// answers follow others and only the ones that none answers read the platform, without
// waiting for the seeds.
func TestFirstNodesOfFleet(t *testing.T) {
	alone := Input{Self: "n000", Members: fleet(1), HasSeeds: true, Empty: true, SinceStart: JoinWait / 10, Random: 0.5}
	if got := Choose(alone); got != (Source{}) {
		t.Errorf("before the contacts were called: %+v", got)
	}
	alone.Unanswered = true
	if got := Choose(alone); !got.Platform {
		t.Errorf("when no contact answers: %+v", got)
	}
}

// TestFleetStartReaders: when all nodes start, those of a small fleet read the platform
// themselves, and a bounded number of a large one; when one node starts, it leaves the
// platform to the others.
func TestFleetStartReaders(t *testing.T) {
	for size, want := range map[int]int{9: 9, 82: startReaders, 610: startReaders} {
		members := fleet(size)
		reading := 0
		for _, m := range members {
			if Choose(Input{Self: m.ID, Members: members, HasSeeds: true, Empty: true, SinceStart: JoinWait / 10, Random: 0.5}).Platform {
				reading++
			}
		}
		if reading != want {
			t.Errorf("%d of %d nodes read the platform, want %d", reading, size, want)
		}
		restarted := &members[size/2]
		restarted.Start = uint64(2 * newcomerPeriod.Microseconds())
		if source := Choose(Input{Self: restarted.ID, Members: members, HasSeeds: true, Empty: true, SinceStart: JoinWait / 10, Random: 0.5}); source.Platform {
			t.Errorf("one restarted node of %d reads the platform", size)
		}
	}
}

// TestFleetStartWithoutPlatform: a node that the platform rejects while all nodes start
// follows another one.
func TestFleetStartWithoutPlatform(t *testing.T) {
	members := fleet(9)
	source := Choose(Input{Self: "n003", Members: members, Stale: []string{"n003"}, HasSeeds: true, Empty: true, SinceStart: JoinWait / 10, Random: 0.5})
	if source.Platform || source.Peer == "" {
		t.Errorf("source %+v", source)
	}
}

// TestRejectedReaderFollowsTheOther guards against a reader that the platform rejects and that
// follows a node which follows it, so that neither receives changes.
func TestRejectedReaderFollowsTheOther(t *testing.T) {
	var members []membership.Member
	for i := range 8 {
		members = append(members, membership.Member{ID: fmt.Sprintf("n%d", i), AvailabilityZone: fmt.Sprintf("az-%d", i%2), State: membership.Alive})
	}
	readers := Readers(members, nil)
	for i, rejected := range readers {
		input := Input{Self: rejected, Members: members, SinceStart: time.Minute, Stale: []string{rejected}, Random: 0.5}
		if got := Choose(input); got != (Source{Peer: readers[1-i]}) {
			t.Errorf("%s chooses %+v, want the other reader %s", rejected, got, readers[1-i])
		}
		input.Stale = readers
		if got := Choose(input); got.Platform || slices.Contains(readers, got.Peer) {
			t.Errorf("%s chooses %+v while both readers are stale", rejected, got)
		}
	}
}
