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
		got := Choose(Input{Self: m.ID, Members: members, SinceStart: time.Minute, Stale: cutOff, Random: 0.5})
		isReader := slices.Contains(next, m.ID)
		if got.Platform != isReader || !isReader && !slices.Contains(next, got.Peer) {
			t.Errorf("node %s has source %+v, readers %v", m.ID, got, next)
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
		if got := Choose(input); got.Platform || !slices.Contains(Readers(members, input.Stale), got.Peer) {
			t.Fatalf("overdue and rejected node %s has source %+v, readers %v", m.ID, got, readers)
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
