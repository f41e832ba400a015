// Package membership decides which nodes are present, by a SWIM-like protocol. Each
// node probes a few others, asks other nodes to confirm a suspicion before it declares
// a member dead, and spreads changes by gossip. The package does no I/O: it takes the
// time and received messages and returns messages to send and changes.
//
// A Membership is not safe for concurrent use.
package membership

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/membership"
)

// Config configures a Membership.
type Config struct {
	// Self is this node; its Start must be set.
	Self membership.Member
	// Seed drives the choice of gossip targets.
	Seed uint64
	// Monitors is the number of nodes that probe each node; 0 means DefaultMonitors.
	Monitors int
}

// Times and counts of the protocol.
const (
	DefaultMonitors = 3
	// ProbeInterval is the time between two probes of one neighbour.
	ProbeInterval = 500 * time.Millisecond
	// urgentInterval replaces ProbeInterval and urgentSuspectAfterMisses replaces
	// suspectAfterMisses while there is evidence that a member has failed. One more
	// miss is allowed since small VMs may stall for a few tenths of a second.
	urgentInterval           = 100 * time.Millisecond
	urgentSuspectAfterMisses = 4
	// GossipInterval is the time between two rounds of gossip while updates are pending.
	GossipInterval = 200 * time.Millisecond
	// TickInterval is the time between two calls of Tick.
	TickInterval = 100 * time.Millisecond
	// suspectAfterMisses is the number of consecutive unanswered probes after which a
	// neighbour is suspected.
	suspectAfterMisses = 3
	// deadQuorum is the number of nodes that have to suspect a member before it is
	// declared dead.
	deadQuorum = 2
	// suspicionTTL is the time for which a suspicion counts.
	suspicionTTL = 3 * time.Second
	// soloDeclareDelay is the time after which a node declares a member dead on its own
	// suspicion alone, unless another node confirmed meanwhile that the member is alive.
	soloDeclareDelay = 4 * time.Second
	// maxAckAge is the age up to which an Ack shows that a member is alive.
	maxAckAge = 1500 * time.Millisecond
	// refutationTimeout is how long a member has to refute a report of its death; its
	// refutation spreads by gossip.
	refutationTimeout = 1500 * time.Millisecond
	// gossipFanout is the number of nodes that receive the updates in one round.
	gossipFanout = 4
	// gossipRounds is the number of rounds for which a node repeats an update.
	gossipRounds = 3
	// maxGossipUpdates bounds the updates of one gossip message.
	maxGossipUpdates = 40
	// syncAfterMismatches is the number of consecutive Acks with a different digest
	// after which all members are exchanged.
	syncAfterMismatches = 5
	// minSyncInterval is the shortest time between two exchanges that a node starts.
	minSyncInterval = 5 * time.Second
	// joinPullInterval is the time between two lists that a node that has just started
	// requests from other members. It stops when its list agrees with another one,
	// minJoinPeriod after it discovered the first member at the earliest, since other
	// nodes may have started with it, and maxJoinPeriod after it at the latest.
	joinPullInterval = 100 * time.Millisecond
	minJoinPeriod    = time.Second
	maxJoinPeriod    = 5 * time.Second
	// maxFirstReply bounds the members that a node which is not known yet receives in
	// reply to its first message, so that the cost of a seed does not grow with the
	// square of the nodes that start at once. It requests the others from random members.
	maxFirstReply = 60
	// maxSyncUpdates bounds the members of a reply, which must fit into a datagram; of
	// more members random ones are sent.
	maxSyncUpdates = 400
	// tombstoneTTL is the time for which a dead member or one that left is kept.
	tombstoneTTL = 10 * time.Minute
	// recheckInterval is the time between two probes of members that are considered
	// dead although the platform lists them, and between two sweeps of tombstones.
	recheckInterval = 5 * time.Second
	// pauseThreshold is the time between two ticks from which on this node assumes that
	// it was itself paused.
	pauseThreshold = time.Second
)

// Packet is a message for another node.
type Packet struct {
	To string // id
	// Address is empty for an answer to a node that is not known yet; the answer goes
	// to the source address of the request.
	Address string
	Message membership.Message
}

// Actions are the packets to send and the changes to publish.
type Actions struct {
	Packets []Packet
	// Changed are members whose state or incarnation changed, in order.
	Changed []membership.Member
}

// entry is the state of one member as this node sees it.
type entry struct {
	membership.Member
	// absentSince is the time at which the member was found to be dead or to have left.
	absentSince time.Time
	// listed is true while the platform lists the VM as live.
	listed bool
}

// Membership is one node's view.
type Membership struct {
	cfg     Config
	self    membership.Member
	random  *rand.Rand
	members map[string]*entry // without self
	digest  uint64            // of present members and self
	// present, ring and neighbours are derived from the ids and zones of present
	// members; refresh recomputes them when stale is true.
	stale      bool
	ring       []ringPosition
	present    []string // ids of present members, sorted, without self
	neighbours []string

	joinSince   time.Time // when the first member was discovered; zero before
	nextPull    time.Time
	joined      bool // another member had the same list
	lastTick    time.Time
	nextGossip  time.Time
	nextRecheck time.Time
	nextSync    time.Time
	lastSync    string // the member that was asked last
	seq         uint64

	probes         map[string]*probe
	suspicions     map[string]*suspicion
	pendingDeaths  map[string]pendingDeath
	pendingUpdates []pendingUpdate
	superseded     bool
}

// New returns the view of a node that knows only itself and announces itself.
func New(cfg Config) *Membership {
	if cfg.Monitors == 0 {
		cfg.Monitors = DefaultMonitors
	}
	if cfg.Self.State == 0 {
		cfg.Self.State = membership.Alive
	}
	m := &Membership{
		cfg:           cfg,
		self:          cfg.Self,
		random:        rand.New(rand.NewPCG(cfg.Seed, cfg.Self.Start)),
		members:       make(map[string]*entry),
		probes:        make(map[string]*probe),
		suspicions:    make(map[string]*suspicion),
		pendingDeaths: make(map[string]pendingDeath),
	}
	m.digest = digestOf(m.self)
	m.queueUpdate(m.self)
	return m
}

// Members returns all members that are present, this node included, sorted by id.
func (m *Membership) Members() []membership.Member {
	m.refresh()
	list := make([]membership.Member, 0, len(m.present)+1)
	for _, id := range m.present {
		list = append(list, m.members[id].Member)
	}
	if !m.superseded {
		list = append(list, m.self)
	}
	slices.SortFunc(list, func(a, b membership.Member) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Lookup returns the known state of a member; ok is false for an unknown id.
func (m *Membership) Lookup(id string) (member membership.Member, ok bool) {
	if id == m.self.ID {
		return m.self, true
	}
	e, ok := m.members[id]
	if !ok {
		return membership.Member{}, false
	}
	return e.Member, true
}

// IsSuperseded reports whether a newer process with this node's id runs.
func (m *Membership) IsSuperseded() bool { return m.superseded }

// Leave announces that this node takes no new work.
func (m *Membership) Leave(now time.Time) Actions {
	return m.setOwnState(now, membership.Leaving)
}

// Stop announces that this node stops now. It returns the last messages to send.
func (m *Membership) Stop(now time.Time) Actions {
	return m.setOwnState(now, membership.Left)
}

// SetIsolated announces whether this node reaches no leaf.
func (m *Membership) SetIsolated(now time.Time, isolated bool) Actions {
	var a Actions
	if m.superseded || m.self.Isolated == isolated {
		return a
	}
	m.digest ^= digestOf(m.self)
	m.self.Isolated = isolated
	m.digest ^= digestOf(m.self)
	m.refute(m.self.Refutation + 1)
	m.gossip(now, &a)
	a.Changed = append(a.Changed, m.self)
	return a
}

func (m *Membership) setOwnState(now time.Time, state membership.State) Actions {
	var a Actions
	if m.superseded || m.self.State >= state {
		return a
	}
	m.digest ^= digestOf(m.self)
	m.self.State = state
	m.digest ^= digestOf(m.self)
	m.queueUpdate(m.self)
	m.gossip(now, &a)
	return a
}

// MergePlatformList merges the platform's list of nodes. The list may be outdated: it
// adds members that are unknown and never overrides what a node announced itself.
func (m *Membership) MergePlatformList(now time.Time, list []membership.Member) Actions {
	var a Actions
	for _, e := range m.members {
		e.listed = false
	}
	for _, listed := range list {
		if listed.ID == m.self.ID {
			continue
		}
		listed.Start, listed.Refutation = 0, 0
		m.merge(now, listed, false, &a)
		if e, ok := m.members[listed.ID]; ok {
			e.listed = listed.State == membership.Alive
		}
	}
	m.removeUnlisted(list)
	return a
}

// removeUnlisted removes members known only from an older list of the platform.
func (m *Membership) removeUnlisted(list []membership.Member) {
	listedIDs := make(map[string]bool, len(list))
	for _, listed := range list {
		listedIDs[listed.ID] = true
	}
	for id, e := range m.members {
		if e.Start == 0 && e.State.IsPresent() && !listedIDs[id] {
			m.remove(id)
		}
	}
}

// merge applies an update if it outranks what is known. spread says whether the update
// is gossiped to others.
func (m *Membership) merge(now time.Time, update membership.Member, spread bool, a *Actions) {
	if update.ID == m.self.ID {
		m.mergeSelf(now, update)
		return
	}
	e, known := m.members[update.ID]
	if known && !update.Outranks(e.Member) {
		return
	}
	if !known {
		e = &entry{}
		m.members[update.ID] = e
	} else if e.State.IsPresent() {
		m.digest ^= digestOf(e.Member)
	}
	newIncarnation := known && update.Start != e.Start
	m.stale = m.stale || !known || e.State.IsPresent() != update.State.IsPresent() || e.AvailabilityZone != update.AvailabilityZone
	e.Member = update
	if update.State.IsPresent() {
		m.digest ^= digestOf(update)
	} else {
		e.absentSince = now
	}
	if newIncarnation || !update.State.IsPresent() {
		delete(m.probes, update.ID)
		delete(m.suspicions, update.ID)
	}
	a.Changed = append(a.Changed, update)
	if spread {
		m.queueUpdate(update)
	}
}

// mergeSelf handles an update about this node: it refutes one that outranks its own state
// and stops when a newer process with the same id runs. A start in the future is that of a
// former process, which started while the clock was ahead.
func (m *Membership) mergeSelf(now time.Time, update membership.Member) {
	switch {
	case m.superseded || update.Start == math.MaxUint64:
	case update.Start > membership.StartAt(now):
		m.announceStart(update.Start + 1)
	case update.Start > m.self.Start:
		m.superseded = true
	case update.Start == m.self.Start && update.Outranks(m.self):
		m.refute(update.Refutation + 1)
	}
}

// announceStart raises the start that this node announces, so that it outranks a former
// process with the same id.
func (m *Membership) announceStart(start uint64) {
	if start <= m.self.Start {
		return
	}
	m.digest ^= digestOf(m.self)
	m.self.Start = start
	m.digest ^= digestOf(m.self)
	m.queueUpdate(m.self)
}

func (m *Membership) refute(refutation uint32) {
	m.digest ^= digestOf(m.self)
	m.self.Refutation = refutation
	m.digest ^= digestOf(m.self)
	m.queueUpdate(m.self)
}

// remove drops a member without an update to others.
func (m *Membership) remove(id string) {
	if e := m.members[id]; e.State.IsPresent() {
		m.digest ^= digestOf(e.Member)
	}
	delete(m.members, id)
	delete(m.probes, id)
	delete(m.suspicions, id)
	m.stale = true
}

// refresh recomputes the state that is derived from the set of present members.
func (m *Membership) refresh() {
	if !m.stale {
		return
	}
	m.stale = false
	m.present = m.present[:0]
	for id, e := range m.members {
		if e.State.IsPresent() {
			m.present = append(m.present, id)
		}
	}
	slices.Sort(m.present)
	m.ring = m.buildRing()
	m.neighbours = m.chooseNeighbours()
}

// expireTombstones removes tombstones, except those of members that the platform still
// lists, since the list would add these members again.
func (m *Membership) expireTombstones(now time.Time) {
	for id, e := range m.members {
		if !e.State.IsPresent() && !e.listed && now.Sub(e.absentSince) >= tombstoneTTL {
			m.remove(id)
		}
	}
}
