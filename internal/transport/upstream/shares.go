package upstream

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// errNoShare means that the node has no share of a leaf's connections.
var errNoShare = errors.New("no share of the leaf's connections")

// shares is a round tripper that keeps the number of connections to each leaf within
// the node's share. Requests to leafs without a share use base, which no share
// bounds, or fail when shares are required. It is safe for concurrent use; its mutex
// guards the fields below it only.
type shares struct {
	base *http.Transport
	// warmTimeout bounds the first exchange on a new connection.
	warmTimeout time.Duration
	closing     sync.WaitGroup // dropped pools whose goroutines still run

	mu     sync.Mutex
	pools  map[string]*pool // by host:port
	closed bool
	// required is true when requests to leafs without a share fail.
	required bool
}

func newShares(base *http.Transport, warmTimeout time.Duration) *shares {
	return &shares{base: base, warmTimeout: warmTimeout, pools: make(map[string]*pool)}
}

// RoundTrip sends a request on one of the leaf's connections. It waits for a
// free one until the request's context ends.
func (s *shares) RoundTrip(request *http.Request) (*http.Response, error) {
	s.mu.Lock()
	p := s.pools[request.URL.Host]
	required := s.required
	s.mu.Unlock()
	if p == nil && required {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errNoShare}
	}
	if p == nil {
		return s.base.RoundTrip(request)
	}
	return p.roundTrip(request)
}

func (s *shares) require() {
	s.mu.Lock()
	s.required = true
	s.mu.Unlock()
}

// set changes the maximum number of connections to an address.
func (s *shares) set(address string, count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	p, ok := s.pools[address]
	if !ok {
		p = newPool(address, s.base, s.warmTimeout)
		s.pools[address] = p
	}
	p.setAllowed(count)
}

// drop closes the connections to an address and removes its share.
func (s *shares) drop(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[address]
	delete(s.pools, address)
	if p != nil {
		p.shutdown()
		s.closing.Go(p.workers.Wait)
	}
}

func (s *shares) close() {
	s.mu.Lock()
	s.closed = true
	all := s.pools
	s.pools = make(map[string]*pool)
	s.mu.Unlock()
	for _, p := range all {
		p.close()
	}
	s.closing.Wait()
	s.base.CloseIdleConnections()
}
