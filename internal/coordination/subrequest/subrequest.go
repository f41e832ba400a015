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

// MaxHedges is the number of hedges of one round.
const MaxHedges = 2

const (
	// recheckDivisor is the part of the hedge delay after which a hedge that
	// found no budget asks again.
	recheckDivisor = 8
	// minRecheck is the shortest time between two looks at the budget.
	minRecheck = 500 * time.Microsecond
	// firstRound is the wait before the replicas are tried once more; it doubles
	// with each round.
	firstRound = 10 * time.Millisecond
	// longestRound bounds the wait between two rounds.
	longestRound = 200 * time.Millisecond
)

// Result says how an attempt ended.
type Result int

// Results of an attempt.
const (
	// OK means that a verified reply arrived.
	OK Result = iota
	// NotRun means that the leaf declared that it did not run the attempt.
	NotRun
	// SnapshotUnavailable means that the leaf does not hold the snapshot.
	SnapshotUnavailable
	// ConnectionLost means that the connection failed.
	ConnectionLost
	// BadReply means that the reply failed verification.
	BadReply
	// UpstreamError means that the leaf ran the attempt and reported an error.
	UpstreamError
	// Unsent means that no byte of the attempt left this node. It counts neither as an
	// attempt nor as an extra arrival.
	Unsent
)

// reasons maps the result of the last attempt to the reason for a missing shard.
var reasons = map[Result]query.Reason{
	NotRun:              query.ReasonShed,
	SnapshotUnavailable: query.ReasonSnapshotGone,
	ConnectionLost:      query.ReasonConnectionLost,
	BadReply:            query.ReasonBadReply,
	UpstreamError:       query.ReasonUpstreamError,
	Unsent:              query.ReasonConnectionLost,
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

// Budget pays for hedges and retries; it is met by budget.Budget.
type Budget interface {
	Spend() bool
	// SpendSpare pays for an attempt of a later round.
	SpendSpare() bool
}

// Config fixes the conditions of one subrequest.
type Config struct {
	Replicas         []shardmap.Replica
	AvailabilityZone string
	// Deadline is when the subrequest is worth nothing any more.
	Deadline time.Time
	// HedgeDelay is the wait before a hedge; 0 disables hedging.
	HedgeDelay time.Duration
	// MaxAttempts bounds the attempts, hedges included; 0 means no bound.
	MaxAttempts int
	// AtMostOnce allows another attempt only after a leaf declared that it did not run
	// the one before, as a request that is not idempotent demands.
	AtMostOnce bool
	// RetryUntilDeadline keeps trying in rounds over all replicas until the deadline.
	RetryUntilDeadline bool
	// Choose picks the replica of each attempt.
	Choose replica.Chooser
	// Random supplies randomness for the choice of replicas.
	Random func() uint64
}

// SkipReason says why a second attempt was not sent.
type SkipReason int

// Reasons against a second attempt.
const (
	// NotSkipped means that nothing stood against it.
	NotSkipped SkipReason = iota
	// SkippedNoBudget means that the budget was empty.
	SkippedNoBudget
	// SkippedNoReplica means that no other replica was likely to answer earlier.
	SkippedNoReplica
	// SkippedMaxAttempts means that the bound on attempts was reached.
	SkippedMaxAttempts
)

// String names the reason.
func (h SkipReason) String() string {
	return [...]string{"none", "budget", "replica", "attempts"}[h]
}

// Machine is the state of one subrequest.
type Machine struct {
	cfg     Config
	extra   Budget
	tried   replica.Set
	newest  int // replica of the newest attempt
	pending int
	sent    int // attempts taken so far
	done    bool
	held    SkipReason
	last    Result
	hedges  int
	round   time.Duration
	roundAt time.Time
}

// New returns the machine of a subrequest whose extra attempts are paid by extra.
func New(cfg Config, extra Budget) Machine {
	return Machine{cfg: cfg, extra: extra}
}

// Start chooses the first replica. It reports false when there is none or the
// deadline has passed.
func (m *Machine) Start(now time.Time) (Attempt, bool) {
	return m.next(now, First)
}

// HedgeAt is when to call TimerFired, if hedging makes sense at all.
func (m *Machine) HedgeAt(now time.Time) (time.Time, bool) {
	if m.cfg.HedgeDelay <= 0 || len(m.cfg.Replicas) < 2 || m.cfg.AtMostOnce || m.isSpent() {
		return time.Time{}, false
	}
	at := now.Add(m.cfg.HedgeDelay)
	if !at.Before(m.cfg.Deadline) {
		return time.Time{}, false
	}
	return at, true
}

// TimerFired decides what to send at a time that HedgeAt, TimerFired or RoundAt named: a hedge
// beside a late attempt, or the first attempt of another round. When only the
// budget is missing, it returns the time at which to ask again.
func (m *Machine) TimerFired(now time.Time) (attempt Attempt, send bool, again time.Time) {
	switch {
	case m.done:
		return Attempt{}, false, time.Time{}
	case m.pending == 0:
		return m.roundDue(now)
	default:
		return m.hedgeDue(now)
	}
}

// hedgeDue sends a hedge when the budget allows it. One without budget is put
// off: the longer an attempt is pending, the more a hedge helps. When every
// replica was asked, the second hedge goes to one that was asked before the last,
// since a straggler says little about the next run of the same leaf.
func (m *Machine) hedgeDue(now time.Time) (attempt Attempt, send bool, again time.Time) {
	if m.hedges >= MaxHedges || len(m.cfg.Replicas) < 2 || m.cfg.AtMostOnce || m.isSpent() {
		return Attempt{}, false, time.Time{}
	}
	avoid := m.tried
	if !m.canTryAnother() {
		avoid = replica.Set(0).With(m.newest)
	}
	i := m.choose(time.Time{}, avoid)
	if i == replica.None || !now.Before(m.cfg.Deadline) || !replica.IsWorthHedging(m.cfg.Replicas[i], m.cfg.HedgeDelay) {
		m.held = SkippedNoReplica
		m.hedges = MaxHedges
		return Attempt{}, false, time.Time{}
	}
	if !m.extra.Spend() {
		m.held = SkippedNoBudget
		return Attempt{}, false, m.recheckAt(now)
	}
	m.held = NotSkipped
	m.hedges++
	again, _ = m.HedgeAt(now)
	return m.take(i, Hedge), true, again
}

// roundDue sends the first attempt of a round when the budget allows it.
func (m *Machine) roundDue(now time.Time) (attempt Attempt, send bool, again time.Time) {
	if !m.spend() {
		return Attempt{}, false, m.recheckAt(now)
	}
	m.tried = 0
	m.hedges = 0
	attempt, send = m.next(now, Retry)
	return attempt, send, time.Time{}
}

// spend pays for a retry; those of later rounds leave tokens for others.
func (m *Machine) spend() bool {
	if m.round > 0 {
		return m.extra.SpendSpare()
	}
	return m.extra.Spend()
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
	// RetryLater means that TimerFired has to be called at RoundAt.
	RetryLater
	// Abandon means that the subrequest failed with the machine's Reason.
	Abandon
)

// AttemptEnded records the end of an attempt and decides what follows.
func (m *Machine) AttemptEnded(now time.Time, result Result) (Decision, Attempt) {
	m.pending--
	if m.done {
		return Wait, Attempt{}
	}
	if result == OK {
		m.done = true
		return Deliver, Attempt{}
	}
	m.last = result
	if result == Unsent {
		m.sent--
	}
	if m.pending > 0 {
		return Wait, Attempt{}
	}
	if attempt, ok := m.retry(now); ok {
		return Send, attempt
	}
	if m.startRound(now, result) {
		return RetryLater, Attempt{}
	}
	m.done = true
	return Abandon, Attempt{}
}

// retry sends an attempt to another replica when the budget allows it. A replica
// that keeps failing is worth spare tokens only.
func (m *Machine) retry(now time.Time) (Attempt, bool) {
	if m.isSpent() || m.mayHaveRun() {
		m.held = SkippedMaxAttempts
		return Attempt{}, false
	}
	i := m.choose(now, m.tried)
	if i == replica.None || !now.Before(m.cfg.Deadline) {
		return Attempt{}, false
	}
	if !m.payRetry(i) {
		m.held = SkippedNoBudget
		return Attempt{}, false
	}
	m.held = NotSkipped
	return m.take(i, Retry), true
}

// mayHaveRun reports whether a request that may run once cannot be sent again.
func (m *Machine) mayHaveRun() bool {
	return m.cfg.AtMostOnce && m.last != NotRun && m.last != Unsent
}

// payRetry pays for a retry at a replica. After an attempt that was not sent the retry
// is the first arrival.
func (m *Machine) payRetry(i int) bool {
	switch {
	case m.last == Unsent:
		return true
	case replica.IsFailing(m.cfg.Replicas[i]):
		return m.extra.SpendSpare()
	default:
		return m.spend()
	}
}

// CanReroute reports whether an attempt that was not sent yet can go to a replica that
// was not tried.
func (m *Machine) CanReroute() bool {
	return !m.done && m.choose(time.Time{}, m.tried) != replica.None
}

// startRound puts another round off and reports whether there will be one. No
// round helps when the snapshot is gone.
func (m *Machine) startRound(now time.Time, result Result) bool {
	if !m.cfg.RetryUntilDeadline || result == SnapshotUnavailable || m.isSpent() || m.mayHaveRun() {
		return false
	}
	m.round = min(max(2*m.round, firstRound), longestRound)
	m.roundAt = now.Add(m.round)
	return m.roundAt.Before(m.cfg.Deadline)
}

// SkipReason says why the last look sent no second attempt.
func (m *Machine) SkipReason() SkipReason { return m.held }

// RoundAt is when to call TimerFired; it is valid after RetryLater.
func (m *Machine) RoundAt() time.Time { return m.roundAt }

// IsBetweenRounds reports whether all attempts ended and another round may follow.
func (m *Machine) IsBetweenRounds() bool { return !m.done && m.pending == 0 }

// Reason says why the last attempt failed; it is valid after Abandon and RetryLater.
func (m *Machine) Reason() query.Reason { return reasons[m.last] }

// isSpent reports whether the bound on attempts is reached.
func (m *Machine) isSpent() bool {
	return m.cfg.MaxAttempts > 0 && m.sent >= m.cfg.MaxAttempts
}

func (m *Machine) canTryAnother() bool {
	return m.tried != replica.Set(0).With(len(m.cfg.Replicas))-1
}

func (m *Machine) next(now time.Time, kind Kind) (Attempt, bool) {
	if !now.Before(m.cfg.Deadline) {
		return Attempt{}, false
	}
	i := m.choose(now, m.tried)
	if i == replica.None {
		return Attempt{}, false
	}
	return m.take(i, kind), true
}

// choose picks a replica outside avoid; a zero now asks for no probes.
func (m *Machine) choose(now time.Time, avoid replica.Set) int {
	return m.cfg.Choose(now, m.cfg.Replicas, avoid, m.cfg.AvailabilityZone, m.cfg.Random())
}

func (m *Machine) take(i int, kind Kind) Attempt {
	m.tried = m.tried.With(i)
	m.newest = i
	m.sent++
	m.pending++
	return Attempt{Kind: kind, Replica: i}
}
