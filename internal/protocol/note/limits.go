package note

import "time"

// Limits of notes and services.
const (
	// MaxNoteBytes bounds the text of a note.
	MaxNoteBytes = 1 << 20
	// MaxNameLength bounds ids and names, in bytes.
	MaxNameLength = 63
	// MaxAuthorLength bounds an author, in bytes.
	MaxAuthorLength = 200
	// MaxTopK is the largest number of items that top_k may keep.
	MaxTopK = 10_000
	// MaxLongestWait is the longest time that a service may let a query take.
	MaxLongestWait = time.Minute
	// MaxHedgeShare is the largest share of extra subrequests.
	MaxHedgeShare = 0.5
	// MaxLeafSlots is the largest number of slots of a leaf.
	MaxLeafSlots = 10_000
	// MaxLeafConnections is the largest number of connections of a leaf.
	MaxLeafConnections = 100_000
	// MaxBodyLimit is the largest max_body_bytes.
	MaxBodyLimit = 1 << 20
	// MaxCallerTokens is the largest number of token hashes of a service.
	MaxCallerTokens = 64
)

// Defaults of fields that a note leaves out.
const (
	DefaultLongestWaitTail     = 1 * time.Second
	DefaultLongestWaitCoverage = 5 * time.Second
	DefaultHedgeShare          = 0.05
	DefaultMinCoverageTail     = 0.5
	DefaultMaxBodyBytes        = 64 << 10
)

// Normalize returns s with defaults for the fields whose zero value has no
// meaning: policy, merge, longest_wait_ms and max_body_bytes. A zero
// hedge_share or min_coverage is unchanged, because zero is a valid value there.
func (s Service) Normalize() Service {
	if s.Policy == "" {
		s.Policy = PolicyTail
	}
	if s.Merge == "" {
		s.Merge = MergeConcat
	}
	if s.LongestWaitMS == 0 {
		s.LongestWaitMS = DefaultLongestWaitTail.Milliseconds()
		if s.Policy == PolicyCoverage {
			s.LongestWaitMS = DefaultLongestWaitCoverage.Milliseconds()
		}
	}
	if s.MaxBodyBytes == 0 {
		s.MaxBodyBytes = DefaultMaxBodyBytes
	}
	return s
}
