package reader

import "github.com/hickorydock/hickorydock/internal/protocol/membership"

const (
	// contactCount is the number of nodes whose addresses the platform holds for nodes that
	// start. When all nodes start, one of these is soon among those that have.
	contactCount = 8
	// maxContacts is the number of addresses from which on those of absent nodes are removed.
	maxContacts = 2 * contactCount
)

// IsContact reports whether a node is one of those whose addresses the platform holds.
func IsContact(members []membership.Member, self string) bool {
	alive := byHash(members, nil)
	for _, m := range alive[:min(len(alive), contactCount)] {
		if m.ID == self {
			return true
		}
	}
	return false
}

// AbsentContacts returns the listed contacts to remove: those of absent nodes, if there are
// more than maxContacts in all. The addresses of absent nodes are kept before, since they
// may only be down.
func AbsentContacts(members []membership.Member, listed []string) []string {
	if len(listed) <= maxContacts {
		return nil
	}
	present := make(map[string]bool, len(members))
	for _, m := range members {
		present[m.ID] = true
	}
	var absent []string
	for _, id := range listed {
		if !present[id] {
			absent = append(absent, id)
		}
	}
	return absent
}
