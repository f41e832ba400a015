package leaf

import (
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/route"
)

// Stats is a copy of a record's fields.
type Stats struct {
	// InFlight counts subrequests between Begin and End.
	InFlight int
	// Latency is the moving average of answered subrequests; 0 before the first.
	Latency time.Duration
	// Failures counts failed subrequests since the last answered one.
	Failures int
	// Unanswered counts subrequests that were cancelled while the leaf had not
	// replied to anything for silentAfter; it is 0 after a reply.
	Unanswered int
	// FailureShare is the moving average of the share of subrequests that the leaf shed
	// or that failed. Unlike Failures, it outlasts an answered one.
	FailureShare float64
	// LastSend is the time of the last subrequest sent; zero before the first.
	LastSend time.Time
	// LastReply is the time of the last reply; zero before the first.
	LastReply time.Time
	// Draining is true when the leaf is leaving.
	Draining bool
	// Removed is true once the leaf is not listed any more, or another run of it is.
	Removed bool
	// Evacuated is true while the operator wants no requests at the leafs of the leaf's
	// availability zone.
	Evacuated bool
	// Cold is true while the leaf warms up.
	Cold bool
	// Load is what the leaf stated last, in a reply at LoadAt; LoadAt is zero if it states none.
	Load   route.Load
	LoadAt time.Time
	// PausedUntil is when the pause ends that the leaf has asked for; zero without one.
	PausedUntil time.Time
	// Limited is true while the requests of all nodes to the leaf are limited, and
	// LimitedUntil is when this node may send to it again; zero if it may now.
	Limited      bool
	LimitedUntil time.Time
}

// IsPaused reports whether the leaf has asked for a pause that has not ended.
func (s *Stats) IsPaused() bool { return !s.PausedUntil.IsZero() }

// IsUsable reports whether the leaf may get new work now. These are all reasons why it may
// not; a leaf that fails is only chosen less often.
func (s *Stats) IsUsable() bool { return !s.IsWithdrawn() && s.UsableFrom().IsZero() }

// IsWithdrawn reports whether the leaf gets no new work until the platform or the leaf itself
// says otherwise.
func (s *Stats) IsWithdrawn() bool { return s.Draining || s.Removed || s.Evacuated }

// UsableFrom returns when the leaf can be sent to again; the zero time if it can be now.
func (s *Stats) UsableFrom() time.Time {
	if s.LimitedUntil.After(s.PausedUntil) {
		return s.LimitedUntil
	}
	return s.PausedUntil
}
