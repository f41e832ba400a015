// Package leaf is a small stand-in for an upstream's leaf. It implements the
// protocol of internal/protocol/upstream over net/http, simulates service
// times, shedding, draining, cold starts and failures, and records every run,
// so that tests can compare the replies to callers with the runs that took
// place.
//
// A Leaf is safe for concurrent use. Its settings are guarded by one mutex
// that is only held briefly.
package leaf

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/upstream"
)

// Defaults of Options.
const (
	DefaultSlots    = 2
	DefaultItems    = 5
	DefaultMaxRuns  = 1 << 17
	DefaultDownTime = time.Second
)

// Options are the fixed settings of a leaf. The zero value of a field selects
// the default in its comment, or disables the behaviour.
type Options struct {
	ID               string
	AvailabilityZone string
	Seed             uint64
	// Slots is the number of concurrent runs; 0 means DefaultSlots.
	Slots int
	// QueueLength bounds the runs that wait for a slot; 0 means 2 × Slots, negative means no queue.
	QueueLength int
	// ConnectionCap bounds open connections; further ones are reset at accept. 0 means no cap.
	ConnectionCap int
	// ConnectCost delays the first request of each new connection.
	ConnectCost time.Duration
	// ServiceTime is the distribution of the time of one run.
	ServiceTime ServiceTime
	// ColdStartFactor multiplies service times at the start and decays linearly to 1 over ColdStart.
	ColdStartFactor float64
	ColdStart       time.Duration
	// Holdings are the initial holdings.
	Holdings []upstream.Holding
	// Items is the number of items in a reply; 0 means DefaultItems.
	Items int
	// MaxRuns bounds the recorded runs, the oldest are dropped; 0 means DefaultMaxRuns.
	MaxRuns int
	// CrashMarker makes a run whose body contains it crash the leaf; empty disables crashes.
	CrashMarker string
	// DownTime is how long the leaf stays down after a crash; 0 means DefaultDownTime.
	DownTime time.Duration
}

func (o Options) withDefaults() Options {
	if o.Slots <= 0 {
		o.Slots = DefaultSlots
	}
	if o.QueueLength == 0 {
		o.QueueLength = 2 * o.Slots
	}
	if o.Items <= 0 {
		o.Items = DefaultItems
	}
	if o.MaxRuns <= 0 {
		o.MaxRuns = DefaultMaxRuns
	}
	if o.DownTime <= 0 {
		o.DownTime = DefaultDownTime
	}
	return o
}

// Leaf is a stand-in for a leaf. Create it with New.
type Leaf struct {
	options Options
	server  *http.Server
	slots   chan struct{}
	queued  atomic.Int64
	shed    atomic.Int64
	record  *record
	conns   *connections

	mu               sync.Mutex
	random           *rand.Rand
	holdings         []upstream.Holding
	holdingsRevision int
	manifestHoldings []upstream.Holding // nil: report the actual holdings
	manifestLoad     *float64           // nil: report the actual load
	manifestDraining *bool              // nil: report the actual state
	draining         bool
	slowFactor       float64
	lostReplyShare   float64
	started          time.Time
	incarnation      uint64
}

// New returns a leaf that does not listen yet.
func New(options Options) *Leaf {
	options = options.withDefaults()
	l := &Leaf{
		options:    options,
		slots:      make(chan struct{}, options.Slots),
		record:     newRecord(options.MaxRuns),
		conns:      newConnections(options.ConnectionCap),
		random:     rand.New(rand.NewPCG(options.Seed, options.Seed)),
		holdings:   cloneHoldings(options.Holdings),
		slowFactor: 1,
		started:    time.Now(),
	}
	l.incarnation = l.random.Uint64() >> 12 // 52 bits, which a JSON number represents exactly
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	l.server = &http.Server{Handler: l, ConnContext: connContext, Protocols: protocols}
	return l
}

// ID is the name of the leaf.
func (l *Leaf) ID() string { return l.options.ID }

// AvailabilityZone is the availability zone of the leaf.
func (l *Leaf) AvailabilityZone() string { return l.options.AvailabilityZone }

// Start listens on addr ("127.0.0.1:0" selects a free port), serves in the
// background and returns the address.
func (l *Leaf) Start(addr string) (string, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	l.mu.Lock()
	l.started = time.Now()
	l.mu.Unlock()
	go func() { _ = l.Serve(listener) }()
	return listener.Addr().String(), nil
}

// Serve serves connections of a listener until Close or Stop.
func (l *Leaf) Serve(listener net.Listener) error {
	err := l.server.Serve(&cappedListener{Listener: listener, conns: l.conns})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Close stops the leaf immediately and resets its connections.
func (l *Leaf) Close() {
	l.conns.reset()
	_ = l.server.Close()
}

// Stop drains the leaf: new runs are rejected, those in flight finish, then the
// listener and all connections close. It returns ctx.Err() when ctx ends first.
func (l *Leaf) Stop(ctx context.Context) error {
	l.SetDraining(true)
	return l.server.Shutdown(ctx)
}

// SetHoldings replaces the leaf's actual holdings.
func (l *Leaf) SetHoldings(holdings []upstream.Holding) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holdings = cloneHoldings(holdings)
	l.holdingsRevision++
}

// holdingsTag returns a value that differs after each change of the holdings.
func (l *Leaf) holdingsTag() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strconv.Itoa(l.holdingsRevision)
}

// SetManifestHoldings makes GET /manifest report these holdings; nil reports the actual ones.
func (l *Leaf) SetManifestHoldings(holdings []upstream.Holding) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.manifestHoldings = cloneHoldings(holdings)
}

// SetManifestLoad makes GET /manifest report this load; a negative value reports the actual load.
func (l *Leaf) SetManifestLoad(load float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.manifestLoad = &load
	if load < 0 {
		l.manifestLoad = nil
	}
}

// SetManifestDraining makes GET /manifest report this draining state instead of
// the actual one.
func (l *Leaf) SetManifestDraining(draining bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.manifestDraining = &draining
}

// SetDraining starts or ends draining.
func (l *Leaf) SetDraining(draining bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = draining
}

// SetSlowFactor multiplies the service times of later runs.
func (l *Leaf) SetSlowFactor(factor float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slowFactor = factor
}

// SetLostReplyShare makes this share of runs, in [0, 1], end with a closed
// connection in place of a reply.
func (l *Leaf) SetLostReplyShare(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lostReplyShare = share
}

// PartitionNetwork makes the leaf unreachable, as in the loss of an
// availability zone: connections stay open and new ones are accepted, but
// their reads and writes block.
func (l *Leaf) PartitionNetwork() { l.conns.pause() }

// HealNetwork ends the partition.
func (l *Leaf) HealNetwork() { l.conns.resume() }

// Crash simulates a crash and restart: it resets all connections, refuses new
// ones for the duration down and starts a new incarnation.
func (l *Leaf) Crash(down time.Duration) {
	upAt := time.Now().Add(down)
	l.mu.Lock()
	l.incarnation++
	l.started = upAt
	l.mu.Unlock()
	l.conns.refuseUntil(upAt)
	l.conns.reset()
}

// manifest returns the actual manifest or, with overrides, the one that GET
// /manifest reports.
func (l *Leaf) manifest(withOverrides bool) upstream.Manifest {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := upstream.Manifest{
		Leaf:        l.options.ID,
		Incarnation: l.incarnation,
		Draining:    l.draining,
		Load:        float64(len(l.slots)) / float64(cap(l.slots)),
		Holdings:    l.holdings,
	}
	if withOverrides && l.manifestHoldings != nil {
		m.Holdings = l.manifestHoldings
	}
	if withOverrides && l.manifestLoad != nil {
		m.Load = *l.manifestLoad
	}
	if withOverrides && l.manifestDraining != nil {
		m.Draining = *l.manifestDraining
	}
	return m
}

func (l *Leaf) manifestJSON(withOverrides bool) []byte {
	body, err := json.Marshal(l.manifest(withOverrides))
	if err != nil {
		panic(err) // a Manifest contains no value that JSON cannot encode
	}
	return body
}

// cloneHoldings returns a deep copy, so that later changes by the caller have no
// effect.
func cloneHoldings(holdings []upstream.Holding) []upstream.Holding {
	copied := slices.Clone(holdings)
	for i := range copied {
		copied[i].Shards = slices.Clone(copied[i].Shards)
	}
	return copied
}
