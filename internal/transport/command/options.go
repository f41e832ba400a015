// Package command runs commands at most once. It executes the decisions of
// coordination/once by calls of the platform, the upstreams and the other nodes,
// and serves the callers' HTTP interface of commands and tickets.
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
	// Target returns the shard of a shard key according to the newest shard map.
	// It fails when no shard map of the service is known.
	Target(service note.Service, shardKey string) (command.Target, error)
	// Dispatch runs one attempt on one leaf that holds the target's shard in the
	// target's generation. It sends at most one request to at most one leaf and
	// no byte after ctx has ended. Once the first byte is sent, any end other
	// than a verified reply is command.DispatchLost.
	Dispatch(ctx context.Context, a Attempt) command.DispatchResult
}

// Peers sends requests to the other nodes. Implementations are safe for concurrent use.
type Peers interface {
	// Forward sends a ticket's command to the node that issued it, where
	// Runner.ServeForward handles it. After an error it is unknown whether the
	// command ran.
	Forward(ctx context.Context, node string, f command.ForwardedCommand) (command.Result, error)
}

// noPeers fails every call.
type noPeers struct{}

var errNoPeers = errors.New("other nodes cannot be reached")

func (noPeers) Forward(context.Context, string, command.ForwardedCommand) (command.Result, error) {
	return command.Result{}, errNoPeers
}

// Services finds the current services.
type Services interface {
	Find(name string) (note.Service, bool)
}

// Settings are the limits and times of a Runner.
type Settings struct {
	// Retention is how long the outcome of a command is kept.
	Retention time.Duration
	// UnsettledRetention is how long a claim without a recorded outcome is kept.
	// It must exceed any pause of a process, since a paused node may still
	// record the outcome.
	UnsettledRetention time.Duration
	// SweepInterval is the mean time between two searches of all claims by the whole fleet.
	SweepInterval time.Duration
	// TicketLifetime is how long a ticket may be redeemed.
	TicketLifetime time.Duration
	// MaxRedemptions bounds the ticket redemptions that a node stores.
	MaxRedemptions int
	// CacheBytes bounds the cache of settled claims.
	CacheBytes int
	// CallTimeout bounds one call of the platform.
	CallTimeout time.Duration
	// MaxCallerDeadline bounds a caller's deadline.
	MaxCallerDeadline time.Duration
	// MaxBodyBytes bounds a caller's body when the service sets no bound.
	MaxBodyBytes int64
	// FleetWriteRate is the budget of platform writes of all nodes for commands, in writes/s.
	FleetWriteRate float64
	// NodeWriteRate bounds the part of that budget that one node uses, in writes/s.
	NodeWriteRate float64
	Once          once.Config
}

// Bounds of settings.
const (
	// MinRetention is the minimum retention: records must be kept for longer than
	// callers resend.
	MinRetention = 10 * time.Minute
	// MinWriteRate is the minimum budget, in writes/s.
	MinWriteRate = 1
)

// DefaultSettings returns the settings for production.
func DefaultSettings() Settings {
	return Settings{
		Retention:          time.Hour,
		UnsettledRetention: 24 * time.Hour,
		SweepInterval:      10 * time.Minute,
		TicketLifetime:     10 * time.Minute,
		MaxRedemptions:     16 << 10,
		CacheBytes:         8 << 20,
		CallTimeout:        time.Second,
		MaxCallerDeadline:  time.Minute,
		MaxBodyBytes:       64 << 10,
		FleetWriteRate:     200,
		NodeWriteRate:      100,
		Once:               once.DefaultConfig(),
	}
}

// Validate returns an error that lists every invalid setting, or nil.
func (s Settings) Validate() error {
	var errs []error
	require := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	require(s.Retention >= MinRetention, "retention is %s, want at least %s", s.Retention, MinRetention)
	require(s.UnsettledRetention >= s.Retention, "unsettled retention is %s, want at least the retention", s.UnsettledRetention)
	require(s.MaxCallerDeadline > 0 && s.MaxCallerDeadline < s.Retention, "maximum deadline is %s, want it above 0 and below the retention", s.MaxCallerDeadline)
	require(s.SweepInterval > 0, "sweep interval is %s, want it above 0", s.SweepInterval)
	require(s.TicketLifetime > 0, "ticket lifetime is %s, want it above 0", s.TicketLifetime)
	require(s.MaxRedemptions > 0, "maximum number of ticket redemptions is %d, want it above 0", s.MaxRedemptions)
	require(s.CallTimeout > 0, "call timeout is %s, want it above 0", s.CallTimeout)
	require(s.FleetWriteRate >= MinWriteRate, "fleet budget is %g writes/s, want at least %d", s.FleetWriteRate, MinWriteRate)
	require(s.NodeWriteRate >= MinWriteRate, "node budget is %g writes/s, want at least %d", s.NodeWriteRate, MinWriteRate)
	return errors.Join(errs...)
}

// Options are the settings and dependencies of a Runner.
type Options struct {
	Self       command.Incarnation
	Settings   Settings
	Platform   platform.Client
	Dispatcher Dispatcher
	// Peers sends requests to the other nodes; nil means that none is reachable.
	Peers    Peers
	Services Services
	// Budget is the budget of platform writes; nil means the budget of a fleet of one node.
	Budget *Budget
	// Registerer registers the metrics; nil leaves them unregistered.
	Registerer prometheus.Registerer
}
