package links

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"github.com/hickorydock/hickorydock/internal/coordination/isolation"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// fakeClient is a Client whose leafs a test cuts off.
type fakeClient struct {
	mu           sync.Mutex
	cut, hang    bool
	busy         bool // requests are sent all the time
	failedGroups int
	open         map[string]bool
	lastReply    time.Time
	forgotten    int
	dials        int
}

func (c *fakeClient) LastReply() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.cut || !c.hang {
		c.lastReply = time.Now()
	}
	return c.lastReply
}

func (c *fakeClient) Overdue(time.Time) (waiting, sent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	overdue := c.cut && c.hang && c.busy
	return overdue, overdue
}

func (c *fakeClient) HasConnection(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[id]
}

func (c *fakeClient) FailedGroups() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failedGroups
}

func (c *fakeClient) ProbeTargets(_ time.Time, n int) []platform.VM { return make([]platform.VM, n) }

func (c *fakeClient) Probe(ctx context.Context, _ platform.VM) error {
	c.mu.Lock()
	c.dials++
	cut, hang := c.cut, c.hang
	c.mu.Unlock()
	switch {
	case cut && hang:
		<-ctx.Done()
		return ctx.Err()
	case cut:
		return errors.New("refused")
	}
	return nil
}

func (c *fakeClient) ForgetFailures() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failedGroups = 0
	c.forgotten++
}

func (c *fakeClient) set(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

// silentObserver ignores everything.
type silentObserver struct{}

func (silentObserver) SetIsolated(bool) {}
func (silentObserver) LinksProbed(bool) {}

// start runs a monitor until the test ends.
func start(t *testing.T, c *fakeClient) (m *Monitor, confirmed, returned *atomic.Int64, logs *memory.Handler) {
	t.Helper()
	logs = memory.New()
	confirmed, returned = new(atomic.Int64), new(atomic.Int64)
	m = New(Config{
		Client:      c,
		Observer:    silentObserver{},
		Log:         &log.Logger{Handler: logs, Level: log.InfoLevel},
		OnConfirmed: func(time.Time) { confirmed.Add(1) },
		OnReturn:    func() { returned.Add(1) },
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); m.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return m, confirmed, returned, logs
}

// TestLinksThatHang checks that a node whose links hang sends to no leaf itself, knows that its
// links have failed once another node serves, and returns by itself.
func TestLinksThatHang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeClient{busy: true, open: map[string]bool{"a": true}}
		m, confirmed, returned, logs := start(t, c)
		time.Sleep(time.Second)
		if m.Isolated() || !m.Reaches("b") || c.dials > 0 {
			t.Fatalf("links are taken for cut, %d dials", c.dials)
		}
		lost := m.Lost()
		c.set(func() { c.cut, c.hang = true, true })
		select {
		case <-lost:
		case <-time.After(time.Second):
			t.Fatal("not isolated after 1 s")
		}
		if m.Reaches("a") || m.Reaches("b") {
			t.Error("a leaf is reached")
		}
		m.ServedByPeer()
		time.Sleep(time.Second)
		if confirmed.Load() != 1 || returned.Load() != 0 {
			t.Errorf("confirmed %d times, returned %d times", confirmed.Load(), returned.Load())
		}
		c.set(func() { c.cut = false })
		time.Sleep(time.Second)
		if m.Isolated() || !m.Reaches("b") || returned.Load() != 1 || c.forgotten != 1 {
			t.Errorf("isolated %v, returned %d times, failures forgotten %d times", m.Isolated(), returned.Load(), c.forgotten)
		}
		select {
		case <-m.Lost():
			t.Error("links count as lost")
		default:
		}
		if len(logs.Entries) != 3 {
			t.Errorf("%d lines, want 3", len(logs.Entries))
		}
	})
}

// TestNewLinksAreRefused checks that open connections are used while only new ones fail, and
// none once they carry nothing any more.
func TestNewLinksAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeClient{busy: true, open: map[string]bool{"a": true}}
		m, _, _, _ := start(t, c)
		c.set(func() { c.cut, c.failedGroups = true, 2 })
		time.Sleep(time.Second)
		if !m.Isolated() || !m.Reaches("a") || m.Reaches("b") {
			t.Errorf("isolated %v, reaches a: %v, b: %v", m.Isolated(), m.Reaches("a"), m.Reaches("b"))
		}
		c.set(func() { c.hang = true })
		time.Sleep(isolation.MinSilence + 2*checkInterval)
		if m.Reaches("a") {
			t.Error("a leaf is reached over a connection that carries nothing")
		}
	})
}

// TestIdleNodeKeepsItsLinks checks that a node without requests neither probes nor counts as
// cut off.
func TestIdleNodeKeepsItsLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeClient{}
		m, _, _, _ := start(t, c)
		c.set(func() { c.cut, c.hang = true, true })
		time.Sleep(10 * time.Second)
		if m.Isolated() || c.dials != 0 {
			t.Errorf("isolated %v after %d dials", m.Isolated(), c.dials)
		}
	})
}
