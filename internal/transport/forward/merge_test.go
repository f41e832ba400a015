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

// ledger keeps the records of each receipt that leafs gave out.
type issuedRecords struct {
	mu      sync.Mutex
	records map[string][]byte
}

// leaf replies after a while with random records.
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

// check compares an answer with the records of the receipts that it names.
func (l *issuedRecords) check(t *testing.T, body []byte, receipts []string, top int) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	var all [][]byte
	for _, receipt := range receipts {
		records, known := l.records[receipt]
		if !known {
			t.Errorf("receipt %q was given out by no leaf", receipt)
		}
		for ; len(records) > 0; records = records[topk.RecordSize:] {
			all = append(all, records[:topk.RecordSize])
		}
	}
	slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
	if want := bytes.Join(all[:min(top, len(all))], nil); !bytes.Equal(body, want) {
		t.Errorf("body of %d bytes is not the greatest records of the %d parts named", len(body), len(receipts))
	}
}

// TestMergedResults holds that a relay's replies that are ready together cross the
// hop as the greatest records of all of them, and that the answer has just the
// records of the parts that it names.
func TestMergedResults(t *testing.T) {
	const (
		records = 60
		top     = 50
		// recordBytes and partBytes are what a merged result may take: its records, and
		// a receipt with its framing for each part.
		recordBytes = top * topk.RecordSize
		partBytes   = 100
	)
	tests := []struct {
		name    string
		late    int // shards of the relay that answer after the first report
		missing string
		reports int
	}{
		{"all at once", 0, "0", 1},
		{"some after the first report", 3, "0", 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const shards = 13 // 12 of the relay and one of the node
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
				entry.Relays = &fakeRelays{owners: map[string]peer.Handler{"near": counter}, records: leaf.NewTable()}
				answer, _ := entry.do(t.Context(), http.MethodGet, "/x")
				if answer.Code != 200 || answer.Header().Get("Missing") != test.missing {
					t.Fatalf("status %d with %q missing", answer.Code, answer.Header().Get("Missing"))
				}
				issued.check(t, answer.Body.Bytes(), receiptsOf(answer), top)
				if maxBytes := test.reports*recordBytes + shards*partBytes; counter.bytes > maxBytes {
					t.Errorf("%d bytes came from the relay, want at most %d", counter.bytes, maxBytes)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// countingRelay counts the bytes of results.
type countingRelay struct {
	peer.Handler
	bytes int
}

func (r *countingRelay) Serve(ctx context.Context, batch *contract.Batch, reply func(peer.Result)) {
	r.Handler.Serve(ctx, batch, func(result peer.Result) {
		r.bytes += len(result.Body)
		reply(result)
	})
}

// lateRelay delivers what another relay does after a time.
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

// TestSecondRelayAnswersBeforeMergedResult holds that the records of a shard stand
// in the answer once when two relays answered it, the merged result last.
func TestSecondRelayAnswersBeforeMergedResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		issued := &issuedRecords{records: map[string][]byte{}}
		rt := queryRoute(5, 1)
		rt.MaxAttempts = 3
		leafs := map[string]behaviour{}
		for i, group := range rt.Shards {
			leafs[group+"/1"] = issued.leaf(time.Duration(5+i)*ms, 9)
		}
		// The own shard answers last, so that both relays come before it.
		leafs["e/1"] = issued.leaf(85*ms, 9)
		relay := newRig(t, rt, leafs)
		entry := newRig(t, rt, leafs)
		entry.Relays = &fakeRelays{
			owners:  map[string]peer.Handler{"near": delayedRelay{relay.Forwarder, 80 * ms}, "far": relay.Forwarder},
			records: leaf.NewTable(),
		}
		for _, group := range rt.Shards[:3] { // the second relay is paid for some shards only
			for range 20 {
				entry.budget(group).Earn(1)
			}
		}
		entry.budget("d").Spend()
		answer, _ := entry.do(t.Context(), http.MethodGet, "/x")
		if answer.Code != 200 || answer.Header().Get("Missing") != "0" {
			t.Fatalf("status %d with %q missing", answer.Code, answer.Header().Get("Missing"))
		}
		if receipts := receiptsOf(answer); len(receipts) != len(rt.Shards) {
			t.Errorf("%d receipts of %d shards", len(receipts), len(rt.Shards))
		}
		issued.check(t, answer.Body.Bytes(), receiptsOf(answer), rt.MaxRecords)
		time.Sleep(time.Second)
	})
}

// TestUnreadableMergedResult holds that a result that names shards outside its
// batch, or one twice, is used for none of its shards.
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
		"the lead itself":         mergedBody(0),
		"not readable":            []byte("\xff"),
		"no result for the lead":  nil,
		"one of them not in time": mergedBody(1, 9),
	}
	for name, body := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rt := queryRoute(3, 0.3)
				entry := newRig(t, rt, map[string]behaviour{"a/1": silent, "b/1": silent, "c/1": replyingAfter(5 * ms)})
				entry.Relays = &fakeRelays{owners: map[string]peer.Handler{"near": handlerFunc(func(_ context.Context, batch *contract.Batch, reply func(peer.Result)) {
					reply(peer.Result{Index: 0, Status: contract.Status_STATUS_OK, Body: body})
					reply(peer.Result{Index: 1, Status: contract.Status_STATUS_OK})
				})}, records: leaf.NewTable()}
				answer, took := entry.do(t.Context(), http.MethodGet, "/x")
				if answer.Code != 200 || answer.Header().Get("Missing") != "2" || took > 10*ms {
					t.Errorf("status %d with %q missing after %v", answer.Code, answer.Header().Get("Missing"), took)
				}
				entry.observer.mu.Lock()
				defer entry.observer.mu.Unlock()
				if len(entry.observer.violations) == 0 {
					t.Error("not counted as a broken invariant")
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

// narrowLink is the link of a node with little bandwidth: results wait for those
// before them.
type narrowLink struct {
	mu   sync.Mutex
	free time.Time
	// bytesPerSecond is the bandwidth.
	bytesPerSecond int
}

// pass returns once so many bytes have gone through.
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

// linkRelays are relays whose results all cross the entry's link.
type linkRelays struct {
	clusters []Cluster
	nodes    map[string]peer.Handler
	link     *narrowLink
}

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

// resultFraming is the bytes of a result beside its body.
const resultFraming = 10

// TestManyShardsThroughNarrowLink answers the pattern of a query over 96 shards
// with parts of 1,000 bytes at a node with a link of 25 Mbit/s: the parts alone
// take 31 ms of it. A leaf of each relay is silent, so each relay reports what came
// after its first report just before the target.
func TestManyShardsThroughNarrowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			clusters, perCluster = 8, 12
			queries              = 40
			// between is the time between two queries.
			between = 400 * ms
		)
		random := rand.New(rand.NewPCG(1, 2))
		given := &issuedRecords{records: map[string][]byte{}}
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
				// Some parts come after the first report of their relay.
				work := 10*ms + time.Duration(random.Int64N(int64(50*ms)))
				leafs[group+"/1"] = given.leaf(work, 62)
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
			answer, took := entry.do(t.Context(), http.MethodGet, "/x")
			if answer.Code == http.StatusOK && took <= rt.TargetLatency-2*3*ms {
				missing, _ := strconv.Atoi(answer.Header().Get("Missing"))
				covered := 1 - float64(missing)/float64(len(rt.Shards))
				score += covered * covered
				given.check(t, answer.Body.Bytes(), strings.Split(answer.Header().Get("Receipts"), ", "), rt.MaxRecords)
			}
			time.Sleep(between)
		}
		t.Logf("%.3f earned", score/queries)
		if want := float64(perCluster-1) * (perCluster - 1) / (perCluster * perCluster); score/queries < want-0.001 {
			t.Errorf("%.3f earned, want %.3f: all parts but those of silent leafs are there in time", score/queries, want)
		}
		time.Sleep(time.Second)
	})
}
