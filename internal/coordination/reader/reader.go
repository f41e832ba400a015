// Package reader decides which nodes read the platform and from whom the others
// learn what those read, so that the calls to the platform do not grow with the
// number of nodes. The functions are pure and every node that knows the same
// members comes to the same readers.
package reader

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorydock/hickorydock/internal/protocol/membership"
)

const (
	// Count is the number of nodes that read the platform: one, and one more in
	// case that the platform turns the first away or the first stops.
	Count = 2
	// JoinWait is how long a node that starts waits to hear of others before it
	// reads the platform itself.
	JoinWait = 300 * time.Millisecond
	// lostSources is the number of sources that failed lately from which on a node
	// does not look for another one.
	lostSources = 3
	// soloShare is the share of looks at which a node reads the platform itself when
	// all others are stale and it does not count itself among the readers.
	soloShare = 0.1
)

// Readers returns the ids of the nodes that read the platform, of those that are
// alive and not known to be stale: those with the highest hashes, in different
// availability zones where that is possible.
func Readers(members []membership.Member, stale []string) []string {
	alive := slices.DeleteFunc(slices.Clone(members), func(m membership.Member) bool {
		return m.State != membership.Alive || slices.Contains(stale, m.ID)
	})
	slices.SortFunc(alive, func(a, b membership.Member) int {
		return cmp.Compare(xxhash.Sum64String(b.ID), xxhash.Sum64String(a.ID))
	})
	var chosen []string
	zones := make(map[string]bool)
	for pass := range 2 {
		for _, m := range alive {
			if len(chosen) >= Count || slices.Contains(chosen, m.ID) || pass == 0 && zones[m.AvailabilityZone] {
				continue
			}
			zones[m.AvailabilityZone] = true
			chosen = append(chosen, m.ID)
		}
	}
	return chosen
}

// Input is what a node knows when it needs a source.
type Input struct {
	Self    string
	Members []membership.Member // the node itself included
	// SinceStart is the time since the node started.
	SinceStart time.Duration
	// HasSeeds is true when the node knows addresses of others to begin with, and
	// IsSeed when its own is among them.
	HasSeeds, IsSeed bool
	// Stale lists the nodes that lately failed or knew nothing fresh; this one is
	// among them while the platform turns it away.
	Stale []string
	// Empty is true while the node knows nothing at all.
	Empty bool
	// Overdue is true when what the node knows was confirmed too long ago, whoever
	// it tried to learn from.
	Overdue bool
	// Random is a random number in [0, 1).
	Random float64
}

// Source says from where to learn.
type Source struct {
	// Platform is true when the node reads the platform itself.
	Platform bool
	// Peer is the id of another node to follow; empty with Platform, or when the
	// node has to wait.
	Peer string
}

// Choose returns the source of a node. Where the readers know nothing fresh, as when
// the platform turns them away, the next ones in order take their place. A node that
// is overdue or lost several sources reads the platform itself, unless it was turned
// away.
func Choose(look Input) Source {
	readers := Readers(look.Members, look.Stale)
	others := slices.DeleteFunc(slices.Clone(readers), func(id string) bool { return id == look.Self })
	switch {
	case isJoining(look):
		return Source{}
	case len(others) < len(readers):
		return Source{Platform: true}
	case (look.Overdue || len(look.Stale) >= lostSources) && !slices.Contains(look.Stale, look.Self):
		return Source{Platform: true}
	case len(others) > 0:
		return Source{Peer: others[int(look.Random*float64(len(others)))]}
	case len(look.Members) <= 1 || look.Empty || look.Random < soloShare:
		return Source{Platform: true}
	default:
		return Source{}
	}
}

// isJoining reports whether the node still waits to hear of others. Seeds read
// the platform at once, so that the others have somebody to follow.
func isJoining(look Input) bool {
	return look.HasSeeds && !look.IsSeed && len(look.Members) <= 1 && look.SinceStart < JoinWait
}
