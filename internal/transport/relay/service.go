package relay

import (
	"sync"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/budget"
	"github.com/hickorydock/hickorydock/internal/coordination/latency"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
)

const (
	// hedgeFraction is the fraction of the hedge share that slow subrequests may use;
	// the rest is left for retries.
	hedgeFraction = 0.8
	// minHedgeDelay is the shortest delay before a hedge.
	minHedgeDelay = 500 * time.Microsecond
)

// serviceState holds the retry and hedge budget and the measured latencies of one
// service.
type serviceState struct {
	hedgeBudget *budget.Budget
	window      *latency.Window
	hedgeShare  float64
	mu          sync.Mutex
}

func hedgeQuantile(hedgeShare float64) float64 { return 1 - hedgeShare*hedgeFraction }

func (r *Relay) state(service *note.Service) *serviceState {
	s, ok := r.services.Load(service.Name)
	if !ok {
		created := &serviceState{
			hedgeBudget: budget.New(service.HedgeShare),
			window:      latency.NewWindow(hedgeQuantile(service.HedgeShare)),
			hedgeShare:  service.HedgeShare,
		}
		s, _ = r.services.LoadOrStore(service.Name, created)
	}
	state := s.(*serviceState)
	state.setHedgeShare(service.HedgeShare)
	return state
}

// setHedgeShare applies the hedge share of the service, which a release note may have
// changed.
func (s *serviceState) setHedgeShare(hedgeShare float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hedgeShare == hedgeShare {
		return
	}
	s.hedgeShare = hedgeShare
	s.hedgeBudget.SetShare(hedgeShare)
	s.window.SetQuantile(hedgeQuantile(hedgeShare))
}

// hedgeDelay is the estimated delay before a hedge, or 0 before enough latencies have
// been observed.
func (s *serviceState) hedgeDelay() time.Duration {
	delay := s.window.Quantile()
	if delay == 0 {
		return 0
	}
	return max(delay, minHedgeDelay)
}
