// Package subrequest decides how one shard of one query is asked: which
// replica first, when to hedge, when to retry and when to give up. A Machine
// takes events with their time and returns actions; it does no input or output
// and is used by one goroutine.
package subrequest

import (
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/replica"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
)

const (
	// recheckDivisor is the part of the hedge delay after which a hedge that
	// found no budget asks again.
	recheckDivisor = 8
	// minRecheck is the shortest time between two looks at the budget.
	minRecheck = 500 * time.Microsecond
)

// Result says how an attempt ended.
type Result int

// Results of an attempt.
const (
	// OK means that a verified reply arrived.
	OK Result = iota
	// NotRun means that the leaf declared that it did not run the attempt.
	NotRun
	// Gone means that the leaf does not hold the snapshot.
	Gone
	// Lost means that the connection failed.
	Lost
	// Bad means that the reply failed verification.
	Bad
	// Failed means that the leaf ran the attempt and reported an error.
	Failed
)

// reasons maps the result of the last attempt to the reason for a missing shard.
var reasons = map[Result]query.Reason{
	NotRun: query.ReasonShed,
	Gone:   query.ReasonSnapshotGone,
	Lost:   query.ReasonLost,
	Bad:    query.ReasonBadReply,
	Failed: query.ReasonUpstreamError,
}

// Kind says why an attempt is sent.
type Kind int

// Kinds of attempts.
const (
	First Kind = iota
	Hedge
	Retry
)

// Attempt tells the driver to send an attempt to a replica.
type Attempt struct {
	Kind    Kind
	Replica int
}

// Extra pays for hedges and retries; it is met by budget.Budget.
type Extra interface {
	Spend() bool
}

// Config fixes the conditions of one subrequest.
type Config struct {
	Replicas         []shardmap.Replica
	AvailabilityZone string
	// Deadline is when the subrequest is worth nothing any more.
	Deadline time.Time
	// HedgeDelay is the wait before a hedge; 0 disables hedging.
	HedgeDelay time.Duration
	// Choose picks the replica of each attempt.
	Choose replica.Chooser
	// Random supplies randomness for the choice of replicas.
	Random func() uint64
}

// Machine is the state of one subrequest.
type Machine struct {
	cfg     Config
	extra   Extra
	tried   replica.Set
	pending int
	done    bool
	last    Result
	hedged  bool
}

// New returns the machine of a subrequest whose extra attempts are paid by extra.
func New(cfg Config, extra Extra) Machine {
	return Machine{cfg: cfg, extra: extra}
}

// Start chooses the first replica. It reports false when there is none or the
// deadline has passed.
func (m *Machine) Start(now time.Time) (Attempt, bool) {
	return m.next(now, First)
}

// HedgeAt is when to call HedgeDue, if hedging makes sense at all.
func (m *Machine) HedgeAt(now time.Time) (time.Time, bool) {
	if m.cfg.HedgeDelay <= 0 || len(m.cfg.Replicas) < 2 {
		return time.Time{}, false
	}
	at := now.Add(m.cfg.HedgeDelay)
	return at, at.Before(m.cfg.Deadline)
}

// HedgeDue sends a second attempt when the first one is still pending and the
// budget allows it. When only the budget is missing, it returns the time at
// which to ask again: the longer an attempt is pending, the more a hedge helps.
func (m *Machine) HedgeDue(now time.Time) (attempt Attempt, send bool, again time.Time) {
	if m.done || m.hedged || m.pending != 1 || !m.canTryAnother() {
		return Attempt{}, false, time.Time{}
	}
	i := m.choose(time.Time{})
	if i == replica.None || !now.Before(m.cfg.Deadline) || !replica.IsWorthHedging(m.cfg.Replicas[i], m.cfg.HedgeDelay) {
		m.hedged = true
		return Attempt{}, false, time.Time{}
	}
	if !m.extra.Spend() {
		return Attempt{}, false, m.recheckAt(now)
	}
	m.hedged = true
	return m.take(i, Hedge), true, time.Time{}
}

// recheckAt is when to look at the budget again, or zero when that is too late.
func (m *Machine) recheckAt(now time.Time) time.Time {
	at := now.Add(max(m.cfg.HedgeDelay/recheckDivisor, minRecheck))
	if !at.Before(m.cfg.Deadline) {
		return time.Time{}
	}
	return at
}

// Decision tells the driver what an ended attempt means.
type Decision int

// Decisions after an attempt.
const (
	// Wait means that another attempt is still pending.
	Wait Decision = iota
	// Send means that the returned attempt has to be sent.
	Send
	// Deliver means that the attempt's reply is the subrequest's reply.
	Deliver
	// GiveUp means that the subrequest failed with the machine's Reason.
	GiveUp
)

// Ended records the end of an attempt and decides what follows.
func (m *Machine) Ended(now time.Time, result Result) (Decision, Attempt) {
	m.pending--
	if m.done {
		return Wait, Attempt{}
	}
	if result == OK {
		m.done = true
		return Deliver, Attempt{}
	}
	m.last = result
	if m.pending > 0 {
		return Wait, Attempt{}
	}
	if m.canTryAnother() && m.extra.Spend() {
		if attempt, ok := m.next(now, Retry); ok {
			return Send, attempt
		}
	}
	m.done = true
	return GiveUp, Attempt{}
}

// Reason says why the subrequest failed; it is valid after GiveUp.
func (m *Machine) Reason() query.Reason { return reasons[m.last] }

func (m *Machine) canTryAnother() bool {
	return m.tried != replica.Set(0).With(len(m.cfg.Replicas))-1
}

func (m *Machine) next(now time.Time, kind Kind) (Attempt, bool) {
	if !now.Before(m.cfg.Deadline) {
		return Attempt{}, false
	}
	i := m.choose(now)
	if i == replica.None {
		return Attempt{}, false
	}
	return m.take(i, kind), true
}

// choose picks a replica that was not tried; a zero now asks for no probes.
func (m *Machine) choose(now time.Time) int {
	return m.cfg.Choose(now, m.cfg.Replicas, m.tried, m.cfg.AvailabilityZone, m.cfg.Random())
}

func (m *Machine) take(i int, kind Kind) Attempt {
	m.tried = m.tried.With(i)
	m.pending++
	return Attempt{Kind: kind, Replica: i}
}
