package upstream

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/share"
	contract "github.com/hickorydock/hickorydock/internal/protocol/upstream"
)

// errClosed means that a connection is gone before a request was written to it.
var errClosed = errors.New("connection closed")

// pool keeps the connections to one leaf within a share. Each connection carries
// one request at a time. Connections are opened ahead by one goroutine, which
// follows the decisions of share.Pool. One mutex guards all fields below it.
type pool struct {
	address     string
	base        *http.Transport
	warmTimeout time.Duration
	wake        chan struct{}
	done        chan struct{}
	workers     sync.WaitGroup

	mu       sync.Mutex
	decision *share.Pool
	allowed  int
	idle     []*slot // the last one was used last
	waiting  []chan *slot
	closed   bool
}

// slot is one connection. Its transport never opens another one.
type slot struct {
	pool      *pool
	transport *http.Transport
	raw       pipe
	handed    bool // raw was handed to the transport
	gone      bool
	open      bool // the pool counts it as open
}

// pipe is a slot's connection; it tells the pool when either side closes it.
type pipe struct {
	net.Conn
	slot *slot
}

// Close closes the connection and takes the slot out of its pool.
func (p pipe) Close() error {
	err := p.Conn.Close()
	p.slot.pool.lost(p.slot)
	return err
}

func newPool(address string, base *http.Transport, warmTimeout time.Duration) *pool {
	// Nodes that get their shares at the same time open at different times.
	offset := rand.N(share.OpenInterval)
	p := &pool{
		address:     address,
		base:        base,
		warmTimeout: warmTimeout,
		wake:        make(chan struct{}, 1),
		done:        make(chan struct{}),
		decision:    share.NewPool(time.Now(), offset),
	}
	p.workers.Add(1)
	go p.follow()
	return p
}

func (p *pool) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *pool) setAllowed(count int) {
	p.mu.Lock()
	p.allowed = count
	p.decision.SetAllowed(count)
	p.mu.Unlock()
	p.signal()
}

// follow opens and closes connections until the pool is closed.
func (p *pool) follow() {
	defer p.workers.Done()
	for {
		timer := time.NewTimer(p.act(time.Now()))
		select {
		case <-p.done:
			timer.Stop()
			return
		case <-p.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// act does what the decisions ask for and returns the wait before the next look.
func (p *pool) act(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	for !p.closed {
		switch p.decision.Next(now) {
		case share.Open:
			p.workers.Add(1)
			go p.dial()
		case share.Close:
			if len(p.idle) == 0 {
				return idleLook // the next connection that is released is closed
			}
			surplus := p.idle[0]
			p.idle = p.idle[1:]
			p.retire(surplus)
		case share.NoAction:
			if p.decision.Held() >= p.allowed {
				return idleLook
			}
			return max(p.decision.NextOpen().Sub(now), time.Millisecond)
		}
	}
	return idleLook
}

// idleLook is the wait when nothing is due; a change wakes the pool earlier.
const idleLook = time.Hour

// retire closes a connection that is not in use. The lock is held.
func (p *pool) retire(s *slot) {
	p.forget(s)
	// Closing the pipe would call back into the pool.
	_ = s.raw.Conn.Close()
}

// forget stops counting a slot. The lock is held.
func (p *pool) forget(s *slot) {
	s.gone = true
	if s.open {
		s.open = false
		p.decision.Closed(time.Now())
	}
}

// lost takes a slot whose connection is closed out of the pool.
func (p *pool) lost(s *slot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget(s)
	for i, idle := range p.idle {
		if idle == s {
			p.idle = append(p.idle[:i:i], p.idle[i+1:]...)
			break
		}
	}
	p.signal()
}

// dial opens a connection and makes a first exchange on it, which shows whether
// the leaf accepted it and pays what a new connection costs.
func (p *pool) dial() {
	defer p.workers.Done()
	ctx, cancel := context.WithTimeout(context.Background(), p.warmTimeout)
	defer cancel()
	s, err := p.connect(ctx)
	if err == nil {
		err = p.warm(ctx, s)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.decision.Refused(time.Now())
		if s != nil {
			p.retire(s)
		}
		p.signal()
		return
	}
	s.open = true
	p.decision.Opened()
	if s.gone {
		p.forget(s)
		p.signal()
		return
	}
	p.put(s)
}

func (p *pool) connect(ctx context.Context) (*slot, error) {
	raw, err := p.base.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	s := &slot{pool: p}
	s.raw = pipe{raw, s}
	s.transport = p.base.Clone()
	s.transport.MaxConnsPerHost = 1
	s.transport.MaxIdleConnsPerHost = 1
	s.transport.IdleConnTimeout = 0
	s.transport.DialContext = s.hand
	return s, nil
}

// hand gives the slot's connection to its transport, once.
func (s *slot) hand(context.Context, string, string) (net.Conn, error) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	if s.handed || s.gone {
		return nil, errClosed
	}
	s.handed = true
	return s.raw, nil
}

// warm fetches the manifest on a new connection.
func (p *pool) warm(ctx context.Context, s *slot) error {
	url := "http://" + p.address + contract.PathManifest
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := s.transport.RoundTrip(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, warmBytes))
	return err
}

// warmBytes bounds what is read of the first exchange.
const warmBytes = 4 << 20

// take waits for a free connection.
func (p *pool) take(ctx context.Context) (*slot, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: net.ErrClosed}
	}
	if last := len(p.idle) - 1; last >= 0 {
		s := p.idle[last]
		p.idle = p.idle[:last]
		p.mu.Unlock()
		return s, nil
	}
	ready := make(chan *slot, 1)
	p.waiting = append(p.waiting, ready)
	p.mu.Unlock()
	select {
	case s := <-ready:
		return s, nil
	case <-ctx.Done():
		p.giveUp(ready)
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	case <-p.done:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: net.ErrClosed}
	}
}

// giveUp ends a wait; a slot that came meanwhile goes to the next one.
func (p *pool) giveUp(ready chan *slot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, w := range p.waiting {
		if w == ready {
			p.waiting = append(p.waiting[:i:i], p.waiting[i+1:]...)
			return
		}
	}
	select {
	case s := <-ready:
		p.put(s)
	default:
	}
}

// put makes a slot free: it goes to the first that waits, or is closed when the
// share has shrunk. The lock is held.
func (p *pool) put(s *slot) {
	switch {
	case s.gone:
	case p.closed || p.decision.Held() > p.allowed:
		p.retire(s)
	case len(p.waiting) > 0:
		first := p.waiting[0]
		p.waiting = p.waiting[1:]
		first <- s
	default:
		p.idle = append(p.idle, s)
	}
}

func (p *pool) release(s *slot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.put(s)
}

// roundTrip sends a request on a free connection and frees it with the end of the
// reply. When the connection turns out to be closed it takes the next one,
// provided that the request's body can be had again.
func (p *pool) roundTrip(request *http.Request) (*http.Response, error) {
	attempt := request
	for {
		s, err := p.take(request.Context())
		if err != nil {
			return nil, err
		}
		response, err := s.transport.RoundTrip(attempt)
		if err == nil {
			response.Body = &releasing{ReadCloser: response.Body, slot: s}
			return response, nil
		}
		if !errors.Is(err, errClosed) {
			p.release(s)
			return nil, err
		}
		if attempt = again(request); attempt == nil {
			return nil, err
		}
	}
}

// again returns a copy of a request with a fresh body, or nil when there is none.
func again(request *http.Request) *http.Request {
	next := *request
	if request.Body == nil || request.Body == http.NoBody {
		return &next
	}
	if request.GetBody == nil {
		return nil
	}
	body, err := request.GetBody()
	if err != nil {
		return nil
	}
	next.Body = body
	return &next
}

// releasing frees the slot of a reply when its body is closed.
type releasing struct {
	io.ReadCloser
	slot *slot
	once sync.Once
}

// Close closes the body and frees the connection.
func (r *releasing) Close() error {
	err := r.ReadCloser.Close()
	r.once.Do(func() { r.slot.pool.release(r.slot) })
	return err
}

// close ends the pool and waits for its goroutines.
func (p *pool) close() {
	p.end()
	p.workers.Wait()
}

// end closes idle connections at once and those in use when they are free. It
// does not wait for connections that are being opened.
func (p *pool) end() {
	p.mu.Lock()
	p.closed = true
	p.allowed = 0
	p.decision.SetAllowed(0)
	idle := p.idle
	p.idle = nil
	for _, s := range idle {
		p.retire(s)
	}
	p.mu.Unlock()
	close(p.done)
}
