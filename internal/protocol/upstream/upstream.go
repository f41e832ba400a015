// Package upstream defines the protocol between a node and a leaf: header names,
// the manifest and the verification of replies. docs/UPSTREAM.md specifies it for
// the teams that implement leafs.
package upstream

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

// Header names of requests and replies.
const (
	HeaderRequestID = "Hickorydock-Request-Id"
	HeaderAttempt   = "Hickorydock-Attempt"
	HeaderShard     = "Hickorydock-Shard"
	HeaderSnapshot  = "Hickorydock-Snapshot"
	HeaderService   = "Hickorydock-Service"
	// HeaderTimeLeft holds the remaining time for the run, in milliseconds.
	HeaderTimeLeft = "Hickorydock-Time-Left-Ms"
	// HeaderClass holds ClassQuery or ClassCommand.
	HeaderClass = "Hickorydock-Class"
	// HeaderBodyHash holds the xxHash64 of the body as 16 hexadecimal digits.
	HeaderBodyHash = "Hickorydock-Body-Hash"
	// HeaderHoldings holds an opaque tag of at most MaxHoldingsTag bytes that
	// changes whenever the leaf's holdings change; it may be absent.
	HeaderHoldings = "Hickorydock-Holdings"
	// HeaderNotRun is "1" on a reply that declares that nothing ran.
	HeaderNotRun = "Not-Run"
	// HeaderDraining is "1" on replies of a leaf that is leaving.
	HeaderDraining = "Draining"
)

// MaxHoldingsTag is the largest accepted value of HeaderHoldings, in bytes.
const MaxHoldingsTag = 64

// Classes of idempotency.
const (
	ClassQuery   = "query"
	ClassCommand = "command"
)

// Paths of a leaf.
const (
	PathManifest = "/manifest"
	pathShards   = "/shards/"
	pathRun      = "/run"
)

// RunPath is the path that runs a subrequest on a shard.
func RunPath(shard int) string {
	return pathShards + strconv.Itoa(shard) + pathRun
}

// Holding says which shards of a service a leaf holds in one snapshot.
type Holding struct {
	Service  string         `json:"service"`
	Snapshot query.Snapshot `json:"snapshot"`
	// ShardCount is the number of shards of the snapshot's map generation.
	ShardCount int   `json:"shard_count"`
	Shards     []int `json:"shards"`
}

// Manifest is a leaf's description of itself. It is advisory and may be out of date.
type Manifest struct {
	Leaf string `json:"leaf"`
	// Incarnation changes with every start of the leaf's process.
	Incarnation uint64    `json:"incarnation"`
	Draining    bool      `json:"draining,omitempty"`
	Load        float64   `json:"load"` // busy slots / slots
	Holdings    []Holding `json:"holdings"`
}

// RunRequest is the body of a run.
type RunRequest struct {
	Query json.RawMessage `json:"query"`
}

// RunReply is the body of a reply to a run.
type RunReply struct {
	Items []query.Item `json:"items"`
}

// Subrequest identifies one attempt of one shard of one request.
type Subrequest struct {
	RequestID string
	Attempt   int
	Service   string
	Shard     int
	Snapshot  query.Snapshot
	Class     string
}

// SetHeaders writes the request headers of s.
func (s Subrequest) SetHeaders(h http.Header, timeLeft time.Duration) {
	h.Set(HeaderRequestID, s.RequestID)
	h.Set(HeaderAttempt, strconv.Itoa(s.Attempt))
	h.Set(HeaderService, s.Service)
	h.Set(HeaderSnapshot, s.Snapshot.String())
	h.Set(HeaderClass, s.Class)
	h.Set(HeaderTimeLeft, strconv.FormatInt(timeLeft.Milliseconds(), 10))
}

// SetReplyHeaders writes the headers that identify the subrequest a reply answers.
func (s Subrequest) SetReplyHeaders(h http.Header, body []byte) {
	h.Set(HeaderRequestID, s.RequestID)
	h.Set(HeaderAttempt, strconv.Itoa(s.Attempt))
	h.Set(HeaderShard, strconv.Itoa(s.Shard))
	h.Set(HeaderSnapshot, s.Snapshot.String())
	h.Set(HeaderBodyHash, BodyHash(body))
}

// BodyHash is the value of HeaderBodyHash for a body.
func BodyHash(body []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(body))
}

// VerifyReply checks that a reply answers s and that its body is intact. The
// length is checked by net/http against Content-Length.
func (s Subrequest) VerifyReply(h http.Header, body []byte) error {
	if got := h.Get(HeaderRequestID); got != s.RequestID {
		return fmt.Errorf("reply names request %q, want %q", got, s.RequestID)
	}
	if got := h.Get(HeaderAttempt); got != strconv.Itoa(s.Attempt) {
		return fmt.Errorf("reply names attempt %q, want %d", got, s.Attempt)
	}
	if got := h.Get(HeaderShard); got != strconv.Itoa(s.Shard) {
		return fmt.Errorf("reply names shard %q, want %d", got, s.Shard)
	}
	if got := h.Get(HeaderSnapshot); got != s.Snapshot.String() {
		return fmt.Errorf("reply names snapshot %q, want %s", got, s.Snapshot)
	}
	if got := h.Get(HeaderBodyHash); got != BodyHash(body) {
		return fmt.Errorf("reply body hash is %q, want %s", got, BodyHash(body))
	}
	return nil
}

// IsNotRun reports whether a reply declares that the subrequest did not run.
func IsNotRun(status int, h http.Header) bool {
	return status == http.StatusServiceUnavailable && h.Get(HeaderNotRun) == "1"
}
