// Package note defines the release note and the catalogue of services. A note
// lists services that are added, changed and withdrawn; applying it yields the next
// catalogue. Parsing reports every fault with its line and field.
package note

import (
	"strings"
	"time"
)

// Policy says whether a service reduces coverage or waits when shards are late.
type Policy string

// Policies of a service.
const (
	// PolicyTail answers once the minimum coverage is met and further waiting is not
	// worth its latency.
	PolicyTail Policy = "tail"
	// PolicyCoverage waits for every shard until the longest wait.
	PolicyCoverage Policy = "coverage"
)

// MergeMode says how the replies of the shards become one answer.
type MergeMode string

// Merge modes.
const (
	MergeConcat MergeMode = "concat"
	MergeTopK   MergeMode = "top_k"
	MergeSum    MergeMode = "sum"
	MergeCount  MergeMode = "count"
)

// Service is the specification of one service.
type Service struct {
	Name string `toml:"name" json:"name"`
	// UpstreamGroup names the VMs that hold the service's shards.
	UpstreamGroup string    `toml:"upstream_group" json:"upstream_group"`
	Policy        Policy    `toml:"policy" json:"policy"`
	Merge         MergeMode `toml:"merge" json:"merge"`
	// MergeField is the numeric field of an item that top_k and sum read.
	MergeField string `toml:"merge_field,omitempty" json:"merge_field,omitempty"`
	// TopK is the number of items that top_k keeps.
	TopK int `toml:"top_k,omitempty" json:"top_k,omitempty"`
	// MinCoverage is the minimum share of shards, in [0, 1], below which a query fails.
	MinCoverage float64 `toml:"min_coverage" json:"min_coverage"`
	// LongestWaitMS bounds a query in milliseconds.
	LongestWaitMS int64 `toml:"longest_wait_ms" json:"longest_wait_ms"`
	// HedgeShare is the share of extra subrequests, in [0, 0.5], for hedges and retries.
	HedgeShare float64 `toml:"hedge_share" json:"hedge_share"`
	// LeafSlots is the number of subrequests that a leaf runs concurrently.
	LeafSlots int `toml:"leaf_slots" json:"leaf_slots"`
	// LeafConnections is the number of connections that a leaf accepts from all nodes.
	LeafConnections int `toml:"leaf_connections" json:"leaf_connections"`
	// MaxBodyBytes bounds a caller's body.
	MaxBodyBytes int64 `toml:"max_body_bytes,omitempty" json:"max_body_bytes,omitempty"`
	// Commands allows non-idempotent requests.
	Commands bool `toml:"commands,omitempty" json:"commands,omitempty"`
	// CallerTokens identifies the callers that may use the service; empty means all.
	CallerTokens TokenHashes `toml:"caller_token_sha256,omitempty" json:"caller_token_sha256,omitempty"`
}

// TokenHashes lists hashes of bearer tokens: SHA-256 in hexadecimal, separated
// by spaces. It is a string so that a Service stays comparable.
type TokenHashes string

// List splits the hashes.
func (t TokenHashes) List() []string { return strings.Fields(string(t)) }

// LongestWait is LongestWaitMS as a duration.
func (s Service) LongestWait() time.Duration {
	return time.Duration(s.LongestWaitMS) * time.Millisecond
}

// Note is a release note.
type Note struct {
	// ID makes applying a note idempotent.
	ID     string `toml:"id" json:"id"`
	Author string `toml:"author" json:"author"`
	// Base is the catalogue revision that the note was written against.
	Base      uint64       `toml:"base" json:"base"`
	Added     []Service    `toml:"added,omitempty" json:"added,omitempty"`
	Changed   []Service    `toml:"changed,omitempty" json:"changed,omitempty"`
	Withdrawn []Withdrawal `toml:"withdrawn,omitempty" json:"withdrawn,omitempty"`
}

// Withdrawal names a service that is removed from the catalogue.
type Withdrawal struct {
	Name string `toml:"name" json:"name"`
}

// Applied records a note that was applied.
type Applied struct {
	ID       string    `json:"id"`
	Author   string    `json:"author"`
	Revision uint64    `json:"revision"`
	At       time.Time `json:"at"`
	// Digest is the hash of the note's content; the same id with another digest is rejected.
	Digest string `json:"digest"`
	// Services names the services that the note added, changed or withdrew.
	Services []string `json:"services"`
}

// Catalogue is the set of available services. Revision increases by one with each
// note.
type Catalogue struct {
	Revision uint64    `json:"revision"`
	Services []Service `json:"services"` // sorted by name
	History  []Applied `json:"history"`  // newest last, bounded by MaxHistory
}

// MaxHistory is the number of applied notes that a catalogue lists.
const MaxHistory = 200

// Find returns the service with a name.
func (c *Catalogue) Find(name string) (Service, bool) {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return c.Services[i], true
		}
	}
	return Service{}, false
}
