package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/merge"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/protocol/upstream"
	stateleaf "github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
	"github.com/hickorydock/hickorydock/internal/transport/entry"
	"github.com/hickorydock/hickorydock/internal/transport/relay"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
	client "github.com/hickorydock/hickorydock/internal/transport/upstream"

	"github.com/hickorydock/hickorydock/internal/standin/leaf"
)

const (
	unitMicroseconds = "µs"
	unitBytes        = "B"
	// slopeWorkers is the number of concurrent callers of slopes over a count of calls.
	slopeWorkers = 8
	// slopeReplyBytes and slopeRequestBytes are the body sizes of a subrequest.
	slopeReplyBytes   = 200
	slopeRequestBytes = 100
)

// noCleanup ends a measurement that holds no resources.
func noCleanup() {}

// runConcurrently runs work count times on slopeWorkers goroutines and returns the first error.
func runConcurrently(count int, work func() error) error {
	var workers sync.WaitGroup
	errs := make([]error, slopeWorkers)
	for w := range slopeWorkers {
		workers.Go(func() {
			for range count / slopeWorkers {
				if errs[w] = work(); errs[w] != nil {
					return
				}
			}
		})
	}
	workers.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

var querySource = slopeSource{
	name: "query", unit: unitMicroseconds, sizeUnit: "query with 1 shard: caller, server, entry, relay and stand-in leaf",
	sizes: []int{200, 400, 800, 1600},
	prepare: func(ctx context.Context) (func(int) (float64, error), func(), error) {
		r, err := newRig(ctx, rigOptions{
			seed: 1, service: experimentService(0), shards: 1, replicas: 1, nodes: 1,
			leaf: leaf.Options{Slots: 64, QueueLength: 200, Items: 1},
		})
		if err != nil {
			return nil, nil, err
		}
		if err := r.awaitComplete(ctx); err != nil {
			r.close()
			return nil, nil, err
		}
		c := newCaller()
		value := func(count int) (float64, error) {
			return cpuMicroseconds(func() error {
				return runConcurrently(count, func() error {
					return c.sendQuery(ctx, r.url(0), r.options.service.Name, 0, time.Now()).err
				})
			})
		}
		return value, func() { c.close(); r.close() }, nil
	},
}

// instantRunner answers every subrequest immediately with one item.
type instantRunner struct{}

// Run returns the result of a subrequest.
func (instantRunner) Run(_ context.Context, task relay.Task) relay.Result {
	items := []query.Item{query.Item(`{"score":1}`)}
	return relay.Result{Shard: task.Shard, QueryAttempt: task.QueryAttempt, Snapshot: task.Snapshot, OK: true, Items: items, Sent: true}
}

var entryShardSource = slopeSource{
	name: "entry_shard", unit: unitMicroseconds, sizeUnit: "shard of a query at the entry, without the relay",
	sizes: []int{20, 80, 160, 310},
	prepare: func(ctx context.Context) (func(int) (float64, error), func(), error) {
		value := func(shards int) (float64, error) {
			const repeats = 100
			service := experimentService(0)
			store := newSlopeStore(service, shards, 1)
			e := entry.New(entry.DefaultConfig(), store, instantRunner{}, nil, tracing.Off())
			used, err := cpuMicroseconds(func() error {
				for range repeats {
					if _, err := e.Query(ctx, service, query.Request{Query: json.RawMessage(`{}`)}, time.Now()); err != nil {
						return err
					}
				}
				return nil
			})
			return used / repeats, err
		}
		return value, noCleanup, nil
	},
}

// newSlopeStore returns a shard map with replicas leafs for each shard of a service.
func newSlopeStore(service note.Service, shards, replicas int) *shardmap.Store {
	store := shardmap.NewStore(stateleaf.NewTable())
	for shard := range shards {
		for replica := range replicas {
			store.SetManifest(slopeVM(service, shard, replica), slopeManifest(service, shards, shard, replica, firstSnapshot), time.Now())
		}
	}
	return store
}

func slopeVM(service note.Service, shard, replica int) platform.VM {
	return platform.VM{
		ID: fmt.Sprintf("leaf-%d-%d", shard, replica), Group: service.UpstreamGroup, Address: fmt.Sprintf("10.0.%d.%d:8080", shard, replica),
		AvailabilityZone: zones[shard%len(zones)], Rack: "rack-1", State: platform.VMLive,
	}
}

func slopeManifest(service note.Service, shards, shard, replica int, s query.Snapshot) upstream.Manifest {
	return upstream.Manifest{
		Leaf:     fmt.Sprintf("leaf-%d-%d", shard, replica),
		Holdings: []upstream.Holding{{Service: service.Name, Snapshot: s, ShardCount: shards, Shards: []int{shard}}},
	}
}

var httpSource = slopeSource{
	name: "net_http", unit: unitMicroseconds, sizeUnit: "bare net/http request, both sides",
	sizes: []int{1000, 2000, 4000, 6000},
	prepare: func(ctx context.Context) (func(int) (float64, error), func(), error) {
		body := make([]byte, slopeReplyBytes)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, err := io.Copy(io.Discard, r.Body); err == nil {
				_, _ = w.Write(body)
			}
		})}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, nil, err
		}
		go func() { _ = server.Serve(listener) }()
		plain := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: slopeWorkers}}
		url := "http://" + listener.Addr().String() + upstream.RunPath(1)
		request := make([]byte, slopeRequestBytes)
		value := func(count int) (float64, error) {
			return cpuMicroseconds(func() error {
				return runConcurrently(count, func() error { return postOnce(plain, url, request) })
			})
		}
		return value, func() { plain.CloseIdleConnections(); _ = server.Close() }, nil
	},
}

func postOnce(plain *http.Client, url string, request []byte) error {
	response, err := plain.Post(url, "application/json", bytes.NewReader(request))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

var upstreamSource = slopeSource{
	name: "subrequest", unit: unitMicroseconds, sizeUnit: "subrequest to a leaf: client side, with a leaf of fixed replies",
	sizes:   []int{1000, 2000, 4000, 6000},
	prepare: prepareUpstream(func(count int, l *fixedReplyLeaf, run func() error) (float64, error) { return cpuMicroseconds(run) }),
}

var upstreamBytesSource = slopeSource{
	name: "subrequest_bytes", unit: unitBytes, sizeUnit: "subrequest to a leaf, both directions",
	sizes: []int{100, 200, 400, 800},
	prepare: prepareUpstream(func(count int, l *fixedReplyLeaf, run func() error) (float64, error) {
		before := l.bytes.Load()
		err := run()
		return float64(l.bytes.Load() - before), err
	}),
}

// prepareUpstream measures subrequests of the client for leafs to a fixedReplyLeaf.
func prepareUpstream(measure func(int, *fixedReplyLeaf, func() error) (float64, error)) func(context.Context) (func(int) (float64, error), func(), error) {
	return func(ctx context.Context) (func(int) (float64, error), func(), error) {
		sub := upstream.Subrequest{RequestID: "0123456789abcdef", Attempt: 100, Service: "licence-desk", Shard: 1, Snapshot: firstSnapshot, Class: upstream.ClassQuery}
		l, err := startRunLeaf(sub)
		if err != nil {
			return nil, nil, err
		}
		c := client.New(client.DefaultConfig(), nil)
		vm := platform.VM{ID: "leaf-1", Address: l.address()}
		body := append(append([]byte(`{"query":"`), bytes.Repeat([]byte("x"), slopeRequestBytes-12)...), `"}`...)
		value := func(count int) (float64, error) {
			return measure(count, l, func() error {
				return runConcurrently(count, func() error { return c.Run(ctx, vm, sub, time.Second, body).Err })
			})
		}
		return value, func() { c.Close(); l.close() }, nil
	}
}

var pollSource = slopeSource{
	name: "poll", unit: unitMicroseconds, sizeUnit: "manifest poll: client side, with a leaf of fixed replies",
	sizes: []int{500, 1000, 2000, 4000},
	prepare: func(ctx context.Context) (func(int) (float64, error), func(), error) {
		l, err := startManifestLeaf(slopeManifest(experimentService(0), 310, 1, 0, firstSnapshot))
		if err != nil {
			return nil, nil, err
		}
		c := client.New(client.DefaultConfig(), nil)
		vm := platform.VM{ID: "leaf-1", Address: l.address()}
		value := func(count int) (float64, error) {
			return cpuMicroseconds(func() error {
				return runConcurrently(count, func() error { _, err := c.Manifest(ctx, vm); return err })
			})
		}
		return value, func() { c.Close(); l.close() }, nil
	},
}

// pollCost returns the CPU time in microseconds and the bytes of one manifest poll.
func pollCost(ctx context.Context, l *fixedReplyLeaf) (micros, size float64, err error) {
	c := client.New(client.DefaultConfig(), nil)
	defer c.Close()
	vm := platform.VM{ID: "leaf-1", Address: l.address()}
	const polls = 2000
	before := l.bytes.Load()
	micros, err = cpuMicroseconds(func() error {
		return runConcurrently(polls, func() error { _, err := c.Manifest(ctx, vm); return err })
	})
	return micros / polls, float64(l.bytes.Load()-before) / polls, err
}

var mergeSource = slopeSource{
	name: "merged_item", unit: unitMicroseconds, sizeUnit: "item merged by top_k",
	sizes: []int{310, 1240, 3100, 6200},
	prepare: func(context.Context) (func(int) (float64, error), func(), error) {
		service := experimentService(0)
		service.Merge, service.MergeField, service.TopK = note.MergeTopK, "score", 10
		value := func(items int) (float64, error) {
			const repeats = 40
			replies := make([][]query.Item, 310)
			for i := range items {
				replies[i%len(replies)] = append(replies[i%len(replies)], query.Item(fmt.Sprintf(`{"id":"item-%d","score":%d}`, i, i*7919%items)))
			}
			used, err := cpuMicroseconds(func() error {
				for range repeats {
					if _, err := merge.Merge(&service, replies); err != nil {
						return err
					}
				}
				return nil
			})
			return used / repeats, err
		}
		return value, noCleanup, nil
	},
}
