// Package membership holds the messages by which nodes learn of each other's
// start, stop and loss, and their encoding.
package membership

import "time"

// State is what is known of a member. Later states outrank earlier ones of the
// same life and refutation.
type State uint8

// States of a member.
const (
	// Alive members take work.
	Alive State = iota + 1
	// Leaving members finish what they have and take no new work.
	Leaving
	// Dead members stopped answering without a word.
	Dead
	// Left members stopped and said so.
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

// Member is one node as others know it.
type Member struct {
	ID               string
	Address          string // host:port for traffic between nodes
	AvailabilityZone string
	// Start is the time at which the process started, in Unix microseconds; 0
	// when only the platform's list names the member. A higher start of the
	// same id is a new member that replaces the old one.
	Start uint64
	// Refutation is raised by the member itself when others hold it for dead.
	Refutation uint32
	State      State
}

// Outranks reports whether m is newer knowledge of the same id than other.
func (m Member) Outranks(other Member) bool {
	if m.Start != other.Start {
		return m.Start > other.Start
	}
	if m.Refutation != other.Refutation {
		return m.Refutation > other.Refutation
	}
	return m.State > other.State
}

// StartAt converts a time into the form of Member.Start.
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
	// Suspect says that the sender gets no answer from Subject.
	Suspect
	// ConfirmAlive answers a Suspect: Subject answered the sender just now.
	ConfirmAlive
	// Sync carries all members and asks for a SyncReply.
	Sync
	// SyncReply carries what the receiver of a Sync lacked.
	SyncReply
)

// Subject is the member and life that a Suspect or a ConfirmAlive is about.
type Subject struct {
	ID    string
	Start uint64
}

// Message is what one node sends to another.
type Message struct {
	Kind Kind
	// From is the sender's id.
	From string
	Seq  uint64
	// Digest is a hash of the sender's present members.
	Digest  uint64
	Subject Subject
	Updates []Member
}
