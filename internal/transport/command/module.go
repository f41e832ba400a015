package command

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"

	"github.com/apex/log"
	"go.uber.org/fx"

	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/settings"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
	"github.com/hickorydock/hickorydock/internal/state/ticket"
	"github.com/hickorydock/hickorydock/internal/transport/metrics"
	"github.com/hickorydock/hickorydock/internal/transport/server"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
	"github.com/hickorydock/hickorydock/internal/transport/upstream"
)

// Module provides the runner and mounts its routes. It needs a platform.Client
// and server.Services. Without Peers, tickets of other nodes cannot be forwarded.
var Module = fx.Module("command", fx.Provide(provide, provideIncarnation, provideBudget, provideDispatcher), fx.Invoke(mount))

// incarnationBits keeps incarnation numbers exact in every JSON decoder.
const incarnationBits = 53

// NewIncarnation returns a new, random identifier of a run of a node's process.
func NewIncarnation(node string) (command.Incarnation, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return command.Incarnation{}, fmt.Errorf("incarnation number: %w", err)
	}
	return command.Incarnation{Node: node, Number: binary.BigEndian.Uint64(b[:]) >> (64 - incarnationBits)}, nil
}

// NewSecret returns random bytes that authenticate one incarnation's tickets.
func NewSecret() ([]byte, error) {
	secret := make([]byte, ticket.SecretBytes)
	if _, err := rand.Read(secret); err != nil {
		return nil, fmt.Errorf("ticket secret: %w", err)
	}
	return secret, nil
}

// SettingsOf returns the command settings that follow from the settings of a node.
func SettingsOf(s settings.Settings) Settings {
	c := DefaultSettings()
	c.Retention = s.Commands.Retention()
	c.UnsettledRetention = max(c.UnsettledRetention, c.Retention)
	c.NodeWriteRate = s.Commands.WritesPerSecond
	c.FleetWriteRate = s.Commands.FleetWritesPerSecond
	c.CallTimeout = s.Platform.Timeout()
	c.MaxCallerDeadline = s.Limits.MaxDeadline()
	c.MaxBodyBytes = s.Limits.MaxBodyBytes
	return c
}

func provideIncarnation(s settings.Settings) (command.Incarnation, error) {
	return NewIncarnation(s.Node.ID)
}

func provideBudget(s settings.Settings) *Budget {
	c := SettingsOf(s)
	return NewBudget(c.FleetWriteRate, c.NodeWriteRate)
}

func provideDispatcher(s settings.Settings, client *upstream.Client, store *shardmap.Store, tracer *tracing.Tracer) Dispatcher {
	return NewLeafDispatcher(client, store, s.Node.AvailabilityZone, tracer)
}

// inputs are the dependencies of the module.
type inputs struct {
	fx.In
	Settings   settings.Settings
	Self       command.Incarnation
	Platform   platform.Client
	Dispatcher Dispatcher
	Peers      Peers `optional:"true"`
	Services   server.Services
	Budget     *Budget
	Metrics    *metrics.Metrics
	Logger     log.Interface
	Lifecycle  fx.Lifecycle
}

func provide(in inputs) (*Runner, error) {
	secret, err := NewSecret()
	if err != nil {
		return nil, err
	}
	runner, err := New(Options{
		Self:       in.Self,
		Settings:   SettingsOf(in.Settings),
		Platform:   in.Platform,
		Dispatcher: in.Dispatcher,
		Peers:      in.Peers,
		Services:   in.Services,
		Budget:     in.Budget,
		Registerer: in.Metrics.Registerer(),
	}, secret, in.Logger)
	if err != nil {
		return nil, err
	}
	in.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error { runner.Start(); return nil },
		OnStop:  runner.Stop,
	})
	return runner, nil
}

func mount(s *server.Server, runner *Runner, tracer *tracing.Tracer) {
	NewHandler(runner, tracer).Mount(s.Engine())
}
