package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/route"
	"github.com/hickorydock/hickorydock/internal/state/group"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/routing"
	"github.com/hickorydock/hickorydock/internal/transport/forward"
	"github.com/hickorydock/hickorydock/internal/transport/guard"
	"github.com/hickorydock/hickorydock/internal/transport/leafwire"
	"github.com/hickorydock/hickorydock/internal/transport/metrics"
)

// testHeaders are the header names of the tests' leafs.
var testHeaders = route.HeaderNames{RequestID: "Id", TimeLeft: "Left", Target: "Target", Receipt: "Receipt", NotRun: "Not-Run", Leaving: "Leaving"}

// busyLeaf is a leaf that answers nothing before release is closed.
type busyLeaf struct {
	address  string
	received chan struct{}
	release  chan struct{}
}

func newBusyLeaf(t *testing.T) *busyLeaf {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &busyLeaf{address: listener.Addr().String(), received: make(chan struct{}, 100), release: make(chan struct{})}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(c)
		}
	}()
	return l
}

func (l *busyLeaf) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		l.received <- struct{}{}
		<-l.release
		id := request.Header.Get("Id")
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nReceipt: %s\r\nContent-Length: 4\r\n\r\nbody", id, id)
	}
}

func (l *busyLeaf) vm() platform.VM {
	return platform.VM{ID: "leaf-1", Group: "g", Address: l.address}
}

// newTestCallerServer returns a server for callers with one route, whose requests may run once,
// to a leaf that gets one connection.
func newTestCallerServer(t *testing.T, vm platform.VM, grace time.Duration) *callerServer {
	t.Helper()
	logger := &log.Logger{Handler: discard.Default}
	routes := &routing.Store{}
	rt := route.Route{Name: "r", Host: "h", Prefix: "/", Timeout: 10 * time.Second, Groups: []route.Share{{Group: vm.Group, Weight: 1}}}
	routes.Put(routing.NewIndex(route.Table{Version: 1, Routes: []route.Route{rt}}, func(_ *route.Route, err error) { t.Fatal(err) }))
	groups := group.NewStore(leaf.NewTable())
	groups.Put(route.Leaf{VM: vm}, nil)
	client := leafwire.New(leafwire.Config{Names: testHeaders, MaxConnections: func(string) int { return 1 }})
	client.AddLeaf(vm)
	t.Cleanup(func() { client.RemoveLeaf(vm.ID) })
	f := forward.New(forward.Config{Names: testHeaders}, routes, groups, client, guard.New(nil), metrics.New(), logger)
	f.SetNodes(1)
	cs := &callerServer{server: &http.Server{Handler: f}, forwarder: f, controller: newTestController(), leave: func() {}, log: logger, grace: grace, stopping: make(chan struct{})}
	if err := cs.listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cs.server.Close() })
	return cs
}

// callerResult is what a caller got.
type callerResult struct {
	status     int
	retryAfter string
	err        error
}

// post sends a request on a connection of its own.
func post(address, id string) callerResult {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/x", strings.NewReader(id))
	if err != nil {
		return callerResult{err: err}
	}
	request.Host = "h"
	request.Header.Set("Id", id)
	response, err := client.Do(request)
	if err != nil {
		return callerResult{err: err}
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return callerResult{status: response.StatusCode, retryAfter: response.Header.Get("Retry-After"), err: err}
}

// TestPlannedStopAnswersRequestsThatWait guards against a planned stop that closes the
// connections of requests which wait for a leaf, or which a leaf is at work on, without a response.
func TestPlannedStopAnswersRequestsThatWait(t *testing.T) {
	const (
		grace    = 2 * time.Second
		requests = 4
	)
	busy := newBusyLeaf(t)
	defer close(busy.release)
	cs := newTestCallerServer(t, busy.vm(), grace)
	results := make([]callerResult, requests)
	var callers sync.WaitGroup
	callers.Go(func() { results[0] = post(cs.address, "at work") })
	<-busy.received
	for n := 1; n < requests; n++ {
		callers.Go(func() { results[n] = post(cs.address, fmt.Sprint("waits ", n)) })
	}
	time.Sleep(grace / 20)
	ctx, cancel := context.WithTimeout(t.Context(), stopTimeout(grace))
	defer cancel()
	if err := cs.stop(ctx); err != nil {
		t.Error(err)
	}
	callers.Wait()
	if r := results[0]; r.err != nil || r.status != http.StatusBadGateway {
		t.Errorf("request at work: status %d, error %v; want a response that promises nothing", r.status, r.err)
	}
	for _, r := range results[1:] {
		if r.err != nil || r.status != http.StatusServiceUnavailable || r.retryAfter == "" {
			t.Errorf("request that waits: status %d, Retry-After %q, error %v; want 503 with the time to come back", r.status, r.retryAfter, r.err)
		}
	}
	if len(busy.received) > 0 {
		t.Error("a request that was rejected has reached the leaf")
	}
}
