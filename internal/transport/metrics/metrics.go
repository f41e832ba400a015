// Package metrics owns the Prometheus registry of a process and its typed
// collectors. Callers use methods, so that names, labels and units stay in one
// place. Label values are bounded: services come from the catalogue, all other
// labels from constants. Every method is safe for concurrent use and accepts a
// nil *Metrics, on which it does nothing.
package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

const namespace = "hickorydock"

// SubrequestKind says why a subrequest was sent.
type SubrequestKind string

// Kinds of subrequests.
const (
	KindFirst   SubrequestKind = "first"
	KindHedge   SubrequestKind = "hedge"
	KindRetry   SubrequestKind = "retry"
	KindRestart SubrequestKind = "restart"
)

// RefusalReason says why a request was refused before it ran.
type RefusalReason string

// Reasons for a refusal.
const (
	RefusalBadRequest     RefusalReason = "bad_request"
	RefusalUnknownService RefusalReason = "unknown_service"
	RefusalTooLarge       RefusalReason = "too_large"
	RefusalToken          RefusalReason = "token"
	RefusalOverload       RefusalReason = "overload"
	RefusalDeadline       RefusalReason = "deadline"
	RefusalStopping       RefusalReason = "stopping"
	RefusalQuarantine     RefusalReason = "quarantine"
	RefusalConflict       RefusalReason = "conflict"
	RefusalPlatform       RefusalReason = "platform"
)

// Metrics holds the collectors of one process.
type Metrics struct {
	registry      *registry
	queries       *prometheus.HistogramVec
	coverage      *prometheus.HistogramVec
	inFlight      prometheus.Gauge
	subrequests   *prometheus.CounterVec
	cancelled     *prometheus.CounterVec
	refusals      *prometheus.CounterVec
	refusedSubs   *prometheus.CounterVec
	queryLimit    *prometheus.GaugeVec
	queryWaiting  prometheus.Gauge
	invariants    *prometheus.CounterVec
	revision      prometheus.Gauge
	oldRevisions  prometheus.Counter
	platformCalls *prometheus.HistogramVec
	connections   prometheus.Gauge
	opened        prometheus.Counter
	quarantine    prometheus.Gauge
	peers         prometheus.Gauge
	forwarded     *prometheus.HistogramVec
	forwardCover  *prometheus.HistogramVec
	forwardSends  *prometheus.CounterVec
	tableVersion  prometheus.Gauge
	leafsListed   prometheus.Gauge
}

// latencyBuckets are seconds, close around the answers of tens of milliseconds.
var latencyBuckets = []float64{.001, .0025, .005, .01, .02, .03, .04, .05, .061, .08, .1, .15, .25, .5, 1, 2.5, 5, 10, 30}

// coverageBuckets are shares of shards; the last ones are close together, for
// one shard of many.
var coverageBuckets = []float64{0, .5, .8, .9, .95, .98, .99, .995, .999, 1}

// New returns the collectors in a registry of their own, with those of the Go
// runtime and of the process.
func New() *Metrics {
	m := &Metrics{
		registry:      &registry{Registry: prometheus.NewRegistry()},
		queries:       histogram("query_duration_seconds", "Time from a request's header to its answer, by service and outcome.", latencyBuckets, "service", "outcome"),
		coverage:      histogram("query_coverage_ratio", "Share of shards that an answer covers, by service.", coverageBuckets, "service"),
		inFlight:      gauge("queries_in_flight", "Queries that the node works on."),
		subrequests:   counter("subrequests_total", "Subrequests sent to upstreams, by service and kind: first, hedge, retry or restart.", "service", "kind"),
		cancelled:     counter("subrequests_cancelled_total", "Subrequests given up after they were sent, by service.", "service"),
		refusals:      counter("refusals_total", "Requests refused before they ran, by reason.", "reason"),
		refusedSubs:   counter("subrequests_refused_total", "Attempts that this node refused before they were sent, by service and reason: queue or quarantine.", "service", "reason"),
		queryLimit:    gauges("admission_limit", "Queries of a service that this node lets run at once; it adapts to load.", "service"),
		queryWaiting:  gauge("admission_waiting", "Queries that wait for admission on this node."),
		invariants:    counter("invariant_violations_total", "Broken invariants, each of which failed one request, by name.", "name"),
		revision:      gauge("catalogue_revision", "Revision of the catalogue in force on this node."),
		oldRevisions:  counter("catalogue_old_revisions_total", "Catalogues not taken because their revision was not newer.").WithLabelValues(),
		platformCalls: histogram("platform_call_duration_seconds", "Time of calls of the platform's object API, by method and result.", prometheus.DefBuckets, "method", "result"),
		connections:   gauge("leaf_connections", "Open connections to leafs."),
		opened:        counter("leaf_connections_opened_total", "Connections to leafs that were opened.").WithLabelValues(),
		quarantine:    gauge("quarantine_entries", "Requests in quarantine."),
		peers:         gauge("peers", "Nodes that this node has a stream to."),
	}
	m.forwarded = histogram("forward_duration_seconds", "Time from a forwarded request's header to its answer, by route and outcome.", latencyBuckets, "route", "outcome")
	m.forwardCover = histogram("forward_coverage_ratio", "Share of shards that the answer to a forwarded request covers, by route.", coverageBuckets, "route")
	m.forwardSends = counter("forward_attempts_total", "Attempts of forwarded requests at leafs, by route and kind: first, hedge or retry.", "route", "kind")
	m.tableVersion = gauge("routing_version", "Version of the routing table in force on this node.")
	m.leafsListed = gauge("leafs_listed", "Leafs in the platform's list.")
	m.registry.MustRegister(
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		m.queries, m.coverage, m.inFlight, m.subrequests, m.cancelled, m.refusals, m.refusedSubs, m.queryLimit, m.queryWaiting, m.invariants,
		m.revision, m.oldRevisions, m.platformCalls, m.connections, m.opened, m.quarantine, m.peers,
		m.forwarded, m.forwardCover, m.forwardSends, m.tableVersion, m.leafsListed,
	)
	return m
}

func histogram(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, labels)
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func gauges(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

// Handler serves the registry in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{Registry: m.registry})
}

// Gatherer gives read access to the registry.
func (m *Metrics) Gatherer() prometheus.Gatherer { return m.registry }

// Registerer takes the collectors of packages that keep their own.
func (m *Metrics) Registerer() prometheus.Registerer { return m.registry }

// QueryStarted counts a request as in flight until the returned function runs.
func (m *Metrics) QueryStarted() (done func()) {
	if m == nil {
		return func() {}
	}
	m.inFlight.Inc()
	return m.inFlight.Dec
}

// QueryDone records an answered request. The service must be one of the catalogue.
func (m *Metrics) QueryDone(service string, outcome query.Outcome, took time.Duration, coverage query.Coverage) {
	if m == nil {
		return
	}
	m.queries.WithLabelValues(service, string(outcome)).Observe(took.Seconds())
	if coverage.Total > 0 {
		m.coverage.WithLabelValues(service).Observe(coverage.Share())
	}
}

// SubrequestSent counts a subrequest that was sent.
func (m *Metrics) SubrequestSent(service string, kind SubrequestKind) {
	if m != nil {
		m.subrequests.WithLabelValues(service, string(kind)).Inc()
	}
}

// SubrequestCancelled counts a subrequest that was given up after it was sent.
func (m *Metrics) SubrequestCancelled(service string) {
	if m != nil {
		m.cancelled.WithLabelValues(service).Inc()
	}
}

// RequestRefused counts a request that was refused before it ran.
func (m *Metrics) RequestRefused(reason RefusalReason) {
	if m != nil {
		m.refusals.WithLabelValues(string(reason)).Inc()
	}
}

// SubrequestRefusalReason says why an attempt was refused before it was sent.
type SubrequestRefusalReason string

// Reasons for a refused attempt.
const (
	ReasonQueue      SubrequestRefusalReason = "queue"
	ReasonQuarantine SubrequestRefusalReason = "quarantine"
)

// SubrequestRefused counts an attempt that was refused before it was sent.
func (m *Metrics) SubrequestRefused(service string, reason SubrequestRefusalReason) {
	if m != nil {
		m.refusedSubs.WithLabelValues(service, string(reason)).Inc()
	}
}

// SetAdmission records the limit of queries of a service and the queries of all
// services that wait.
func (m *Metrics) SetAdmission(service string, limit, waiting int) {
	if m != nil {
		m.queryLimit.WithLabelValues(service).Set(float64(limit))
		m.queryWaiting.Set(float64(waiting))
	}
}

// InvariantViolated counts a broken invariant. The name must be a constant.
func (m *Metrics) InvariantViolated(name string) {
	if m != nil {
		m.invariants.WithLabelValues(name).Inc()
	}
}

// SetCatalogueRevision records the catalogue revision that the node acts on.
func (m *Metrics) SetCatalogueRevision(revision uint64) {
	if m != nil {
		m.revision.Set(float64(revision))
	}
}

// OldRevisionRefused counts a catalogue that was not newer than the one in force.
func (m *Metrics) OldRevisionRefused() {
	if m != nil {
		m.oldRevisions.Inc()
	}
}

// PlatformCall records one call of the platform. Method and result must be constants.
func (m *Metrics) PlatformCall(method, result string, took time.Duration) {
	if m != nil {
		m.platformCalls.WithLabelValues(method, result).Observe(took.Seconds())
	}
}

// LeafConnected counts a connection to a leaf as open until closed runs.
func (m *Metrics) LeafConnected() (closed func()) {
	if m == nil {
		return func() {}
	}
	m.opened.Inc()
	m.connections.Inc()
	return m.connections.Dec
}

// SetQuarantineSize records the number of requests in quarantine.
func (m *Metrics) SetQuarantineSize(entries int) {
	if m != nil {
		m.quarantine.Set(float64(entries))
	}
}

// SetPeers records the number of nodes that this node has a stream to.
func (m *Metrics) SetPeers(connected int) {
	if m != nil {
		m.peers.Set(float64(connected))
	}
}

// ForwardDone counts the end of a forwarded request that covered some of total shards.
func (m *Metrics) ForwardDone(route, outcome string, elapsed time.Duration, covered, total int) {
	if m == nil {
		return
	}
	m.forwarded.WithLabelValues(route, outcome).Observe(elapsed.Seconds())
	if total > 1 {
		m.forwardCover.WithLabelValues(route).Observe(float64(covered) / float64(total))
	}
}

// ForwardAttempts counts n attempts of a forwarded request.
func (m *Metrics) ForwardAttempts(route, kind string, n int) {
	if m != nil {
		m.forwardSends.WithLabelValues(route, kind).Add(float64(n))
	}
}

// SetRoutingVersion states the version of the routing table in force.
func (m *Metrics) SetRoutingVersion(version uint64) {
	if m != nil {
		m.tableVersion.Set(float64(version))
	}
}

// SetListedLeafs states the number of leafs in the platform's list.
func (m *Metrics) SetListedLeafs(n int) {
	if m != nil {
		m.leafsListed.Set(float64(n))
	}
}
