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

// errConnClosed means that a connection was closed before a request was written to it.
var errConnClosed = errors.New("connection closed")

// pool keeps the number of connections to one leaf within the node's share. Each
// connection carries one request at a time. One goroutine opens connections before
// they are needed, as decided by share.Pool. The mutex guards all fields below it.
type pool struct {
	address     string
	base        *http.Transport
	warmTimeout time.Duration
	wake        chan struct{}
	done        chan struct{}
	workers     sync.WaitGroup

	mu      sync.Mutex
	decider *share.Pool
	allowed int
	idle    []*pooledConn // the most recently used one is last
	waiters []chan *pooledConn
	closed  bool
}

// pooledConn is one connection of a pool. Its transport never opens another one.
type pooledConn struct {
	pool      *pool
	transport *http.Transport
	conn      notifyingConn
	dialed    bool // the transport received conn
	removed   bool // conn is closed or is being closed
	counted   bool // the pool counts it as open
}

// notifyingConn is the network connection of a pooledConn; its Close, which the
// transport calls when either side closes the connection, notifies the pool.
type notifyingConn struct {
	net.Conn
	pooledConn *pooledConn
}

// Close closes the connection and removes it from its pool.
func (c notifyingConn) Close() error {
	err := c.Conn.Close()
	c.pooledConn.pool.handleClose(c.pooledConn)
	return err
}

func newPool(address string, base *http.Transport, warmTimeout time.Duration) *pool {
	// Nodes that receive their shares at the same time open connections at different times.
	offset := rand.N(share.OpenInterval)
	p := &pool{
		address:     address,
		base:        base,
		warmTimeout: warmTimeout,
		wake:        make(chan struct{}, 1),
		done:        make(chan struct{}),
		decider:     share.NewPool(time.Now(), offset),
	}
	p.workers.Add(1)
	go p.maintain()
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
	p.decider.SetAllowed(count)
	p.mu.Unlock()
	p.signal()
}

// maintain opens and closes connections until the pool is closed.
func (p *pool) maintain() {
	defer p.workers.Done()
	for {
		timer := time.NewTimer(p.applyDecisions(time.Now()))
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

// applyDecisions opens and closes connections according to the decider and returns
// the time until the next check.
func (p *pool) applyDecisions(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	for !p.closed {
		switch p.decider.Next(now) {
		case share.Open:
			p.workers.Add(1)
			go p.dial()
		case share.Close:
			if len(p.idle) == 0 {
				return idleCheckInterval // put closes the next connection that is released
			}
			surplus := p.idle[0]
			p.idle = p.idle[1:]
			p.closeUnused(surplus)
		case share.NoAction:
			if p.decider.Held() >= p.allowed {
				return idleCheckInterval
			}
			return max(p.decider.NextOpen().Sub(now), time.Millisecond)
		}
	}
	return idleCheckInterval
}

// idleCheckInterval is the time until the next check when nothing is due; a change
// wakes the pool earlier.
const idleCheckInterval = time.Hour

// closeUnused closes a connection that is not in use. The caller holds the lock.
func (p *pool) closeUnused(pc *pooledConn) {
	p.remove(pc)
	// Close of notifyingConn would call back into the pool, whose lock is held.
	_ = pc.conn.Conn.Close()
}

// remove marks a connection as removed and stops counting it. The caller holds the lock.
func (p *pool) remove(pc *pooledConn) {
	pc.removed = true
	if pc.counted {
		pc.counted = false
		p.decider.Closed(time.Now())
	}
}

// handleClose removes a connection that was closed from the pool.
func (p *pool) handleClose(pc *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remove(pc)
	for i, idle := range p.idle {
		if idle == pc {
			p.idle = append(p.idle[:i:i], p.idle[i+1:]...)
			break
		}
	}
	p.signal()
}

// dial opens a connection and makes a first exchange on it, which shows whether
// the leaf accepted it and keeps the cost of a new connection out of later requests.
func (p *pool) dial() {
	defer p.workers.Done()
	ctx, cancel := context.WithTimeout(context.Background(), p.warmTimeout)
	defer cancel()
	pc, err := p.connect(ctx)
	if err == nil {
		err = p.warm(ctx, pc)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.decider.Refused(time.Now())
		if pc != nil {
			p.closeUnused(pc)
		}
		p.signal()
		return
	}
	pc.counted = true
	p.decider.Opened()
	if pc.removed {
		p.remove(pc)
		p.signal()
		return
	}
	p.put(pc)
}

func (p *pool) connect(ctx context.Context) (*pooledConn, error) {
	conn, err := p.base.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	pc := &pooledConn{pool: p}
	pc.conn = notifyingConn{conn, pc}
	pc.transport = p.base.Clone()
	pc.transport.MaxConnsPerHost = 1
	pc.transport.MaxIdleConnsPerHost = 1
	pc.transport.IdleConnTimeout = 0
	pc.transport.DialContext = pc.dialOnce
	return pc, nil
}

// dialOnce is the dial function of the transport: it returns the connection that is
// already open on the first call and fails on later calls.
func (pc *pooledConn) dialOnce(context.Context, string, string) (net.Conn, error) {
	pc.pool.mu.Lock()
	defer pc.pool.mu.Unlock()
	if pc.dialed || pc.removed {
		return nil, errConnClosed
	}
	pc.dialed = true
	return pc.conn, nil
}

// warm fetches the manifest on a new connection.
func (p *pool) warm(ctx context.Context, pc *pooledConn) error {
	url := "http://" + p.address + contract.PathManifest
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := pc.transport.RoundTrip(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxWarmBytes))
	return err
}

// maxWarmBytes bounds how much of the reply to the first exchange is read.
const maxWarmBytes = 4 << 20

// acquire waits for a free connection.
func (p *pool) acquire(ctx context.Context) (*pooledConn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: net.ErrClosed}
	}
	if last := len(p.idle) - 1; last >= 0 {
		pc := p.idle[last]
		p.idle = p.idle[:last]
		p.mu.Unlock()
		return pc, nil
	}
	ready := make(chan *pooledConn, 1)
	p.waiters = append(p.waiters, ready)
	p.mu.Unlock()
	select {
	case pc := <-ready:
		return pc, nil
	case <-ctx.Done():
		p.cancelWait(ready)
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	case <-p.done:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: net.ErrClosed}
	}
}

// cancelWait ends a wait; a connection that was delivered meanwhile goes back to
// the pool.
func (p *pool) cancelWait(ready chan *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, w := range p.waiters {
		if w == ready {
			p.waiters = append(p.waiters[:i:i], p.waiters[i+1:]...)
			return
		}
	}
	select {
	case pc := <-ready:
		p.put(pc)
	default:
	}
}

// put makes a connection available again: it goes to the first waiter, or is closed
// when the share has shrunk. The caller holds the lock.
func (p *pool) put(pc *pooledConn) {
	switch {
	case pc.removed:
	case p.closed || p.decider.Held() > p.allowed:
		p.closeUnused(pc)
	case len(p.waiters) > 0:
		first := p.waiters[0]
		p.waiters = p.waiters[1:]
		first <- pc
	default:
		p.idle = append(p.idle, pc)
	}
}

func (p *pool) release(pc *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.put(pc)
}

// roundTrip sends a request on a free connection and releases it when the body of the
// reply is closed. When the connection turns out to be closed, it retries on the next
// one, provided that the request's body can be read again.
func (p *pool) roundTrip(request *http.Request) (*http.Response, error) {
	attempt := request
	for {
		pc, err := p.acquire(request.Context())
		if err != nil {
			return nil, err
		}
		response, err := pc.transport.RoundTrip(attempt)
		if err == nil {
			response.Body = &releasingBody{ReadCloser: response.Body, pooledConn: pc}
			return response, nil
		}
		if !errors.Is(err, errConnClosed) {
			p.release(pc)
			return nil, err
		}
		if attempt = rewind(request); attempt == nil {
			return nil, err
		}
	}
}

// rewind returns a copy of a request with a new body, or nil when the body cannot be
// read again.
func rewind(request *http.Request) *http.Request {
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

// releasingBody releases the connection of a reply when its body is closed.
type releasingBody struct {
	io.ReadCloser
	pooledConn *pooledConn
	once       sync.Once
}

// Close closes the body and releases the connection.
func (r *releasingBody) Close() error {
	err := r.ReadCloser.Close()
	r.once.Do(func() { r.pooledConn.pool.release(r.pooledConn) })
	return err
}

// close shuts the pool down and waits for its goroutines.
func (p *pool) close() {
	p.shutdown()
	p.workers.Wait()
}

// shutdown closes idle connections immediately and those in use when they are
// released. It does not wait for connections that are being opened.
func (p *pool) shutdown() {
	p.mu.Lock()
	p.closed = true
	p.allowed = 0
	p.decider.SetAllowed(0)
	idle := p.idle
	p.idle = nil
	for _, pc := range idle {
		p.closeUnused(pc)
	}
	p.mu.Unlock()
	close(p.done)
}
