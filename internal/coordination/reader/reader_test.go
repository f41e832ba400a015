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

// TestReadersDoNotGrowWithTheFleet answers the pattern of many nodes that each
// page through the platform's lists.
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
		t.Error("a node that leaves reads")
	}
}

// TestReadersThatAreCutOff answers the pattern of a cut between the platform and
// some nodes, the readers among them: once their knowledge is stale, all nodes
// agree on the next readers, which read the platform.
func TestReadersThatAreCutOff(t *testing.T) {
	members := fleet(70)
	cut := Readers(members, nil)
	next := Readers(members, cut)
	for _, id := range next {
		if slices.Contains(cut, id) {
			t.Fatalf("stale node %s is a reader", id)
		}
	}
	for _, m := range members {
		got := Choose(Input{Self: m.ID, Members: members, SinceStart: time.Minute, Stale: cut, Random: 0.5})
		isReader := slices.Contains(next, m.ID)
		if got.Platform != isReader || !isReader && !slices.Contains(next, got.Peer) {
			t.Errorf("node %s learns from %+v, readers %v", m.ID, got, next)
		}
	}
}

// TestReaderThatIsTurnedAway answers the pattern of a platform that serves only
// some nodes: a reader that it turns away learns from the others.
func TestReaderThatIsTurnedAway(t *testing.T) {
	members := fleet(7)
	self := Readers(members, nil)[0]
	got := Choose(Input{Self: self, Members: members, SinceStart: time.Minute, Stale: []string{self}, Random: 0.5})
	if got.Platform || got.Peer == "" || got.Peer == self {
		t.Errorf("a reader that is turned away learns from %+v", got)
	}
}

// TestOverdue answers the pattern of cuts that take one source after the other:
// whoever they are, knowledge does not grow old while the platform serves the node.
func TestOverdue(t *testing.T) {
	members := fleet(70)
	readers := Readers(members, nil)
	for _, m := range members {
		look := Input{Self: m.ID, Members: members, SinceStart: time.Minute, Overdue: true, Random: 0.5}
		if got := Choose(look); !got.Platform {
			t.Fatalf("node %s that is overdue learns from %+v", m.ID, got)
		}
		look.Overdue = false
		look.Stale = []string{"a", "b", "c"}
		if got := Choose(look); !got.Platform {
			t.Fatalf("node %s that lost three sources learns from %+v", m.ID, got)
		}
		look.Overdue = true
		look.Stale = []string{m.ID}
		if got := Choose(look); got.Platform || !slices.Contains(Readers(members, look.Stale), got.Peer) {
			t.Fatalf("node %s that is overdue and turned away learns from %+v, readers %v", m.ID, got, readers)
		}
	}
}

func TestNobodyIsFresh(t *testing.T) {
	members := fleet(3)
	look := Input{Self: "n000", Members: members, SinceStart: time.Minute, Stale: []string{"n000", "n001", "n002"}, Random: 0.9}
	if got := Choose(look); got != (Source{}) {
		t.Errorf("most looks wait, got %+v", got)
	}
	look.Empty = true
	if got := Choose(look); !got.Platform {
		t.Errorf("a node that knows nothing does not wait, got %+v", got)
	}
	look.Empty = false
	look.Random = soloShare / 2
	if got := Choose(look); !got.Platform {
		t.Errorf("some looks read the platform, got %+v", got)
	}
}

func TestStart(t *testing.T) {
	alone := fleet(1)
	look := Input{Self: alone[0].ID, Members: alone, HasSeeds: true}
	if got := Choose(look); got != (Source{}) {
		t.Errorf("a node that has just started: %+v, want to wait", got)
	}
	look.IsSeed = true
	if got := Choose(look); !got.Platform {
		t.Errorf("a seed: %+v, want the platform", got)
	}
	look.IsSeed = false
	look.SinceStart = JoinWait
	if got := Choose(look); !got.Platform {
		t.Errorf("a node that hears of nobody: %+v, want the platform", got)
	}
}
