// Package settings defines the settings of a node: their TOML form, the
// environment variables that override settings per VM, their validation and
// their printed form. Loading reads no files and no process environment; the
// caller passes both in. Settings are plain values and safe to copy.
package settings

import (
	"time"
)

// Settings is the configuration of a node, read at start.
//
// Each field carries tags: toml is its key, doc its description, env the
// variable that overrides it, min and max its bounds, check the name of a
// further check, and secret keeps its value out of Print.
type Settings struct {
	Node     Node     `toml:"node"`
	Platform Platform `toml:"platform"`
	Limits   Limits   `toml:"limits"`
	Query    Query    `toml:"query"`
	Stop     Stop     `toml:"stop"`
	Log      Log      `toml:"log"`
	Trace    Trace    `toml:"trace"`
	Commands Commands `toml:"commands"`
	TLS      TLS      `toml:"tls"`
	Forward  Forward  `toml:"forward"`
}

// Node holds the node's identity and addresses.
type Node struct {
	ID               string   `toml:"id" env:"HICKORYDOCK_NODE_ID" check:"required" doc:"Name of this VM, unique among the nodes."`
	AvailabilityZone string   `toml:"availability_zone" env:"HICKORYDOCK_AVAILABILITY_ZONE" check:"required" doc:"Availability zone of this VM."`
	CallerAddress    string   `toml:"caller_address" env:"HICKORYDOCK_CALLER_ADDRESS" check:"address" doc:"Address for callers, ip:port."`
	AdminAddress     string   `toml:"admin_address" env:"HICKORYDOCK_ADMIN_ADDRESS" check:"address" doc:"Address for metrics, health and the status page, ip:port."`
	MetricsAddress   string   `toml:"metrics_address" env:"HICKORYDOCK_METRICS_ADDRESS" check:"optional_address" doc:"Further address for metrics alone, ip:port; empty serves them on admin_address only. Gateways use it."`
	PeerAddress      string   `toml:"peer_address" env:"HICKORYDOCK_PEER_ADDRESS" check:"address" doc:"Address for the other nodes, ip:port."`
	BootstrapPeers   []string `toml:"bootstrap_peers" env:"HICKORYDOCK_BOOTSTRAP_PEERS" check:"addresses" doc:"Peer addresses that are asked first when the platform is down; a comma-separated list in the environment."`
}

// Platform configures access to the platform's object API.
type Platform struct {
	URL       string `toml:"url" env:"HICKORYDOCK_PLATFORM_URL" check:"url" doc:"Base URL of the platform's object API."`
	TimeoutMS int64  `toml:"timeout_ms" min:"1" max:"60000" doc:"Longest wait for one platform call, in milliseconds; watches are not bounded by it."`
	SettleMS  int64  `toml:"settle_ms" min:"100" max:"60000" doc:"Longest time until every node has seen a change of the platform's lists, in milliseconds; a node waits this long before it takes a larger share of the connections to a leaf."`
}

// Limits bounds the requests of callers and the resources of the node.
type Limits struct {
	MemoryMB             int64 `toml:"memory_mb" env:"HICKORYDOCK_MEMORY_MB" min:"0" max:"16777216" doc:"Memory of the VM that the process may use, in MiB; 0 takes 256 in a gateway and 1024 in a node of serve, or all that the VM has if that is less. Clients may make it hold about a fifth of that."`
	Descriptors          int64 `toml:"descriptors" env:"HICKORYDOCK_DESCRIPTORS" min:"0" max:"100000000" doc:"File descriptors that the process may open; 0 takes the limit of the operating system. Callers' connections get two fifths of them, those of other nodes a fifth."`
	MaxHeaderBytes       int64 `toml:"max_header_bytes" min:"1024" max:"1048576" doc:"Largest request header, in bytes."`
	MaxBodyBytes         int64 `toml:"max_body_bytes" min:"1" max:"67108864" doc:"Largest request body, in bytes; a service may set less."`
	MaxDeadlineMS        int64 `toml:"max_deadline_ms" min:"1" max:"600000" doc:"Longest deadline that a caller may ask for, in milliseconds."`
	MaxJSONDepth         int64 `toml:"max_json_depth" min:"1" max:"1000" doc:"Deepest nesting of a request body."`
	MaxItems             int64 `toml:"max_items" min:"1" max:"10000000" doc:"Most items in one answer."`
	MaxAnswerBytes       int64 `toml:"max_answer_bytes" min:"1024" max:"1073741824" doc:"Largest answer, in bytes."`
	MaxConnections       int64 `toml:"max_connections" min:"1" max:"1000000" doc:"Most caller connections at once."`
	MaxConcurrentQueries int64 `toml:"max_concurrent_queries" min:"1" max:"1000000" doc:"Most queries in flight on this node."`
	QueryQueue           int64 `toml:"query_queue" min:"0" max:"1000000" doc:"Most queries that wait for admission."`
	LeafQueue            int64 `toml:"leaf_queue" min:"0" max:"1000000" doc:"Most subrequests that wait for one leaf."`
	HeaderTimeoutMS      int64 `toml:"header_timeout_ms" min:"1" max:"600000" doc:"Longest time to read a request's header, in milliseconds."`
	BodyTimeoutMS        int64 `toml:"body_timeout_ms" min:"1" max:"600000" doc:"Longest time to read a request's body, in milliseconds."`
	WriteTimeoutMS       int64 `toml:"write_timeout_ms" min:"1" max:"600000" doc:"Longest time to write an answer, in milliseconds."`
	IdleTimeoutMS        int64 `toml:"idle_timeout_ms" min:"1" max:"3600000" doc:"Longest time that a kept caller connection stays idle, in milliseconds."`
}

// Query tunes query processing.
type Query struct {
	ManifestIntervalMS int64 `toml:"manifest_interval_ms" min:"10" max:"600000" doc:"Time between two reads of a leaf's manifest, in milliseconds."`
	ReturnReserveMS    int64 `toml:"return_reserve_ms" min:"0" max:"10000" doc:"Part of each deadline kept for merging and for the way back, in milliseconds."`
	CanaryShards       int64 `toml:"canary_shards" min:"0" max:"65536" doc:"Number of shards from which a query with a body not seen before runs on one shard first; 0 means never."`
}

// Stop bounds a graceful stop.
type Stop struct {
	LimitMS int64 `toml:"limit_ms" min:"1" max:"3600000" doc:"Longest time to finish requests in flight after SIGTERM, in milliseconds."`
}

// Log configures logging.
type Log struct {
	Level string `toml:"level" check:"level" doc:"Lowest level that is logged: debug, info, warn or error."`
}

// Trace configures tracing.
type Trace struct {
	OTLPEndpoint string  `toml:"otlp_endpoint" check:"optional_url" doc:"URL of an OTLP/HTTP collector; empty turns tracing off."`
	SampleShare  float64 `toml:"sample_share" min:"0" max:"1" doc:"Share of queries that are traced, in [0, 1]; a caller's sampling decision goes first."`
}

// Commands bounds the claims of commands.
type Commands struct {
	RetentionS           int64   `toml:"retention_s" min:"600" max:"31536000" doc:"Time that the outcome of a command is kept, in seconds."`
	WritesPerSecond      float64 `toml:"writes_per_second" min:"1" max:"1000" doc:"Most platform writes for commands by this node, per second."`
	FleetWritesPerSecond float64 `toml:"fleet_writes_per_second" min:"1" max:"10000" doc:"Most platform writes for commands by all nodes together, per second."`
}

// TLS holds certificates and keys as PEM text; empty fields turn TLS off for the
// connections that they configure.
type TLS struct {
	CallerCert   string `toml:"caller_cert" env:"HICKORYDOCK_TLS_CALLER_CERT" check:"pem" doc:"Certificate chain shown to callers, PEM."`
	CallerKey    string `toml:"caller_key" env:"HICKORYDOCK_TLS_CALLER_KEY" check:"pem" secret:"true" doc:"Key of caller_cert, PEM."`
	NodeCert     string `toml:"node_cert" env:"HICKORYDOCK_TLS_NODE_CERT" check:"pem" doc:"Certificate chain of this node towards nodes, upstreams and the platform, PEM."`
	NodeKey      string `toml:"node_key" env:"HICKORYDOCK_TLS_NODE_KEY" check:"pem" secret:"true" doc:"Key of node_cert, PEM."`
	NodeCA       string `toml:"node_ca" env:"HICKORYDOCK_TLS_NODE_CA" check:"pem" doc:"Authorities that sign the certificates of nodes, PEM."`
	NodeName     string `toml:"node_name" env:"HICKORYDOCK_TLS_NODE_NAME" doc:"DNS name that each node's certificate must hold."`
	UpstreamCA   string `toml:"upstream_ca" env:"HICKORYDOCK_TLS_UPSTREAM_CA" check:"pem" doc:"Authorities that sign the certificates of upstreams, PEM; set, upstreams are called over TLS."`
	PlatformCA   string `toml:"platform_ca" env:"HICKORYDOCK_TLS_PLATFORM_CA" check:"pem" doc:"Authorities that sign the platform's certificate, PEM."`
	UpstreamName string `toml:"upstream_name" env:"HICKORYDOCK_TLS_UPSTREAM_NAME" doc:"DNS name that each upstream's certificate must hold; empty takes the host that is called."`
}

// Forward configures a gateway, which forwards opaque requests by a routing
// table.
type Forward struct {
	Adapter        string  `toml:"adapter" doc:"Name of the adapter to the platform that holds the routing table and lists the leafs."`
	CallerTripMS   float64 `toml:"caller_trip_ms" min:"0" max:"1000" doc:"Time of a message between a caller and this VM, in milliseconds; it is kept back from the time that a caller waits."`
	MergeReserveMS float64 `toml:"merge_reserve_ms" min:"0" max:"1000" doc:"Time kept for merging and writing an answer, in milliseconds."`
	ExtraShare     float64 `toml:"extra_share" min:"0" max:"1" doc:"Hedges and retries that the upstreams allow for each first attempt of a group, by all VMs together."`
	ExtraSlack     float64 `toml:"extra_slack" min:"0" max:"100000" doc:"Hedges and retries that the upstreams allow a group beyond extra_share, by all VMs together."`
	ExpectedNodes  int64   `toml:"expected_nodes" min:"1" max:"10000" doc:"Number of VMs among which extra_slack and the connections of a leaf are divided."`
	LingerMS       float64 `toml:"linger_ms" min:"0" max:"10000" doc:"Time that an attempt which is no longer needed may run on, in milliseconds, so that its connection is kept."`
	ApplyMS        float64 `toml:"apply_ms" min:"100" max:"600000" doc:"Time within which a change of the routing table must be in force, in milliseconds."`
	DrainMS        float64 `toml:"drain_ms" min:"100" max:"600000" doc:"Time within which a leaf that leaves must get no new work, in milliseconds."`
	EvacuateMS     float64 `toml:"evacuate_ms" env:"HICKORYDOCK_EVACUATE_MS" min:"0" max:"600000" doc:"Time within which the leafs of an evacuated availability zone must get no new work, in milliseconds; 0 on a platform without evacuations, whose entries are then not read."`
	HeartbeatMS    float64 `toml:"leaf_heartbeat_ms" min:"10" max:"600000" doc:"Time between two heartbeats of a leaf at the platform, in milliseconds; without three of them its registration expires."`
	GraceS         float64 `toml:"grace_s" min:"0.1" max:"3600" doc:"Time between SIGTERM and the end of the process that the platform allows, in seconds."`
}

// CallerTrip is CallerTripMS as a duration.
func (f Forward) CallerTrip() time.Duration { return fromMilliseconds(f.CallerTripMS) }

// MergeReserve is MergeReserveMS as a duration.
func (f Forward) MergeReserve() time.Duration { return fromMilliseconds(f.MergeReserveMS) }

// Linger is LingerMS as a duration.
func (f Forward) Linger() time.Duration { return fromMilliseconds(f.LingerMS) }

// LeafHeartbeat is HeartbeatMS as a duration.
func (f Forward) LeafHeartbeat() time.Duration { return fromMilliseconds(f.HeartbeatMS) }

// Grace is GraceS as a duration.
func (f Forward) Grace() time.Duration { return time.Duration(f.GraceS * float64(time.Second)) }

func fromMilliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// watchShare is the share of the time to apply a change for which a watch may
// wait. A watch can miss changes while it waits; the next one returns them.
const watchShare = 0.3

// HasEvacuations reports whether the platform's operator can evacuate availability zones.
func (f Forward) HasEvacuations() bool { return f.EvacuateMS > 0 }

// WatchWait is the longest time that a watch of the platform waits for a change.
func (f Forward) WatchWait() time.Duration {
	shortest := min(f.ApplyMS, f.DrainMS)
	if f.HasEvacuations() {
		shortest = min(shortest, f.EvacuateMS)
	}
	return fromMilliseconds(watchShare * shortest)
}

// Default returns the default settings. The node's id and availability zone have
// no default.
func Default() Settings {
	return Settings{
		Node: Node{
			CallerAddress:  "127.0.0.1:8080",
			AdminAddress:   "127.0.0.1:9090",
			PeerAddress:    "127.0.0.1:7070",
			BootstrapPeers: []string{},
		},
		Platform: Platform{URL: "http://127.0.0.1:8500", TimeoutMS: 2000, SettleMS: 2000},
		Limits:   defaultLimits(),
		Query:    Query{ManifestIntervalMS: 500, ReturnReserveMS: 3},
		Stop:     Stop{LimitMS: 30_000},
		Log:      Log{Level: "info"},
		Trace:    Trace{SampleShare: 0.01},
		Forward:  Forward{CallerTripMS: 3, MergeReserveMS: 4, ExtraShare: 0.2, ExtraSlack: 10, ExpectedNodes: 8, LingerMS: 200, ApplyMS: 3000, DrainMS: 3000, HeartbeatMS: 1200, GraceS: 10},
		Commands: Commands{RetentionS: 24 * 3600, WritesPerSecond: 20, FleetWritesPerSecond: 200},
	}
}

func defaultLimits() Limits {
	return Limits{
		MaxHeaderBytes:       16 << 10,
		MaxBodyBytes:         256 << 10,
		MaxDeadlineMS:        30_000,
		MaxJSONDepth:         32,
		MaxItems:             100_000,
		MaxAnswerBytes:       32 << 20,
		MaxConnections:       10_000,
		MaxConcurrentQueries: 2_000,
		QueryQueue:           500,
		LeafQueue:            64,
		HeaderTimeoutMS:      5_000,
		BodyTimeoutMS:        10_000,
		WriteTimeoutMS:       30_000,
		IdleTimeoutMS:        90_000,
	}
}

// Milliseconds converts the value of a field whose key ends in _ms.
func Milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Timeout is TimeoutMS as a duration.
func (p Platform) Timeout() time.Duration { return Milliseconds(p.TimeoutMS) }

// Settle is SettleMS as a duration.
func (p Platform) Settle() time.Duration { return Milliseconds(p.SettleMS) }

// MaxDeadline is MaxDeadlineMS as a duration.
func (l Limits) MaxDeadline() time.Duration { return Milliseconds(l.MaxDeadlineMS) }

// ManifestInterval is ManifestIntervalMS as a duration.
func (q Query) ManifestInterval() time.Duration { return Milliseconds(q.ManifestIntervalMS) }

// ReturnReserve is ReturnReserveMS as a duration.
func (q Query) ReturnReserve() time.Duration { return Milliseconds(q.ReturnReserveMS) }

// Limit is LimitMS as a duration.
func (s Stop) Limit() time.Duration { return Milliseconds(s.LimitMS) }

// Retention is RetentionS as a duration.
func (c Commands) Retention() time.Duration { return time.Duration(c.RetentionS) * time.Second }
