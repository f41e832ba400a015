package command

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/hickorydock/hickorydock/internal/protocol/command"
)

// writeKind names a kind of platform write.
type writeKind string

// Kinds of platform writes.
const (
	writeCreate  writeKind = "create"
	writeSettle  writeKind = "settle"
	writeRelease writeKind = "free"
	writeSweep   writeKind = "sweep"
	writeLedger  writeKind = "ledger"
)

// collectors are the metrics of a runner.
type collectors struct {
	results    *prometheus.CounterVec
	writes     *prometheus.CounterVec
	reads      prometheus.Counter
	invariants prometheus.Counter
}

func newCollectors(registerer prometheus.Registerer) *collectors {
	c := &collectors{
		results: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hickorydock_commands_total",
			Help: "Commands by outcome and cause.",
		}, []string{"outcome", "cause"}),
		writes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hickorydock_command_platform_writes_total",
			Help: "Platform writes for commands, by kind.",
		}, []string{"kind"}),
		reads: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hickorydock_command_platform_reads_total",
			Help: "Platform reads for commands.",
		}),
		invariants: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hickorydock_command_invariant_failures_total",
			Help: "Commands ended by a failed internal invariant check.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(c.results, c.writes, c.reads, c.invariants)
	}
	return c
}

func (c *collectors) result(r command.Result) {
	c.results.WithLabelValues(string(r.Outcome), string(r.Cause)).Inc()
}

func (c *collectors) write(kind writeKind) { c.writes.WithLabelValues(string(kind)).Inc() }
