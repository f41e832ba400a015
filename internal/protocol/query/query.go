// Package query holds the messages of the caller interface: requests, answers,
// coverage and outcomes. The types are plain values without behaviour that
// depends on time or the network.
package query

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// Outcome is the result of a request as reported to the caller.
type Outcome string

// Outcomes of a query or a command.
const (
	// Done means that every shard answered, or that a command ran once.
	Done Outcome = "done"
	// Partial means that the answer covers some shards and names the others.
	Partial Outcome = "partial"
	// NotRun means that no upstream ran any part of the request.
	NotRun Outcome = "not_run"
	// Unknown means that a command may have run and that its result is lost.
	Unknown Outcome = "unknown"
	// Failed means that the request may have run but has no usable answer.
	Failed Outcome = "failed"
)

// Snapshot identifies one consistent state of a service's index.
type Snapshot struct {
	// Generation counts changes of the shard map.
	Generation uint64 `json:"map_generation"`
	// Version counts changes of the index across all generations.
	Version uint64 `json:"index_version"`
}

// String formats the snapshot as "generation/version".
func (s Snapshot) String() string {
	return strconv.FormatUint(s.Generation, 10) + "/" + strconv.FormatUint(s.Version, 10)
}

// Newer reports whether s is newer than other: generations first, then versions.
func (s Snapshot) Newer(other Snapshot) bool {
	if s.Generation != other.Generation {
		return s.Generation > other.Generation
	}
	return s.Version > other.Version
}

// ParseSnapshot reads the form that String writes.
func ParseSnapshot(text string) (Snapshot, error) {
	generation, version, found := strings.Cut(text, "/")
	if !found {
		return Snapshot{}, fmt.Errorf("snapshot %q is not generation/version", text)
	}
	g, err := strconv.ParseUint(generation, 10, 64)
	if err != nil {
		return Snapshot{}, fmt.Errorf("snapshot %q: generation: %w", text, err)
	}
	v, err := strconv.ParseUint(version, 10, 64)
	if err != nil {
		return Snapshot{}, fmt.Errorf("snapshot %q: version: %w", text, err)
	}
	return Snapshot{Generation: g, Version: v}, nil
}

// Item is one result of an upstream, kept as the JSON that it sent.
type Item = json.RawMessage

// Reason says why a shard is missing from an answer.
type Reason string

// Reasons for a missing shard.
const (
	// ReasonNoReplica means that no known leaf holds the shard in the snapshot.
	ReasonNoReplica Reason = "no_replica"
	// ReasonDeadline means that no reply arrived in time.
	ReasonDeadline Reason = "deadline"
	// ReasonShed means that every replica tried rejected the subrequest without running it.
	ReasonShed Reason = "shed"
	// ReasonConnectionLost means that the connections to every replica tried failed.
	ReasonConnectionLost Reason = "connection_lost"
	// ReasonSnapshotGone means that the snapshot was withdrawn during the query.
	ReasonSnapshotGone Reason = "snapshot_gone"
	// ReasonBadReply means that replies failed verification.
	ReasonBadReply Reason = "bad_reply"
	// ReasonLimit means that the node's own limits prevented the subrequest.
	ReasonLimit Reason = "limit"
	// ReasonQuarantined means that the request is quarantined.
	ReasonQuarantined Reason = "quarantined"
	// ReasonUpstreamError means that the upstream ran the subrequest and failed.
	ReasonUpstreamError Reason = "upstream_error"
)

// Missing names a shard that an answer does not cover.
type Missing struct {
	Shard  int    `json:"shard"`
	Reason Reason `json:"reason"`
}

// Coverage states which shards of the answer's snapshot are covered.
type Coverage struct {
	Covered int       `json:"covered"`
	Total   int       `json:"total"`
	Missing []Missing `json:"missing,omitempty"`
}

// Share is the covered fraction, in [0, 1]. It is 0 when no shard is known.
func (c Coverage) Share() float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Covered) / float64(c.Total)
}

// Request is the body of a query.
type Request struct {
	Query json.RawMessage `json:"query"`
	// DeadlineMS bounds the whole request in milliseconds; 0 means the service's longest wait.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// MinCoverage is the caller's minimum in [0, 1]; the service's minimum applies when it is higher.
	MinCoverage float64 `json:"min_coverage,omitempty"`
	// Priority is "high", "normal" or "low"; empty means "normal".
	Priority Priority `json:"priority,omitempty"`
}

// Priority orders requests for load shedding.
type Priority string

// Priorities, from the last to be shed to the first.
const (
	PriorityHigh   Priority = "high"
	PriorityNormal Priority = "normal"
	PriorityLow    Priority = "low"
)

// Answer is the body of a reply to a query or a command.
type Answer struct {
	RequestID string   `json:"request_id"`
	Outcome   Outcome  `json:"outcome"`
	Items     []Item   `json:"items"`
	Snapshot  Snapshot `json:"snapshot"`
	Coverage  Coverage `json:"coverage"`
	// Value is the merged number of the modes "sum" and "count".
	Value *float64 `json:"value,omitempty"`
}
