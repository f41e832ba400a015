// Package links monitors a node's links to the leafs and decides, with coordination/isolation,
// which leafs the node reaches itself.
package links

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/hickorydock/hickorydock/internal/coordination/isolation"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// checkInterval is the time between two checks of the links.
const checkInterval = 50 * time.Millisecond

// Client is the node's client of the leafs; leafwire.Client implements it.
type Client interface {
	LastReply() time.Time
	Overdue(now time.Time) (waiting, sent bool)
	HasConnection(id string) bool
	FailedGroups() int
	ProbeTargets(now time.Time, n int) []platform.VM
	Probe(ctx context.Context, vm platform.VM) error
	ForgetFailures()
}

// Observer receives changes and counts. It is implemented by the metrics.
type Observer interface {
	// SetIsolated sets whether the node is cut off from all leafs.
	SetIsolated(isolated bool)
	// LinksProbed counts a probe of the links.
	LinksProbed(reachedAny bool)
}

// Config configures a Monitor.
type Config struct {
	Client   Client
	Observer Observer
	Log      log.Interface
	// OnLasting is called once two probes in a row have reached no leaf, OnConfirmed when it
	// is certain that the node's own links have failed, with the time since when, and OnReturn
	// when the node reaches the leafs again. Each may be nil and must not call the monitor.
	OnLasting   func()
	OnConfirmed func(since time.Time)
	OnReturn    func()
}

// Monitor monitors the links. It is safe for concurrent use.
type Monitor struct {
	cfg   Config
	state atomic.Pointer[isolation.State]

	mu       sync.Mutex // guards the detector and isolated
	detector isolation.Detector
	isolated chan struct{} // closed while the node is isolated
	probes   sync.WaitGroup
}

// New returns a monitor of a node whose links are sound.
func New(cfg Config) *Monitor {
	if cfg.OnLasting == nil {
		cfg.OnLasting = func() {}
	}
	if cfg.OnConfirmed == nil {
		cfg.OnConfirmed = func(time.Time) {}
	}
	if cfg.OnReturn == nil {
		cfg.OnReturn = func() {}
	}
	m := &Monitor{cfg: cfg, isolated: make(chan struct{})}
	m.state.Store(&isolation.State{})
	return m
}

// Run checks the links until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	defer m.probes.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.check(ctx, time.Now())
		}
	}
}

// check observes the links and starts a probe if that is due.
func (m *Monitor) check(ctx context.Context, now time.Time) {
	o := isolation.Observation{LastReply: m.cfg.Client.LastReply(), FailedGroups: m.cfg.Client.FailedGroups()}
	if now.Sub(o.LastReply) >= isolation.MinSilence {
		waiting, sent := m.cfg.Client.Overdue(now)
		o.Overdue = waiting || sent
		o.OverdueSent = sent
	}
	m.mu.Lock()
	probe := m.detector.Observe(now, o)
	m.update()
	m.mu.Unlock()
	if probe {
		m.probes.Go(func() { m.probe(ctx, now, o) })
	}
}

// probe dials a few leafs and passes the result to the detector.
func (m *Monitor) probe(ctx context.Context, now time.Time, o isolation.Observation) {
	targets := m.cfg.Client.ProbeTargets(now, isolation.MaxProbed)
	reached := m.dial(ctx, targets)
	if ctx.Err() != nil {
		return
	}
	m.cfg.Observer.LinksProbed(reached > 0)
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.detector.State()
	m.detector.ProbeEnded(len(targets), reached)
	m.update()
	m.handleChange(before, m.detector.State(), o, len(targets), reached)
}

// dial returns how many of the leafs a connection could be opened to.
func (m *Monitor) dial(ctx context.Context, targets []platform.VM) int {
	ctx, cancel := context.WithTimeout(ctx, isolation.ProbeTimeout)
	defer cancel()
	var reached atomic.Int64
	var dials sync.WaitGroup
	for _, vm := range targets {
		dials.Go(func() {
			if m.cfg.Client.Probe(ctx, vm) == nil {
				reached.Add(1)
			}
		})
	}
	dials.Wait()
	return int(reached.Load())
}

// update publishes the state of the detector. The caller holds m.mu.
func (m *Monitor) update() {
	next := m.detector.State()
	before := m.state.Load()
	if next == *before {
		return
	}
	m.state.Store(&next)
	switch {
	case next.Isolated && !before.Isolated:
		close(m.isolated)
	case !next.Isolated && before.Isolated:
		m.isolated = make(chan struct{})
	}
}

// handleChange logs what a probe has changed and calls the handlers for it. The caller holds
// m.mu.
func (m *Monitor) handleChange(before, after isolation.State, o isolation.Observation, tried, reached int) {
	if after.Isolated && !before.Isolated {
		m.cfg.Observer.SetIsolated(true)
		m.cfg.Log.WithFields(log.Fields{"tried": tried, "silent": after.Silent, "overdue": o.Overdue, "failed_groups": o.FailedGroups, "last_reply": time.Since(o.LastReply).Round(time.Millisecond)}).Warn("no leaf reached, requests go through other nodes")
	}
	if after.Lasting && !before.Lasting {
		m.cfg.OnLasting()
	}
	if after.Confirmed && !before.Confirmed {
		m.cfg.Log.WithField("for", time.Since(after.Since).Round(time.Millisecond)).Warn("links of this node have failed, other nodes reach the leafs")
		m.cfg.OnConfirmed(after.Since)
	}
	if before.Isolated && !after.Isolated {
		m.cfg.Observer.SetIsolated(false)
		m.cfg.Client.ForgetFailures()
		m.cfg.Log.WithFields(log.Fields{"for": time.Since(before.Since).Round(time.Millisecond), "tried": tried, "reached": reached}).Info("leafs reached again")
		m.cfg.OnReturn()
	}
}

// Isolated reports whether the node is cut off from the leafs.
func (m *Monitor) Isolated() bool { return m.state.Load().Isolated }

// Reaches reports whether the node can send to a leaf itself: always, unless it is isolated.
// Then it can as long as a connection to the leaf is open and connections carry replies.
func (m *Monitor) Reaches(id string) bool {
	state := m.state.Load()
	return !state.Isolated || !state.Silent && m.cfg.Client.HasConnection(id)
}

// Silent reports whether the node is isolated and open connections carry nothing either.
func (m *Monitor) Silent() bool { return m.state.Load().Silent }

// Lost returns a channel that is closed while the node is isolated.
func (m *Monitor) Lost() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isolated
}

// ServedByPeer records that a leaf has answered a request that another node sent.
func (m *Monitor) ServedByPeer() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detector.ServedByPeer(time.Now())
}
