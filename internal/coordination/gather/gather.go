// Package gather collects the replies of one query. A Query accepts replies of
// its current attempt only, so an answer never mixes snapshots. It takes
// events with their time, does no input or output and is used by one goroutine.
package gather

import (
	"fmt"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
)

const (
	// maxAttempts bounds how often a query restarts in another snapshot.
	maxAttempts = 4
	// tailQuorum is the lowest share of shards at which the tail policy stops
	// waiting for the others.
	tailQuorum = 0.8
	// tailPatience times the time until the quorum is what the tail policy waits.
	tailPatience = 5
	// minPatience is the shortest wait for late shards after the quorum.
	minPatience = 20 * time.Millisecond
)

// Config fixes the conditions of one query.
type Config struct {
	Policy note.Policy
	// MinCoverage is the lowest share of shards for an answer that is not failed.
	MinCoverage float64
	// ArrivedAt is when the query arrived.
	ArrivedAt time.Time
	// Deadline is when the answer has to leave.
	Deadline time.Time
	// SoftDeadline is when an answer with MinCoverage leaves although shards are late;
	// zero means that only the policy and the deadline decide.
	SoftDeadline time.Time
	// RestartReserve is the time that must be left for a restart to be worth it.
	RestartReserve time.Duration
}

// slot is the state of one shard in the current attempt.
type slot[R any] struct {
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
	slots    []slot[R]
	pending  int
	sent     int
	excluded []query.Snapshot
	covered  int
	// leaveAt is when an answer leaves although shards are late.
	leaveAt time.Time
}

// New returns a query that reads the snapshot of view in attempt 1.
func New[R any](cfg Config, view *shardmap.SnapshotView) *Query[R] {
	q := &Query[R]{cfg: cfg, leaveAt: cfg.Deadline}
	q.begin(view)
	return q
}

func (q *Query[R]) begin(view *shardmap.SnapshotView) {
	if q.pending > 0 {
		// The end of the abandoned subrequests is not awaited, so they may have run.
		q.sent += q.pending
	}
	q.view = view
	q.attempt++
	q.slots = make([]slot[R], view.ShardCount())
	q.pending = 0
	q.covered = 0
	q.leaveAt = q.cfg.Deadline
	for shard, replicas := range view.Replicas {
		if len(replicas) == 0 {
			q.slots[shard] = slot[R]{failed: true, reason: query.ReasonNoReplica}
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

// Progress says whether the query goes on after an event.
type Progress int

// Progress of a query.
const (
	// Collecting means that replies are outstanding.
	Collecting Progress = iota
	// Complete means that no reply is outstanding.
	Complete
	// SnapshotUnavailable means that the snapshot was withdrawn; Restart may follow.
	SnapshotUnavailable
)

// RespondAt is when the answer leaves although shards are late: the deadline, or
// earlier under the tail policy.
func (q *Query[R]) RespondAt() time.Time { return q.leaveAt }

// setLeaveAt lets the answer leave at the target once its coverage is met. Under
// the tail policy it gives late shards a multiple of the time that the others
// took, once the quorum is met.
func (q *Query[R]) setLeaveAt(now time.Time) {
	if !q.cfg.SoftDeadline.IsZero() && q.leaveAt == q.cfg.Deadline && q.isEnough(q.covered) {
		q.leaveAt = later(q.cfg.SoftDeadline, now)
	}
	if q.cfg.Policy != note.PolicyTail || q.leaveAt != q.cfg.Deadline {
		return
	}
	quorum := max(tailQuorum, q.cfg.MinCoverage)
	if float64(q.covered) < quorum*float64(len(q.slots)) {
		return
	}
	patience := max((tailPatience-1)*now.Sub(q.cfg.ArrivedAt), minPatience)
	if at := now.Add(patience); at.Before(q.cfg.Deadline) {
		q.leaveAt = at
	}
}

// isEnough reports whether a number of covered shards reaches MinCoverage.
func (q *Query[R]) isEnough(covered int) bool {
	return float64(covered) >= q.cfg.MinCoverage*float64(len(q.slots))
}

// CannotReachMinCoverage reports whether the shards that failed leave less than MinCoverage.
func (q *Query[R]) CannotReachMinCoverage() bool {
	return !q.isEnough(q.covered + q.pending)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Reply records a shard's reply. Replies of older attempts are dropped.
func (q *Query[R]) Reply(now time.Time, attempt, shard int, snapshot query.Snapshot, reply R) (Progress, error) {
	if attempt != q.attempt {
		return q.Progress(), nil
	}
	if snapshot != q.view.Snapshot {
		return q.Progress(), fmt.Errorf("reply of shard %d has snapshot %s, want %s", shard, snapshot, q.view.Snapshot)
	}
	s, err := q.open(shard)
	if err != nil {
		return q.Progress(), err
	}
	s.answered = true
	s.reply = reply
	q.pending--
	q.covered++
	q.setLeaveAt(now)
	return q.Progress(), nil
}

// Fail records that a shard has no reply in this attempt.
func (q *Query[R]) Fail(now time.Time, attempt, shard int, reason query.Reason) (Progress, error) {
	if attempt != q.attempt {
		return q.Progress(), nil
	}
	s, err := q.open(shard)
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

// Replace records a reply of the current attempt for a shard that may have one
// already or may have failed; the newer reply stands.
func (q *Query[R]) Replace(now time.Time, shard int, reply R) error {
	if shard < 0 || shard >= len(q.slots) {
		return outOfRange(shard, len(q.slots))
	}
	s := &q.slots[shard]
	if !s.answered {
		q.covered++
	}
	if !s.answered && !s.failed {
		q.pending--
	}
	*s = slot[R]{answered: true, reply: reply}
	q.setLeaveAt(now)
	return nil
}

func outOfRange(shard, shards int) error {
	return fmt.Errorf("reply of shard %d, but the snapshot has %d shards", shard, shards)
}

// open returns the slot of a shard that has no reply yet.
func (q *Query[R]) open(shard int) (*slot[R], error) {
	if shard < 0 || shard >= len(q.slots) {
		return nil, outOfRange(shard, len(q.slots))
	}
	s := &q.slots[shard]
	if s.answered || s.failed {
		return nil, fmt.Errorf("second reply of shard %d in attempt %d", shard, q.attempt)
	}
	return s, nil
}

// IsSettled reports whether a shard has a reply or has failed in the current
// attempt.
func (q *Query[R]) IsSettled(shard int) bool { return q.slots[shard].answered || q.slots[shard].failed }

// HasReply reports whether a shard has a reply in the current attempt.
func (q *Query[R]) HasReply(shard int) bool { return q.slots[shard].answered }

// Progress says whether replies are outstanding.
func (q *Query[R]) Progress() Progress {
	if q.pending > 0 {
		return Collecting
	}
	return Complete
}

func (q *Query[R]) mayRestart(now time.Time) bool {
	return q.attempt < maxAttempts && now.Add(q.cfg.RestartReserve).Before(q.cfg.Deadline)
}

// expectedShare is the share of shards that the current attempt can still cover.
func (q *Query[R]) expectedShare() float64 {
	failed := 0
	for i := range q.slots {
		if q.slots[i].failed {
			failed++
		}
	}
	return 1 - float64(failed)/float64(len(q.slots))
}

// Restart begins another attempt in the snapshot of next and reports whether it
// did; it declines when next promises no better coverage than the current attempt.
func (q *Query[R]) Restart(next *shardmap.SnapshotView) bool {
	if next == nil || next.Snapshot == q.view.Snapshot {
		return false
	}
	share := float64(next.Covered) / float64(next.ShardCount())
	if share <= q.expectedShare() {
		return false
	}
	q.excluded = append(q.excluded, q.view.Snapshot)
	q.begin(next)
	return true
}

// Replies returns the reply of each answered shard, in shard order.
func (q *Query[R]) Replies() []R {
	replies := make([]R, 0, len(q.slots))
	for i := range q.slots {
		if q.slots[i].answered {
			replies = append(replies, q.slots[i].reply)
		}
	}
	return replies
}

// Discard takes back the reply at a position of Replies, which turned out to be
// unusable; its shard is then missing for reason.
func (q *Query[R]) Discard(position int, reason query.Reason) error {
	for i := range q.slots {
		if !q.slots[i].answered {
			continue
		}
		if position == 0 {
			q.slots[i] = slot[R]{failed: true, reason: reason}
			q.covered--
			return nil
		}
		position--
	}
	return fmt.Errorf("no reply to discard, %d positions too far", position+1)
}

// CheckInvariants returns an error when the coverage counter differs from the replies held
// or a subrequest is unaccounted for.
func (q *Query[R]) CheckInvariants() error {
	answered, failed := 0, 0
	for i := range q.slots {
		if q.slots[i].answered {
			answered++
		}
		if q.slots[i].failed {
			failed++
		}
	}
	if answered != q.covered || answered+failed+q.pending != len(q.slots) {
		return fmt.Errorf("%d answered, %d counted, %d failed and %d pending of %d shards", answered, q.covered, failed, q.pending, len(q.slots))
	}
	return nil
}

// Coverage states which shards of the current snapshot are covered. Shards
// without a reply count as late.
func (q *Query[R]) Coverage() query.Coverage {
	c := query.Coverage{Total: len(q.slots)}
	for shard := range q.slots {
		s := &q.slots[shard]
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
