package reconcile

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

var at = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func spec(name string, slots int) note.Service {
	return note.Service{Name: name, UpstreamGroup: name, LeafSlots: slots, LeafConnections: 100}.Normalize()
}

func add(id string, base uint64, services ...note.Service) note.Note {
	return note.Note{ID: id, Author: "o", Base: base, Added: services}
}

func mustApply(t *testing.T, c note.Catalogue, n note.Note) note.Catalogue {
	t.Helper()
	result, err := Apply(c, n, at)
	if err != nil {
		t.Fatal(err)
	}
	return result.Catalogue
}

func TestApplyChangesServices(t *testing.T) {
	c := mustApply(t, note.Catalogue{}, add("n1", 0, spec("b", 1), spec("c", 1)))
	result, err := Apply(c, note.Note{
		ID: "n2", Author: "o", Base: 1,
		Added:     []note.Service{spec("a", 1)},
		Changed:   []note.Service{spec("c", 3)},
		Withdrawn: []note.Withdrawal{{Name: "b"}},
	}, at)
	if err != nil {
		t.Fatal(err)
	}
	want := []note.Service{spec("a", 1), spec("c", 3)}
	if !reflect.DeepEqual(result.Catalogue.Services, want) || result.Revision != 2 || len(result.Catalogue.History) != 2 {
		t.Fatalf("catalogue %+v", result.Catalogue)
	}
	if got := result.Diff.String(); got != "+ a\n~ c\n    leaf_slots: 1 -> 3\n- b\n" {
		t.Errorf("diff %q", got)
	}
	if len(c.Services) != 2 || c.Services[0].Name != "b" || len(c.History) != 1 {
		t.Errorf("the given catalogue was changed: %+v", c)
	}
}

func TestApplyRejects(t *testing.T) {
	c := mustApply(t, note.Catalogue{}, add("n1", 0, spec("a", 1)))
	cases := []struct {
		name string
		n    note.Note
		want string
		is   error
	}{
		{"base behind", add("n2", 0, spec("b", 1)), `revision 1 is in force: note "n1" by o changed a in revision 1`, platform.ErrConflict},
		{"base ahead", add("n2", 2, spec("b", 1)), "only revision 1", platform.ErrConflict},
		{"id of another note", add("n1", 1, spec("b", 1)), `id "n1" was used`, nil},
		{"adds what is there", add("n2", 1, spec("a", 1)), "added[0].name: service \"a\" is in force already", nil},
		{"changes and withdraws what is not there", note.Note{ID: "n2", Author: "o", Base: 1, Changed: []note.Service{spec("x", 1)}, Withdrawn: []note.Withdrawal{{Name: "y"}}},
			"changed[0].name: service \"x\" is not in force\nwithdrawn[0].name: service \"y\" is not in force", nil},
		{"invalid on its own", add("n2", 1, spec("b", 0)), "added[0].leaf_slots", nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			result, err := Apply(c, tc.n, at)
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Fatalf("error %v, want %q", err, tc.want)
			}
			if tc.is != nil && !errors.Is(err, tc.is) {
				t.Errorf("error is not %v", tc.is)
			}
			if !reflect.DeepEqual(result, Result{}) {
				t.Errorf("result %+v with an error", result)
			}
		})
	}
}

func TestRepeatedNoteIsNoOp(t *testing.T) {
	first := add("n1", 0, spec("a", 1))
	c := mustApply(t, note.Catalogue{}, first)
	c = mustApply(t, c, add("n2", 1, spec("b", 1)))
	result, err := Apply(c, first, at.Add(time.Hour))
	if err != nil || !result.Repeated || result.Revision != 1 || !reflect.DeepEqual(result.Catalogue, c) {
		t.Fatalf("result %+v, error %v", result, err)
	}
}

func TestTooLarge(t *testing.T) {
	var services []note.Service
	for i := range 5000 {
		services = append(services, spec(fmt.Sprintf("service-%d", i), 1))
	}
	_, err := Apply(note.Catalogue{}, add("n1", 0, services...), at)
	var large *TooLarge
	if !errors.As(err, &large) || !errors.Is(err, platform.ErrTooLarge) || large.Bytes <= platform.MaxValueBytes {
		t.Fatalf("error %v", err)
	}
}

// TestHistoryIsBounded checks that neither large nor many notes make the history grow
// beyond its limits, and that the newest record is always kept.
func TestHistoryIsBounded(t *testing.T) {
	var many []note.Service
	for i := range 400 {
		many = append(many, spec(fmt.Sprintf("%050d", i), 1))
	}
	cases := []struct {
		name     string
		services []note.Service
		notes    int
		max      int
	}{
		{"large notes", many, 10, MaxHistoryBytes / (400 * 50)},
		{"many notes", many[:1], note.MaxHistory + 10, note.MaxHistory},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := mustApply(t, note.Catalogue{}, add("n0", 0, tc.services...))
			for i := 1; i <= tc.notes; i++ {
				c = mustApply(t, c, note.Note{ID: fmt.Sprintf("n%d", i), Author: "o", Base: c.Revision, Changed: tc.services})
			}
			newest := c.History[len(c.History)-1].ID
			if len(c.History) > tc.max || newest != fmt.Sprintf("n%d", tc.notes) {
				t.Fatalf("%d records, want at most %d; the newest is %s", len(c.History), tc.max, newest)
			}
		})
	}
}

func TestAccept(t *testing.T) {
	one := mustApply(t, note.Catalogue{}, add("n1", 0, spec("a", 1)))
	two := mustApply(t, one, add("n2", 1, spec("b", 1)))
	drifted := one
	drifted.Services = []note.Service{spec("a", 9)}
	otherDrifted := one
	otherDrifted.Services = []note.Service{spec("z", 1)}
	cases := []struct {
		name             string
		current, offered note.Catalogue
		source           Source
		decision         Decision
		undo             bool
	}{
		{"first", note.Catalogue{}, one, SourcePlatform, Advance, false},
		{"higher", one, two, SourcePlatform, Advance, false},
		{"again", one, one, SourcePlatform, Same, false},
		{"lower from the platform", two, one, SourcePlatform, Older, true},
		{"lower from a peer", two, one, SourcePeer, Older, false},
		{"other content from the platform", one, drifted, SourcePlatform, Drift, true},
		{"other content from a peer", one, drifted, SourcePeer, Drift, false},
		{"same services by another undo", Undo(one, otherDrifted, at), Undo(one, drifted, at), SourcePlatform, Drift, true},
		{"removed", two, note.Catalogue{}, SourcePlatform, Older, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := Accept(c.current, c.offered, c.source)
			if got.Decision != c.decision || got.NeedUndo != c.undo {
				t.Fatalf("decision %v", got)
			}
			if !got.NeedUndo {
				return
			}
			undone := Undo(c.current, c.offered, at)
			if !reflect.DeepEqual(undone.Services, c.current.Services) {
				t.Errorf("undo gives %+v", undone.Services)
			}
			if Accept(c.current, undone, SourcePlatform).Decision != Advance || Accept(c.offered, undone, SourcePlatform).Decision != Advance {
				t.Errorf("revision %d is not above both", undone.Revision)
			}
		})
	}
}

func TestNewest(t *testing.T) {
	if _, ok := Newest(nil); ok {
		t.Error("found a catalogue in an empty list")
	}
	newest, ok := Newest([]note.Catalogue{{Revision: 3}, {Revision: 5}, {Revision: 4}})
	if !ok || newest.Revision != 5 {
		t.Errorf("newest %+v", newest)
	}
}
