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

// leafReply plays one way in which a leaf answers a command.
type leafReply func(w http.ResponseWriter, sub contract.Subrequest)

func answer(status int, notRun bool, change func(*contract.Subrequest)) leafReply {
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

func closed(http.ResponseWriter, contract.Subrequest) { panic(http.ErrAbortHandler) }

func bare(w http.ResponseWriter, _ contract.Subrequest) {
	w.Header().Set(contract.HeaderNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func truncated(w http.ResponseWriter, sub contract.Subrequest) {
	body := []byte(`{"items":[]}`)
	sub.SetReplyHeaders(w.Header(), body)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)+1))
	_, _ = w.Write(body)
}

// serveLeaf serves a leaf that answers in one way and returns its VM. seen gets
// each subrequest.
func serveLeaf(t *testing.T, id string, seen chan<- contract.Subrequest, reply leafReply) platform.VM {
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
		seen <- sub
		reply(w, sub)
	}))
	t.Cleanup(server.Close)
	return platform.VM{ID: id, Group: desk.UpstreamGroup, Address: strings.TrimPrefix(server.URL, "http://")}
}

// dispatcher returns a dispatcher whose leafs hold shard 0 of 1 in a snapshot.
func dispatcher(t *testing.T, holders map[platform.VM]query.Snapshot) *LeafDispatcher {
	t.Helper()
	store := shardmap.NewStore(leaf.NewTable())
	for vm, snapshot := range holders {
		store.SetManifest(vm, contract.Manifest{
			Leaf:     vm.ID,
			Holdings: []contract.Holding{{Service: desk.Name, Snapshot: snapshot, ShardCount: 1, Shards: []int{0}}},
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

func attemptOf(target command.Target) Attempt {
	return Attempt{RequestID: "request", Number: 3, Service: desk, Target: target, Query: json.RawMessage(`1`)}
}

var onlyShard = command.Target{Generation: 1, ShardCount: 1, Shard: 0}

// TestDispatchFaults checks what each way of a leaf to answer proves.
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
		{"reply", answer(200, false, nil), replied},
		{"reply to another request", answer(200, false, otherRequest), lost},
		{"reply to another attempt", answer(200, false, otherAttempt), lost},
		{"reply of another shard", answer(200, false, otherShard), lost},
		{"reply of another snapshot", answer(200, false, otherSnapshot), lost},
		{"truncated reply", truncated, lost},
		{"declared not run", answer(503, true, nil), notRun},
		{"another request declared not run", answer(503, true, otherRequest), lost},
		{"declared not run without an echo", bare, lost},
		{"503 without the declaration", answer(503, false, nil), lost},
		{"declaration with another status", answer(500, true, nil), lost},
		{"snapshot not held", answer(410, false, nil), notRun},
		{"410 of another request", answer(410, false, otherRequest), lost},
		{"error", answer(500, false, nil), lost},
		{"time ran out", answer(504, false, nil), lost},
		{"connection closed", closed, lost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			seen := make(chan contract.Subrequest, 10)
			vm := serveLeaf(t, "leaf-1", seen, c.reply)
			d := dispatcher(t, map[platform.VM]query.Snapshot{vm: firstVersion})
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			got := d.Dispatch(ctx, attemptOf(onlyShard))
			if got.Kind != c.kind || got.Leaf != "leaf-1" {
				t.Errorf("got %+v", got)
			}
			if len(seen) != 1 {
				t.Errorf("the leaf was sent %d requests", len(seen))
			}
			want := contract.Subrequest{
				RequestID: "request", Attempt: 3, Service: desk.Name, Snapshot: firstVersion, Class: contract.ClassCommand,
			}
			if sub := <-seen; sub != want {
				t.Errorf("the leaf was sent %+v", sub)
			}
		})
	}
}

// TestDispatchSendsNothing covers the ends at which no byte was sent.
func TestDispatchSendsNothing(t *testing.T) {
	seen := make(chan contract.Subrequest, 10)
	held := serveLeaf(t, "leaf-1", seen, answer(200, false, nil))
	gone := platform.VM{ID: "leaf-2", Group: desk.UpstreamGroup, Address: "127.0.0.1:1"}
	cases := []struct {
		name    string
		holders map[platform.VM]query.Snapshot
		change  func(*Attempt)
	}{
		{"connection refused", map[platform.VM]query.Snapshot{gone: firstVersion}, func(*Attempt) {}},
		{"no leaf known", nil, func(*Attempt) {}},
		{"every leaf tried", map[platform.VM]query.Snapshot{held: firstVersion}, func(a *Attempt) { a.Tried = []string{"leaf-1"} }},
		{"generation gone", map[platform.VM]query.Snapshot{held: nextMap}, func(*Attempt) {}},
		{"other shard count", map[platform.VM]query.Snapshot{held: firstVersion}, func(a *Attempt) { a.Target.ShardCount = 2 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := attemptOf(onlyShard)
			c.change(&a)
			if got := dispatcher(t, c.holders).Dispatch(t.Context(), a); got.Kind != command.DispatchNotSent {
				t.Errorf("got %+v", got)
			}
			if len(seen) != 0 {
				t.Error("the leaf was sent something")
			}
		})
	}
}

// TestDispatchWithoutFreeConnection waits for a connection until its time ends:
// nothing was sent.
func TestDispatchWithoutFreeConnection(t *testing.T) {
	seen := make(chan contract.Subrequest, 10)
	release := make(chan struct{})
	vm := serveLeaf(t, "leaf-1", seen, func(http.ResponseWriter, contract.Subrequest) { <-release })
	config := upstream.DefaultConfig()
	config.ConnectionsPerLeaf = 1
	d := dispatcher(t, map[platform.VM]query.Snapshot{vm: firstVersion})
	d.client = upstream.New(config, nil)
	defer d.client.Close()
	first := make(chan command.DispatchResult)
	go func() { first <- d.Dispatch(t.Context(), attemptOf(onlyShard)) }()
	<-seen
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if got := d.Dispatch(ctx, attemptOf(onlyShard)); got.Kind != command.DispatchNotSent {
		t.Errorf("got %+v", got)
	}
	close(release)
	if got := <-first; got.Kind != command.DispatchLost || len(seen) != 0 {
		t.Errorf("the holder of the connection got %+v", got)
	}
}

// TestDispatchFollowsTheVersion runs a command in the newest version of its
// own generation, whatever newer maps there are.
func TestDispatchFollowsTheVersion(t *testing.T) {
	seen := make(chan contract.Subrequest, 10)
	d := dispatcher(t, map[platform.VM]query.Snapshot{
		serveLeaf(t, "leaf-1", seen, answer(200, false, nil)): firstVersion,
		serveLeaf(t, "leaf-2", seen, answer(200, false, nil)): secondVersion,
		serveLeaf(t, "leaf-3", seen, answer(200, false, nil)): nextMap,
	})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	got := d.Dispatch(ctx, attemptOf(onlyShard))
	if got.Kind != command.DispatchReplied || got.Snapshot != secondVersion || got.Leaf != "leaf-2" {
		t.Errorf("got %+v", got)
	}
	target, err := d.Target(desk, "dealer-1")
	if err != nil || target.Generation != nextMap.Generation {
		t.Errorf("a new command goes to %+v, %v", target, err)
	}
}

func TestTargetWithoutMap(t *testing.T) {
	if target, err := dispatcher(t, nil).Target(desk, "dealer-1"); err == nil {
		t.Errorf("got %+v", target)
	}
}
