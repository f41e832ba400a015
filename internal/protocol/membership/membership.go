// Package membership defines the messages by which nodes exchange the start, stop
// and failure of members, and their encoding.
package membership

import "time"

// State is the state of a member. Later states outrank earlier ones of the same
// start and refutation.
type State uint8

// States of a member.
const (
	// Alive members accept work.
	Alive State = iota + 1
	// Leaving members finish the work in flight and accept no new work.
	Leaving
	// Dead members stopped responding without announcing it.
	Dead
	// Left members announced that they stopped.
	Left
)

// String names the state.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	case Left:
		return "left"
	default:
		return "unknown"
	}
}

// IsPresent reports whether the member still runs.
func (s State) IsPresent() bool { return s == Alive || s == Leaving }

// Member is an entry of the membership list.
type Member struct {
	ID               string
	Address          string // host:port for traffic between nodes
	AvailabilityZone string
	// Start is the time at which the process started, in Unix microseconds; 0
	// when only the platform's list names the member. A higher start of the
	// same id is a new member that replaces the old one.
	Start uint64
	// Refutation is increased by the member itself to refute that it is dead.
	Refutation uint32
	State      State
	// Isolated is true while the member reaches no leaf. The member increases Refutation with
	// each change.
	Isolated bool
}

// Outranks reports whether m is a newer entry of the same id than other.
func (m Member) Outranks(other Member) bool {
	if m.Start != other.Start {
		return m.Start > other.Start
	}
	if m.Refutation != other.Refutation {
		return m.Refutation > other.Refutation
	}
	if m.State != other.State {
		return m.State > other.State
	}
	return m.Isolated && !other.Isolated
}

// StartAt converts a time to the form of Member.Start.
func StartAt(t time.Time) uint64 { return uint64(t.UnixMicro()) }

// Kind is the kind of a message.
type Kind uint8

// Kinds of messages.
const (
	// Ping asks for an Ack with the same Seq.
	Ping Kind = iota + 1
	Ack
	// Gossip only carries updates.
	Gossip
	// Suspect reports that the sender gets no response from Subject.
	Suspect
	// ConfirmAlive answers a Suspect: Subject recently responded to the sender.
	ConfirmAlive
	// Sync asks for a SyncReply. It carries all members, or Known and the sender.
	Sync
	// SyncReply carries the members that were missing or outdated in a Sync, or random
	// ones of them if they are many.
	SyncReply
)

// Subject is the member, and its start, that a Suspect or a ConfirmAlive is about.
type Subject struct {
	ID    string
	Start uint64
}

// Message is what one node sends to another.
type Message struct {
	Kind Kind
	// From is the sender's id.
	From string
	// Seq matches an Ack to its Ping.
	Seq uint64
	// Digest is a hash of the sender's present members.
	Digest  uint64
	Subject Subject
	Updates []Member
	// Known holds a hash of each member that the sender of a Sync knows already.
	Known []uint32
}
