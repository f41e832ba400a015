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
	// SweepInterval is the mean time between two searches of all claims by the whole fleet.
	SweepInterval time.Duration
	// TicketLifetime is how long a ticket may be redeemed.
	TicketLifetime time.Duration
	// MaxRedemptions bounds the redemptions that a node remembers.
	MaxRedemptions int
	// CacheBytes bounds the cache of settled claims.
	CacheBytes int
	// CallTimeout bounds one call of the platform.
	CallTimeout time.Duration
	// MaxDeadline bounds a caller's deadline.
	MaxDeadline time.Duration
	// MaxBodyBytes bounds a caller's body when the service sets no bound.
	MaxBodyBytes int64
	// FleetWriteRate is the budget of platform writes of all nodes for commands, in writes/s.
	FleetWriteRate float64
	// NodeWriteRate is the most that one node may take of it, in writes/s.
	NodeWriteRate float64
	Once          once.Config
}

// Bounds of settings.
const (
	// MinRetention keeps records longer than callers resend.
	MinRetention = 10 * time.Minute
	// MinWriteRate is the least budget, in writes/s.
	MinWriteRate = 1
)

// DefaultSettings returns the settings of production.
func DefaultSettings() Settings {
	return Settings{
		Retention:          time.Hour,
		UnsettledRetention: 24 * time.Hour,
		SweepInterval:      10 * time.Minute,
		TicketLifetime:     10 * time.Minute,
		MaxRedemptions:     16 << 10,
		CacheBytes:         8 << 20,
		CallTimeout:        time.Second,
		MaxDeadline:        time.Minute,
		MaxBodyBytes:       64 << 10,
		FleetWriteRate:     200,
		NodeWriteRate:      100,
		Once:               once.DefaultConfig(),
	}
}

// Validate returns every fault of the settings.
func (s Settings) Validate() error {
	var faults []error
	require := func(ok bool, format string, args ...any) {
		if !ok {
			faults = append(faults, fmt.Errorf(format, args...))
		}
	}
	require(s.Retention >= MinRetention, "retention is %s, want at least %s", s.Retention, MinRetention)
	require(s.UnsettledRetention >= s.Retention, "unsettled retention is %s, want at least the retention", s.UnsettledRetention)
	require(s.MaxDeadline > 0 && s.MaxDeadline < s.Retention, "longest deadline is %s, want it above 0 and below the retention", s.MaxDeadline)
	require(s.SweepInterval > 0, "sweep interval is %s, want it above 0", s.SweepInterval)
	require(s.TicketLifetime > 0, "ticket lifetime is %s, want it above 0", s.TicketLifetime)
	require(s.MaxRedemptions > 0, "ticket limit is %d, want it above 0", s.MaxRedemptions)
	require(s.CallTimeout > 0, "call timeout is %s, want it above 0", s.CallTimeout)
	require(s.FleetWriteRate >= MinWriteRate, "fleet budget is %g writes/s, want at least %d", s.FleetWriteRate, MinWriteRate)
	require(s.NodeWriteRate >= MinWriteRate, "node budget is %g writes/s, want at least %d", s.NodeWriteRate, MinWriteRate)
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
