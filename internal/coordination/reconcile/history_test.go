package reconcile

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/hickorydock/hickorydock/internal/protocol/note"
)

// TestMain fixes the seed and the number of random histories unless flags set them.
// Rare histories, with two undone drifts of one revision, need a few thousand checks.
func TestMain(m *testing.M) {
	flag.Parse()
	setDefault("rapid.seed", "1")
	setDefault("rapid.checks", "3000")
	os.Exit(m.Run())
}

func setDefault(name, value string) {
	f := flag.Lookup(name)
	if f != nil && f.Value.String() == f.DefValue {
		_ = f.Value.Set(value)
	}
}

// history runs operators and nodes against one stored catalogue. Writes may arrive
// late and more than once; nodes may observe any stored state late, repeatedly or not
// at all.
type history struct {
	stored  note.Catalogue
	version int
	past    []note.Catalogue // every state that the platform ever stored
	nodes   []note.Catalogue
	late    []write
	issued  int
}

// write is a conditional update in flight.
type write struct {
	version   int
	catalogue note.Catalogue
}

func (h *history) commit(w write) bool {
	if w.version != h.version {
		return false
	}
	h.version++
	h.stored = w.catalogue
	h.past = append(h.past, w.catalogue)
	return true
}

// operator writes a note against the state that it read, at once or delayed.
func (h *history) operator(t *rapid.T) {
	h.issued++
	names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 1, 2, rapid.ID).Draw(t, "services")
	base := h.stored.Revision - min(h.stored.Revision, rapid.Uint64Range(0, 1).Draw(t, "behind"))
	n := note.Note{ID: fmt.Sprintf("n%d", h.issued), Author: "o", Base: base}
	for _, name := range names {
		if _, found := h.stored.Find(name); !found {
			n.Added = append(n.Added, spec(name, h.issued))
		} else if rapid.Bool().Draw(t, "withdraw") {
			n.Withdrawn = append(n.Withdrawn, note.Withdrawal{Name: name})
		} else {
			n.Changed = append(n.Changed, spec(name, h.issued))
		}
	}
	result, err := Apply(h.stored, n, at)
	if err != nil {
		if base == h.stored.Revision {
			t.Fatalf("valid note rejected: %v", err)
		}
		return
	}
	w := write{h.version, result.Catalogue}
	if rapid.Bool().Draw(t, "late") {
		h.late = append(h.late, w, w)
		return
	}
	h.commit(w)
}

func (h *history) deliverLate(t *rapid.T) {
	if len(h.late) == 0 {
		return
	}
	i := rapid.IntRange(0, len(h.late)-1).Draw(t, "late write")
	h.commit(h.late[i])
	h.late = append(h.late[:i:i], h.late[i+1:]...)
}

// tamper stores different content without a note.
func (h *history) tamper(t *rapid.T) {
	drifted := note.Catalogue{Revision: h.stored.Revision, Services: []note.Service{spec("z", 1)}, History: h.stored.History}
	if rapid.Bool().Draw(t, "restore an old state") {
		drifted = rapid.SampledFrom(h.past).Draw(t, "state")
	}
	h.commit(write{h.version, drifted})
}

// observe offers a node a state that the platform stored, and lets the node undo a
// rejected state if it is still stored.
func (h *history) observe(t *rapid.T, node int, offered note.Catalogue, version int) {
	before := h.nodes[node]
	acceptance := Accept(before, offered, SourcePlatform)
	if acceptance.Decision == Advance {
		h.nodes[node] = offered
	}
	if h.nodes[node].Revision < before.Revision {
		t.Fatalf("node %d went back from %d to %d", node, before.Revision, h.nodes[node].Revision)
	}
	if acceptance.NeedUndo {
		h.commit(write{version, Undo(h.nodes[node], offered, at)})
	}
}

// TestHistories checks over random histories that nodes never go back to a lower
// revision and that all nodes end with the stored catalogue once they observe it.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{past: []note.Catalogue{{}}, nodes: make([]note.Catalogue, 3)}
		t.Repeat(map[string]func(*rapid.T){
			"operator": h.operator,
			"late":     h.deliverLate,
			"tamper":   h.tamper,
			"see now": func(t *rapid.T) {
				h.observe(t, rapid.IntRange(0, 2).Draw(t, "node"), h.stored, h.version)
			},
			"see the past": func(t *rapid.T) {
				i := rapid.IntRange(0, len(h.past)-1).Draw(t, "state")
				h.observe(t, rapid.IntRange(0, 2).Draw(t, "node"), h.past[i], i)
			},
		})
		for range 4 {
			for node := range h.nodes {
				h.observe(t, node, h.stored, h.version)
			}
		}
		for node, current := range h.nodes {
			if !reflect.DeepEqual(current, h.stored) {
				t.Fatalf("node %d has revision %d, stored is %d", node, current.Revision, h.stored.Revision)
			}
		}
	})
}
