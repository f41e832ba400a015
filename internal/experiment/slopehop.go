package experiment

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
	"github.com/hickorydock/hickorydock/internal/transport/peer"
)

// batchHandler answers every shard with the same body. It waits for gap before each
// result.
type batchHandler struct {
	body []byte
	gap  time.Duration
}

// Serve sends the results of a batch.
func (h batchHandler) Serve(_ context.Context, b *contract.Batch, reply func(peer.Result)) {
	for i := range b.Shards {
		if h.gap > 0 {
			time.Sleep(h.gap)
		}
		reply(peer.Result{Index: i, Status: contract.Status_STATUS_OK, Body: h.body})
	}
}

// countedConn counts the bytes that a connection reads and writes.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts what it reads.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts what it writes.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// hop is a server for batches between nodes on loopback, with the count of the bytes
// of its clients.
type hop struct {
	server   *peer.Server
	listener net.Listener
	bytes    atomic.Int64
}

func newHop(handler batchHandler) (*hop, error) {
	server, err := peer.NewServer(peer.DefaultConfig("node-2", 1), handler)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() { _ = server.Serve(listener) }()
	return &hop{server: server, listener: listener}, nil
}

func (h *hop) connect(ctx context.Context) (*peer.Client, error) {
	raw, err := net.Dial("tcp", h.listener.Addr().String())
	if err != nil {
		return nil, err
	}
	return peer.Connect(ctx, countedConn{raw, &h.bytes}, peer.DefaultConfig("node-1", 1))
}

func (h *hop) close() {
	_ = h.listener.Close()
	h.server.Close()
}

// sendBatch sends one batch and waits for its results.
func sendBatch(ctx context.Context, c *peer.Client, size int) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	shards := make([]uint32, size)
	for i := range shards {
		shards[i] = uint32(i)
	}
	b := &contract.Batch{
		RequestId: "0123456789abcdef", Service: "licence-desk", MapGeneration: 3, IndexVersion: 9,
		Shards: shards, Body: make([]byte, slopeRequestBytes),
	}
	return c.Do(ctx, b, func(peer.Result) {})
}

// prepareHop measures count batches of each size and returns the mean per batch.
func prepareHop(gap time.Duration, count int, measure func(h *hop, run func() error) (float64, error)) func(context.Context) (func(int) (float64, error), func(), error) {
	return func(ctx context.Context) (func(int) (float64, error), func(), error) {
		h, err := newHop(batchHandler{body: make([]byte, slopeReplyBytes), gap: gap})
		if err != nil {
			return nil, nil, err
		}
		c, err := h.connect(ctx)
		if err != nil {
			h.close()
			return nil, nil, err
		}
		value := func(size int) (float64, error) {
			used, err := measure(h, func() error {
				return runConcurrently(count, func() error { return sendBatch(ctx, c, size) })
			})
			return used / float64(count), err
		}
		return value, func() { c.Close(); h.close() }, nil
	}
}

func hopCPU(_ *hop, run func() error) (float64, error) { return cpuMicroseconds(run) }

var batchSource = slopeSource{
	name: "batch", unit: unitMicroseconds, sizeUnit: "subrequest of a batch between nodes, both sides; the base is the batch's",
	sizes: []int{1, 5, 20, 80}, prepare: prepareHop(0, 2000, hopCPU),
}

// scatteredGap is the time between two results of a batch whose shards answer
// one after another.
const scatteredGap = time.Millisecond

var scatteredSource = slopeSource{
	name: "scattered_batch", unit: unitMicroseconds, sizeUnit: "subrequest of a batch whose results come 1 ms after each other, both sides",
	sizes: []int{1, 5, 10, 20}, prepare: prepareHop(scatteredGap, 160, hopCPU),
}

var batchBytesSource = slopeSource{
	name: "batch_bytes", unit: unitBytes, sizeUnit: "subrequest of a batch, both directions; the base is the batch's",
	sizes: []int{1, 5, 20, 80},
	prepare: prepareHop(0, 80, func(h *hop, run func() error) (float64, error) {
		before := h.bytes.Load()
		err := run()
		return float64(h.bytes.Load() - before), err
	}),
}

var streamMemorySource = slopeSource{
	name: "stream_memory", unit: unitBytes, sizeUnit: "idle stream between nodes, both sides, heap and stacks",
	sizes: []int{25, 50, 100, 150},
	prepare: func(ctx context.Context) (func(int) (float64, error), func(), error) {
		value := func(streams int) (float64, error) {
			h, err := newHop(batchHandler{body: make([]byte, slopeReplyBytes)})
			if err != nil {
				return 0, err
			}
			defer h.close()
			var clients []*peer.Client
			defer func() {
				for _, c := range clients {
					c.Close()
				}
			}()
			return heapGrowth(func() (any, error) {
				for range streams {
					c, err := h.connect(ctx)
					if err != nil {
						return nil, err
					}
					clients = append(clients, c)
					if err := sendBatch(ctx, c, 5); err != nil {
						return nil, err
					}
				}
				return clients, nil
			})
		}
		return value, noCleanup, nil
	},
}
