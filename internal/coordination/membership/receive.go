package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/membership"
)

// pendingUpdate is an update that is still gossiped.
type pendingUpdate struct {
	member membership.Member
	rounds int // of gossip that included it
}

// Receive handles a message. Messages may be lost, delayed, duplicated or reordered.
func (m *Membership) Receive(now time.Time, message membership.Message) Actions {
	var a Actions
	if m.superseded || message.From == m.self.ID {
		return a
	}
	// Large exchanges are not gossiped: nodes that lack the updates notice by digest.
	exchange := message.Kind == membership.Sync || message.Kind == membership.SyncReply
	_, senderKnown := m.members[message.From]
	spread := !exchange || len(message.Updates) <= maxGossipUpdates
	for _, update := range message.Updates {
		if exchange && m.contradictsView(update) {
			m.deferDeath(now, update, &a)
			continue
		}
		m.merge(now, update, spread, &a)
	}
	if _, known := m.members[message.From]; !known {
		m.startSync(now, message.From, &a)
	}
	switch message.Kind {
	case membership.Ping:
		m.send(message.From, membership.Message{Kind: membership.Ack, Seq: message.Seq}, &a)
	case membership.Ack:
		m.onAck(now, message, &a)
	case membership.Suspect:
		m.onSuspect(now, message, &a)
	case membership.ConfirmAlive:
		m.onConfirmAlive(now, message)
	case membership.Sync:
		m.replyToSync(message, senderKnown, &a)
	case membership.SyncReply:
		agrees := len(message.Updates) == 0 && message.Digest == m.digest
		m.joined = m.joined || agrees && now.Sub(m.joinSince) >= minJoinPeriod
	}
	return a
}

// pendingDeath is a death that another node reported and that the member may still
// refute.
type pendingDeath struct {
	member membership.Member
	// acceptAt is when the death is accepted.
	acceptAt time.Time
}

// contradictsView reports whether an update says that a member is dead that is present
// here with the same incarnation. After a partition each side says so of the other.
func (m *Membership) contradictsView(update membership.Member) bool {
	e, known := m.members[update.ID]
	return known && update.State == membership.Dead && e.State.IsPresent() && e.Start == update.Start
}

// deferDeath notifies a member that it is reported dead. The death is accepted unless
// the member refutes it within refutationTimeout.
func (m *Membership) deferDeath(now time.Time, death membership.Member, a *Actions) {
	if _, pending := m.pendingDeaths[death.ID]; pending {
		return
	}
	m.pendingDeaths[death.ID] = pendingDeath{death, now.Add(refutationTimeout)}
	m.send(death.ID, membership.Message{Kind: membership.Gossip, Updates: []membership.Member{death}}, a)
}

// acceptPendingDeaths accepts the deaths that were not refuted in time.
func (m *Membership) acceptPendingDeaths(now time.Time, a *Actions) {
	for _, id := range sortedKeys(m.pendingDeaths) {
		if d := m.pendingDeaths[id]; !now.Before(d.acceptAt) {
			delete(m.pendingDeaths, id)
			m.merge(now, d.member, true, a)
		}
	}
}

func (m *Membership) onAck(now time.Time, message membership.Message, a *Actions) {
	p := m.probes[message.From]
	if p == nil || p.newestUnanswered == 0 || message.Seq < p.oldestUnanswered || message.Seq > p.newestUnanswered {
		return
	}
	p.newestUnanswered, p.misses = 0, 0
	p.lastAck = now
	p.urgentUntil = now
	if record := m.suspicions[message.From]; record != nil {
		delete(record.suspectedBy, m.self.ID)
		record.localSince = time.Time{}
	}
	if message.Digest == m.digest {
		p.digestMismatches = 0
		return
	}
	p.digestMismatches++
	if p.digestMismatches >= syncAfterMismatches {
		p.digestMismatches = 0
		m.startSync(now, message.From, a)
	}
}

// startSync requests what this node lacks from another one, at most once per
// minSyncInterval. The other node does the same when it finds that the lists differ. If the
// lists still differ from those of the node that was asked last, a random one is asked: the
// former may be of a release whose digest never agrees.
func (m *Membership) startSync(now time.Time, peer string, a *Actions) {
	if now.Before(m.nextSync) {
		return
	}
	m.nextSync = now.Add(minSyncInterval)
	m.refresh()
	if peer == m.lastSync && len(m.present) > 0 {
		peer = m.present[m.random.IntN(len(m.present))]
	}
	m.lastSync = peer
	m.requestList(peer, a)
}

// requestList requests the members that this node lacks or has an older state of.
func (m *Membership) requestList(peer string, a *Actions) {
	m.send(peer, membership.Message{Kind: membership.Sync, Updates: []membership.Member{m.self}, Known: m.hashes()}, a)
}

// onSuspect counts another node's suspicion, or confirms that the member is alive.
func (m *Membership) onSuspect(now time.Time, message membership.Message, a *Actions) {
	id := message.Subject.ID
	if id == m.self.ID {
		m.send(message.From, membership.Message{Kind: membership.ConfirmAlive, Subject: message.Subject}, a)
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
	if p != nil && p.misses == 0 && now.Sub(p.lastAck) <= maxAckAge {
		m.send(message.From, membership.Message{Kind: membership.ConfirmAlive, Subject: message.Subject}, a)
		return
	}
	m.suspicionOf(id, e.Start).suspectedBy[message.From] = now
	m.probeUrgently(now, id, a)
	m.evaluateSuspicions(now, a)
}

// onConfirmAlive restarts the delay after which this node alone would declare the
// member dead.
func (m *Membership) onConfirmAlive(now time.Time, message membership.Message) {
	record := m.suspicions[message.Subject.ID]
	if record != nil && record.start == message.Subject.Start && !record.localSince.IsZero() {
		record.localSince = now
	}
}

// allMembers returns every member, including this node and tombstones.
func (m *Membership) allMembers() []membership.Member {
	list := []membership.Member{m.self}
	for _, id := range sortedKeys(m.members) {
		list = append(list, m.members[id].Member)
	}
	return list
}

// pullList requests the list of a random member while this node joins: gossip takes
// seconds to spread the members of a large fleet that starts at once.
func (m *Membership) pullList(now time.Time, a *Actions) {
	m.refresh()
	if m.joined || len(m.present) == 0 || now.Before(m.nextPull) {
		return
	}
	if m.joinSince.IsZero() {
		m.joinSince = now
	}
	if now.Sub(m.joinSince) >= maxJoinPeriod {
		m.joined = true
		return
	}
	m.nextPull = now.Add(joinPullInterval)
	m.requestList(m.present[m.random.IntN(len(m.present))], a)
}

// hashes returns a hash of each member that this node knows, without itself.
func (m *Membership) hashes() []uint32 {
	hashes := make([]uint32, 0, len(m.members))
	for _, e := range m.members {
		hashes = append(hashes, uint32(digestOf(e.Member)))
	}
	return hashes
}

// replyToSync sends back members that the sender lacks or has an older state of.
func (m *Membership) replyToSync(message membership.Message, senderKnown bool, a *Actions) {
	var updates []membership.Member
	if message.Digest != m.digest {
		updates = m.newerThan(message)
	}
	limit := maxSyncUpdates
	if !senderKnown {
		limit = maxFirstReply
	}
	if len(updates) > limit {
		// The first one is this node unless the sender knows it.
		others := updates[1:]
		m.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
		updates = updates[:limit]
	}
	// A reply without updates shows the sender that the lists agree.
	m.send(message.From, membership.Message{Kind: membership.SyncReply, Updates: updates}, a)
}

// newerThan returns the members that the sender of a Sync lacks or has an older state of.
func (m *Membership) newerThan(message membership.Message) []membership.Member {
	received := make(map[string]membership.Member, len(message.Updates))
	for _, member := range message.Updates {
		received[member.ID] = member
	}
	known := make(map[uint32]bool, len(message.Known))
	for _, hash := range message.Known {
		known[hash] = true
	}
	var updates []membership.Member
	for _, member := range m.allMembers() {
		theirs, ok := received[member.ID]
		if ok && !member.Outranks(theirs) || known[uint32(digestOf(member))] {
			continue
		}
		updates = append(updates, member)
	}
	return updates
}

// queueUpdate adds an update to those that are gossiped, in place of an older one of
// the same member.
func (m *Membership) queueUpdate(member membership.Member) {
	for i := range m.pendingUpdates {
		if m.pendingUpdates[i].member.ID == member.ID {
			m.pendingUpdates[i] = pendingUpdate{member: member}
			return
		}
	}
	m.pendingUpdates = append(m.pendingUpdates, pendingUpdate{member: member})
}

// gossip sends the pending updates to a few nodes picked at random.
func (m *Membership) gossip(now time.Time, a *Actions) {
	m.refresh()
	m.nextGossip = now.Add(GossipInterval)
	if len(m.pendingUpdates) == 0 || len(m.present) == 0 {
		return
	}
	count := min(len(m.pendingUpdates), maxGossipUpdates)
	updates := make([]membership.Member, count)
	for i := range updates {
		updates[i] = m.pendingUpdates[i].member
		m.pendingUpdates[i].rounds++
	}
	for _, target := range m.gossipTargets() {
		m.send(target, membership.Message{Kind: membership.Gossip, Updates: updates}, a)
	}
	m.pendingUpdates = slices.DeleteFunc(m.pendingUpdates, func(u pendingUpdate) bool { return u.rounds >= gossipRounds })
}

// gossipTargets returns random members, all but one of them in this node's availability
// zone if there are as many, since traffic between zones is slower and costs more.
func (m *Membership) gossipTargets() []string {
	var local, remote []string
	for _, i := range m.random.Perm(len(m.present)) {
		id := m.present[i]
		if m.members[id].AvailabilityZone == m.self.AvailabilityZone {
			local = append(local, id)
		} else {
			remote = append(remote, id)
		}
	}
	local = local[:min(len(local), gossipFanout-min(len(remote), 1))]
	remote = remote[:min(len(remote), gossipFanout-len(local))]
	return append(local, remote...)
}

func (m *Membership) send(to string, message membership.Message, a *Actions) {
	packet := Packet{To: to, Message: message}
	if e, ok := m.members[to]; ok {
		packet.Address = e.Address
	}
	packet.Message.From = m.self.ID
	packet.Message.Digest = m.digest
	a.Packets = append(a.Packets, packet)
}

func sortedKeys[K cmp.Ordered, V any](values map[K]V) []K {
	return slices.Sorted(maps.Keys(values))
}
