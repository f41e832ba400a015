package gateway

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/route"
	"github.com/hickorydock/hickorydock/internal/protocol/settings"
	standin "github.com/hickorydock/hickorydock/internal/standin/platform"
	"github.com/hickorydock/hickorydock/internal/transport/loopback"
)

// storeAdapter is a plainAdapter to a stand-in store.
type storeAdapter struct {
	plainAdapter
	store *standin.Platform
}

func (a storeAdapter) Client(settings.Settings) platform.Client { return a.store.Client() }
func (storeAdapter) Headers() route.HeaderNames                 { return testHeaders }

// startGateway starts a gateway with one route, whose requests may run once, to a leaf, and
// waits until it is ready.
func startGateway(t *testing.T, vm platform.VM, grace time.Duration) (*Gateway, settings.Settings) {
	t.Helper()
	store := standin.New(standin.Options{})
	table := route.Table{Version: 1, Routes: []route.Route{{Name: "r", Host: "h", Prefix: "/", Timeout: 10 * time.Second, Groups: []route.Share{{Group: vm.Group, Weight: 1}}}}}
	if err := store.Set(platform.KindRouting, platform.RoutingName, table); err != nil {
		t.Fatal(err)
	}
	if err := store.Set(platform.KindVM, vm.ID, route.Leaf{VM: vm}); err != nil {
		t.Fatal(err)
	}
	Register(t.Name(), storeAdapter{store: store})
	s := settings.Default()
	s.Node.ID = "node-1"
	s.Forward.Adapter = t.Name()
	s.Forward.GraceS = grace.Seconds()
	for _, address := range []*string{&s.Node.CallerAddress, &s.Node.AdminAddress, &s.Node.PeerAddress} {
		var err error
		if *address, err = loopback.Reserve(); err != nil {
			t.Fatal(err)
		}
	}
	g, err := New(Config{Settings: s, Logs: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	if err := g.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(5 * time.Second); readyStatus(s) != http.StatusOK; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not ready")
		}
	}
	return g, s
}

// readyStatus returns the status that the load balancer gets, or 0 without a response.
func readyStatus(s settings.Settings) int {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	response, err := client.Get("http://" + s.Node.AdminAddress + "/readyz")
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// TestStopBesideIdleConnections guards against a planned stop that waits for connections to the
// readiness address and for callers on which nothing is sent, and exceeds its time by that.
func TestStopBesideIdleConnections(t *testing.T) {
	const grace = 3 * time.Second
	busy := newBusyLeaf(t)
	close(busy.release)
	g, s := startGateway(t, busy.vm(), grace)
	for _, address := range []string{s.Node.AdminAddress, s.Node.CallerAddress} {
		idle, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer idle.Close()
	}
	if err := g.Stop(t.Context()); err != nil {
		t.Error(err)
	}
}

// TestStopBesideIdleReadinessConnection guards against a planned stop that waits for a connection
// to the readiness address on which nothing is sent, and then cuts off requests in progress.
func TestStopBesideIdleReadinessConnection(t *testing.T) {
	const grace = 3 * time.Second
	busy := newBusyLeaf(t)
	g, s := startGateway(t, busy.vm(), grace)
	var callers sync.WaitGroup
	var result callerResult
	callers.Go(func() { result = post(g.Address(), "q1") })
	<-busy.received
	idle, err := net.Dial("tcp", s.Node.AdminAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	time.AfterFunc(grace/2, func() { close(busy.release) })
	time.AfterFunc(grace/10, func() {
		if status := readyStatus(s); status != http.StatusServiceUnavailable {
			t.Errorf("readiness has status %d while the node stops, want 503", status)
		}
	})
	start := time.Now()
	if err := g.Stop(t.Context()); err != nil {
		t.Error(err)
	}
	if took := time.Since(start); took > grace {
		t.Errorf("stopped after %v", took)
	}
	callers.Wait()
	if result.err != nil || result.status != http.StatusOK {
		t.Errorf("request in progress: status %d, error %v", result.status, result.err)
	}
}
