package command

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	contract "github.com/hickorydock/hickorydock/internal/protocol/upstream"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
	"github.com/hickorydock/hickorydock/internal/transport/upstream"
)

// leafReply writes a leaf's reply to a command.
type leafReply func(w http.ResponseWriter, sub contract.Subrequest)

func replyWith(status int, notRun bool, change func(*contract.Subrequest)) leafReply {
	return func(w http.ResponseWriter, sub contract.Subrequest) {
		body := []byte(`{"items":[{"id":"a"}]}`)
		if change != nil {
			change(&sub)
		}
		sub.SetReplyHeaders(w.Header(), body)
		if notRun {
			w.Header().Set(contract.HeaderNotRun, "1")
		}
		w.WriteHeader(status)
		_, _ = w.Write(body)
	}
}

func abortConnection(http.ResponseWriter, contract.Subrequest) { panic(http.ErrAbortHandler) }

func notRunWithoutReplyHeaders(w http.ResponseWriter, _ contract.Subrequest) {
	w.Header().Set(contract.HeaderNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func truncatedReply(w http.ResponseWriter, sub contract.Subrequest) {
	body := []byte(`{"items":[]}`)
	sub.SetReplyHeaders(w.Header(), body)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)+1))
	_, _ = w.Write(body)
}

// serveLeaf starts a leaf that sends the given reply and returns its VM. Each
// subrequest is sent to received.
func serveLeaf(t *testing.T, id string, received chan<- contract.Subrequest, reply leafReply) platform.VM {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		snapshot, _ := query.ParseSnapshot(r.Header.Get(contract.HeaderSnapshot))
		attempt, _ := strconv.Atoi(r.Header.Get(contract.HeaderAttempt))
		shard, _ := strconv.Atoi(strings.Split(r.URL.Path, "/")[2])
		sub := contract.Subrequest{
			RequestID: r.Header.Get(contract.HeaderRequestID),
			Attempt:   attempt,
			Service:   r.Header.Get(contract.HeaderService),
			Shard:     shard,
			Snapshot:  snapshot,
			Class:     r.Header.Get(contract.HeaderClass),
		}
		received <- sub
		reply(w, sub)
	}))
	t.Cleanup(server.Close)
	return platform.VM{ID: id, Group: testService.UpstreamGroup, Address: strings.TrimPrefix(server.URL, "http://")}
}

// newDispatcher returns a dispatcher whose leafs hold shard 0 of 1 in a snapshot.
func newDispatcher(t *testing.T, holders map[platform.VM]query.Snapshot) *LeafDispatcher {
	t.Helper()
	store := shardmap.NewStore(leaf.NewTable())
	for vm, snapshot := range holders {
		store.SetManifest(vm, contract.Manifest{
			Leaf:     vm.ID,
			Holdings: []contract.Holding{{Service: testService.Name, Snapshot: snapshot, ShardCount: 1, Shards: []int{0}}},
		}, time.Now())
	}
	client := upstream.New(upstream.DefaultConfig(), nil)
	t.Cleanup(client.Close)
	return NewLeafDispatcher(client, store, "az-1", tracing.Off())
}

var (
	firstVersion  = query.Snapshot{Generation: 1, Version: 1}
	secondVersion = query.Snapshot{Generation: 1, Version: 2}
	nextMap       = query.Snapshot{Generation: 2, Version: 1}
)

func newAttempt(target command.Target) Attempt {
	return Attempt{RequestID: "request", Number: 3, Service: testService, Target: target, Query: json.RawMessage(`1`)}
}

var onlyShard = command.Target{Generation: 1, ShardCount: 1, Shard: 0}

// TestDispatchFaults checks how each kind of reply of a leaf is classified.
func TestDispatchFaults(t *testing.T) {
	const replied, notRun, lost = command.DispatchReplied, command.DispatchNotRun, command.DispatchLost
	otherRequest := func(s *contract.Subrequest) { s.RequestID = "other" }
	otherAttempt := func(s *contract.Subrequest) { s.Attempt = 2 }
	otherShard := func(s *contract.Subrequest) { s.Shard = 1 }
	otherSnapshot := func(s *contract.Subrequest) { s.Snapshot = nextMap }
	cases := []struct {
		name  string
		reply leafReply
		kind  command.DispatchKind
	}{
		{"reply", replyWith(200, false, nil), replied},
		{"reply to another request", replyWith(200, false, otherRequest), lost},
		{"reply to another attempt", replyWith(200, false, otherAttempt), lost},
		{"reply of another shard", replyWith(200, false, otherShard), lost},
		{"reply of another snapshot", replyWith(200, false, otherSnapshot), lost},
		{"truncated reply", truncatedReply, lost},
		{"declared not run", replyWith(503, true, nil), notRun},
		{"another request declared not run", replyWith(503, true, otherRequest), lost},
		{"declared not run without reply headers", notRunWithoutReplyHeaders, lost},
		{"503 without the declaration", replyWith(503, false, nil), lost},
		{"declaration with another status", replyWith(500, true, nil), lost},
		{"snapshot not held", replyWith(410, false, nil), notRun},
		{"410 of another request", replyWith(410, false, otherRequest), lost},
		{"error", replyWith(500, false, nil), lost},
		{"deadline exceeded at the leaf", replyWith(504, false, nil), lost},
		{"connection closed", abortConnection, lost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			received := make(chan contract.Subrequest, 10)
			vm := serveLeaf(t, "leaf-1", received, c.reply)
			d := newDispatcher(t, map[platform.VM]query.Snapshot{vm: firstVersion})
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			got := d.Dispatch(ctx, newAttempt(onlyShard))
			if got.Kind != c.kind || got.Leaf != "leaf-1" {
				t.Errorf("got %+v", got)
			}
			if len(received) != 1 {
				t.Errorf("the leaf was sent %d requests", len(received))
			}
			want := contract.Subrequest{
				RequestID: "request", Attempt: 3, Service: testService.Name, Snapshot: firstVersion, Class: contract.ClassCommand,
			}
			if sub := <-received; sub != want {
				t.Errorf("the leaf was sent %+v", sub)
			}
		})
	}
}

// TestDispatchSendsNothing covers the cases in which no byte is sent.
func TestDispatchSendsNothing(t *testing.T) {
	received := make(chan contract.Subrequest, 10)
	serving := serveLeaf(t, "leaf-1", received, replyWith(200, false, nil))
	unreachable := platform.VM{ID: "leaf-2", Group: testService.UpstreamGroup, Address: "127.0.0.1:1"}
	cases := []struct {
		name    string
		holders map[platform.VM]query.Snapshot
		change  func(*Attempt)
	}{
		{"connection refused", map[platform.VM]query.Snapshot{unreachable: firstVersion}, func(*Attempt) {}},
		{"no leaf known", nil, func(*Attempt) {}},
		{"every leaf tried", map[platform.VM]query.Snapshot{serving: firstVersion}, func(a *Attempt) { a.Tried = []string{"leaf-1"} }},
		{"generation no longer available", map[platform.VM]query.Snapshot{serving: nextMap}, func(*Attempt) {}},
		{"other shard count", map[platform.VM]query.Snapshot{serving: firstVersion}, func(a *Attempt) { a.Target.ShardCount = 2 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := newAttempt(onlyShard)
			c.change(&a)
			if got := newDispatcher(t, c.holders).Dispatch(t.Context(), a); got.Kind != command.DispatchNotSent {
				t.Errorf("got %+v", got)
			}
			if len(received) != 0 {
				t.Error("the leaf was sent a request")
			}
		})
	}
}

// TestDispatchWithoutFreeConnection checks that a dispatch that waits for a
// connection until its timeout sends nothing.
func TestDispatchWithoutFreeConnection(t *testing.T) {
	received := make(chan contract.Subrequest, 10)
	release := make(chan struct{})
	vm := serveLeaf(t, "leaf-1", received, func(http.ResponseWriter, contract.Subrequest) { <-release })
	config := upstream.DefaultConfig()
	config.ConnectionsPerLeaf = 1
	d := newDispatcher(t, map[platform.VM]query.Snapshot{vm: firstVersion})
	d.client = upstream.New(config, nil)
	defer d.client.Close()
	first := make(chan command.DispatchResult)
	go func() { first <- d.Dispatch(t.Context(), newAttempt(onlyShard)) }()
	<-received
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if got := d.Dispatch(ctx, newAttempt(onlyShard)); got.Kind != command.DispatchNotSent {
		t.Errorf("got %+v", got)
	}
	close(release)
	if got := <-first; got.Kind != command.DispatchLost || len(received) != 0 {
		t.Errorf("the holder of the connection got %+v", got)
	}
}

// TestDispatchUsesNewestVersionOfGeneration checks that a command runs in the
// newest version of its own generation, even if there are newer shard maps.
func TestDispatchUsesNewestVersionOfGeneration(t *testing.T) {
	received := make(chan contract.Subrequest, 10)
	d := newDispatcher(t, map[platform.VM]query.Snapshot{
		serveLeaf(t, "leaf-1", received, replyWith(200, false, nil)): firstVersion,
		serveLeaf(t, "leaf-2", received, replyWith(200, false, nil)): secondVersion,
		serveLeaf(t, "leaf-3", received, replyWith(200, false, nil)): nextMap,
	})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	got := d.Dispatch(ctx, newAttempt(onlyShard))
	if got.Kind != command.DispatchReplied || got.Snapshot != secondVersion || got.Leaf != "leaf-2" {
		t.Errorf("got %+v", got)
	}
	target, err := d.Target(testService, "dealer-1")
	if err != nil || target.Generation != nextMap.Generation {
		t.Errorf("a new command goes to %+v, %v", target, err)
	}
}

func TestTargetWithoutMap(t *testing.T) {
	if target, err := newDispatcher(t, nil).Target(testService, "dealer-1"); err == nil {
		t.Errorf("got %+v", target)
	}
}
