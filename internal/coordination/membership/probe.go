package membership

import (
	"slices"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/membership"
)

// probe is the state of probing one member.
type probe struct {
	next time.Time
	// first and open are the Seqs of the oldest and the newest ping without an answer;
	// 0 when there is none.
	first, open uint64
	misses      int
	// answered is the time of the last sign of life.
	answered time.Time
	// differences counts answers in a row with another digest.
	differences int
	// helping is the time until which a member is probed more often, since something
	// speaks against it, and until which one that is no neighbour is probed at all.
	helping time.Time
}

// accusation is what is known against one member.
type accusation struct {
	start uint64 // life of the member
	// by holds the accusers and the time of their last accusation.
	by map[string]time.Time
	// since is the time at which this node itself began to accuse; zero when it does not.
	since time.Time
}

// Tick advances time. It has to be called every TickInterval.
func (m *Membership) Tick(now time.Time) Actions {
	var a Actions
	if m.superseded {
		return a
	}
	if !m.lastTick.IsZero() && now.Sub(m.lastTick) >= pauseGap {
		m.resume(now)
	}
	m.lastTick = now
	for _, id := range m.probed(now) {
		m.probeMember(now, id, &a)
	}
	m.judge(now, &a)
	m.settleDoubts(now, &a)
	if !now.Before(m.nextRecheck) {
		m.nextRecheck = now.Add(recheckInterval)
		m.recheck(&a)
		m.expire(now)
	}
	if !now.Before(m.nextGossip) {
		m.gossip(now, &a)
	}
	return a
}

// resume forgets what this node could not have heard while it was paused, and
// refutes what others may have concluded.
func (m *Membership) resume(time.Time) {
	clear(m.probes)
	clear(m.accused)
	clear(m.doubts)
	m.refute(m.self.Refutation + 1)
}

// probed returns the neighbours and the members that are probed for others.
func (m *Membership) probed(now time.Time) []string {
	m.refresh()
	ids := slices.Clone(m.neighbours)
	for id, p := range m.probes {
		if !slices.Contains(m.neighbours, id) {
			if now.After(p.helping) {
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
		// Probes of several neighbours are spread over the interval.
		p = &probe{next: now.Add(time.Duration(m.random.Int64N(int64(ProbeInterval))))}
		m.probes[id] = p
	}
	if now.Before(p.next) {
		return
	}
	p.next = p.next.Add(ProbeInterval)
	allowed := missesToAccuse
	if now.Before(p.helping) {
		p.next = now.Add(evidenceInterval)
		allowed = evidenceMisses
	}
	m.seq++
	if p.open != 0 {
		p.misses++
	} else {
		p.first = m.seq
	}
	p.open = m.seq
	m.send(id, membership.Message{Kind: membership.Ping, Seq: m.seq}, a)
	if p.misses >= allowed {
		m.accuse(now, id, a)
	}
}

// accuse tells the nodes that may know better that a member does not answer.
func (m *Membership) accuse(now time.Time, id string, a *Actions) {
	e := m.members[id]
	acc := m.accusationOf(id, e.Start)
	acc.by[m.self.ID] = now
	if acc.since.IsZero() {
		acc.since = now
	}
	subject := membership.Subject{ID: id, Start: e.Start}
	for _, witness := range m.witnesses(id) {
		m.send(witness, membership.Message{Kind: membership.Suspect, Subject: subject}, a)
	}
}

func (m *Membership) accusationOf(id string, start uint64) *accusation {
	acc := m.accused[id]
	if acc == nil || acc.start != start {
		acc = &accusation{start: start, by: make(map[string]time.Time)}
		m.accused[id] = acc
	}
	return acc
}

// judge buries the accused against whom there is enough evidence.
func (m *Membership) judge(now time.Time, a *Actions) {
	for _, id := range sortedKeys(m.accused) {
		acc := m.accused[id]
		for accuser, at := range acc.by {
			if now.Sub(at) > accusationLife {
				delete(acc.by, accuser)
			}
		}
		if len(acc.by) == 0 {
			delete(m.accused, id)
			continue
		}
		e, ok := m.members[id]
		if !ok || e.Start != acc.start || !e.State.IsPresent() {
			delete(m.accused, id)
			continue
		}
		_, self := acc.by[m.self.ID]
		agreed := self && len(acc.by) >= accusersToBury
		alone := self && !acc.since.IsZero() && now.Sub(acc.since) >= soloBury
		if agreed || alone {
			m.bury(now, e.Member, a)
		}
	}
}

func (m *Membership) bury(now time.Time, member membership.Member, a *Actions) {
	member.State = membership.Dead
	m.merge(now, member, true, a)
}

// recheck probes one member that is held for dead although the platform lists
// it, so that two sides of a partition find each other again.
func (m *Membership) recheck(a *Actions) {
	var lost []string
	for id, e := range m.members {
		if e.State == membership.Dead && e.listed {
			lost = append(lost, id)
		}
	}
	if len(lost) == 0 {
		return
	}
	slices.Sort(lost)
	id := lost[m.random.IntN(len(lost))]
	// The member learns from this that it is held for dead, and refutes it.
	m.send(id, membership.Message{Kind: membership.Gossip, Updates: []membership.Member{m.members[id].Member, m.self}}, a)
}

// Suspect takes wire evidence: a connection to a member broke or was refused,
// or a request to it stayed without an answer. It only makes the member be probed at
// once, and more often until it answers.
func (m *Membership) Suspect(now time.Time, id string) Actions {
	var a Actions
	m.help(now, id, &a)
	return a
}

// help probes a member at once and for a while.
func (m *Membership) help(now time.Time, id string, a *Actions) {
	e, ok := m.members[id]
	if !ok || !e.State.IsPresent() {
		return
	}
	p := m.probes[id]
	if p == nil {
		p = &probe{next: now}
		m.probes[id] = p
	}
	if !now.Before(p.helping) {
		p.next = now
	}
	p.helping = now.Add(accusationLife)
	if p.open == 0 {
		p.next = now
		m.probeMember(now, id, a)
	}
}
