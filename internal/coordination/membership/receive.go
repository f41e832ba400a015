package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/membership"
)

// news is an update that is still spread.
type news struct {
	member membership.Member
	rounds int
}

// Receive takes a message. Messages may be lost, late, doubled or reordered.
func (m *Membership) Receive(now time.Time, message membership.Message) Actions {
	var a Actions
	if m.superseded || message.From == m.self.ID {
		return a
	}
	// Large exchanges are not passed on: whoever lacks them notices by digest.
	exchange := message.Kind == membership.Sync || message.Kind == membership.SyncReply
	spread := !exchange || len(message.Updates) <= maxGossipUpdates
	for _, update := range message.Updates {
		if exchange && m.contradicts(update) {
			m.doubt(now, update, &a)
			continue
		}
		m.merge(now, update, spread, &a)
	}
	if _, known := m.members[message.From]; !known {
		m.sync(now, message.From, &a)
	}
	switch message.Kind {
	case membership.Ping:
		m.send(message.From, membership.Message{Kind: membership.Ack, Seq: message.Seq}, &a)
	case membership.Ack:
		m.answered(now, message, &a)
	case membership.Accuse:
		m.accusedBy(now, message, &a)
	case membership.Vouch:
		m.vouched(now, message)
	case membership.Sync:
		m.replyToSync(message, &a)
	}
	return a
}

// doubt is a death that another node told of.
type doubt struct {
	death membership.Member
	// until is when the death is accepted.
	until time.Time
}

// contradicts reports whether an update calls a member dead that is present here in
// the same life. After a partition each side does so of the other.
func (m *Membership) contradicts(update membership.Member) bool {
	e, known := m.members[update.ID]
	return known && update.State == membership.Dead && e.State.IsPresent() && e.Start == update.Start
}

// doubt tells a member that it is held for dead. The death is accepted unless it is
// refuted within doubtTime.
func (m *Membership) doubt(now time.Time, death membership.Member, a *Actions) {
	if _, doubted := m.doubts[death.ID]; doubted {
		return
	}
	m.doubts[death.ID] = doubt{death, now.Add(doubtTime)}
	m.send(death.ID, membership.Message{Kind: membership.Gossip, Updates: []membership.Member{death}}, a)
}

// settleDoubts accepts the deaths that were not refuted in time.
func (m *Membership) settleDoubts(now time.Time, a *Actions) {
	for _, id := range sortedKeys(m.doubts) {
		if d := m.doubts[id]; !now.Before(d.until) {
			delete(m.doubts, id)
			m.merge(now, d.death, true, a)
		}
	}
}

func (m *Membership) answered(now time.Time, message membership.Message, a *Actions) {
	p := m.probes[message.From]
	if p == nil || p.open == 0 || message.Seq < p.first || message.Seq > p.open {
		return
	}
	p.open, p.misses = 0, 0
	p.answered = now
	p.helping = now
	if acc := m.accused[message.From]; acc != nil {
		delete(acc.by, m.self.ID)
		acc.since = time.Time{}
	}
	if message.Digest == m.digest {
		p.differences = 0
		return
	}
	p.differences++
	if p.differences >= differencesToSync {
		p.differences = 0
		m.sync(now, message.From, a)
	}
}

// sync exchanges all members with another node, not more often than every
// syncPause.
func (m *Membership) sync(now time.Time, with string, a *Actions) {
	if now.Before(m.nextSync) {
		return
	}
	m.nextSync = now.Add(syncPause)
	m.send(with, membership.Message{Kind: membership.Sync, Updates: m.all()}, a)
}

// accusedBy counts another node's accusation, or vouches for the accused.
func (m *Membership) accusedBy(now time.Time, message membership.Message, a *Actions) {
	id := message.Subject.ID
	if id == m.self.ID {
		m.send(message.From, membership.Message{Kind: membership.Vouch, Subject: message.Subject}, a)
		return
	}
	e, ok := m.members[id]
	if !ok || e.Start != message.Subject.Start || !e.State.IsPresent() {
		if ok {
			m.send(message.From, membership.Message{Kind: membership.Gossip, Updates: []membership.Member{e.Member}}, a)
		}
		return
	}
	p := m.probes[id]
	if p != nil && p.misses == 0 && now.Sub(p.answered) <= freshAck {
		m.send(message.From, membership.Message{Kind: membership.Vouch, Subject: message.Subject}, a)
		return
	}
	m.accusationOf(id, e.Start).by[message.From] = now
	m.help(now, id, a)
	m.judge(now, a)
}

// vouched restarts the time after which this node alone would decide.
func (m *Membership) vouched(now time.Time, message membership.Message) {
	acc := m.accused[message.Subject.ID]
	if acc != nil && acc.start == message.Subject.Start && !acc.since.IsZero() {
		acc.since = now
	}
}

// all returns every member including this node and those that are gone.
func (m *Membership) all() []membership.Member {
	list := []membership.Member{m.self}
	for _, id := range sortedKeys(m.members) {
		list = append(list, m.members[id].Member)
	}
	return list
}

// replyToSync sends back what the sender lacks or knows less well.
func (m *Membership) replyToSync(message membership.Message, a *Actions) {
	theirs := make(map[string]membership.Member, len(message.Updates))
	for _, member := range message.Updates {
		theirs[member.ID] = member
	}
	var lacking []membership.Member
	for _, member := range m.all() {
		known, ok := theirs[member.ID]
		if !ok || member.Outranks(known) {
			lacking = append(lacking, member)
		}
	}
	if len(lacking) > 0 {
		m.send(message.From, membership.Message{Kind: membership.SyncReply, Updates: lacking}, a)
	}
}

// announce puts an update among the news, in place of an older one.
func (m *Membership) announce(member membership.Member) {
	for i := range m.news {
		if m.news[i].member.ID == member.ID {
			m.news[i] = news{member: member}
			return
		}
	}
	m.news = append(m.news, news{member: member})
}

// gossip sends the news to a few nodes picked at random.
func (m *Membership) gossip(now time.Time, a *Actions) {
	m.refresh()
	m.nextGossip = now.Add(GossipInterval)
	if len(m.news) == 0 || len(m.present) == 0 {
		return
	}
	count := min(len(m.news), maxGossipUpdates)
	updates := make([]membership.Member, count)
	for i := range updates {
		updates[i] = m.news[i].member
		m.news[i].rounds++
	}
	for _, i := range m.random.Perm(len(m.present))[:min(gossipFanout, len(m.present))] {
		m.send(m.present[i], membership.Message{Kind: membership.Gossip, Updates: updates}, a)
	}
	m.news = slices.DeleteFunc(m.news, func(n news) bool { return n.rounds >= gossipRounds })
}

func (m *Membership) send(to string, message membership.Message, a *Actions) {
	s := Packet{To: to, Message: message}
	if e, ok := m.members[to]; ok {
		s.Address = e.Address
	}
	s.Message.From = m.self.ID
	s.Message.Digest = m.digest
	a.Packets = append(a.Packets, s)
}

func sortedKeys[K cmp.Ordered, V any](values map[K]V) []K {
	return slices.Sorted(maps.Keys(values))
}
