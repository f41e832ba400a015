// Package command defines the messages of requests that run at most once: the
// rules for their keys, the claim record that the platform stores, tickets and
// the caller's result. The types are plain values.
package command

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

// HeaderKey is the request header that holds the caller's key or a ticket.
const HeaderKey = "Idempotency-Key"

// MaxKeyBytes is the longest key of a caller.
const MaxKeyBytes = 128

// MaxShardKeyBytes is the longest shard key.
const MaxShardKeyBytes = 256

// ValidateKey reports why a caller's key is not acceptable: it holds 1 to
// MaxKeyBytes letters, digits and characters of "-_.:", and does not start
// with TicketPrefix.
func ValidateKey(key string) error {
	if key == "" || len(key) > MaxKeyBytes {
		return fmt.Errorf("key has %d bytes, want 1 to %d", len(key), MaxKeyBytes)
	}
	for i := range len(key) {
		if !isKeyByte(key[i]) {
			return fmt.Errorf("key byte %d is %q, want a letter, a digit or one of - _ . : there", i, key[i])
		}
	}
	if IsTicket(key) {
		return fmt.Errorf("keys that start with %q are tickets", TicketPrefix)
	}
	return nil
}

func isKeyByte(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	default:
		return b == '-' || b == '_' || b == '.' || b == ':'
	}
}

// Request is the body of a command.
type Request struct {
	Query json.RawMessage `json:"query"`
	// ShardKey chooses the shard that runs the command.
	ShardKey string `json:"shard_key"`
	// DeadlineMS bounds the whole request in milliseconds; 0 means the service's longest wait.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// Priority is "high", "normal" or "low"; empty means "normal".
	Priority query.Priority `json:"priority,omitempty"`
	// FirstSend states that the caller has not sent this key before. A refusal
	// while the platform is unavailable is then not_run, otherwise unknown.
	FirstSend bool `json:"first_send,omitempty"`
}

// BodyHash identifies what a request asks for: its query without white space
// between tokens, and its shard key.
func (r Request) BodyHash() string {
	var compact bytes.Buffer
	if err := json.Compact(&compact, r.Query); err != nil {
		compact.Write(r.Query)
	}
	return hashParts(compact.String(), r.ShardKey)
}

// hashParts returns the SHA-256 of length-prefixed parts, in hexadecimal.
func hashParts(parts ...string) string {
	h := sha256.New()
	for _, part := range parts {
		_, _ = h.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	return hex.EncodeToString(h.Sum(nil))
}

// ClaimName returns the name of the platform object that claims a service's key.
func ClaimName(service, key string) string { return hashParts(service, key) }

// requestIDPrefixBytes is the length of the prefix of a claim's name that starts
// its request id.
const requestIDPrefixBytes = 24

// RequestID returns the id under which upstreams see one claim of a name. All ids
// of a name share the prefix RequestIDPrefix; nonce makes the claim unique.
func RequestID(name string, nonce uint64) string {
	return RequestIDPrefix(name) + strconv.FormatUint(nonce, 16)
}

// RequestIDPrefix returns the prefix of every request id of a claim's or ticket's name.
func RequestIDPrefix(name string) string {
	return name[:min(len(name), requestIDPrefixBytes)] + "-"
}

// Incarnation identifies one run of a node's process.
type Incarnation struct {
	Node   string `json:"node"`
	Number uint64 `json:"number"`
}

// State is the state of a claim.
type State string

// States of a claim. StateDone and StateUnknown are final.
const (
	StateClaimed State = "claimed"
	StateDone    State = "done"
	StateUnknown State = "unknown"
)

// Target is where a command runs. It is fixed with the claim.
type Target struct {
	Generation uint64 `json:"map_generation"`
	ShardCount int    `json:"shard_count"`
	Shard      int    `json:"shard"`
}

// Record is the value of a claim in the platform.
type Record struct {
	Service string `json:"service"`
	Key     string `json:"key"`
	// BodyHash is Request.BodyHash.
	BodyHash string `json:"body_hash"`
	// RequestID is unique to this claim.
	RequestID string      `json:"request_id"`
	Claimer   Incarnation `json:"claimer"`
	Target    Target      `json:"target"`
	State     State       `json:"state"`
	ClaimedAt time.Time   `json:"claimed_at"`
	SettledAt time.Time   `json:"settled_at,omitzero"`
	// Answer is set in StateDone.
	Answer *Answer `json:"answer,omitempty"`
}

// Settled reports whether the record has a final state.
func (r Record) Settled() bool { return r.State != StateClaimed }

// Answer is the body of a reply to a command that has an outcome.
type Answer struct {
	query.Answer
	// ItemsHash is the SHA-256 of the items as a JSON array, in hexadecimal.
	ItemsHash string `json:"items_hash,omitempty"`
	// ItemsOmitted is true when the items were too large to be recorded.
	ItemsOmitted bool `json:"items_omitted,omitempty"`
	// Recorded is true when the answer comes from the record of an earlier send.
	Recorded bool `json:"recorded"`
}

// NewAnswer returns the answer of a command that ran.
func NewAnswer(requestID string, target Target, snapshot query.Snapshot, items []query.Item) (Answer, error) {
	encoded, err := json.Marshal(items)
	if err != nil {
		return Answer{}, fmt.Errorf("items: %w", err)
	}
	sum := sha256.Sum256(encoded)
	return Answer{
		Answer: query.Answer{
			RequestID: requestID,
			Outcome:   query.Done,
			Items:     items,
			Snapshot:  snapshot,
			Coverage:  query.Coverage{Covered: 1, Total: 1},
		},
		ItemsHash: hex.EncodeToString(sum[:]),
	}, nil
}

// Bounded returns a copy of a that keeps its items only when they hold at most
// limit bytes.
func (a Answer) Bounded(limit int) Answer {
	size := 0
	for _, item := range a.Items {
		size += len(item)
	}
	if size <= limit {
		return a
	}
	a.Items = []query.Item{}
	a.ItemsOmitted = true
	return a
}

// Cause is the reason for a command's outcome.
type Cause string

// Causes of outcomes.
const (
	// CauseRan means that an upstream ran the command.
	CauseRan Cause = "ran"
	// CauseRecorded means that the outcome comes from the record of an earlier send.
	CauseRecorded Cause = "recorded"
	// CauseReplyLost means that the upstream's reply was lost.
	CauseReplyLost Cause = "reply_lost"
	// CauseRefused means that every upstream tried declared that it did not run the command.
	CauseRefused Cause = "upstream_refused"
	// CausePending means that another node has claimed the key and has not settled it.
	CausePending Cause = "pending_elsewhere"
	// CausePlatform means that the platform was unavailable.
	CausePlatform Cause = "platform"
	// CauseDeadline means that the deadline passed before anything was sent.
	CauseDeadline Cause = "deadline"
	// CauseCallerLeft means that the caller disconnected before anything was sent.
	CauseCallerLeft Cause = "caller_left"
	// CauseNoTarget means that no shard map of the service is known.
	CauseNoTarget Cause = "no_shard_map"
	// CauseBudget means that the budget of platform writes is exhausted.
	CauseBudget Cause = "write_budget"
	// CauseStopping means that the node is stopping.
	CauseStopping Cause = "stopping"
	// CauseOtherBody means that the key was used with another body.
	CauseOtherBody Cause = "other_body"
	// CauseTicketVoid means that the ticket's node stopped without running it.
	CauseTicketVoid Cause = "ticket_void"
	// CauseTicketExpired means that the ticket was not used in time.
	CauseTicketExpired Cause = "ticket_expired"
	// CauseTicketNodeGone means that the only node that knows the ticket is unreachable.
	CauseTicketNodeGone Cause = "ticket_node_gone"
	// CauseTicketsFull means that the node stores the maximum number of redemptions.
	CauseTicketsFull Cause = "tickets_full"
	// CauseInvariant means that an internal consistency check failed.
	CauseInvariant Cause = "invariant"
)

// Result is the caller's result of a command.
type Result struct {
	Outcome query.Outcome `json:"outcome"`
	Cause   Cause         `json:"cause"`
	// Final is false for an unknown outcome that a later send may find settled.
	Final bool `json:"final"`
	// Answer is set when Outcome is done.
	Answer *Answer `json:"answer,omitempty"`
	// RequestID identifies the claim that led to the outcome; empty when there is none.
	RequestID string `json:"request_id,omitempty"`
	// Peer is the leaf or node at which the outcome arose; it may be empty.
	Peer string `json:"peer,omitempty"`
}

// FromRecord returns the result of a settled record.
func FromRecord(r Record) Result {
	if r.State != StateDone || r.Answer == nil {
		return Result{Outcome: query.Unknown, Cause: CauseRecorded, Final: true, RequestID: r.RequestID}
	}
	answer := *r.Answer
	answer.Recorded = true
	return Result{Outcome: query.Done, Cause: CauseRecorded, Final: true, Answer: &answer, RequestID: r.RequestID}
}

// DispatchKind says how one attempt at an upstream ended.
type DispatchKind uint8

// Results of an attempt.
const (
	// DispatchReplied is a verified reply: the command ran.
	DispatchReplied DispatchKind = iota + 1
	// DispatchNotRun is a verified declaration that the command did not run.
	DispatchNotRun
	// DispatchNotSent means that no byte of the command was sent.
	DispatchNotSent
	// DispatchLost is any other result: the command may have run.
	DispatchLost
)

// DispatchResult is the result of one attempt.
type DispatchResult struct {
	Kind     DispatchKind
	Leaf     string
	Snapshot query.Snapshot
	// Items are set when Kind is DispatchReplied.
	Items []query.Item
	// Err gives details when Kind is not DispatchReplied; it may be nil.
	Err error
}
