package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcconn"

	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
)

// Result is the outcome of one subrequest of a batch.
type Result struct {
	// Index is the position in the batch's shards.
	Index  int
	Status contract.Status
	Body   []byte
	Reason string
}

// Client sends batches over one stream. It is safe for concurrent use. One mutex
// guards the calls in progress and the send queue; it is not held while a message is
// written or a result is delivered.
type Client struct {
	cfg        Config
	conn       *drpcconn.Conn
	stream     contract.DRPCPeer_ExchangeClient
	cancel     context.CancelFunc
	hello      *contract.Hello
	version    uint32
	inFlight   *inFlightLimit
	wake       chan struct{}
	streamDone chan struct{} // closed when the stream has ended

	mu       sync.Mutex
	nextID   uint64
	calls    map[uint64]*call
	queue    []*call
	cancels  []uint64
	draining bool
	err      error
	workers  sync.WaitGroup
}

// Connect opens the stream on a connection, of which the client takes ownership, and
// exchanges hellos. ctx bounds only this exchange.
func Connect(ctx context.Context, raw net.Conn, cfg Config) (*Client, error) {
	streamCtx, cancel := context.WithCancel(context.Background())
	c := &Client{
		cfg:        cfg,
		conn:       drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: cfg.ManagerOptions()}),
		cancel:     cancel,
		wake:       make(chan struct{}, 1),
		streamDone: make(chan struct{}),
		calls:      make(map[uint64]*call),
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	err := c.open(streamCtx)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		cancel()
		_ = c.conn.Close()
		return nil, fault.Wrap(err, fault.StepPeer, raw.RemoteAddr().String(), "open stream")
	}
	c.workers.Add(2)
	go c.write()
	go c.read()
	return c, nil
}

func (c *Client) open(ctx context.Context) error {
	stream, err := contract.NewDRPCPeerClient(c.conn).Exchange(ctx)
	if err != nil {
		return err
	}
	c.stream = stream
	if err := stream.Send(&contract.Request{Hello: c.cfg.Hello()}); err != nil {
		return err
	}
	reply, err := stream.Recv()
	if err != nil {
		return err
	}
	if c.version, err = c.cfg.NegotiateVersion(reply.Hello); err != nil {
		return err
	}
	c.hello = reply.Hello
	c.draining = reply.Draining
	c.inFlight = newInFlightLimit(min(int(reply.Hello.MaxInFlight), c.cfg.MaxInFlight))
	return nil
}

// Version is the version that both sides agreed on.
func (c *Client) Version() uint32 { return c.version }

// Peer is the name of the other side.
func (c *Client) Peer() string { return c.hello.Node }

// Done is closed when the stream has ended.
func (c *Client) Done() <-chan struct{} { return c.streamDone }

// Draining reports whether the other side accepts no new batches.
func (c *Client) Draining() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.draining
}

// Close ends the stream and waits for the client's goroutines. Calls in progress
// end with ErrStreamLost.
func (c *Client) Close() {
	c.fail(ErrStreamLost)
	c.workers.Wait()
}

// call is a batch in progress. Its mutex is held while a result is delivered.
type call struct {
	batch    *contract.Batch
	deadline time.Time
	deliver  func(Result)
	done     chan struct{}

	mu       sync.Mutex
	missing  int
	received []bool
	ended    bool
	sent     bool
}

// Do sends a batch and passes each result to deliver as it arrives, from one goroutine
// at a time and never after Do has returned; deliver must not block. The client takes
// ownership of the batch and sets its id and time left. After a cancelled batch, the next
// one may be refused as long as the other side still runs the cancelled one. Do waits
// until the batch fits the limit of subrequests in flight. It returns nil when every
// shard has its result. Otherwise the shards without a result may have run, except
// after errors that wrap ErrNotSent, ErrTooLarge or ErrDraining: then none has run.
// When ctx ends, the batch is cancelled at the other side; ctx must have a deadline.
func (c *Client) Do(ctx context.Context, batch *contract.Batch, deliver func(Result)) error {
	deadline, ok := ctx.Deadline()
	if !ok || len(batch.Shards) == 0 {
		return fault.Wrap(ErrNotSent, fault.StepPeer, c.Peer(), "batch without deadline or shards")
	}
	if size := proto.Size(batch) + messageSlack; size > int(c.hello.MaxMessageBytes) {
		return fault.Wrap(ErrTooLarge, fault.StepPeer, c.Peer(), "batch of %d bytes", size)
	}
	n := len(batch.Shards)
	if n > c.inFlight.limit {
		return fault.Wrap(ErrTooLarge, fault.StepPeer, c.Peer(), "batch of %d shards", n)
	}
	if err := c.inFlight.acquire(ctx, c.streamDone, n); err != nil {
		return fault.Wrap(ErrNotSent, fault.StepPeer, c.Peer(), "wait for limit of subrequests in flight: %v", err)
	}
	defer c.inFlight.release(n)
	k := &call{batch: batch, deadline: deadline, deliver: deliver, done: make(chan struct{}), missing: n, received: make([]bool, n)}
	if err := c.enqueue(k); err != nil {
		return err
	}
	select {
	case <-k.done:
		return nil
	case <-ctx.Done():
		return c.abandon(k, ctx.Err())
	case <-c.streamDone:
		return c.abandon(k, ErrStreamLost)
	}
}

func (c *Client) enqueue(k *call) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return fault.Wrap(ErrNotSent, fault.StepPeer, c.Peer(), "stream has ended")
	}
	if c.draining {
		return fault.Wrap(ErrDraining, fault.StepPeer, c.Peer(), "batch refused")
	}
	c.nextID++
	k.batch.Id = c.nextID
	c.calls[k.batch.Id] = k
	c.queue = append(c.queue, k)
	c.signal()
	return nil
}

// abandon ends a call before all of its results have arrived, and cancels it at the
// other side if it was sent.
func (c *Client) abandon(k *call, cause error) error {
	k.mu.Lock()
	k.ended = true
	complete := k.missing == 0
	k.mu.Unlock()
	c.mu.Lock()
	delete(c.calls, k.batch.Id)
	sent := k.sent
	if sent && c.err == nil && !complete {
		c.cancels = append(c.cancels, k.batch.Id)
		c.signal()
	}
	c.mu.Unlock()
	switch {
	case complete:
		return nil
	case !sent:
		return fault.Wrap(ErrNotSent, fault.StepPeer, c.Peer(), "batch: %v", cause)
	default:
		return fault.Wrap(cause, fault.StepPeer, c.Peer(), "batch")
	}
}

func (c *Client) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// fail ends the stream.
func (c *Client) fail(cause error) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return
	}
	c.err = cause
	c.mu.Unlock()
	close(c.streamDone)
	c.cancel()
	_ = c.conn.Close()
}
