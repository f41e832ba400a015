package relay

import (
	"sync"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/budget"
	"github.com/hickorydock/hickorydock/internal/coordination/latency"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
)

const (
	// hedgeBudgetUse is the share of the hedge share that late subrequests may
	// claim; the rest is left for retries.
	hedgeBudgetUse = 0.8
	// hedgeFloor is the shortest wait before a hedge.
	hedgeFloor = 500 * time.Microsecond
)

// serviceState is what the relay learned about one service.
type serviceState struct {
	extra  *budget.Budget
	window *latency.Window
	share  float64
	mu     sync.Mutex
}

func hedgeQuantile(share float64) float64 { return 1 - share*hedgeBudgetUse }

func (r *Relay) state(service *note.Service) *serviceState {
	s, ok := r.services.Load(service.Name)
	if !ok {
		fresh := &serviceState{
			extra:  budget.New(service.HedgeShare),
			window: latency.NewWindow(hedgeQuantile(service.HedgeShare)),
			share:  service.HedgeShare,
		}
		s, _ = r.services.LoadOrStore(service.Name, fresh)
	}
	state := s.(*serviceState)
	state.adopt(service.HedgeShare)
	return state
}

// adopt takes over a hedge share that a release note changed.
func (s *serviceState) adopt(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.share == share {
		return
	}
	s.share = share
	s.extra.SetShare(share)
	s.window.SetQuantile(hedgeQuantile(share))
}

// hedgeDelay is the learned wait before a hedge, or 0 before enough is known.
func (s *serviceState) hedgeDelay() time.Duration {
	delay := s.window.Quantile()
	if delay == 0 {
		return 0
	}
	return max(delay, hedgeFloor)
}
