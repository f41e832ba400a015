// Package gather collects the shards' replies to one query. A Query accepts replies
// of its current attempt only, so an answer never mixes snapshots. It takes events
// with their time, does no I/O and is used by one goroutine.
package gather

import (
	"fmt"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
)

const (
	// maxAttempts bounds the attempts of a query; each restart reads another snapshot.
	maxAttempts = 4
	// tailQuorum is the minimum share of shards that must have replied before the
	// tail policy limits the wait for the others.
	tailQuorum = 0.8
	// tailWaitFactor is the total time that the tail policy waits, as a multiple of the
	// time until the quorum was met.
	tailWaitFactor = 5
	// minTailWait is the minimum wait for late shards after the quorum.
	minTailWait = 20 * time.Millisecond
)

// Config holds the settings of one query.
type Config struct {
	Policy note.Policy
	// MinCoverage is the share of shards below which the query's outcome is failed.
	MinCoverage float64
	// ArrivedAt is when the query arrived.
	ArrivedAt time.Time
	// Deadline is when the response has to be sent.
	Deadline time.Time
	// SoftDeadline is when an answer with MinCoverage is sent although shards are late;
	// zero means that only the policy and the deadline decide.
	SoftDeadline time.Time
	// RestartReserve is the minimum time until the deadline for a restart.
	RestartReserve time.Duration
}

// shardState is the state of one shard in the current attempt.
type shardState[R any] struct {
	answered bool
	failed   bool
	reason   query.Reason
	reply    R
}

// Query is the state of one query whose shards reply with an R.
type Query[R any] struct {
	cfg      Config
	view     *shardmap.SnapshotView
	attempt  int
	state    []shardState[R] // by shard
	pending  int
	sent     int
	excluded []query.Snapshot
	covered  int
	// respondAt is when the answer is sent although shards are late.
	respondAt time.Time
}

// New returns a query that reads the snapshot of view in attempt 1.
func New[R any](cfg Config, view *shardmap.SnapshotView) *Query[R] {
	q := &Query[R]{cfg: cfg, respondAt: cfg.Deadline}
	q.startAttempt(view)
	return q
}

func (q *Query[R]) startAttempt(view *shardmap.SnapshotView) {
	if q.pending > 0 {
		// The query doesn't wait for the abandoned subrequests, so they may have run.
		q.sent += q.pending
	}
	q.view = view
	q.attempt++
	q.state = make([]shardState[R], view.ShardCount())
	q.pending = 0
	q.covered = 0
	q.respondAt = q.cfg.Deadline
	for shard, replicas := range view.Replicas {
		if len(replicas) == 0 {
			q.state[shard] = shardState[R]{failed: true, reason: query.ReasonNoReplica}
			continue
		}
		q.pending++
	}
}

// View is the snapshot that the current attempt reads.
func (q *Query[R]) View() *shardmap.SnapshotView { return q.view }

// Attempt is the number of the current attempt, from 1.
func (q *Query[R]) Attempt() int { return q.attempt }

// Excluded lists the snapshots that a restart must not choose.
func (q *Query[R]) Excluded() []query.Snapshot { return q.excluded }

// CountSent counts a subrequest of which a byte may have reached an upstream.
func (q *Query[R]) CountSent() { q.sent++ }

// Progress is whether a query continues after an event.
type Progress int

// Progress of a query.
const (
	// Collecting means that replies are outstanding.
	Collecting Progress = iota
	// Complete means that no reply is outstanding.
	Complete
	// SnapshotUnavailable means that a shard's snapshot is no longer available; Restart
	// may follow.
	SnapshotUnavailable
)

// RespondAt is when the answer is sent although shards are late: the deadline, or
// earlier by the soft deadline or the tail policy.
func (q *Query[R]) RespondAt() time.Time { return q.respondAt }

// setRespondAt moves the time of the response to the soft deadline once MinCoverage
// is met. Under the tail policy, once the quorum is met, it waits for late shards
// for a multiple of the time that the others took.
func (q *Query[R]) setRespondAt(now time.Time) {
	if !q.cfg.SoftDeadline.IsZero() && q.respondAt == q.cfg.Deadline && q.meetsMinCoverage(q.covered) {
		q.respondAt = laterOf(q.cfg.SoftDeadline, now)
	}
	if q.cfg.Policy != note.PolicyTail || q.respondAt != q.cfg.Deadline {
		return
	}
	quorum := max(tailQuorum, q.cfg.MinCoverage)
	if float64(q.covered) < quorum*float64(len(q.state)) {
		return
	}
	wait := max((tailWaitFactor-1)*now.Sub(q.cfg.ArrivedAt), minTailWait)
	if at := now.Add(wait); at.Before(q.cfg.Deadline) {
		q.respondAt = at
	}
}

// meetsMinCoverage reports whether a number of covered shards reaches MinCoverage.
func (q *Query[R]) meetsMinCoverage(covered int) bool {
	return float64(covered) >= q.cfg.MinCoverage*float64(len(q.state))
}

// CannotReachMinCoverage reports whether the shards that have not failed are fewer
// than MinCoverage requires.
func (q *Query[R]) CannotReachMinCoverage() bool {
	return !q.meetsMinCoverage(q.covered + q.pending)
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Reply records a shard's reply. Replies of earlier attempts are ignored.
func (q *Query[R]) Reply(now time.Time, attempt, shard int, snapshot query.Snapshot, reply R) (Progress, error) {
	if attempt != q.attempt {
		return q.Progress(), nil
	}
	if snapshot != q.view.Snapshot {
		return q.Progress(), fmt.Errorf("reply of shard %d has snapshot %s, want %s", shard, snapshot, q.view.Snapshot)
	}
	s, err := q.pendingShard(shard)
	if err != nil {
		return q.Progress(), err
	}
	s.answered = true
	s.reply = reply
	q.pending--
	q.covered++
	q.setRespondAt(now)
	return q.Progress(), nil
}

// Fail records that a shard has no reply in this attempt.
func (q *Query[R]) Fail(now time.Time, attempt, shard int, reason query.Reason) (Progress, error) {
	if attempt != q.attempt {
		return q.Progress(), nil
	}
	s, err := q.pendingShard(shard)
	if err != nil {
		return q.Progress(), err
	}
	s.failed = true
	s.reason = reason
	q.pending--
	if reason == query.ReasonSnapshotGone && q.mayRestart(now) {
		return SnapshotUnavailable, nil
	}
	return q.Progress(), nil
}

// Replace records a reply of the current attempt for a shard that may have replied
// or failed already; the new reply replaces the earlier result.
func (q *Query[R]) Replace(now time.Time, shard int, reply R) error {
	if shard < 0 || shard >= len(q.state) {
		return shardOutOfRange(shard, len(q.state))
	}
	s := &q.state[shard]
	if !s.answered {
		q.covered++
	}
	if !s.answered && !s.failed {
		q.pending--
	}
	*s = shardState[R]{answered: true, reply: reply}
	q.setRespondAt(now)
	return nil
}

func shardOutOfRange(shard, shards int) error {
	return fmt.Errorf("reply of shard %d, but the snapshot has %d shards", shard, shards)
}

// pendingShard returns the state of a shard that has neither replied nor failed.
func (q *Query[R]) pendingShard(shard int) (*shardState[R], error) {
	if shard < 0 || shard >= len(q.state) {
		return nil, shardOutOfRange(shard, len(q.state))
	}
	s := &q.state[shard]
	if s.answered || s.failed {
		return nil, fmt.Errorf("second reply of shard %d in attempt %d", shard, q.attempt)
	}
	return s, nil
}

// IsSettled reports whether a shard has a reply or has failed in the current
// attempt.
func (q *Query[R]) IsSettled(shard int) bool { return q.state[shard].answered || q.state[shard].failed }

// HasReply reports whether a shard has a reply in the current attempt.
func (q *Query[R]) HasReply(shard int) bool { return q.state[shard].answered }

// Progress returns whether replies are outstanding.
func (q *Query[R]) Progress() Progress {
	if q.pending > 0 {
		return Collecting
	}
	return Complete
}

func (q *Query[R]) mayRestart(now time.Time) bool {
	return q.attempt < maxAttempts && now.Add(q.cfg.RestartReserve).Before(q.cfg.Deadline)
}

// achievableCoverage is the coverage that the current attempt can still reach.
func (q *Query[R]) achievableCoverage() float64 {
	failed := 0
	for i := range q.state {
		if q.state[i].failed {
			failed++
		}
	}
	return 1 - float64(failed)/float64(len(q.state))
}

// Restart begins another attempt in the snapshot of next and reports whether it
// did: it does not when next offers no better coverage than the current attempt.
func (q *Query[R]) Restart(next *shardmap.SnapshotView) bool {
	if next == nil || next.Snapshot == q.view.Snapshot {
		return false
	}
	coverage := float64(next.Covered) / float64(next.ShardCount())
	if coverage <= q.achievableCoverage() {
		return false
	}
	q.excluded = append(q.excluded, q.view.Snapshot)
	q.startAttempt(next)
	return true
}

// Replies returns the reply of each answered shard, in shard order.
func (q *Query[R]) Replies() []R {
	replies := make([]R, 0, len(q.state))
	for i := range q.state {
		if q.state[i].answered {
			replies = append(replies, q.state[i].reply)
		}
	}
	return replies
}

// Discard removes the reply at a position of Replies that proved unusable; its shard
// is then missing for reason.
func (q *Query[R]) Discard(position int, reason query.Reason) error {
	for i := range q.state {
		if !q.state[i].answered {
			continue
		}
		if position == 0 {
			q.state[i] = shardState[R]{failed: true, reason: reason}
			q.covered--
			return nil
		}
		position--
	}
	return fmt.Errorf("no reply to discard: the position is %d past the last reply", position+1)
}

// CheckInvariants returns an error when the counter of covered shards differs from
// the stored replies, or when a shard is neither answered, failed nor pending.
func (q *Query[R]) CheckInvariants() error {
	answered, failed := 0, 0
	for i := range q.state {
		if q.state[i].answered {
			answered++
		}
		if q.state[i].failed {
			failed++
		}
	}
	if answered != q.covered || answered+failed+q.pending != len(q.state) {
		return fmt.Errorf("%d answered, %d counted, %d failed and %d pending of %d shards", answered, q.covered, failed, q.pending, len(q.state))
	}
	return nil
}

// Coverage returns which shards of the current snapshot are covered. Pending shards
// are reported as missing by the deadline.
func (q *Query[R]) Coverage() query.Coverage {
	c := query.Coverage{Total: len(q.state)}
	for shard := range q.state {
		s := &q.state[shard]
		switch {
		case s.answered:
			c.Covered++
		case s.failed:
			c.Missing = append(c.Missing, query.Missing{Shard: shard, Reason: s.reason})
		default:
			c.Missing = append(c.Missing, query.Missing{Shard: shard, Reason: query.ReasonDeadline})
		}
	}
	return c
}

// Outcome is the outcome of an answer with coverage c.
func (q *Query[R]) Outcome(c query.Coverage) query.Outcome {
	switch {
	case c.Covered == c.Total:
		return query.Done
	case c.Covered == 0 && q.sent == 0 && q.pending == 0:
		return query.NotRun
	case c.Covered == 0 || c.Share() < q.cfg.MinCoverage:
		return query.Failed
	default:
		return query.Partial
	}
}
