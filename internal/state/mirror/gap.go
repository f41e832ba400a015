package mirror

import (
	"slices"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// maxGaps is the number of gaps retained for each kind.
const maxGaps = 64

// Gap is a range of versions, both ends excluded, of which a copy knows no state: it went from
// After to Before by a list. The changes from After on lead to Before, but an object that was
// added and removed within the gap is not among them. A watcher that has a version within the
// gap from elsewhere has to list.
type Gap struct{ After, Before uint64 }

// Gaps returns the gaps that end after a version. Who applies the changes since then to a copy
// of its own has to add them to it.
func (m *Mirror) Gaps(name platform.Kind, from uint64) []Gap {
	k := m.kind(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(k.gaps), func(g Gap) bool { return g.Before <= from })
}

// AddGaps adds the gaps of the copy that changes come from.
func (m *Mirror) AddGaps(name platform.Kind, gaps []Gap) {
	k := m.kind(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, g := range gaps {
		k.addGap(g)
	}
}

// addGap adds a gap. Of too many the oldest is forgotten with the changes before its end. The
// caller holds k.mu.
func (k *kind) addGap(g Gap) {
	if g.Before <= k.oldest || slices.Contains(k.gaps, g) {
		return
	}
	k.gaps = append(k.gaps, g)
	if len(k.gaps) <= maxGaps {
		return
	}
	k.discardUpTo(max(k.oldest, k.gaps[0].Before))
}

// isInGap reports whether this copy knows no state of a version. The caller holds k.mu.
func (k *kind) isInGap(version uint64) bool {
	return slices.ContainsFunc(k.gaps, func(g Gap) bool { return g.After < version && version < g.Before })
}
