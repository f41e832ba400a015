package quarantine

import "time"

// Decision says whether an attempt may be sent.
type Decision int

// Decisions on an attempt.
const (
	// Allow means that the attempt may be sent; End must follow.
	Allow Decision = iota
	// Hold means that the caller should call Begin again after the next event, or after
	// ReportDelay.
	Hold
	// Refuse means that the fingerprint is in quarantine.
	Refuse
)

// Attempt is one subrequest that is about to be sent to a leaf.
type Attempt struct {
	Fingerprint Fingerprint
	Shard       int
	Leaf        string
	// Hedge is true when the same subrequest is already pending elsewhere.
	Hedge bool
	// Canary makes an unverified fingerprint run on one shard first.
	Canary bool
	// StartedAt is the time at which Begin was called for the attempt.
	StartedAt time.Time
}

// Outcome says how an attempt ended.
type Outcome int

// Outcomes of an attempt.
const (
	// Answered means that the leaf answered and did not crash.
	Answered Outcome = iota
	// ConnectionLost means that the connection broke after a byte was sent.
	ConnectionLost
	// Inconclusive means that the end gives no evidence either way, as when the
	// attempt was cancelled.
	Inconclusive
)

// activeAttempts holds the running attempts of one fingerprint.
type activeAttempts struct {
	attempts map[Attempt]struct{}
	shards   map[int]int // number of attempts by shard
	// duplicateHeld is true when another request with the same fingerprint had to wait.
	duplicateHeld bool
}

func (l *Ledger) runsOn(f Fingerprint, leaf string) bool {
	active := l.active[f]
	if active == nil {
		return false
	}
	for a := range active.attempts {
		if a.Leaf == leaf {
			return true
		}
	}
	return false
}

func (l *Ledger) removeActive(a Attempt) {
	active := l.active[a.Fingerprint]
	if active == nil {
		return
	}
	if _, tracked := active.attempts[a]; !tracked {
		return
	}
	delete(active.attempts, a)
	active.shards[a.Shard]--
	if len(active.attempts) == 0 {
		delete(l.active, a.Fingerprint)
	}
}
