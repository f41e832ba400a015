package peer

import (
	"context"
	"net"
	"sync"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
)

// Handler runs batches. Serve calls reply once for each shard, in any order and from
// any goroutine, and returns when all of them are done. ctx ends when the time left has
// passed, the sender cancels the batch or the stream breaks. Shards without a reply
// when Serve returns are reported as failed.
type Handler interface {
	Serve(ctx context.Context, batch *contract.Batch, reply func(Result))
}

// Server accepts streams from other nodes. It is safe for concurrent use.
type Server struct {
	cfg     Config
	handler Handler
	drpc    *drpcserver.Server

	mu       sync.Mutex
	streams  map[*stream]struct{}
	conns    map[net.Conn]struct{}
	draining bool
	closed   bool
	running  sync.WaitGroup
}

// NewServer returns a server that passes batches to handler.
func NewServer(cfg Config, handler Handler) (*Server, error) {
	s := &Server{cfg: cfg, handler: handler, streams: make(map[*stream]struct{}), conns: make(map[net.Conn]struct{})}
	mux := drpcmux.New()
	if err := contract.DRPCRegisterPeer(mux, s); err != nil {
		return nil, err
	}
	s.drpc = drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: cfg.ManagerOptions()})
	return s, nil
}

// Serve accepts connections until the listener is closed. It returns the
// listener's error.
func (s *Server) Serve(listener net.Listener) error {
	for {
		raw, err := listener.Accept()
		if err != nil {
			return err
		}
		go s.ServeConn(raw)
	}
}

// ServeConn serves one connection until it ends and closes it.
func (s *Server) ServeConn(raw net.Conn) {
	if !s.track(raw) {
		_ = raw.Close()
		return
	}
	defer s.running.Done()
	// A connection that ends is not an error of the server; senders get ErrStreamLost.
	_ = s.drpc.ServeOne(context.Background(), raw)
	_ = raw.Close()
	s.mu.Lock()
	delete(s.conns, raw)
	s.mu.Unlock()
}

func (s *Server) track(raw net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[raw] = struct{}{}
	s.running.Add(1)
	return true
}

// Exchange serves one stream; it is called by drpc.
func (s *Server) Exchange(raw contract.DRPCPeer_ExchangeStream) error {
	first, err := raw.Recv()
	if err != nil {
		return err
	}
	if _, err := s.cfg.Introduce(raw.Context(), first.Hello); err != nil {
		// The hello carries this side's versions, from which the sender derives the
		// same error.
		_ = raw.Send(&contract.Reply{Hello: s.cfg.Hello()})
		return err
	}
	x := newStream(s, raw, min(s.cfg.MaxMessageBytes, int(first.Hello.MaxMessageBytes)))
	draining := s.add(x)
	defer s.remove(x)
	if err := raw.Send(&contract.Reply{Hello: s.cfg.Hello(), Draining: draining}); err != nil {
		return err
	}
	return x.run()
}

func (s *Server) add(x *stream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[x] = struct{}{}
	return s.draining
}

func (s *Server) remove(x *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, x)
}

// Drain notifies all senders to send no new batches and waits until those in progress
// have ended and their results are written, or ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	all := make([]*stream, 0, len(s.streams))
	for x := range s.streams {
		all = append(all, x)
	}
	s.mu.Unlock()
	for _, x := range all {
		x.announceDrain()
	}
	for _, x := range all {
		if err := x.awaitIdle(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Close ends all connections and waits for their handlers.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for raw := range s.conns {
		_ = raw.Close()
	}
	s.mu.Unlock()
	s.running.Wait()
}
