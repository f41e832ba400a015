// Package split divides the requests of a route over its upstream groups in
// proportion to their weights, by smooth weighted round-robin: any short sequence
// of requests nearly has the proportions of the weights.
package split

import (
	"sync"

	"github.com/hickorydock/hickorydock/internal/protocol/route"
)

// Splitter is the state of one route. It is safe for concurrent use.
type Splitter struct {
	mu     sync.Mutex
	credit map[string]float64 // by group, in units of the total weight
}

// New returns a splitter. random returns a number in [0, 1) as the initial credit
// of each group, so that many nodes do not all begin with the same group.
func New(shares []route.Share, random func() float64) *Splitter {
	s := &Splitter{credit: make(map[string]float64, len(shares))}
	for _, share := range shares {
		s.credit[share.Group] = random()
	}
	return s
}

// Next returns the group of the next request: the one that is furthest below the
// proportion of its weight. It returns "" when no share has a positive weight.
func (s *Splitter) Next(shares []route.Share) string {
	total := totalWeight(shares)
	if total <= 0 {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	best := ""
	maxCredit := 0.0
	for _, share := range shares {
		if share.Weight <= 0 {
			continue
		}
		s.credit[share.Group] += share.Weight / total
		if credit := s.credit[share.Group]; best == "" || credit > maxCredit {
			best = share.Group
			maxCredit = credit
		}
	}
	s.credit[best]--
	return best
}

func totalWeight(shares []route.Share) float64 {
	total := 0.0
	for _, share := range shares {
		total += max(share.Weight, 0)
	}
	return total
}
