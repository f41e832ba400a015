// Package command runs commands at most once: it carries the decisions of
// coordination/once out against the platform, the upstreams and the other
// nodes, and serves the callers' command and ticket interface.
package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hickorydock/hickorydock/internal/coordination/once"
	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// Attempt is one dispatch of a command to one leaf.
type Attempt struct {
	RequestID string
	// Number counts the attempts of the request from 1.
	Number  int
	Service note.Service
	Target  command.Target
	Query   json.RawMessage
	// Tried names the leafs that earlier attempts were sent to.
	Tried []string
}

// Dispatcher sends commands to leafs. Implementations are safe for concurrent use.
type Dispatcher interface {
	// Target fixes the shard of a shard key by the newest shard map. It fails
	// when no shard map of the service is known.
	Target(service note.Service, shardKey string) (command.Target, error)
	// Dispatch runs one attempt on one leaf that holds the target's shard in its
	// generation. It sends at most one request to at most one leaf and no byte
	// after ctx has ended. Whatever happens after the first byte, except a
	// verified reply, is command.DispatchLost.
	Dispatch(ctx context.Context, a Attempt) command.DispatchResult
}

// Peers reaches the other nodes. Implementations are safe for concurrent use.
type Peers interface {
	// Forward sends a ticket's command to the node that issued it, whose
	// Runner.ServeForward answers. An error says nothing about the command.
	Forward(ctx context.Context, node string, f command.ForwardedCommand) (command.Result, error)
}

// noPeers reaches no node.
type noPeers struct{}

var errNoPeers = errors.New("other nodes cannot be reached")

func (noPeers) Forward(context.Context, string, command.ForwardedCommand) (command.Result, error) {
	return command.Result{}, errNoPeers
}

// Services finds the services in force.
type Services interface {
	Find(name string) (note.Service, bool)
}

// Settings are the limits and times of a Runner.
type Settings struct {
	// Retention is how long the outcome of a command is kept.
	Retention time.Duration
	// UnsettledRetention is how long a claim is kept whose outcome was never
	// recorded: longer than any pause of a process.
	UnsettledRetention time.Duration
	// SweepEvery is the mean time between two searches of all claims by the whole fleet.
	SweepEvery time.Duration
	// TicketLifetime is how long a ticket may be redeemed.
	TicketLifetime time.Duration
	// TicketLimit bounds the redemptions that a node remembers.
	TicketLimit int
	// CacheBytes bounds the cache of settled claims.
	CacheBytes int
	// CallTimeout bounds one call of the platform.
	CallTimeout time.Duration
	// LongestDeadline bounds a caller's deadline.
	LongestDeadline time.Duration
	// MaxBodyBytes bounds a caller's body when the service sets no bound.
	MaxBodyBytes int64
	// FleetWrites is the budget of platform writes of all nodes for commands, in writes/s.
	FleetWrites float64
	// NodeWrites is the most that one node may take of it, in writes/s.
	NodeWrites float64
	Once       once.Config
}

// Bounds of settings.
const (
	// MinRetention keeps records longer than callers resend.
	MinRetention = 10 * time.Minute
	// MinWrites is the least budget, in writes/s.
	MinWrites = 1
)

// DefaultSettings returns the settings of production.
func DefaultSettings() Settings {
	return Settings{
		Retention:          time.Hour,
		UnsettledRetention: 24 * time.Hour,
		SweepEvery:         10 * time.Minute,
		TicketLifetime:     10 * time.Minute,
		TicketLimit:        16 << 10,
		CacheBytes:         8 << 20,
		CallTimeout:        time.Second,
		LongestDeadline:    time.Minute,
		MaxBodyBytes:       64 << 10,
		FleetWrites:        200,
		NodeWrites:         100,
		Once:               once.DefaultConfig(),
	}
}

// Check returns every fault of the settings.
func (s Settings) Check() error {
	var faults []error
	require := func(ok bool, format string, args ...any) {
		if !ok {
			faults = append(faults, fmt.Errorf(format, args...))
		}
	}
	require(s.Retention >= MinRetention, "retention is %s, want at least %s", s.Retention, MinRetention)
	require(s.UnsettledRetention >= s.Retention, "unsettled retention is %s, want at least the retention", s.UnsettledRetention)
	require(s.LongestDeadline > 0 && s.LongestDeadline < s.Retention, "longest deadline is %s, want it above 0 and below the retention", s.LongestDeadline)
	require(s.SweepEvery > 0, "sweep interval is %s, want it above 0", s.SweepEvery)
	require(s.TicketLifetime > 0, "ticket lifetime is %s, want it above 0", s.TicketLifetime)
	require(s.TicketLimit > 0, "ticket limit is %d, want it above 0", s.TicketLimit)
	require(s.CallTimeout > 0, "call timeout is %s, want it above 0", s.CallTimeout)
	require(s.FleetWrites >= MinWrites, "fleet budget is %g writes/s, want at least %d", s.FleetWrites, MinWrites)
	require(s.NodeWrites >= MinWrites, "node budget is %g writes/s, want at least %d", s.NodeWrites, MinWrites)
	return errors.Join(faults...)
}

// Options are what a Runner needs.
type Options struct {
	Self       command.Incarnation
	Settings   Settings
	Platform   platform.Client
	Dispatcher Dispatcher
	// Peers reaches the other nodes; nil means that none can be reached.
	Peers    Peers
	Services Services
	// Budget is the budget of platform writes; nil means one that knows of no other node.
	Budget *Budget
	// Registerer takes the metrics; nil leaves them unregistered.
	Registerer prometheus.Registerer
}
