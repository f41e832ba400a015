package group

import (
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/route"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
)

func newLeaf(id, group string, incarnation int64) route.Leaf {
	return route.Leaf{VM: platform.VM{ID: id, Group: group, Address: "10.0.0.1:1"}, Incarnation: incarnation}
}

func TestGroups(t *testing.T) {
	s := NewStore(leaf.NewTable())
	s.Put(newLeaf("b", "x", 1), nil)
	s.Put(newLeaf("a", "x", 1), nil)
	before := s.Replicas("x")
	s.Put(newLeaf("a", "y", 1), nil)
	if len(before) != 2 || before[0].VM.ID != "a" {
		t.Errorf("Put changed a list returned before: %+v", before)
	}
	if len(s.Replicas("x")) != 1 || len(s.Replicas("y")) != 1 {
		t.Errorf("after a move: x %d, y %d leafs", len(s.Replicas("x")), len(s.Replicas("y")))
	}
	if _, known := s.Remove("a"); !known || len(s.Replicas("y")) != 0 {
		t.Error("a removed leaf is still listed")
	}
	if _, known := s.Remove("a"); known {
		t.Error("removed twice")
	}
}

func TestNewIncarnationResetsRecord(t *testing.T) {
	s := NewStore(leaf.NewTable())
	now := time.Unix(1000, 0)
	record := s.Put(newLeaf("a", "x", 1), nil)
	record.Begin(now)
	record.End(now, time.Second, leaf.Errored)
	if s.Put(newLeaf("a", "x", 1), nil).Stats().Failures != 1 {
		t.Error("Put of the same incarnation reset the record")
	}
	if s.Put(newLeaf("a", "x", 2), nil).Stats().Failures != 0 {
		t.Error("the failures of the previous incarnation were kept")
	}
}
