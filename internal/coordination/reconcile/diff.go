package reconcile

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/hickorydock/hickorydock/internal/protocol/note"
)

// FieldChange is a field of a service whose value differs.
type FieldChange struct {
	Field  string `json:"field"`
	Before string `json:"before"` // JSON
	After  string `json:"after"`  // JSON
}

// ServiceChange is a service whose fields differ.
type ServiceChange struct {
	Name   string        `json:"name"`
	Fields []FieldChange `json:"fields"`
}

// Diff is the difference between two catalogues' services, sorted by name.
type Diff struct {
	Added     []string        `json:"added,omitempty"`
	Changed   []ServiceChange `json:"changed,omitempty"`
	Withdrawn []string        `json:"withdrawn,omitempty"`
}

// Empty reports whether nothing differs.
func (d Diff) Empty() bool {
	return len(d.Added)+len(d.Changed)+len(d.Withdrawn) == 0
}

// String formats the diff as readable text, one line for each service and field.
func (d Diff) String() string {
	if d.Empty() {
		return "no change\n"
	}
	var text strings.Builder
	for _, name := range d.Added {
		fmt.Fprintf(&text, "+ %s\n", name)
	}
	for _, change := range d.Changed {
		fmt.Fprintf(&text, "~ %s\n", change.Name)
		for _, f := range change.Fields {
			fmt.Fprintf(&text, "    %s: %s -> %s\n", f.Field, f.Before, f.After)
		}
	}
	for _, name := range d.Withdrawn {
		fmt.Fprintf(&text, "- %s\n", name)
	}
	return text.String()
}

// Compare returns what changes from before to after.
func Compare(before, after note.Catalogue) Diff {
	var diff Diff
	older, newer := byName(before.Services), byName(after.Services)
	for _, s := range after.Services {
		old, found := older[s.Name]
		if !found {
			diff.Added = append(diff.Added, s.Name)
		} else if fields := compareFields(old, s); len(fields) > 0 {
			diff.Changed = append(diff.Changed, ServiceChange{Name: s.Name, Fields: fields})
		}
	}
	for _, s := range before.Services {
		if _, found := newer[s.Name]; !found {
			diff.Withdrawn = append(diff.Withdrawn, s.Name)
		}
	}
	return diff
}

func compareFields(before, after note.Service) []FieldChange {
	var changes []FieldChange
	if before == after {
		return nil
	}
	b, a := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range b.NumField() {
		if b.Field(i).Interface() == a.Field(i).Interface() {
			continue
		}
		name, _, _ := strings.Cut(b.Type().Field(i).Tag.Get("toml"), ",")
		changes = append(changes, FieldChange{Field: name, Before: jsonOf(b.Field(i)), After: jsonOf(a.Field(i))})
	}
	return changes
}

func jsonOf(v reflect.Value) string {
	text, err := json.Marshal(v.Interface())
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// sameContent reports whether two catalogues have the same content.
func sameContent(a, b note.Catalogue) bool {
	sameRecord := func(x, y note.Applied) bool {
		same := x.ID == y.ID && x.Author == y.Author && x.Digest == y.Digest && x.Revision == y.Revision
		return same && x.At.Equal(y.At) && slices.Equal(x.Services, y.Services)
	}
	return a.Revision == b.Revision && slices.Equal(a.Services, b.Services) &&
		slices.EqualFunc(a.History, b.History, sameRecord)
}
