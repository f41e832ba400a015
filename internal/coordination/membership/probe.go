package membership

import (
	"slices"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/membership"
)

// probe is the state of probing one member.
type probe struct {
	next time.Time
	// oldestUnanswered and newestUnanswered are the Seqs of pings without an answer;
	// newestUnanswered is 0 when there is none.
	oldestUnanswered, newestUnanswered uint64
	misses                             int
	// lastAck is the time of the last answer.
	lastAck time.Time
	// digestMismatches counts consecutive answers with a different digest.
	digestMismatches int
	// urgentUntil is the time until which a member is probed more often, since there is
	// evidence that it has failed. A member that is not a neighbour is only probed until then.
	urgentUntil time.Time
}

// suspicion records which nodes get no answer from a member.
type suspicion struct {
	start uint64 // incarnation of the member
	// suspectedBy holds the ids of suspecting nodes and the time of their last report.
	suspectedBy map[string]time.Time
	// localSince is the time at which this node itself began to suspect the member;
	// zero when it does not.
	localSince time.Time
}

// Tick advances time. It has to be called every TickInterval.
func (m *Membership) Tick(now time.Time) Actions {
	var a Actions
	if m.superseded {
		return a
	}
	if !m.lastTick.IsZero() && now.Sub(m.lastTick) >= pauseThreshold {
		m.resetAfterPause(now)
	}
	m.lastTick = now
	for _, id := range m.membersToProbe(now) {
		m.probeMember(now, id, &a)
	}
	m.evaluateSuspicions(now, &a)
	m.acceptPendingDeaths(now, &a)
	if !now.Before(m.nextRecheck) {
		m.nextRecheck = now.Add(recheckInterval)
		m.recheckDead(&a)
		m.expireTombstones(now)
	}
	m.pullList(now, &a)
	if !now.Before(m.nextGossip) {
		m.gossip(now, &a)
	}
	return a
}

// resetAfterPause drops probes and reports, which are incomplete because this node
// missed messages while it was paused, and refutes a death that others may have
// declared meanwhile.
func (m *Membership) resetAfterPause(time.Time) {
	clear(m.probes)
	clear(m.suspicions)
	clear(m.pendingDeaths)
	m.refute(m.self.Refutation + 1)
}

// membersToProbe returns the neighbours and the members that are probed urgently.
func (m *Membership) membersToProbe(now time.Time) []string {
	m.refresh()
	ids := slices.Clone(m.neighbours)
	for id, p := range m.probes {
		if !slices.Contains(m.neighbours, id) {
			if now.After(p.urgentUntil) {
				delete(m.probes, id)
				continue
			}
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (m *Membership) probeMember(now time.Time, id string, a *Actions) {
	e, ok := m.members[id]
	if !ok || !e.State.IsPresent() {
		return
	}
	p := m.probes[id]
	if p == nil {
		// Probes of different neighbours are spread over the interval.
		p = &probe{next: now.Add(time.Duration(m.random.Int64N(int64(ProbeInterval))))}
		m.probes[id] = p
	}
	if now.Before(p.next) {
		return
	}
	p.next = p.next.Add(ProbeInterval)
	missLimit := suspectAfterMisses
	if now.Before(p.urgentUntil) {
		p.next = now.Add(urgentInterval)
		missLimit = urgentSuspectAfterMisses
	}
	m.seq++
	if p.newestUnanswered != 0 {
		p.misses++
	} else {
		p.oldestUnanswered = m.seq
	}
	p.newestUnanswered = m.seq
	m.send(id, membership.Message{Kind: membership.Ping, Seq: m.seq}, a)
	if p.misses >= missLimit {
		m.suspect(now, id, a)
	}
}

// suspect reports to the observers of a member that it does not answer.
func (m *Membership) suspect(now time.Time, id string, a *Actions) {
	e := m.members[id]
	record := m.suspicionOf(id, e.Start)
	record.suspectedBy[m.self.ID] = now
	if record.localSince.IsZero() {
		record.localSince = now
	}
	subject := membership.Subject{ID: id, Start: e.Start}
	for _, observer := range m.observersOf(id) {
		m.send(observer, membership.Message{Kind: membership.Suspect, Subject: subject}, a)
	}
}

func (m *Membership) suspicionOf(id string, start uint64) *suspicion {
	record := m.suspicions[id]
	if record == nil || record.start != start {
		record = &suspicion{start: start, suspectedBy: make(map[string]time.Time)}
		m.suspicions[id] = record
	}
	return record
}

// evaluateSuspicions declares members dead that enough nodes suspect, or that this node
// alone has suspected for long enough.
func (m *Membership) evaluateSuspicions(now time.Time, a *Actions) {
	for _, id := range sortedKeys(m.suspicions) {
		record := m.suspicions[id]
		for reporter, at := range record.suspectedBy {
			if now.Sub(at) > suspicionTTL {
				delete(record.suspectedBy, reporter)
			}
		}
		if len(record.suspectedBy) == 0 {
			delete(m.suspicions, id)
			continue
		}
		e, ok := m.members[id]
		if !ok || e.Start != record.start || !e.State.IsPresent() {
			delete(m.suspicions, id)
			continue
		}
		_, self := record.suspectedBy[m.self.ID]
		agreed := self && len(record.suspectedBy) >= deadQuorum
		alone := self && !record.localSince.IsZero() && now.Sub(record.localSince) >= soloDeclareDelay
		if agreed || alone {
			m.declareDead(now, e.Member, a)
		}
	}
}

func (m *Membership) declareDead(now time.Time, member membership.Member, a *Actions) {
	member.State = membership.Dead
	m.merge(now, member, true, a)
}

// recheckDead contacts one member that is considered dead although the platform lists
// it, so that the two sides of a healed partition find each other again.
func (m *Membership) recheckDead(a *Actions) {
	var listedDead []string
	for id, e := range m.members {
		if e.State == membership.Dead && e.listed {
			listedDead = append(listedDead, id)
		}
	}
	if len(listedDead) == 0 {
		return
	}
	slices.Sort(listedDead)
	id := listedDead[m.random.IntN(len(listedDead))]
	// The update shows the member that it is considered dead, and it refutes that.
	m.send(id, membership.Message{Kind: membership.Gossip, Updates: []membership.Member{m.members[id].Member, m.self}}, a)
}

// Suspect records evidence from other traffic that a member has failed: a connection
// to it broke or was refused, or a request to it got no answer. The only effect is that
// the member is probed at once, and more often until it answers.
func (m *Membership) Suspect(now time.Time, id string) Actions {
	var a Actions
	m.probeUrgently(now, id, &a)
	return a
}

// probeUrgently probes a member at once, and more often for suspicionTTL.
func (m *Membership) probeUrgently(now time.Time, id string, a *Actions) {
	e, ok := m.members[id]
	if !ok || !e.State.IsPresent() {
		return
	}
	p := m.probes[id]
	if p == nil {
		p = &probe{next: now}
		m.probes[id] = p
	}
	if !now.Before(p.urgentUntil) {
		p.next = now
	}
	p.urgentUntil = now.Add(suspicionTTL)
	if p.newestUnanswered == 0 {
		p.next = now
		m.probeMember(now, id, a)
	}
}
