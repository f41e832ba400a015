// Package split divides the requests of a route over its upstream groups in
// proportion to their weights. The order is smooth: any short run of requests
// has nearly the proportions of the weights.
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

// New returns a splitter without history. draw returns a random number in [0, 1)
// for each share, so that many nodes do not begin with the same group.
func New(shares []route.Share, draw func() float64) *Splitter {
	s := &Splitter{credit: make(map[string]float64, len(shares))}
	for _, share := range shares {
		s.credit[share.Group] = draw()
	}
	return s
}

// Next returns the group of the next request: the one that lies furthest behind
// its weight. It returns "" when no share has a positive weight.
func (s *Splitter) Next(shares []route.Share) string {
	total := totalOf(shares)
	if total <= 0 {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	best := ""
	most := 0.0
	for _, share := range shares {
		if share.Weight <= 0 {
			continue
		}
		s.credit[share.Group] += share.Weight / total
		if credit := s.credit[share.Group]; best == "" || credit > most {
			best = share.Group
			most = credit
		}
	}
	s.credit[best]--
	return best
}

func totalOf(shares []route.Share) float64 {
	total := 0.0
	for _, share := range shares {
		total += max(share.Weight, 0)
	}
	return total
}
