// Package subrequest decides how the subrequest for one shard of a query is sent:
// to which replica first, when to hedge, when to retry and when to abandon it. A
// Machine takes events with their time and returns actions; it does no I/O
// and is used by one goroutine.
package subrequest

import (
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/replica"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
)

const (
	// budgetRecheckDivisor divides the hedge delay: a hedge that found the budget
	// empty checks it again after that time.
	budgetRecheckDivisor = 8
	// minBudgetRecheck is the minimum time between two checks of the budget.
	minBudgetRecheck = 500 * time.Microsecond
	// initialRoundBackoff is the wait before the replicas are tried once more; it
	// doubles with each round.
	initialRoundBackoff = 10 * time.Millisecond
	// maxRoundBackoff bounds the wait between two rounds.
	maxRoundBackoff = 200 * time.Millisecond
)

// Machine is the state of one subrequest.
type Machine struct {
	cfg          Config
	budget       Budget
	tried        replica.Set
	lastReplica  int // of the newest attempt
	pending      int
	sent         int // attempts so far, without unsent ones
	ended        bool
	skipReason   SkipReason
	lastResult   Result
	hedges       int
	roundBackoff time.Duration
	roundAt      time.Time
}

// New returns the machine of a subrequest whose hedges and retries are paid from budget.
func New(cfg Config, budget Budget) Machine {
	return Machine{cfg: cfg, budget: budget}
}

// SetReplicas replaces the list of replicas by one that begins with the same replicas.
func (m *Machine) SetReplicas(replicas []shardmap.Replica) { m.cfg.Replicas = replicas }

// Start chooses the first replica. It reports false when there is none or the
// deadline has passed.
func (m *Machine) Start(now time.Time) (Attempt, bool) {
	return m.startAttempt(now, First)
}

// HedgeAt returns when to call TimerFired for a hedge; false when no hedge can follow.
func (m *Machine) HedgeAt(now time.Time) (time.Time, bool) {
	if m.cfg.HedgeDelay <= 0 || len(m.cfg.Replicas) < 2 || m.cfg.AtMostOnce || m.hasReachedMaxAttempts() {
		return time.Time{}, false
	}
	at := now.Add(m.cfg.HedgeDelay)
	if !at.Before(m.cfg.Deadline) {
		return time.Time{}, false
	}
	return at, true
}

// TimerFired decides what to send at a time that HedgeAt, TimerFired or RoundAt
// returned: a hedge beside a late attempt, or the first attempt of another round.
// When only the budget forbids it, nextCheck is when to call TimerFired again.
func (m *Machine) TimerFired(now time.Time) (attempt Attempt, send bool, nextCheck time.Time) {
	switch {
	case m.ended:
		return Attempt{}, false, time.Time{}
	case m.pending == 0:
		return m.startRound(now)
	default:
		return m.hedge(now)
	}
}

// hedge sends a hedge when the budget allows it. Without budget the hedge is
// delayed: the longer an attempt is pending, the more a hedge helps. When every
// replica was tried, the second hedge goes to one that was tried before the last,
// since one straggler says little about the next request to the same leaf.
func (m *Machine) hedge(now time.Time) (attempt Attempt, send bool, nextCheck time.Time) {
	if m.hedges >= MaxHedges || len(m.cfg.Replicas) < 2 || m.cfg.AtMostOnce || m.hasReachedMaxAttempts() {
		return Attempt{}, false, time.Time{}
	}
	avoid := m.tried
	if !m.hasUntriedReplica() {
		avoid = replica.Set(0).With(m.lastReplica)
	}
	i := m.choose(time.Time{}, avoid)
	if i == replica.None || !now.Before(m.cfg.Deadline) {
		return m.skipHedges()
	}
	if !replica.IsWorthHedging(m.cfg.Replicas[i], m.cfg.HedgeDelay) {
		// The replica is likely to be late too.
		if !m.cfg.HedgeWithSpare || !m.budget.SpendSpare() {
			return m.skipHedges()
		}
	} else if !m.budget.Spend() {
		m.skipReason = SkippedNoBudget
		return Attempt{}, false, m.recheckAt(now)
	}
	m.skipReason = NotSkipped
	m.hedges++
	nextCheck, _ = m.HedgeAt(now)
	return m.recordAttempt(i, Hedge), true, nextCheck
}

// skipHedges ends the hedges of a round since no replica is likely to reply earlier.
func (m *Machine) skipHedges() (Attempt, bool, time.Time) {
	m.skipReason = SkippedNoReplica
	m.hedges = MaxHedges
	return Attempt{}, false, time.Time{}
}

// startRound sends the first attempt of a round when the budget allows it.
func (m *Machine) startRound(now time.Time) (attempt Attempt, send bool, nextCheck time.Time) {
	if !m.spend() {
		return Attempt{}, false, m.recheckAt(now)
	}
	m.tried = 0
	m.hedges = 0
	attempt, send = m.startAttempt(now, Retry)
	return attempt, send, time.Time{}
}

// spend pays for a retry; retries of later rounds leave tokens for other shards.
func (m *Machine) spend() bool {
	if m.roundBackoff > 0 {
		return m.budget.SpendSpare()
	}
	return m.budget.Spend()
}

// recheckAt is when to check the budget again; zero when that is after the deadline.
func (m *Machine) recheckAt(now time.Time) time.Time {
	at := now.Add(max(m.cfg.HedgeDelay/budgetRecheckDivisor, minBudgetRecheck))
	if !at.Before(m.cfg.Deadline) {
		return time.Time{}
	}
	return at
}

// Decision is what the driver has to do after an attempt has ended.
type Decision int

// Decisions after an attempt.
const (
	// Wait means that another attempt is still pending.
	Wait Decision = iota
	// Send means that the driver has to send the returned attempt.
	Send
	// Deliver means that the attempt's reply is the subrequest's reply.
	Deliver
	// RetryLater means that the driver has to call TimerFired at RoundAt.
	RetryLater
	// Abandon means that the subrequest failed with the machine's Reason.
	Abandon
)

// AttemptEnded records how an attempt ended and decides what follows.
func (m *Machine) AttemptEnded(now time.Time, result Result) (Decision, Attempt) {
	m.pending--
	if m.ended {
		return Wait, Attempt{}
	}
	if result == OK {
		m.ended = true
		return Deliver, Attempt{}
	}
	m.lastResult = result
	if result == Unsent {
		m.sent--
	}
	if m.pending > 0 {
		return Wait, Attempt{}
	}
	if attempt, ok := m.retry(now); ok {
		return Send, attempt
	}
	if m.scheduleRound(now, result) {
		return RetryLater, Attempt{}
	}
	m.ended = true
	return Abandon, Attempt{}
}

// retry sends an attempt to another replica when the budget allows it. For a
// replica that keeps failing only spare tokens are spent.
func (m *Machine) retry(now time.Time) (Attempt, bool) {
	if m.hasReachedMaxAttempts() || m.mustNotRepeat() {
		m.skipReason = SkippedMaxAttempts
		return Attempt{}, false
	}
	i := m.choose(now, m.tried)
	if i == replica.None || !now.Before(m.cfg.Deadline) {
		return Attempt{}, false
	}
	if !m.spendForRetry(i) {
		m.skipReason = SkippedNoBudget
		return Attempt{}, false
	}
	m.skipReason = NotSkipped
	return m.recordAttempt(i, Retry), true
}

// mustNotRepeat reports whether a request that must run at most once may have run
// already.
func (m *Machine) mustNotRepeat() bool {
	return m.cfg.AtMostOnce && m.lastResult != NotRun && m.lastResult != Unsent
}

// spendForRetry pays for a retry at a replica. After an attempt that was not sent
// the retry is free, since it is the first request that reaches a leaf.
func (m *Machine) spendForRetry(i int) bool {
	switch {
	case m.lastResult == Unsent:
		return true
	case replica.IsFailing(m.cfg.Replicas[i]):
		return m.budget.SpendSpare()
	default:
		return m.spend()
	}
}

// CanReroute reports whether an attempt that was not sent yet can go to an untried
// replica.
func (m *Machine) CanReroute() bool {
	return !m.ended && m.choose(time.Time{}, m.tried) != replica.None
}

// scheduleRound sets the time of the next round and reports whether there will be
// one. Another round does not help when the snapshot is no longer available.
func (m *Machine) scheduleRound(now time.Time, result Result) bool {
	if !m.cfg.RetryUntilDeadline || result == SnapshotUnavailable || m.hasReachedMaxAttempts() || m.mustNotRepeat() {
		return false
	}
	m.roundBackoff = min(max(2*m.roundBackoff, initialRoundBackoff), maxRoundBackoff)
	m.roundAt = now.Add(m.roundBackoff)
	return m.roundAt.Before(m.cfg.Deadline)
}

// Sent is the number of attempts so far, without those that ended unsent.
func (m *Machine) Sent() int { return m.sent }

// SkipReason is why no further attempt was sent at the last decision.
func (m *Machine) SkipReason() SkipReason { return m.skipReason }

// RoundAt is when to call TimerFired; it is valid after RetryLater.
func (m *Machine) RoundAt() time.Time { return m.roundAt }

// IsBetweenRounds reports whether all attempts have ended and another round may follow.
func (m *Machine) IsBetweenRounds() bool { return !m.ended && m.pending == 0 }

// Reason is why the last attempt failed; it is valid after Abandon and RetryLater.
func (m *Machine) Reason() query.Reason { return reasons[m.lastResult] }

func (m *Machine) hasReachedMaxAttempts() bool {
	return m.cfg.MaxAttempts > 0 && m.sent >= m.cfg.MaxAttempts
}

func (m *Machine) hasUntriedReplica() bool {
	return m.tried != replica.Set(0).With(len(m.cfg.Replicas))-1
}

func (m *Machine) startAttempt(now time.Time, kind Kind) (Attempt, bool) {
	if !now.Before(m.cfg.Deadline) {
		return Attempt{}, false
	}
	i := m.choose(now, m.tried)
	if i == replica.None {
		return Attempt{}, false
	}
	return m.recordAttempt(i, kind), true
}

// choose picks a replica that is not in avoid; a zero now rules out probes.
func (m *Machine) choose(now time.Time, avoid replica.Set) int {
	return m.cfg.Choose(now, m.cfg.Replicas, avoid, m.cfg.AvailabilityZone, m.cfg.Random())
}

func (m *Machine) recordAttempt(i int, kind Kind) Attempt {
	m.tried = m.tried.With(i)
	m.lastReplica = i
	m.sent++
	m.pending++
	return Attempt{Kind: kind, Replica: i}
}
