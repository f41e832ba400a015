// Package leaf stores a node's own measurements of each leaf: subrequests in
// flight, latency and consecutive failures. Records are found through a sharded
// table; each record has its own lock, held for a few field accesses.
package leaf

import (
	"sync"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/route"
)

const (
	// minWeight is the weight of a new sample in the moving average of latency
	// when samples are frequent.
	minWeight = 0.02
	// silentAfter is the time without a reply after which a leaf counts as silent.
	silentAfter = 100 * time.Millisecond
	// failureWeight is the weight of a new result in the moving average of failures.
	failureWeight = 0.3
	// decayTime is the time since the last reply after which a new sample replaces the
	// moving average.
	decayTime = time.Second
)

// Limit bounds the requests a second of all nodes together to a leaf; coordination/ratelimit
// updates it.
type Limit struct {
	// Stated is true while the leaf states a limit, PerSecond requests a second.
	Stated    bool
	PerSecond float64
	// WarmupPerSecond is the bound while the leaf is cold; 0 if it is warm or has none.
	WarmupPerSecond float64
	// StatedAt is the time of the last reply that stated it.
	StatedAt time.Time
	// NextSend is when this node may send the next request.
	NextSend time.Time
}

// IsActive reports whether requests are limited.
func (l *Limit) IsActive() bool { return l.Stated || l.WarmupPerSecond > 0 }

// DrainState holds what each source reports about whether a leaf is leaving;
// coordination/drain updates it.
type DrainState struct {
	// List, Manifest and Reply are true when the platform's list, the leaf's
	// manifest or its replies report the leaf as leaving.
	List, Manifest, Reply bool
	// ReplyAt is the time of the last reply that did.
	ReplyAt time.Time
	// ReplyHold is the time after ReplyAt for which a manifest does not override it.
	ReplyHold time.Duration
	// Incarnation is that of the last manifest.
	Incarnation uint64
}

// IsDraining reports whether any source reports the leaf as leaving.
func (d DrainState) IsDraining() bool { return d.List || d.Manifest || d.Reply }

// Result says how a subrequest on a leaf ended.
type Result int

// Results of a subrequest.
const (
	// Answered means that a usable reply arrived.
	Answered Result = iota
	// Shed means that the leaf declared that it did not run the subrequest.
	Shed
	// SnapshotUnavailable means that the leaf does not hold the snapshot. Its quick
	// reply is not a latency sample.
	SnapshotUnavailable
	// Errored means that the connection failed or that the reply was unusable.
	Errored
	// Cancelled means that the node cancelled the subrequest.
	Cancelled
	// Unsent means that the subrequest was never sent.
	Unsent
)

// Record holds the measurements of one leaf. It is safe for concurrent use.
type Record struct {
	mu       sync.Mutex
	stats    Stats
	drain    DrainState
	limit    Limit
	holdings string
}

// Stats returns a copy of the measurements.
func (r *Record) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stats
}

// Begin counts a subrequest that is about to be sent at now.
func (r *Record) Begin(now time.Time) {
	r.mu.Lock()
	r.stats.InFlight++
	r.stats.LastSend = now
	r.mu.Unlock()
}

// End records the result of a subrequest counted by Begin, which took elapsed. A
// cancelled subrequest raises the average latency when it had already taken longer.
func (r *Record) End(now time.Time, elapsed time.Duration, result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.InFlight--
	switch result {
	case Answered:
		r.stats.Failures = 0
		r.stats.Unanswered = 0
		r.observe(now, elapsed)
		r.countFailure(0)
		r.stats.LastReply = now
	case Shed:
		r.stats.Unanswered = 0
		r.countFailure(1)
		r.stats.LastReply = now
	case SnapshotUnavailable:
		r.stats.Unanswered = 0
		r.stats.LastReply = now
	case Errored:
		r.stats.Failures++
		r.countFailure(1)
	case Cancelled:
		r.countSilence(now)
		if elapsed > r.stats.Latency {
			r.observe(now, elapsed)
		}
	}
}

// ForgetFailures drops what failed and unanswered subrequests say about the leaf.
func (r *Record) ForgetFailures() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.Failures = 0
	r.stats.Unanswered = 0
	r.stats.FailureShare = 0
}

// countFailure adds a result to the share of failures: 1 for a failure, 0 for an answer.
func (r *Record) countFailure(failure float64) {
	r.stats.FailureShare += failureWeight * (failure - r.stats.FailureShare)
}

// countSilence counts a cancelled subrequest of a leaf that has not replied for
// silentAfter. A busy leaf whose attempts are superseded still replies to others.
func (r *Record) countSilence(now time.Time) {
	if now.Sub(r.stats.LastReply) >= silentAfter {
		r.stats.Unanswered++
	}
}

// observe adds a latency sample to the moving average. A sample after a pause has
// more weight, so that a few of them suffice for a leaf that is rarely used.
func (r *Record) observe(now time.Time, elapsed time.Duration) {
	if r.stats.Latency == 0 {
		r.stats.Latency = elapsed
		return
	}
	weight := min(max(minWeight, float64(now.Sub(r.stats.LastReply))/float64(decayTime)), 1)
	r.stats.Latency += time.Duration(weight * float64(elapsed-r.stats.Latency))
}

// UpdateDrain replaces the drain state by the result of update.
func (r *Record) UpdateDrain(update func(DrainState) DrainState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drain = update(r.drain)
	r.stats.Draining = r.drain.IsDraining()
}

// MarkRemoved records that the leaf is not listed any more. Requests in progress may still hold
// the record; another run of the leaf has a new one.
func (r *Record) MarkRemoved() {
	r.mu.Lock()
	r.stats.Removed = true
	r.mu.Unlock()
}

// SetEvacuated records whether the leaf's availability zone is evacuated, and reports whether
// that changed.
func (r *Record) SetEvacuated(evacuated bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := r.stats.Evacuated != evacuated
	r.stats.Evacuated = evacuated
	return changed
}

// SetLoad records the load that the leaf has stated.
func (r *Record) SetLoad(now time.Time, load route.Load) {
	r.mu.Lock()
	r.stats.Load = load
	r.stats.LoadAt = now
	r.mu.Unlock()
}

// SetCold records whether the leaf warms up.
func (r *Record) SetCold(cold bool) {
	r.mu.Lock()
	r.stats.Cold = cold
	r.mu.Unlock()
}

// Pause records that the leaf asks for no requests until a time, and reports whether it was
// not paused before. Resume ends the pause.
func (r *Record) Pause(until time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	started := !r.stats.IsPaused()
	if until.After(r.stats.PausedUntil) {
		r.stats.PausedUntil = until
	}
	return started
}

// Resume ends a pause that ends at now or before.
func (r *Record) Resume(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !now.Before(r.stats.PausedUntil) {
		r.stats.PausedUntil = time.Time{}
	}
}

// UpdateLimit replaces the limit by the result of update. If that changes when this node may
// send to the leaf again to a time after now, it returns that time, at which
// ClearLimitedUntil must be called.
func (r *Record) UpdateLimit(now time.Time, update func(Limit) Limit) (until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.stats.LimitedUntil
	r.limit = update(r.limit)
	r.stats.Limited = r.limit.IsActive()
	r.stats.LimitedUntil = time.Time{}
	if r.stats.Limited && r.limit.NextSend.After(now) {
		r.stats.LimitedUntil = r.limit.NextSend
	}
	if r.stats.LimitedUntil.Equal(before) {
		return time.Time{}
	}
	return r.stats.LimitedUntil
}

// ClearLimitedUntil makes the leaf usable again if LimitedUntil has come.
func (r *Record) ClearLimitedUntil(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !now.Before(r.stats.LimitedUntil) {
		r.stats.LimitedUntil = time.Time{}
	}
}

// SetHoldings stores the tag of a leaf's holdings and reports whether it changed.
func (r *Record) SetHoldings(tag string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := r.holdings != tag
	r.holdings = tag
	return changed
}
