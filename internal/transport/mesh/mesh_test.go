package mesh

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hickorydock/hickorydock/internal/coordination/backoff"
	"github.com/hickorydock/hickorydock/internal/coordination/reader"
	messages "github.com/hickorydock/hickorydock/internal/protocol/membership"
	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/state/mirror"
	"github.com/hickorydock/hickorydock/internal/transport/follow"
	"github.com/hickorydock/hickorydock/internal/transport/loopback"
	"github.com/hickorydock/hickorydock/internal/transport/peer"
)

const testWait = 300 * time.Millisecond

// echo answers each shard of a batch with the batch's body.
type echo struct{}

func (echo) Serve(_ context.Context, batch *contract.Batch, reply func(peer.Result)) {
	for i := range batch.Shards {
		reply(peer.Result{Index: i, Status: contract.Status_STATUS_OK, Body: batch.Body})
	}
}

// node is a mesh with a watcher of the routing table.
type node struct {
	*Mesh
	client  *Client
	mu      sync.Mutex
	latest  string
	changed chan struct{}
}

func (n *node) set(o platform.Object) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.latest = string(o.Value)
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *node) has(value string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.latest == value, n.changed
}

// reserveAddress returns a loopback address for a process of the test.
func reserveAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// startNodes starts nodes that follow the routing table, each through the platform
// client that clientOf returns for it.
func startNodes(t *testing.T, count int, clientOf func(i int) platform.Client) []*node {
	t.Helper()
	return startConfigured(t, count, clientOf, func(int, *Mesh) {})
}

// startConfigured calls configure with each node before it starts.
func startConfigured(t *testing.T, count int, clientOf func(i int) platform.Client, configure func(i int, m *Mesh)) []*node {
	t.Helper()
	seed := reserveAddress(t)
	var nodes []*node
	for i := range count {
		address := seed
		if i > 0 {
			address = reserveAddress(t)
		}
		nodes = append(nodes, startNode(t, i, address, seed, clientOf(i), false, configure))
	}
	return nodes
}

// startNode starts one node, which joins through seed, and through contacts if set.
func startNode(t *testing.T, i int, address, seed string, store platform.Client, contacts bool, configure func(i int, m *Mesh)) *node {
	t.Helper()
	m, err := New(Config{
		Node: fmt.Sprintf("n%d", i), AvailabilityZone: fmt.Sprintf("az-%d", i%2), Address: address, Seeds: []string{seed},
		Mirror: mirror.New(), Log: &log.Logger{Handler: discard.Default},
	}, echo{})
	if err != nil {
		t.Fatal(err)
	}
	configure(i, m)
	if err := m.Start(); err != nil {
		t.Fatal(err)
	}
	wait := testWait
	if s, ok := store.(interface{ watchWait() time.Duration }); ok {
		wait = s.watchWait()
	}
	client := NewClient(store, m, wait)
	n := &node{Mesh: m, client: client, changed: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	w := &follow.Watcher{
		Client: client, Kind: platform.KindRouting, Backoff: backoff.PlatformFollow,
		OnList: func(l platform.Listing) {
			for _, o := range l.Objects {
				n.set(o)
			}
		},
		OnEvent: func(e platform.Event) { n.set(e.Object) },
		OnError: func(error) {},
	}
	var running sync.WaitGroup
	running.Go(func() { w.Run(ctx) })
	if m.cfg.Quarantines != nil {
		running.Go(func() { client.RunQuarantines(ctx) })
	}
	if contacts {
		running.Go(func() { client.RunContacts(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		client.Close()
		running.Wait()
		m.Close(ctx)
	})
	return n
}

// awaitAll waits until all nodes have received a value.
func awaitAll(t *testing.T, nodes []*node, value string, limit time.Duration) {
	t.Helper()
	timeout := time.After(limit)
	for _, n := range nodes {
		for {
			has, changed := n.has(value)
			if has {
				break
			}
			select {
			case <-changed:
			case <-timeout:
				t.Fatalf("%s has %q after %v, want %q", n.cfg.Node, n.latest, limit, value)
			}
		}
	}
}

// TestCallsDoNotGrowWithNodes checks that a change reaches all nodes and that only the
// readers call the platform.
func TestCallsDoNotGrowWithNodes(t *testing.T) {
	store := newPlatform()
	store.set(1)
	nodes := startNodes(t, 8, func(int) platform.Client { return store })
	awaitAll(t, nodes, "1", 5*time.Second)
	store.set(2)
	awaitAll(t, nodes, "2", time.Second)
	awaitOnlyReaders(t, nodes, time.Second)
	before := store.calls.Load()
	const span = 3 * time.Second
	time.Sleep(span)
	got := store.calls.Load() - before
	if maxCalls := int64(reader.Count * (int(span/testWait) + 2)); got > maxCalls {
		t.Errorf("%d watches in %v by 8 nodes, want at most %d", got, span, maxCalls)
	}
}

// awaitOnlyReaders waits until the nodes that read the platform while the fleet starts leave it to the
// readers.
func awaitOnlyReaders(t *testing.T, nodes []*node, limit time.Duration) {
	t.Helper()
	readers := reader.Readers(nodes[0].Members(), nil)
	for end := time.Now().Add(limit); ; time.Sleep(10 * time.Millisecond) {
		var reading []string
		for _, n := range nodes {
			n.client.mu.Lock()
			if n.client.reading[platform.KindRouting] && !slices.Contains(readers, n.cfg.Node) {
				reading = append(reading, n.cfg.Node)
			}
			n.client.mu.Unlock()
		}
		if len(reading) == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%v still read the platform after %v, readers are %v", reading, limit, readers)
		}
	}
}

// TestSourceWithoutCopyKeepsRequest guards against nodes that pass over a source which
// has no copy yet, as all sources when the fleet starts, and read the platform in its
// place: the source keeps a request for its list until it has one.
func TestSourceWithoutCopyKeepsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, err := New(Config{Node: "source", Address: "127.0.0.1:1", Mirror: mirror.New(), Log: &log.Logger{Handler: discard.Default}}, echo{})
		if err != nil {
			t.Fatal(err)
		}
		defer m.cancel()
		time.AfterFunc(firstCopyWait/2, func() {
			m.cfg.Mirror.Replace(platform.KindRouting, platform.Listing{Version: 1}, time.Now())
		})
		request := &contract.FollowRequest{Hello: peer.DefaultConfig("other", 1).Hello(), Kind: string(platform.KindRouting), List: true, WaitMs: uint32(firstCopyWait.Milliseconds())}
		reply, err := service{m}.Follow(t.Context(), request)
		if err != nil || !reply.Known {
			t.Errorf("reply %v, error %v, want the list", reply, err)
		}
	})
}

// TestOutage guards against a lasting failure after a short outage of the whole
// platform, in which all nodes mark each other as stale: all must receive the next
// change soon after.
func TestOutage(t *testing.T) {
	store := newPlatform()
	store.set(1)
	nodes := startNodes(t, 8, func(int) platform.Client { return store })
	awaitAll(t, nodes, "1", 5*time.Second)
	store.down.Store(true)
	time.Sleep(2 * time.Second)
	store.down.Store(false)
	store.set(2)
	awaitAll(t, nodes, "2", 3*time.Second)
}

// TestStartWithoutPlatform guards against a lasting failure when all nodes restart while
// the platform is down, so that no node has any data: all must have it soon after the
// platform recovers.
func TestStartWithoutPlatform(t *testing.T) {
	store := newPlatform()
	store.set(1)
	store.down.Store(true)
	nodes := startNodes(t, 8, func(int) platform.Client { return store })
	time.Sleep(3 * time.Second)
	store.down.Store(false)
	awaitAll(t, nodes, "1", 2*time.Second)
}

// TestPlatformRejectsReaders guards against stale data when the platform serves only
// some nodes and rejects both readers.
func TestPlatformRejectsReaders(t *testing.T) {
	store, unavailable := newPlatform(), newPlatform()
	unavailable.down.Store(true)
	store.set(1)
	var members []messages.Member
	for i := range 5 {
		members = append(members, messages.Member{ID: fmt.Sprintf("n%d", i), AvailabilityZone: fmt.Sprintf("az-%d", i%2), State: messages.Alive})
	}
	rejected := reader.Readers(members, nil)
	nodes := startNodes(t, 5, func(i int) platform.Client {
		if slices.Contains(rejected, members[i].ID) {
			return unavailable
		}
		return store
	})
	awaitAll(t, nodes, "1", 10*time.Second)
	store.set(2)
	awaitAll(t, nodes, "2", 4*time.Second)
}

// TestBatches checks that batches reach a member over one stream and that a batch to an
// unknown node is not sent.
func TestBatches(t *testing.T) {
	store := newPlatform()
	store.set(1)
	nodes := startNodes(t, 2, func(int) platform.Client { return store })
	awaitAll(t, nodes, "1", 5*time.Second)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	for range 3 {
		got := 0
		err := nodes[0].Do(ctx, "n1", &contract.Batch{Body: []byte("b"), Shards: []uint32{0, 1}}, func(r peer.Result) {
			if string(r.Body) == "b" {
				got++
			}
		})
		if err != nil || got != 2 {
			t.Errorf("%d results, error %v", got, err)
		}
	}
	err := nodes[0].Do(ctx, "n9", &contract.Batch{Shards: []uint32{0}}, func(peer.Result) {})
	if !peer.IsNotRun(err) {
		t.Errorf("batch to an unknown node: %v", err)
	}
}

// TestPreparedStream checks that the first batch to a node uses the stream that Prepare
// opened, and that Prepare for an unknown node has no effect.
func TestPreparedStream(t *testing.T) {
	store := newPlatform()
	store.set(1)
	nodes := startNodes(t, 2, func(int) platform.Client { return store })
	awaitAll(t, nodes, "1", 5*time.Second)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	nodes[0].Prepare(ctx, "n9")
	nodes[0].Prepare(ctx, "n1")
	found, _ := nodes[0].streams.Load("n1")
	prepared := found.(*batchStream).client
	if prepared == nil {
		t.Fatal("no stream is open")
	}
	if err := nodes[0].Do(ctx, "n1", &contract.Batch{Body: []byte("b"), Shards: []uint32{0}}, func(peer.Result) {}); err != nil {
		t.Error(err)
	}
	if found.(*batchStream).client != prepared {
		t.Error("the first batch opened another stream")
	}
}

// TestReadersFail guards against missed changes when both readers lose power just as
// changes are made: the nodes that follow them detect it when their calls fail or time out.
func TestReadersFail(t *testing.T) {
	store := newPlatform()
	store.set(1)
	nodes := startNodes(t, 6, func(int) platform.Client { return store })
	awaitAll(t, nodes, "1", 5*time.Second)
	failed := reader.Readers(nodes[0].Members(), nil)
	var remaining []*node
	for _, n := range nodes {
		if n.cfg.Node == failed[0] || n.cfg.Node == failed[1] {
			n.cancel() // without announcing the stop
			_ = n.listener.Close()
			_ = n.datagrams.Close()
			continue
		}
		remaining = append(remaining, n)
	}
	store.set(2)
	awaitAll(t, remaining, "2", 3*time.Second)
}

func TestLatestChanges(t *testing.T) {
	change := func(name, value string, deleted bool) platform.Event {
		return platform.Event{Deleted: deleted, Object: platform.Object{Name: name, Value: []byte(value)}}
	}
	got := latestChanges([]platform.Event{change("a", "1", false), change("b", "1", false), change("a", "2", false), change("b", "1", true)})
	if len(got) != 2 || string(got[0].Object.Value) != "2" || !got[1].Deleted {
		t.Errorf("%+v", got)
	}
}
