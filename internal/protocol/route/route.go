// Package route defines the routing table by which a node forwards callers'
// requests without parsing them: which requests go to which upstream group, and
// which limits apply.
package route

import (
	"errors"
	"fmt"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// Limits bound what a caller may send and how long its connection may be idle. A
// zero field sets no bound.
type Limits struct {
	// HeaderBytes and BodyBytes are the largest header and body, in bytes.
	HeaderBytes, BodyBytes int64
	// HeaderTimeout is the longest time to send a header.
	HeaderTimeout time.Duration
	// IdleTimeout is the longest time without a request on a keep-alive connection.
	IdleTimeout time.Duration
}

// Share is one upstream group of a route and the weight of its share of requests.
type Share struct {
	Group  string
	Weight float64
}

// Route defines how requests to a host whose path begins with Prefix are forwarded.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller waits for the answer.
	Timeout time.Duration
	// TargetLatency is the time within which an answer has its full value; 0 means
	// Timeout.
	TargetLatency time.Duration
	// Priority orders routes for load shedding; 0 is the most important.
	Priority int
	// MaxAttempts bounds the attempts of one request for each shard, hedges included; 0
	// sets no bound.
	MaxAttempts int
	// Groups are the groups among which a route without Shards divides its requests;
	// each request runs on one leaf.
	Groups []Share
	// Shards are the groups of a query route, whose requests run on one leaf of each
	// group.
	Shards []string
	// MaxRecords bounds the records in the answer of a route with Shards.
	MaxRecords int
	// MinCoverage is the minimum share of shards in an answer, in [0, 1].
	MinCoverage float64
}

// IsQuery reports whether requests run on one leaf of each shard.
func (r *Route) IsQuery() bool { return len(r.Shards) > 0 }

// Validate returns the first reason why the route is unusable, or nil.
func (r *Route) Validate() error {
	switch {
	case r.Host == "":
		return errors.New("no host")
	case len(r.Prefix) == 0 || r.Prefix[0] != '/' || r.Prefix[len(r.Prefix)-1] != '/':
		return fmt.Errorf("path prefix %q does not begin and end with a slash", r.Prefix)
	case len(r.Groups) == 0 && len(r.Shards) == 0:
		return errors.New("no upstream group")
	case r.Timeout <= 0:
		return fmt.Errorf("timeout is %v, want more than 0", r.Timeout)
	case r.MinCoverage < 0 || r.MinCoverage > 1:
		return fmt.Errorf("minimum coverage is %v, want 0 to 1", r.MinCoverage)
	}
	return nil
}

// Group describes an upstream group.
type Group struct {
	// Connections is the number of connections that each leaf accepts from all
	// callers; 0 means unknown.
	Connections int
	// HealthPath is the path of a leaf's health check.
	HealthPath string
	// Warmup is how long a leaf is cold after its start.
	Warmup time.Duration
	// WarmupPerSecond is the number of requests a second that a cold leaf takes from all nodes
	// together; 0 means that it states none.
	WarmupPerSecond float64
}

// Table is one version of the routing table. It is immutable.
type Table struct {
	Version uint64
	Routes  []Route
	Groups  map[string]Group
	Limits  Limits
}

// Leaf is one leaf as the platform's list describes it.
type Leaf struct {
	VM platform.VM
	// Slots is the number of requests that the leaf runs concurrently.
	Slots int
	// Cold is true while the leaf warms up, in which it is slow and takes fewer requests.
	Cold bool
	// Incarnation identifies one run of a leaf's process under its identifier.
	Incarnation int64
	// Heartbeat counts the heartbeats of this run up to this entry; 0 if they are not counted.
	Heartbeat uint64
}

// HeaderNames are the names of the headers of forwarded opaque requests, in
// canonical form. They are the only part of a message that a node reads.
type HeaderNames struct {
	// RequestID identifies one request of a caller; leafs echo it.
	RequestID string
	// TimeLeft holds the time that the sender will wait, in milliseconds.
	TimeLeft string
	// Target names the leaf that a request is addressed to.
	Target string
	// Receipt holds a leaf's proof that it ran the request.
	Receipt string
	// Receipts lists the receipts of the replies in an answer.
	Receipts string
	// Missing holds the number of shards that an answer leaves out.
	Missing string
	// NotRun is present on a reply that declares that nothing ran.
	NotRun string
	// Leaving is "1" on each reply of a leaf that is leaving.
	Leaving string
	// Limit holds the requests a second, a decimal number, that a leaf in need takes from
	// all nodes together.
	Limit string
	// Load holds the load of a leaf, in the platform's format.
	Load string
}

// Load is the load that a leaf states in a reply.
type Load struct {
	// Running and Waiting count the requests of all nodes that the leaf runs and queues.
	Running, Waiting int
	// Slots is the number of requests that the leaf runs concurrently.
	Slots int
	// WorkTime is the ratio of the time that work takes on the leaf's machine now to the usual
	// time.
	WorkTime float64
}
