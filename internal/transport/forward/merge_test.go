package forward

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hickorydock/hickorydock/internal/coordination/topk"
	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/route"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
	"github.com/hickorydock/hickorydock/internal/transport/leafwire"
	"github.com/hickorydock/hickorydock/internal/transport/peer"
)

// issuedRecords stores the records for each receipt that leafs have issued.
type issuedRecords struct {
	mu      sync.Mutex
	records map[string][]byte
}

// leaf returns a leaf that replies with random records after a time.
func (l *issuedRecords) leaf(after time.Duration, records int) behaviour {
	random := rand.New(rand.NewPCG(rand.Uint64(), 1))
	return func(call *leafwire.Call) (time.Duration, leafwire.Reply) {
		reply := ok(call)
		reply.Body = make([]byte, records*topk.RecordSize)
		for i := range reply.Body {
			reply.Body[i] = byte(random.Uint32())
		}
		l.mu.Lock()
		l.records[reply.Receipt] = reply.Body
		l.mu.Unlock()
		return after, reply
	}
}

// check compares the body of a response with the records of its receipts.
func (l *issuedRecords) check(t *testing.T, body []byte, receipts []string, top int) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	var all [][]byte
	for _, receipt := range receipts {
		records, known := l.records[receipt]
		if !known {
			t.Errorf("no leaf issued receipt %q", receipt)
		}
		for ; len(records) > 0; records = records[topk.RecordSize:] {
			all = append(all, records[:topk.RecordSize])
		}
	}
	slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
	if want := bytes.Join(all[:min(top, len(all))], nil); !bytes.Equal(body, want) {
		t.Errorf("body of %d bytes does not hold the greatest records of the %d receipts", len(body), len(receipts))
	}
}

// TestMergedResults checks that a relay merges replies that are ready together to their
// greatest records, and that the response has exactly the records of its receipts.
func TestMergedResults(t *testing.T) {
	const (
		records = 60
		top     = 50
		// recordBytes and partBytes bound the size of a merged result: its records, and
		// a receipt with its framing for each part.
		recordBytes = top * topk.RecordSize
		partBytes   = 100
	)
	tests := []struct {
		name    string
		late    int // shards of the relay that reply after the first report
		missing string
		reports int
	}{
		{"all at once", 0, "0", 1},
		{"some after the first report", 3, "0", 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const shards = 13 // 12 at the relay and one at the node itself
				issued := &issuedRecords{records: map[string][]byte{}}
				rt := queryRoute(shards, 0.5)
				rt.MaxRecords = top
				leafs := map[string]behaviour{}
				for i, group := range rt.Shards {
					after := 10 * ms
					if i < test.late {
						after = 60 * ms
					}
					leafs[group+"/1"] = issued.leaf(after, records)
				}
				entry, relay := newRig(t, rt, leafs), newRig(t, rt, leafs)
				counter := &countingRelay{Handler: relay.Forwarder}
				entry.Relays = &fakeRelays{handlers: map[string]peer.Handler{"preferred": counter}, records: leaf.NewTable()}
				response, _ := entry.do(t.Context(), http.MethodGet, "/x")
				if response.Code != 200 || response.Header().Get("Missing") != test.missing {
					t.Fatalf("status %d with %q missing", response.Code, response.Header().Get("Missing"))
				}
				issued.check(t, response.Body.Bytes(), receiptsOf(response), top)
				time.Sleep(time.Second) // the relay still reports the results without a body
				if got, maxBytes := counter.bytes.Load(), int64(test.reports*recordBytes+shards*partBytes); got > maxBytes {
					t.Errorf("%d bytes came from the relay, want at most %d", got, maxBytes)
				}
			})
		})
	}
}

// countingRelay counts the bytes of results.
type countingRelay struct {
	peer.Handler
	bytes atomic.Int64
}

func (r *countingRelay) Serve(ctx context.Context, batch *contract.Batch, reply func(peer.Result)) {
	r.Handler.Serve(ctx, batch, func(result peer.Result) {
		r.bytes.Add(int64(len(result.Body)))
		reply(result)
	})
}

// delayedRelay delays the results of another relay.
type delayedRelay struct {
	peer.Handler
	after time.Duration
}

func (r delayedRelay) Serve(ctx context.Context, batch *contract.Batch, reply func(peer.Result)) {
	var results []peer.Result
	startedAt := time.Now()
	r.Handler.Serve(ctx, batch, func(result peer.Result) { results = append(results, result) })
	time.Sleep(r.after - time.Since(startedAt))
	for _, result := range results {
		reply(result)
	}
}

// TestSecondRelayAnswersBeforeMergedResult checks that the response has the records of a
// shard once if two relays replied for it, the one with the merged result last.
func TestSecondRelayAnswersBeforeMergedResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		issued := &issuedRecords{records: map[string][]byte{}}
		rt := queryRoute(5, 1)
		rt.MaxAttempts = 3
		leafs := map[string]behaviour{}
		for i, group := range rt.Shards {
			leafs[group+"/1"] = issued.leaf(time.Duration(5+i)*ms, 9)
		}
		// The node's own shard replies last, after both relays.
		leafs["e/1"] = issued.leaf(85*ms, 9)
		relay := newRig(t, rt, leafs)
		entry := newRig(t, rt, leafs)
		entry.Relays = &fakeRelays{
			handlers: map[string]peer.Handler{"preferred": delayedRelay{relay.Forwarder, 80 * ms}, "fallback": relay.Forwarder},
			records:  leaf.NewTable(),
		}
		for _, group := range rt.Shards[:3] { // the budget covers the second relay for some shards only
			for range 20 {
				entry.budget(group).Earn(1)
			}
		}
		entry.budget("d").Spend()
		response, _ := entry.do(t.Context(), http.MethodGet, "/x")
		if response.Code != 200 || response.Header().Get("Missing") != "0" {
			t.Fatalf("status %d with %q missing", response.Code, response.Header().Get("Missing"))
		}
		if receipts := receiptsOf(response); len(receipts) != len(rt.Shards) {
			t.Errorf("%d receipts of %d shards", len(receipts), len(rt.Shards))
		}
		issued.check(t, response.Body.Bytes(), receiptsOf(response), rt.MaxRecords)
		time.Sleep(time.Second)
	})
}

// TestUnreadableMergedResult checks that a merged result that lists a shard outside its
// batch, or a shard twice, is not used for any of its shards.
func TestUnreadableMergedResult(t *testing.T) {
	mergedBody := func(indices ...uint32) []byte {
		p := &contract.Part{Receipt: "lead", Records: bytes.Repeat([]byte("z"), topk.RecordSize)}
		for _, index := range indices {
			p.Others = append(p.Others, &contract.MergedPart{Index: index, Receipt: fmt.Sprint("other", index)})
		}
		body, err := proto.Marshal(p)
		if err != nil {
			t.Fatal(err)
		}
		return body
	}
	tests := map[string][]byte{
		"outside the batch":       mergedBody(9),
		"twice":                   mergedBody(1, 1),
		"the first shard itself":  mergedBody(0),
		"not readable":            []byte("\xff"),
		"no body":                 nil,
		"one inside, one outside": mergedBody(1, 9),
	}
	for name, body := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rt := queryRoute(3, 0.3)
				entry := newRig(t, rt, map[string]behaviour{"a/1": silent, "b/1": silent, "c/1": replyingAfter(5 * ms)})
				entry.Relays = &fakeRelays{handlers: map[string]peer.Handler{"preferred": handlerFunc(func(_ context.Context, batch *contract.Batch, reply func(peer.Result)) {
					reply(peer.Result{Index: 0, Status: contract.Status_STATUS_OK, Body: body})
					reply(peer.Result{Index: 1, Status: contract.Status_STATUS_OK})
				})}, records: leaf.NewTable()}
				response, took := entry.do(t.Context(), http.MethodGet, "/x")
				if response.Code != 200 || response.Header().Get("Missing") != "2" || took > 10*ms {
					t.Errorf("status %d with %q missing after %v", response.Code, response.Header().Get("Missing"), took)
				}
				entry.observer.mu.Lock()
				defer entry.observer.mu.Unlock()
				if len(entry.observer.violations) == 0 {
					t.Error("not counted as an invariant violation")
				}
				entry.observer.violations = nil
			})
		})
	}
}

type handlerFunc func(ctx context.Context, batch *contract.Batch, reply func(peer.Result))

func (h handlerFunc) Serve(ctx context.Context, batch *contract.Batch, reply func(peer.Result)) {
	h(ctx, batch, reply)
}

// narrowLink is the link of a node with little bandwidth. Results are transferred one
// after the other.
type narrowLink struct {
	mu sync.Mutex
	// free is when the link becomes free.
	free time.Time
	// bytesPerSecond is the bandwidth.
	bytesPerSecond int
}

// transfer returns once n bytes have been transferred.
func (l *narrowLink) transfer(n int) {
	l.mu.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(n) * time.Second / time.Duration(l.bytesPerSecond))
	wait := l.free.Sub(now)
	l.mu.Unlock()
	time.Sleep(wait)
}

// linkRelays are relays whose results all use the link of the requesting node.
type linkRelays struct {
	clusters []Cluster
	nodes    map[string]peer.Handler
	link     *narrowLink
}

func (r *linkRelays) Others() (near, far []shardmap.Replica) { return nil, nil }

func (r *linkRelays) Clusters(*route.Route) []Cluster { return r.clusters }

func (r *linkRelays) Do(ctx context.Context, node string, batch *contract.Batch, deliver func(peer.Result)) error {
	results := make(chan peer.Result, len(batch.Shards))
	go func() {
		defer close(results)
		r.nodes[node].Serve(ctx, batch, func(result peer.Result) { results <- result })
	}()
	for result := range results {
		r.link.transfer(len(result.Body) + resultFraming)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		deliver(result)
	}
	return nil
}

// resultFraming is the size of a result without its body, in bytes.
const resultFraming = 10

// TestManyShardsThroughNarrowLink checks a query over 96 shards with parts of 1,000 bytes
// at a node with a link of 25 Mbit/s, which needs 31 ms for the parts alone if they are
// not merged. A leaf of each relay is silent, so each relay sends the replies that arrive
// after its first report just before the target.
func TestManyShardsThroughNarrowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			clusters, perCluster = 8, 12
			queries              = 40
			// interval is the time between two queries.
			interval = 400 * ms
		)
		random := rand.New(rand.NewPCG(1, 2))
		issued := &issuedRecords{records: map[string][]byte{}}
		rt := queryRoute(0, 0.9)
		rt.MaxRecords = 50
		leafs := map[string]behaviour{}
		relays := &linkRelays{nodes: map[string]peer.Handler{}, link: &narrowLink{bytesPerSecond: 25_000_000 / 8}}
		records := leaf.NewTable()
		for c := range clusters {
			id := fmt.Sprint("relay-", c)
			cluster := Cluster{Preferred: []shardmap.Replica{{VM: platform.VM{ID: id}, Record: records.Record(id)}}}
			for i := range perCluster {
				group := fmt.Sprintf("g%d", len(rt.Shards))
				cluster.Shards = append(cluster.Shards, len(rt.Shards))
				rt.Shards = append(rt.Shards, group)
				// Some parts arrive after the first report of their relay.
				work := 10*ms + time.Duration(random.Int64N(int64(50*ms)))
				leafs[group+"/1"] = issued.leaf(work, 62)
				if i == 0 {
					leafs[group+"/1"] = silent
				}
			}
			relays.clusters = append(relays.clusters, cluster)
		}
		entry := newRig(t, rt, leafs)
		for c := range clusters {
			relays.nodes[fmt.Sprint("relay-", c)] = newRig(t, rt, leafs).Forwarder
		}
		entry.Relays = relays
		score := 0.0
		for range queries {
			response, took := entry.do(t.Context(), http.MethodGet, "/x")
			if response.Code == http.StatusOK && took <= rt.TargetLatency-2*3*ms {
				missing, _ := strconv.Atoi(response.Header().Get("Missing"))
				covered := 1 - float64(missing)/float64(len(rt.Shards))
				score += covered * covered
				issued.check(t, response.Body.Bytes(), strings.Split(response.Header().Get("Receipts"), ", "), rt.MaxRecords)
			}
			time.Sleep(interval)
		}
		t.Logf("score %.3f", score/queries)
		if want := float64(perCluster-1) * (perCluster - 1) / (perCluster * perCluster); score/queries < want-0.001 {
			t.Errorf("score %.3f, want %.3f: all parts but those of silent leafs must arrive in time", score/queries, want)
		}
		time.Sleep(time.Second)
	})
}
