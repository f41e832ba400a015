package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/share"
	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	contract "github.com/hickorydock/hickorydock/internal/protocol/upstream"
)

// pipeLeaf is a leaf reached through net.Pipe that counts its connections and refuses
// those above limit, as a leaf with a connection cap does.
type pipeLeaf struct {
	limit int
	delay time.Duration
	queue chan net.Conn
	done  chan struct{}

	mu      sync.Mutex
	open    map[net.Conn]bool
	peak    int
	opened  []time.Time
	refused int
	runs    int
}

func (l *pipeLeaf) Accept() (net.Conn, error) {
	select {
	case conn := <-l.queue:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close is called once, when the server closes.
func (l *pipeLeaf) Close() error {
	close(l.done)
	return nil
}

func (l *pipeLeaf) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeLeaf) dial(context.Context, string, string) (net.Conn, error) {
	clientConn, leafConn := net.Pipe()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit > 0 && len(l.open) >= l.limit {
		l.refused++
		_ = leafConn.Close()
		return clientConn, nil
	}
	l.open[leafConn] = true
	l.peak = max(l.peak, len(l.open))
	l.opened = append(l.opened, time.Now())
	l.queue <- leafConn
	return clientConn, nil
}

func (l *pipeLeaf) connState(conn net.Conn, state http.ConnState) {
	if state != http.StateClosed {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, conn)
}

func (l *pipeLeaf) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

func (l *pipeLeaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == contract.PathManifest {
		_ = json.NewEncoder(w).Encode(contract.Manifest{Leaf: "leaf-1"})
		return
	}
	time.Sleep(l.delay)
	l.mu.Lock()
	l.runs++
	l.mu.Unlock()
	body := []byte(`{"items":[]}`)
	poolSubrequest(r.Header.Get(contract.HeaderRequestID)).SetReplyHeaders(w.Header(), body)
	_, _ = w.Write(body)
}

func poolSubrequest(id string) contract.Subrequest {
	return contract.Subrequest{RequestID: id, Attempt: 1, Service: "s", Shard: 1, Snapshot: query.Snapshot{Generation: 1, Version: 1}, Class: contract.ClassQuery}
}

var poolVM = platform.VM{ID: "leaf-1", Address: "10.0.0.1:80"}

// withPool runs a test under virtual time with a client whose connections lead
// to a leaf.
func withPool(t *testing.T, l *pipeLeaf, test func(t *testing.T, c *Client)) {
	synctest.Test(t, func(t *testing.T) {
		l.queue = make(chan net.Conn, 100)
		l.done = make(chan struct{})
		l.open = make(map[net.Conn]bool)
		server := &http.Server{Handler: l, ConnState: l.connState}
		go func() { _ = server.Serve(l) }()
		c := New(DefaultConfig(), nil)
		c.shares.base.DialContext = l.dial
		defer func() {
			c.Close()
			_ = server.Close()
			synctest.Wait()
		}()
		test(t, c)
	})
}

func run(t *testing.T, c *Client, id string, limit time.Duration) Reply {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	return c.Run(ctx, poolVM, poolSubrequest(id), limit, []byte(`{"query":1}`))
}

func TestShareBoundsConnections(t *testing.T) {
	l := &pipeLeaf{delay: 10 * time.Millisecond}
	withPool(t, l, func(t *testing.T, c *Client) {
		c.SetShare(poolVM, 3)
		time.Sleep(time.Second)
		if l.count() != 3 {
			t.Fatalf("%d connections opened ahead, want 3", l.count())
		}
		for i := 1; i < len(l.opened); i++ {
			if gap := l.opened[i].Sub(l.opened[i-1]); gap < share.OpenInterval {
				t.Errorf("two connections opened %v apart", gap)
			}
		}
		var calls sync.WaitGroup
		start := time.Now()
		for i := range 30 {
			calls.Go(func() {
				if r := run(t, c, fmt.Sprint(i), time.Minute); r.Result != subrequest.OK {
					t.Error(r.Err)
				}
			})
		}
		calls.Wait()
		if elapsed := time.Since(start); l.peak != 3 || elapsed != 100*time.Millisecond {
			t.Errorf("peak %d connections, 30 requests of 10 ms took %v", l.peak, elapsed)
		}
	})
}

func TestShareShrinksImmediatelyAndGrowsGradually(t *testing.T) {
	l := &pipeLeaf{delay: 10 * time.Millisecond}
	withPool(t, l, func(t *testing.T, c *Client) {
		c.SetShare(poolVM, 4)
		time.Sleep(time.Second)
		var calls sync.WaitGroup
		for i := range 4 {
			calls.Go(func() {
				if r := run(t, c, fmt.Sprint(i), time.Minute); r.Result != subrequest.OK {
					t.Error(r.Err)
				}
			})
		}
		time.Sleep(time.Millisecond)
		c.SetShare(poolVM, 1)
		calls.Wait()
		synctest.Wait()
		if l.count() != 1 || l.runs != 4 {
			t.Fatalf("%d connections and %d runs after shrinking under load, want 1 and 4", l.count(), l.runs)
		}
		c.SetShare(poolVM, 0)
		synctest.Wait()
		if l.count() != 0 {
			t.Fatalf("%d connections without a share", l.count())
		}
		r := run(t, c, "late", time.Second)
		if r.Sent || !errors.Is(r.Err, context.DeadlineExceeded) {
			t.Fatalf("request without a share: sent %v, %v", r.Sent, r.Err)
		}
		c.SetShare(poolVM, 2)
		if r := run(t, c, "again", time.Second); r.Result != subrequest.OK {
			t.Fatal(r.Err)
		}
	})
}

func TestRefusedConnectionsAreRetriedWithBackoff(t *testing.T) {
	l := &pipeLeaf{limit: 2}
	withPool(t, l, func(t *testing.T, c *Client) {
		c.SetShare(poolVM, 5)
		time.Sleep(10 * time.Second)
		if r := run(t, c, "1", time.Second); r.Result != subrequest.OK {
			t.Fatal(r.Err)
		}
		// The delays after refusals are 0.5, 1, 2, 4 and 8 s.
		if l.count() != 2 || l.refused < 3 || l.refused > 6 {
			t.Fatalf("%d connections, %d refusals in 10 s", l.count(), l.refused)
		}
		l.mu.Lock()
		l.limit = 0
		l.mu.Unlock()
		time.Sleep(20 * time.Second)
		if l.count() != 5 {
			t.Fatalf("%d connections after the leaf accepts them again, want 5", l.count())
		}
	})
}

// TestCancelledRequestsReleaseTheirConnections cancels requests, which closes
// their connections, and closes others from the leaf's side.
func TestCancelledRequestsReleaseTheirConnections(t *testing.T) {
	l := &pipeLeaf{delay: 50 * time.Millisecond}
	withPool(t, l, func(t *testing.T, c *Client) {
		c.SetShare(poolVM, 2)
		time.Sleep(time.Second)
		for i := range 6 {
			if r := run(t, c, fmt.Sprint(i), 10*time.Millisecond); r.Result == subrequest.OK {
				t.Fatal("a cancelled request succeeded")
			}
			time.Sleep(500 * time.Millisecond)
		}
		l.mu.Lock()
		for conn := range l.open {
			_ = conn.Close()
		}
		l.mu.Unlock()
		// Until the client notices, a request may be written to a closed connection.
		synctest.Wait()
		if r := run(t, c, "after", time.Second); r.Result != subrequest.OK {
			t.Fatal(r.Err)
		}
		time.Sleep(time.Second)
		if l.count() != 2 || l.peak > 2 {
			t.Fatalf("%d connections, at most %d, share 2", l.count(), l.peak)
		}
	})
}

// TestClosedConnectionIsNotUsed adds an idle connection to the pool that its
// transport can no longer use.
func TestClosedConnectionIsNotUsed(t *testing.T) {
	tests := []struct {
		name  string
		class string
		want  subrequest.Result
	}{
		{"a query is retried on the next connection", contract.ClassQuery, subrequest.OK},
		{"a command is not sent twice", contract.ClassCommand, subrequest.ConnectionLost},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := &pipeLeaf{}
			withPool(t, l, func(t *testing.T, c *Client) {
				c.SetShare(poolVM, 1)
				time.Sleep(time.Second)
				p := c.shares.pools[poolVM.Address]
				pc, err := p.connect(t.Context())
				if err != nil {
					t.Fatal(err)
				}
				pc.dialed = true
				p.release(pc)
				sub := poolSubrequest("1")
				sub.Class = test.class
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				r := c.Run(ctx, poolVM, sub, time.Second, []byte(`{"query":1}`))
				if r.Result != test.want {
					t.Fatalf("result %v, %v", r.Result, r.Err)
				}
				_ = pc.conn.Close()
			})
		})
	}
}

func TestDroppedShareClosesItsConnections(t *testing.T) {
	l := &pipeLeaf{}
	withPool(t, l, func(t *testing.T, c *Client) {
		c.SetShare(poolVM, 3)
		time.Sleep(time.Second)
		c.DropShare(poolVM)
		synctest.Wait()
		if l.count() != 0 {
			t.Fatalf("%d connections after the share was dropped", l.count())
		}
	})
}
