package gateway

import (
	"slices"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/membership"
)

// memberList is the list of members that are alive. Lists are compared by pointer.
type memberList struct {
	members []membership.Member
	// reaching are those that reach leafs, or all if none does.
	reaching []membership.Member
}

func newMemberList(alive []membership.Member) *memberList {
	reaching := slices.DeleteFunc(slices.Clone(alive), func(m membership.Member) bool { return m.Isolated })
	if len(reaching) == 0 {
		reaching = alive
	}
	return &memberList{members: alive, reaching: reaching}
}

// hasSameMembers reports whether both lists have the same members, isolated or not.
func (l *memberList) hasSameMembers(other *memberList) bool {
	return slices.EqualFunc(l.members, other.members, func(a, b membership.Member) bool {
		return a.ID == b.ID && a.AvailabilityZone == b.AvailabilityZone
	})
}

// isEquivalent reports whether both lists assign groups alike.
func (l *memberList) isEquivalent(other *memberList) bool {
	return l.hasSameMembers(other) && slices.EqualFunc(l.members, other.members, func(a, b membership.Member) bool {
		return a.Isolated == b.Isolated
	})
}

// setMembers sets the members, of which only those that are alive and reach leafs get groups.
// When many nodes lose their links together, the first one takes effect at once and the
// others together; requests to relays that are isolated go to the next one meanwhile.
func (r *relays) setMembers(members []membership.Member) {
	next := newMemberList(slices.DeleteFunc(slices.Clone(members), func(m membership.Member) bool {
		return m.State != membership.Alive
	}))
	r.mu.Lock()
	defer r.mu.Unlock()
	wait := reassignDelay - time.Since(r.membersSetAt)
	current := r.alive.Load()
	if wait <= 0 || current == nil || !current.hasSameMembers(next) {
		r.applyMembers(next)
		return
	}
	if r.nextMembers == nil {
		time.AfterFunc(wait, r.applyNextMembers)
	}
	r.nextMembers = next
}

func (r *relays) applyNextMembers() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.nextMembers != nil {
		r.applyMembers(r.nextMembers)
	}
}

// applyMembers makes next the list of members, unless it assigns groups as the current one does.
// The caller holds r.mu.
func (r *relays) applyMembers(next *memberList) {
	r.nextMembers = nil
	if current := r.alive.Load(); current != nil && current.isEquivalent(next) {
		return
	}
	r.membersSetAt = time.Now()
	r.alive.Store(next)
	r.scheduleLocked()
}

// isIsolated reports whether this node has announced that it reaches no leaf.
func (r *relays) isIsolated() bool {
	list := r.alive.Load()
	return list != nil && slices.ContainsFunc(list.members, func(m membership.Member) bool { return m.ID == r.node && m.Isolated })
}
