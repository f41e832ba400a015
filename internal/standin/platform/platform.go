// Package platform is a stand-in for the platform's object API: an in-memory
// store of versioned objects that implements the HTTP protocol of
// docs/PLATFORM.md, with faults that are set at run time. It persists nothing
// across restarts.
package platform

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// DefaultChangeLogSize is the number of changes kept for each kind.
const DefaultChangeLogSize = 1000

// WatchHeartbeat is the interval at which a watch sends an empty line.
const WatchHeartbeat = 5 * time.Second

// Method is an operation of the object API.
type Method string

// Methods of the object API.
const (
	MethodGet       Method = "get"
	MethodList      Method = "list"
	MethodWatch     Method = "watch"
	MethodCreate    Method = "create"
	MethodUpdate    Method = "update"
	MethodDelete    Method = "delete"
	MethodPutStatus Method = "put_status"
)

// Call identifies an operation on a kind of objects; calls are counted per Call.
type Call struct {
	Method Method
	Kind   platform.Kind
}

func (c Call) isWrite() bool {
	switch c.Method {
	case MethodGet, MethodList, MethodWatch:
		return false
	}
	return true
}

// Options configure a Platform.
type Options struct {
	// Seed seeds the random choice of the writes that a fault affects.
	Seed uint64
	// ChangeLogSize is the number of changes kept for each kind; 0 means
	// DefaultChangeLogSize.
	ChangeLogSize int
	// Era is the era of the first versions.
	Era uint64
	// Faults are the initial faults.
	Faults Faults
}

// Platform is a stand-in for the platform. It is safe for concurrent use.
type Platform struct {
	store *store
	mux   *http.ServeMux

	mu                        sync.Mutex
	random                    *rand.Rand
	faults                    Faults
	faultsChanged             chan struct{}
	writeLimiter, readLimiter *rate.Limiter // nil if not limited
	calls                     map[Call]uint64
}

// New returns a platform without objects.
func New(options Options) *Platform {
	if options.ChangeLogSize == 0 {
		options.ChangeLogSize = DefaultChangeLogSize
	}
	p := &Platform{
		store:         newStore(options.ChangeLogSize, options.Era),
		random:        rand.New(rand.NewPCG(options.Seed, options.Seed)),
		faultsChanged: make(chan struct{}),
		calls:         make(map[Call]uint64),
	}
	p.mux = p.routes()
	p.SetFaults(options.Faults)
	return p
}

// Set stores an object without counting a call and without faults.
func (p *Platform) Set(kind platform.Kind, name string, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	_, err = p.store.set(kind, name, encoded)
	return err
}

// Remove deletes an object without counting a call and without faults.
func (p *Platform) Remove(kind platform.Kind, name string) error {
	object, err := p.store.get(kind, name)
	if err != nil {
		return err
	}
	return p.store.remove(kind, name, object.Version)
}

// Calls returns how often each operation was called, including rejected calls.
func (p *Platform) Calls() map[Call]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.calls)
}

// watch passes changes to onEvent until ctx ends, an outage rejects the watch, the
// change log no longer reaches back to the last version passed on (ErrTooOld) or a
// callback fails. It calls onHeartbeat when the watch opens and then every
// WatchHeartbeat.
func (p *Platform) watch(ctx context.Context, kind platform.Kind, from uint64, onEvent func(platform.Event) error, onHeartbeat func() error) error {
	if err := p.startCall(ctx, Call{MethodWatch, kind}); err != nil {
		return err
	}
	if _, _, err := p.store.since(kind, from); err != nil {
		return err
	}
	if err := onHeartbeat(); err != nil {
		return err
	}
	ticker := time.NewTicker(WatchHeartbeat)
	defer ticker.Stop()
	for {
		faults, faultsChanged := p.faultsAndChange()
		changes, nextChange, err := p.store.since(kind, from)
		if err != nil {
			return err
		}
		if len(changes) > 0 || faults.Outage != OutageNone {
			if err := p.waitForFaults(ctx); err != nil {
				return err
			}
		}
		for _, c := range changes {
			if err := onEvent(c.event); err != nil {
				return err
			}
			from = c.version
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-nextChange:
		case <-faultsChanged:
		case <-ticker.C:
			err = onHeartbeat()
		}
		if err != nil {
			return err
		}
	}
}
