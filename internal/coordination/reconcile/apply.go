// Package reconcile decides how release notes change the catalogue and which
// catalogues a node accepts. Its functions are pure: they never modify
// the catalogues that they are given.
package reconcile

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// MaxHistoryBytes bounds the encoded history, so that it leaves room for the
// services within the platform's value limit.
const MaxHistoryBytes = 128 << 10

// Conflict means that a note was written against a revision other than the current
// one. It wraps platform.ErrConflict.
type Conflict struct {
	Base     uint64
	Revision uint64
	// Since lists the notes that were applied after Base, as far back as the
	// history goes.
	Since []note.Applied
}

// Error lists the notes that were applied since the base.
func (c *Conflict) Error() string {
	if c.Base > c.Revision {
		return fmt.Sprintf("note has base %d, but only revision %d is in force", c.Base, c.Revision)
	}
	changes := make([]string, len(c.Since))
	for i, a := range c.Since {
		changes[i] = fmt.Sprintf("note %q by %s changed %s in revision %d", a.ID, a.Author, strings.Join(a.Services, ", "), a.Revision)
	}
	return fmt.Sprintf("note has base %d, but revision %d is in force: %s", c.Base, c.Revision, strings.Join(changes, "; "))
}

// Unwrap returns platform.ErrConflict.
func (c *Conflict) Unwrap() error { return platform.ErrConflict }

// IDTaken means that a different note with the same id was applied before.
type IDTaken struct {
	Applied note.Applied
}

// Error names the note that was applied.
func (e *IDTaken) Error() string {
	return fmt.Sprintf("id %q was used by another note of %s in revision %d", e.Applied.ID, e.Applied.Author, e.Applied.Revision)
}

// InvalidEntries means that entries of a note are invalid or do not fit the catalogue.
type InvalidEntries struct {
	// Entries are the paths of the entries and what is wrong with them, in the order of
	// the note.
	Entries []note.FieldError
}

// Error returns the entries, one per line.
func (e *InvalidEntries) Error() string {
	lines := make([]string, len(e.Entries))
	for i, entry := range e.Entries {
		lines[i] = entry.Field + ": " + entry.Message
	}
	return strings.Join(lines, "\n")
}

// TooLarge means that the catalogue would exceed the platform's value limit. It
// wraps platform.ErrTooLarge.
type TooLarge struct {
	Bytes int
}

// Error states the size and the limit in bytes.
func (e *TooLarge) Error() string {
	return fmt.Sprintf("catalogue would have %d bytes, more than %d", e.Bytes, platform.MaxValueBytes)
}

// Unwrap returns platform.ErrTooLarge.
func (e *TooLarge) Unwrap() error { return platform.ErrTooLarge }

// Result is the effect of a note.
type Result struct {
	// Catalogue is the next catalogue; the given one when the note was applied already.
	Catalogue note.Catalogue
	Diff      Diff
	// Revision is the one in which the note was applied.
	Revision uint64
	// Repeated is true when the note was applied already and changes nothing.
	Repeated bool
}

// Apply returns the effect of a note; either all its entries apply or none. The error
// is of type *Conflict, *IDTaken, *InvalidEntries or *TooLarge.
func Apply(current note.Catalogue, n note.Note, now time.Time) (Result, error) {
	digest, err := n.Digest()
	if err != nil {
		return Result{}, err
	}
	if applied, found := FindNote(current, n.ID); found {
		if applied.Digest != digest {
			return Result{}, &IDTaken{Applied: applied}
		}
		return Result{Catalogue: current, Revision: applied.Revision, Repeated: true}, nil
	}
	if n.Base != current.Revision {
		return Result{}, conflictOf(current, n.Base)
	}
	if invalid := validateNote(current, n); len(invalid) > 0 {
		return Result{}, &InvalidEntries{Entries: invalid}
	}
	next := note.Catalogue{
		Revision: current.Revision + 1,
		Services: applyEntries(current.Services, n),
	}
	next.History = appendHistory(current.History, note.Applied{
		ID: n.ID, Author: n.Author, Revision: next.Revision, At: now.UTC(), Digest: digest, Services: n.ServiceNames(),
	})
	if err := checkSize(next); err != nil {
		return Result{}, err
	}
	return Result{Catalogue: next, Diff: Compare(current, next), Revision: next.Revision}, nil
}

// FindNote returns the record of the note with an id, if the history contains it.
func FindNote(c note.Catalogue, id string) (note.Applied, bool) {
	at := slices.IndexFunc(c.History, func(a note.Applied) bool { return a.ID == id })
	if at < 0 {
		return note.Applied{}, false
	}
	return c.History[at], true
}

func conflictOf(current note.Catalogue, base uint64) *Conflict {
	conflict := &Conflict{Base: base, Revision: current.Revision}
	for _, a := range current.History {
		if a.Revision > base {
			conflict.Since = append(conflict.Since, a)
		}
	}
	return conflict
}

// validateNote returns the errors of n by itself and against the catalogue.
func validateNote(current note.Catalogue, n note.Note) []note.FieldError {
	invalid := n.Validate()
	addError := func(section string, index int, format, name string) {
		invalid = append(invalid, note.FieldError{
			Field:   note.EntryPath(section, index, "name"),
			Message: fmt.Sprintf(format, name),
		})
	}
	currentServices := byName(current.Services)
	for i, s := range n.Added {
		if _, found := currentServices[s.Name]; found {
			addError(note.SectionAdded, i, "service %q is in force already", s.Name)
		}
	}
	for i, s := range n.Changed {
		if _, found := currentServices[s.Name]; !found {
			addError(note.SectionChanged, i, "service %q is not in force", s.Name)
		}
	}
	for i, w := range n.Withdrawn {
		if _, found := currentServices[w.Name]; !found {
			addError(note.SectionWithdrawn, i, "service %q is not in force", w.Name)
		}
	}
	return invalid
}

func byName(services []note.Service) map[string]note.Service {
	index := make(map[string]note.Service, len(services))
	for _, s := range services {
		index[s.Name] = s
	}
	return index
}

// applyEntries returns the services after the changes of n, sorted by name.
func applyEntries(services []note.Service, n note.Note) []note.Service {
	replaced := make(map[string]bool, len(n.Changed)+len(n.Withdrawn))
	for _, s := range n.Changed {
		replaced[s.Name] = true
	}
	for _, w := range n.Withdrawn {
		replaced[w.Name] = true
	}
	next := make([]note.Service, 0, len(services)+len(n.Added))
	for _, s := range services {
		if !replaced[s.Name] {
			next = append(next, s)
		}
	}
	next = append(next, n.Changed...)
	next = append(next, n.Added...)
	slices.SortFunc(next, func(a, b note.Service) int { return strings.Compare(a.Name, b.Name) })
	return next
}

// appendHistory adds a record and drops the oldest ones beyond the limits.
func appendHistory(history []note.Applied, applied note.Applied) []note.Applied {
	next := append(slices.Clone(history), applied)
	size := 0
	first := len(next)
	for first > 0 && len(next)-first < note.MaxHistory {
		text, err := json.Marshal(next[first-1])
		size += len(text)
		if err != nil || (size > MaxHistoryBytes && first < len(next)) {
			break
		}
		first--
	}
	return next[first:]
}

func checkSize(c note.Catalogue) error {
	text, err := json.Marshal(c)
	if err != nil {
		return err
	}
	if len(text) > platform.MaxValueBytes {
		return &TooLarge{Bytes: len(text)}
	}
	return nil
}
