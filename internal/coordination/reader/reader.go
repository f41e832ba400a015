// Package reader decides which nodes read the platform and from which node each of
// the others fetches what was read, so that neither the calls to the platform nor the
// traffic of one node grow with the number of nodes. The others form a tree in each
// availability zone. The functions are pure, and every node that knows the same members
// chooses the same readers and trees.
package reader

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorydock/hickorydock/internal/protocol/membership"
)

const (
	// Count is the number of nodes that read the platform: one, and a second in case
	// the platform rejects the first or the first stops.
	Count = 2
	// startReaders is the number of nodes that read the platform when all nodes start.
	startReaders = 32
	// fanout is the number of nodes that fetch from one node of their availability zone.
	fanout = 8
	// JoinWait is how long a starting node waits to discover other members before it
	// reads the platform itself.
	JoinWait = 300 * time.Millisecond
	// newcomerPeriod is the time since its start in which a node, which may not know all
	// members yet, leaves the platform to readers that started at least that much earlier.
	newcomerPeriod = 2 * time.Second
	// failedSourceLimit is the number of recently failed sources from which on a node
	// reads the platform itself instead of trying another source.
	failedSourceLimit = 3
	// fallbackProbability is the probability with which a node reads the platform itself
	// when all other nodes are stale and it is not itself one of the readers.
	fallbackProbability = 0.1
)

// Readers returns the ids of the nodes that read the platform. Of the nodes that are
// alive and not known to be stale, it chooses those with the highest hashes, in
// different availability zones where possible.
func Readers(members []membership.Member, stale []string) []string {
	return readersOf(byHash(members, stale))
}

// byHash returns the nodes that are alive and not known to be stale, by descending hash.
func byHash(members []membership.Member, stale []string) []membership.Member {
	alive := slices.DeleteFunc(slices.Clone(members), func(m membership.Member) bool {
		return m.State != membership.Alive || slices.Contains(stale, m.ID)
	})
	slices.SortFunc(alive, func(a, b membership.Member) int {
		return cmp.Compare(xxhash.Sum64String(b.ID), xxhash.Sum64String(a.ID))
	})
	return alive
}

func readersOf(alive []membership.Member) []string {
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

// parent returns the node that self fetches from. In each availability zone the nodes
// form a tree by hash, in which each has up to fanout children. Its root is a reader or,
// in a zone without one, a node that fetches from one of the readers.
func parent(alive []membership.Member, readers []string, input Input) string {
	zone := zoneOf(input.Members, input.Self)
	var tree []string
	for _, m := range alive {
		if m.AvailabilityZone == zone {
			tree = append(tree, m.ID)
		}
	}
	slices.SortStableFunc(tree, func(a, b string) int {
		return cmp.Compare(rank(readers, a), rank(readers, b))
	})
	position := slices.Index(tree, input.Self)
	if position < 0 { // a node that leaves or that the platform rejects
		position = len(tree)
	}
	if position == 0 {
		return readers[int(input.Random*float64(len(readers)))]
	}
	return tree[(position-1)/fanout]
}

// rank is the position of a reader, or that after the last one for another node.
func rank(readers []string, id string) int {
	if i := slices.Index(readers, id); i >= 0 {
		return i
	}
	return len(readers)
}

func zoneOf(members []membership.Member, id string) string {
	i := slices.IndexFunc(members, func(m membership.Member) bool { return m.ID == id })
	if i < 0 {
		return ""
	}
	return members[i].AvailabilityZone
}

// Input is the state of a node when it chooses a source.
type Input struct {
	Self    string
	Members []membership.Member // the node itself included
	// SinceStart is the time since the node started.
	SinceStart time.Duration
	// HasSeeds is true when the node is configured with seed addresses, and IsSeed when
	// its own address is among them.
	HasSeeds, IsSeed bool
	// Stale lists the nodes that recently failed or had no fresh state; this node is
	// among them while the platform rejects it.
	Stale []string
	// Empty is true while the node has no state at all.
	Empty bool
	// Overdue is true when the node's state was last confirmed too long ago, regardless
	// of the sources that it tried.
	Overdue bool
	// Unanswered is true when the node has called the contacts that the platform lists and
	// none has answered.
	Unanswered bool
	// Random is a random number in [0, 1).
	Random float64
}

// Source is where a node reads from.
type Source struct {
	// Platform is true when the node reads the platform itself.
	Platform bool
	// Peer is the id of another node to read from; empty with Platform, or when the
	// node has to wait.
	Peer string
}

// Choose returns the source of a node. Readers without fresh state, for example because
// the platform rejects them, are replaced by the next nodes in order. A node that is
// overdue or whose sources failed several times reads the platform itself, unless the
// platform rejected it.
func Choose(input Input) Source {
	alive := byHash(input.Members, input.Stale)
	readers := readersOf(alive)
	others := slices.DeleteFunc(slices.Clone(readers), func(id string) bool { return id == input.Self })
	switch {
	case isJoining(input):
		return Source{}
	case startsFromPlatform(alive, input):
		return Source{Platform: true}
	case len(others) < len(readers) && !isNewcomer(input, others):
		return Source{Platform: true}
	case (input.Overdue || len(input.Stale) >= failedSourceLimit) && !slices.Contains(input.Stale, input.Self):
		return Source{Platform: true}
	case len(others) < len(readers) && len(others) > 0:
		return Source{Peer: others[0]}
	case otherReader(input) != "":
		return Source{Peer: otherReader(input)}
	case len(others) > 0:
		return Source{Peer: parent(alive, readers, input)}
	case len(input.Members) <= 1 || input.Empty || input.Random < fallbackProbability:
		return Source{Platform: true}
	default:
		return Source{}
	}
}

// otherReader returns another reader if the platform rejects this node, which is one of the readers
// for the others: nodes of its availability zone may still follow it. Else it returns "".
func otherReader(input Input) string {
	if !slices.Contains(input.Stale, input.Self) {
		return ""
	}
	stale := slices.DeleteFunc(slices.Clone(input.Stale), func(id string) bool { return id == input.Self })
	readers := Readers(input.Members, stale)
	if len(readers) < Count || !slices.Contains(readers, input.Self) {
		return ""
	}
	return readers[1-slices.Index(readers, input.Self)]
}

// startsFromPlatform reports whether the node is one of startReaders of a fleet that starts
// as a whole. Were only Count nodes to read the platform, the copies would spread over a
// tree whose nodes have none yet.
func startsFromPlatform(alive []membership.Member, input Input) bool {
	if !input.Empty || LongerRunning(input.Members, input.Self) != "" {
		return false
	}
	first := alive[:min(len(alive), startReaders)]
	return slices.ContainsFunc(first, func(m membership.Member) bool { return m.ID == input.Self })
}

// isNewcomer reports whether the node has just started and one of the other readers runs
// for longer, so that it has a copy.
func isNewcomer(input Input, others []string) bool {
	if input.SinceStart >= newcomerPeriod || len(others) == 0 {
		return false
	}
	return runsLonger(startOf(input.Members, others[0]), startOf(input.Members, input.Self))
}

// runsLonger reports whether a member that started at start runs so much longer than one
// that started at ownStart that it has a copy of the platform's objects already.
func runsLonger(start, ownStart uint64) bool {
	return start+uint64(newcomerPeriod.Microseconds()) < ownStart
}

// LongerRunning returns a member that runs for longer than a node, if possible one of the
// same availability zone, or "" if there is none.
func LongerRunning(members []membership.Member, self string) string {
	zone, ownStart := zoneOf(members, self), startOf(members, self)
	found := ""
	for _, m := range members {
		if m.State != membership.Alive || !runsLonger(m.Start, ownStart) {
			continue
		}
		if m.AvailabilityZone == zone {
			return m.ID
		}
		found = m.ID
	}
	return found
}

// startOf is when a member started, in the unit of membership.StartAt; 0 if it is unknown.
func startOf(members []membership.Member, id string) uint64 {
	i := slices.IndexFunc(members, func(m membership.Member) bool { return m.ID == id })
	if i < 0 {
		return 0
	}
	return members[i].Start
}

// isJoining reports whether the node still waits to discover other members. Seeds read
// the platform at once, so that the other nodes have a source to read from, and so does a
// node that none of the contacts answers, as one of the first of a fleet that starts.
func isJoining(input Input) bool {
	return input.HasSeeds && !input.IsSeed && !input.Unanswered && len(input.Members) <= 1 && input.SinceStart < JoinWait
}
