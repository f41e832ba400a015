package group

import (
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/route"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
)

func leafOf(id, group string, born int64) route.Leaf {
	return route.Leaf{VM: platform.VM{ID: id, Group: group, Address: "10.0.0.1:1"}, Incarnation: born}
}

func TestGroups(t *testing.T) {
	s := NewStore(leaf.NewTable())
	s.Put(leafOf("b", "x", 1))
	s.Put(leafOf("a", "x", 1))
	before := s.Replicas("x")
	s.Put(leafOf("a", "y", 1))
	if len(before) != 2 || before[0].VM.ID != "a" {
		t.Errorf("a list that was handed out changed: %+v", before)
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

func TestLeafBornAgainStartsAnew(t *testing.T) {
	s := NewStore(leaf.NewTable())
	now := time.Unix(1000, 0)
	record := s.Put(leafOf("a", "x", 1))
	record.Begin(now)
	record.End(now, time.Second, leaf.Errored)
	if s.Put(leafOf("a", "x", 1)).Stats().Failures != 1 {
		t.Error("a change of the entry lost the measurements")
	}
	if s.Put(leafOf("a", "x", 2)).Stats().Failures != 0 {
		t.Error("a new process inherited the failures of the old one")
	}
}
