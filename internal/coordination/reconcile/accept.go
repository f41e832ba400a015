package reconcile

import (
	"fmt"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/note"
)

// Decision says what a node does with an offered catalogue.
type Decision string

// Decisions on an offered catalogue.
const (
	// Advance makes the offered catalogue the current one.
	Advance Decision = "advance"
	// Same changes nothing.
	Same Decision = "same"
	// Older rejects a lower revision.
	Older Decision = "older"
	// Drift rejects different content with the current revision.
	Drift Decision = "drift"
)

// Acceptance is the decision on an offered catalogue.
type Acceptance struct {
	Decision Decision
	InForce  uint64 // current revision before the decision
	Offered  uint64 // revision offered
	NeedUndo bool   // the platform's object has to be overwritten
}

// String formats the decision as key=value pairs for a log line.
func (a Acceptance) String() string {
	return fmt.Sprintf("verdict=%s in_force=%d offered=%d", a.Decision, a.InForce, a.Offered)
}

// Source is the origin of an offered catalogue.
type Source string

// Sources of catalogues.
const (
	SourcePlatform Source = "platform"
	SourcePeer     Source = "peer"
)

// Accept decides on a catalogue that the platform or a peer offers. Only higher
// revisions become current. A lower revision, or the same one with different content,
// is rejected; if the platform itself stores it, it has to be undone. A peer's catalogue
// is not corrected, since the peer's own watch of the platform does that.
func Accept(current, offered note.Catalogue, source Source) Acceptance {
	a := Acceptance{InForce: current.Revision, Offered: offered.Revision}
	switch {
	case offered.Revision > current.Revision:
		a.Decision = Advance
	case offered.Revision < current.Revision:
		a.Decision = Older
		a.NeedUndo = source == SourcePlatform
	case sameContent(current, offered):
		a.Decision = Same
	default:
		a.Decision = Drift
		a.NeedUndo = source == SourcePlatform
	}
	return a
}

// undoAuthor is the author of records that undo a change made without a note.
const undoAuthor = "hickorydock"

// Undo returns a catalogue that restores the current services on the platform. Its
// revision is above both given ones, so that every node accepts it and no two nodes
// overwrite each other's changes in turn.
func Undo(current, offered note.Catalogue, now time.Time) note.Catalogue {
	revision := max(current.Revision, offered.Revision) + 1
	diff := Compare(offered, current)
	changedNames := append([]string{}, diff.Added...)
	for _, change := range diff.Changed {
		changedNames = append(changedNames, change.Name)
	}
	changedNames = append(changedNames, diff.Withdrawn...)
	return note.Catalogue{
		Revision: revision,
		Services: current.Services,
		History: appendHistory(current.History, note.Applied{
			ID:       fmt.Sprintf("undo-%d", revision),
			Author:   undoAuthor,
			Revision: revision,
			At:       now.UTC(),
			Services: changedNames,
		}),
	}
}

// Newest returns the offered catalogue with the highest revision. ok is false
// when there is none.
func Newest(offers []note.Catalogue) (newest note.Catalogue, ok bool) {
	for _, offer := range offers {
		if !ok || offer.Revision > newest.Revision {
			newest, ok = offer, true
		}
	}
	return newest, ok
}
