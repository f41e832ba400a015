// Package membership decides which nodes are present. Each node probes a few
// others, asks for a second opinion before it holds one for dead, and spreads
// what changes by gossip. Time and messages go in, messages and changes come
// out.
//
// A Membership is not safe for concurrent use.
package membership

import (
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
	// evidenceInterval is the same while something speaks against a member, and
	// evidenceMisses takes the place of missesToAccuse: small VMs may stand still for
	// a few tenths of a second.
	evidenceInterval = 100 * time.Millisecond
	evidenceMisses   = 4
	// GossipInterval is the time between two rounds of gossip while there is news.
	GossipInterval = 200 * time.Millisecond
	// TickInterval is the time between two calls of Tick.
	TickInterval = 100 * time.Millisecond
	// missesToAccuse is the number of unanswered probes in a row after which a
	// neighbour is accused.
	missesToAccuse = 3
	// accusersToBury is the number of nodes that have to agree that a member is dead.
	accusersToBury = 2
	// accusationLife is the time for which an accusation counts.
	accusationLife = 3 * time.Second
	// soloBury is the time after which one accuser alone decides, if nobody
	// vouched for the member meanwhile.
	soloBury = 4 * time.Second
	// freshAck is the age up to which an answer is evidence of life.
	freshAck = 1500 * time.Millisecond
	// doubtTime is how long a member has to refute its death; its answer spreads by
	// gossip.
	doubtTime = 1500 * time.Millisecond
	// gossipFanout is the number of nodes that get the news in one round.
	gossipFanout = 4
	// gossipRounds is the number of rounds for which a node repeats an update.
	gossipRounds = 3
	// maxGossipUpdates bounds the updates of one gossip message.
	maxGossipUpdates = 40
	// differencesToSync is the number of probes in a row with another digest
	// after which all members are exchanged.
	differencesToSync = 5
	// syncPause is the shortest time between two exchanges that a node starts.
	syncPause = 5 * time.Second
	// tombstoneLife is the time for which a member that is gone is remembered.
	tombstoneLife = 10 * time.Minute
	// recheckInterval is the time between two probes of members that are held
	// for dead although the platform lists them, and between two sweeps of
	// tombstones.
	recheckInterval = 5 * time.Second
	// pauseGap is the time between two ticks from which on this node itself was paused.
	pauseGap = time.Second
)

// Packet is a message for another node.
type Packet struct {
	To string // id
	// Address is empty for an answer to a node that is not known yet; it goes
	// back the way the question came.
	Address string
	Message membership.Message
}

// Actions are what the caller has to carry out.
type Actions struct {
	Packets []Packet
	// Changed are members whose state or life changed, in order.
	Changed []membership.Member
}

// entry is what this node knows of one member.
type entry struct {
	membership.Member
	// goneAt is the time at which the member was found to be gone.
	goneAt time.Time
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
	// present, ring and neighbours follow from the ids and zones of present
	// members; refresh brings them up to date.
	stale      bool
	ring       []place
	present    []string // ids of present members, sorted, without self
	neighbours []string

	lastTick    time.Time
	nextGossip  time.Time
	nextRecheck time.Time
	nextSync    time.Time
	seq         uint64

	probes     map[string]*probe
	accused    map[string]*accusation
	doubts     map[string]doubt
	news       []news
	superseded bool
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
		cfg:     cfg,
		self:    cfg.Self,
		random:  rand.New(rand.NewPCG(cfg.Seed, cfg.Self.Start)),
		members: make(map[string]*entry),
		probes:  make(map[string]*probe),
		accused: make(map[string]*accusation),
		doubts:  make(map[string]doubt),
	}
	m.digest = digestOf(m.self)
	m.announce(m.self)
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

// Lookup returns what is known of a member; ok is false for an unknown one.
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

// Leave announces that this node takes no new work; Stop that it is gone.
func (m *Membership) Leave(now time.Time) Actions {
	return m.changeSelf(now, membership.Leaving)
}

// Stop announces that this node stops now. Its messages are the last ones.
func (m *Membership) Stop(now time.Time) Actions {
	return m.changeSelf(now, membership.Left)
}

func (m *Membership) changeSelf(now time.Time, state membership.State) Actions {
	var a Actions
	if m.superseded || m.self.State >= state {
		return a
	}
	m.digest ^= digestOf(m.self)
	m.self.State = state
	m.digest ^= digestOf(m.self)
	m.announce(m.self)
	m.gossip(now, &a)
	return a
}

// MergePlatformList takes over the platform's list of nodes. The list lags: it adds
// members that are unknown and never overrules what a node said itself.
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
	m.forgetUnlisted(list)
	return a
}

// forgetUnlisted drops the members that only an older list named.
func (m *Membership) forgetUnlisted(list []membership.Member) {
	named := make(map[string]bool, len(list))
	for _, listed := range list {
		named[listed.ID] = true
	}
	for id, e := range m.members {
		if e.Start == 0 && e.State.IsPresent() && !named[id] {
			m.forget(id)
		}
	}
}

// merge takes one piece of knowledge over if it outranks what is known. spread
// says whether it is news for others.
func (m *Membership) merge(now time.Time, update membership.Member, spread bool, a *Actions) {
	if update.ID == m.self.ID {
		m.mergeSelf(update)
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
	newLife := known && update.Start != e.Start
	m.stale = m.stale || !known || e.State.IsPresent() != update.State.IsPresent() || e.AvailabilityZone != update.AvailabilityZone
	e.Member = update
	if update.State.IsPresent() {
		m.digest ^= digestOf(update)
	} else {
		e.goneAt = now
	}
	if newLife || !update.State.IsPresent() {
		delete(m.probes, update.ID)
		delete(m.accused, update.ID)
	}
	a.Changed = append(a.Changed, update)
	if spread {
		m.announce(update)
	}
}

// mergeSelf defends this node against being held for dead.
func (m *Membership) mergeSelf(update membership.Member) {
	if update.Start > m.self.Start {
		m.superseded = true
		return
	}
	if m.superseded || update.Start < m.self.Start || !update.Outranks(m.self) {
		return
	}
	m.refute(update.Refutation + 1)
}

func (m *Membership) refute(refutation uint32) {
	m.digest ^= digestOf(m.self)
	m.self.Refutation = refutation
	m.digest ^= digestOf(m.self)
	m.announce(m.self)
}

// forget drops a member without a word to others.
func (m *Membership) forget(id string) {
	if e := m.members[id]; e.State.IsPresent() {
		m.digest ^= digestOf(e.Member)
	}
	delete(m.members, id)
	delete(m.probes, id)
	delete(m.accused, id)
	m.stale = true
}

// refresh recomputes what follows from the set of present members.
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

// expire drops tombstones, except of members that the platform still lists: it
// would bring them back.
func (m *Membership) expire(now time.Time) {
	for id, e := range m.members {
		if !e.State.IsPresent() && !e.listed && now.Sub(e.goneAt) >= tombstoneLife {
			m.forget(id)
		}
	}
}
