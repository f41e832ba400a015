package peer

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

// stream is the receiving side of one stream. One mutex guards the fields below it; it
// is not held while a message is written or a handler runs.
type stream struct {
	server   *Server
	raw      contract.DRPCPeer_ExchangeStream
	maxBytes int
	ctx      context.Context
	cancel   context.CancelFunc
	wake     chan struct{}
	running  sync.WaitGroup

	mu           sync.Mutex
	batches      map[uint64]context.CancelFunc
	inFlight     int
	results      []*contract.Result
	writing      int  // results in the message being written
	drainPending bool // the sender has yet to be notified of the drain
	draining     bool
	idle         chan struct{} // closed when draining and no batch or result is left
}

func newStream(s *Server, raw contract.DRPCPeer_ExchangeStream, maxBytes int) *stream {
	ctx, cancel := context.WithCancel(raw.Context())
	return &stream{
		server:   s,
		raw:      raw,
		maxBytes: maxBytes,
		ctx:      ctx,
		cancel:   cancel,
		wake:     make(chan struct{}, 1),
		batches:  make(map[uint64]context.CancelFunc),
		idle:     make(chan struct{}),
	}
}

// run serves the stream until it ends.
func (x *stream) run() error {
	written := make(chan struct{})
	go func() {
		defer close(written)
		x.write()
	}()
	err := x.read()
	x.cancel()
	x.running.Wait()
	<-written
	return err
}

func (x *stream) read() error {
	for {
		request, err := x.raw.Recv()
		if err != nil {
			return err
		}
		for _, b := range request.Batches {
			if err := x.startBatch(b); err != nil {
				return err
			}
		}
		for _, id := range request.Cancels {
			x.cancelBatch(id)
		}
	}
}

// startBatch starts a batch, or refuses it when the stream is draining or the sender
// exceeds the limit that it was sent in the hello.
func (x *stream) startBatch(b *contract.Batch) error {
	ctx, cancel := context.WithTimeout(x.ctx, time.Duration(b.TimeLeftUs)*time.Microsecond)
	x.mu.Lock()
	if _, used := x.batches[b.Id]; used {
		x.mu.Unlock()
		cancel()
		return fault.Wrap(ErrProtocol, fault.StepPeer, "", "batch id %d used twice", b.Id)
	}
	refused := x.draining || x.inFlight+len(b.Shards) > x.server.cfg.MaxInFlight
	if refused {
		x.mu.Unlock()
		cancel()
		x.refuse(b)
		return nil
	}
	x.batches[b.Id] = cancel
	x.inFlight += len(b.Shards)
	x.mu.Unlock()
	x.running.Add(1)
	go x.serve(ctx, b)
	return nil
}

func (x *stream) refuse(b *contract.Batch) {
	refusals := make([]*contract.Result, len(b.Shards))
	for i := range refusals {
		refusals[i] = &contract.Result{
			Batch:  b.Id,
			Index:  uint32(i),
			Status: contract.Status_STATUS_NOT_RUN,
			Reason: string(query.ReasonLimit),
		}
	}
	x.enqueue(refusals...)
}

// cancelBatch cancels a batch at the request of its sender.
func (x *stream) cancelBatch(id uint64) {
	x.mu.Lock()
	cancel := x.batches[id]
	x.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// answeredShards records which shards of a batch have a result.
type answeredShards struct {
	mu   sync.Mutex
	done []bool
}

// markDone marks a shard as done and reports whether it was not done before.
func (r *answeredShards) markDone(index int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if index < 0 || index >= len(r.done) || r.done[index] {
		return false
	}
	r.done[index] = true
	return true
}

func (x *stream) serve(ctx context.Context, b *contract.Batch) {
	defer x.running.Done()
	answered := &answeredShards{done: make([]bool, len(b.Shards))}
	x.runHandler(ctx, b, func(r Result) {
		if answered.markDone(r.Index) {
			x.queueResult(x.encode(b.Id, r))
		}
	})
	for i := range b.Shards {
		if answered.markDone(i) {
			reason := query.ReasonUpstreamError
			if ctx.Err() != nil {
				reason = query.ReasonDeadline
			}
			x.queueResult(&contract.Result{Batch: b.Id, Index: uint32(i), Status: contract.Status_STATUS_FAILED, Reason: string(reason)})
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.batches[b.Id]()
	delete(x.batches, b.Id)
	x.checkIdle()
}

// runHandler runs a batch. If the handler panics, the shards without a result fail.
func (x *stream) runHandler(ctx context.Context, b *contract.Batch, reply func(Result)) {
	defer x.server.cfg.recovered("batch of request "+b.RequestId, func() {})
	x.server.handler.Serve(ctx, b, reply)
}

// queueResult queues the result of a subrequest in flight. The subrequest no longer counts
// as in flight before the sender can receive the result, so a sender that respects the
// limit is not refused.
func (x *stream) queueResult(r *contract.Result) {
	x.mu.Lock()
	x.inFlight--
	x.results = append(x.results, r)
	x.mu.Unlock()
	x.signal()
}

// encode turns a result into its message; one that is too large becomes a failure.
func (x *stream) encode(id uint64, r Result) *contract.Result {
	out := &contract.Result{Batch: id, Index: uint32(r.Index), Status: r.Status, Body: r.Body, Reason: r.Reason}
	if proto.Size(out)+messageSlack > x.maxBytes {
		out.Status = contract.Status_STATUS_FAILED
		out.Body = nil
		out.Reason = string(query.ReasonLimit)
	}
	return out
}

// enqueue queues results of subrequests that were never in flight.
func (x *stream) enqueue(results ...*contract.Result) {
	x.mu.Lock()
	x.results = append(x.results, results...)
	x.mu.Unlock()
	x.signal()
}

func (x *stream) signal() {
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// write sends results until the stream ends.
func (x *stream) write() {
	for {
		select {
		case <-x.ctx.Done():
			return
		case <-x.wake:
		}
		for {
			reply := x.next()
			if reply == nil {
				break
			}
			if err := x.raw.Send(reply); err != nil {
				x.cancel()
				return
			}
			x.onWritten()
		}
	}
}

// next removes as many results from the queue as fit in one message, or returns nil.
func (x *stream) next() *contract.Reply {
	x.mu.Lock()
	defer x.mu.Unlock()
	size, n := messageSlack, 0
	for _, r := range x.results {
		size += proto.Size(r) + resultOverhead
		if n > 0 && size > x.maxBytes {
			break
		}
		n++
	}
	reply := &contract.Reply{Results: x.results[:n:n], Draining: x.drainPending}
	x.results = x.results[n:]
	if len(x.results) == 0 {
		x.results = nil
	}
	x.writing = n
	x.drainPending = false
	if n == 0 && !reply.Draining {
		return nil
	}
	return reply
}

// resultOverhead bounds the tag and length of a result within a message.
const resultOverhead = 8

func (x *stream) onWritten() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.writing = 0
	x.checkIdle()
}

// announceDrain refuses new batches and notifies the sender.
func (x *stream) announceDrain() {
	x.mu.Lock()
	x.draining = true
	x.drainPending = true
	x.checkIdle()
	x.mu.Unlock()
	x.signal()
}

// checkIdle closes idle when the stream has drained. The caller holds the lock.
func (x *stream) checkIdle() {
	if !x.draining || len(x.batches) > 0 || len(x.results) > 0 || x.writing > 0 || x.drainPending {
		return
	}
	select {
	case <-x.idle:
	default:
		close(x.idle)
	}
}

func (x *stream) awaitIdle(ctx context.Context) error {
	select {
	case <-x.idle:
		return nil
	case <-x.ctx.Done():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
