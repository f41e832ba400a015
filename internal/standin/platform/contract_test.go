package platform

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	transport "github.com/hickorydock/hickorydock/internal/transport/platform"
)

const kind = platform.KindClaim

// pipeListener accepts one end of an in-memory connection for each dial.
type pipeListener struct {
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe", Net: "pipe"} }

func (l *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	clientConn, serverConn := net.Pipe()
	select {
	case l.conns <- serverConn:
		return clientConn, nil
	case <-l.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// overHTTP returns the HTTP client, connected to p, and closes its connections at
// the end of the test.
func overHTTP(t *testing.T, p *Platform) platform.Client {
	listener := newPipeListener()
	server := &http.Server{Handler: p}
	go func() { _ = server.Serve(listener) }()
	connections := &http.Transport{DialContext: listener.dial}
	t.Cleanup(func() {
		connections.CloseIdleConnections()
		_ = server.Close()
	})
	return transport.New(transport.Config{
		BaseURL:    "http://platform.test",
		HTTPClient: &http.Client{Transport: connections},
		Timeout:    2 * time.Second,
	})
}

// checkError checks that err is want and, if want is an error, that err has the
// platform step and a peer.
func checkError(t *testing.T, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Fatalf("error %v, want %v", err, want)
	}
	var f *fault.Error
	if want != nil && (!errors.As(err, &f) || f.Step != fault.StepPlatform || f.Peer == "") {
		t.Fatalf("error %v without the platform step or a peer", err)
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func value(text string) json.RawMessage { return json.RawMessage(text) }

// contract lists the cases that every client of the object API must pass.
var contract = []struct {
	name string
	run  func(t *testing.T, ctx context.Context, p *Platform, c platform.Client)
}{
	{"get a missing object", func(t *testing.T, ctx context.Context, p *Platform, c platform.Client) {
		_, err := c.Get(ctx, kind, "a")
		checkError(t, err, platform.ErrNotFound)
	}},
	{"create, get, create again", func(t *testing.T, ctx context.Context, p *Platform, c platform.Client) {
		created, err := c.Create(ctx, kind, "a/b c", value(`{"x":1}`))
		must(t, err)
		got, err := c.Get(ctx, kind, "a/b c")
		must(t, err)
		if got.Version == 0 || got.Version != created.Version || string(got.Value) != `{"x":1}` || got.Name != "a/b c" {
			t.Fatalf("got %+v after %+v", got, created)
		}
		_, err = c.Create(ctx, kind, "a/b c", value(`2`))
		checkError(t, err, platform.ErrExists)
	}},
	{"update needs the stored version", func(t *testing.T, ctx context.Context, p *Platform, c platform.Client) {
		first, err := c.Create(ctx, kind, "a", value(`1`))
		must(t, err)
		second := first
		second.Value = value(`2`)
		second, err = c.Update(ctx, second)
		must(t, err)
		if second.Version <= first.Version {
			t.Fatalf("version %d after %d", second.Version, first.Version)
		}
		_, err = c.Update(ctx, first)
		checkError(t, err, platform.ErrConflict)
		_, err = c.Update(ctx, platform.Object{Kind: kind, Name: "b", Version: 1, Value: value(`1`)})
		checkError(t, err, platform.ErrNotFound)
	}},
	{"delete needs the stored version", func(t *testing.T, ctx context.Context, p *Platform, c platform.Client) {
		object, err := c.Create(ctx, kind, "a", value(`1`))
		must(t, err)
		checkError(t, c.Delete(ctx, kind, "a", object.Version+1), platform.ErrConflict)
		must(t, c.Delete(ctx, kind, "a", object.Version))
		checkError(t, c.Delete(ctx, kind, "a", object.Version), platform.ErrNotFound)
	}},
	{"list is sorted and of one kind", func(t *testing.T, ctx context.Context, p *Platform, c platform.Client) {
		must(t, c.PutStatus(ctx, kind, "b", value(`1`)))
		must(t, c.PutStatus(ctx, kind, "a", value(`1`)))
		must(t, c.PutStatus(ctx, platform.KindNode, "n", value(`1`)))
		listing, err := c.List(ctx, kind)
		must(t, err)
		if len(listing.Objects) != 2 || listing.Objects[0].Name != "a" || listing.Version != 3 {
			t.Fatalf("listing %+v", listing)
		}
	}},
	{"a value over the limit", func(t *testing.T, ctx context.Context, p *Platform, c platform.Client) {
		large := value(`"` + strings.Repeat("x", platform.MaxValueBytes) + `"`)
		_, err := c.Create(ctx, kind, "a", large)
		checkError(t, err, platform.ErrTooLarge)
		_, err = c.Get(ctx, kind, "a")
		checkError(t, err, platform.ErrNotFound)
	}},
	{"watch delivers every change in order", func(t *testing.T, ctx context.Context, p *Platform, c platform.Client) {
		must(t, c.PutStatus(ctx, kind, "a", value(`1`)))
		must(t, c.PutStatus(ctx, platform.KindNode, "n", value(`1`)))
		var events []platform.Event
		stop := errors.New("all events received")
		go func() {
			time.Sleep(time.Minute)
			_ = c.PutStatus(ctx, kind, "a", value(`2`))
			object, _ := c.Get(ctx, kind, "a")
			_ = c.Delete(ctx, kind, "a", object.Version)
		}()
		err := c.Watch(ctx, kind, 0, func(e platform.Event) error {
			events = append(events, e)
			if e.Deleted {
				return stop
			}
			return nil
		})
		if !errors.Is(err, stop) {
			t.Fatal(err)
		}
		if len(events) != 3 || events[0].Object.Version != 1 || string(events[1].Object.Value) != `2` || string(events[2].Object.Value) != `2` {
			t.Fatalf("events %+v", events)
		}
	}},
	{"watch from a compacted version", func(t *testing.T, ctx context.Context, p *Platform, c platform.Client) {
		for range testChangeLog + 2 {
			must(t, c.PutStatus(ctx, kind, "a", value(`1`)))
		}
		err := c.Watch(ctx, kind, 1, func(platform.Event) error { return nil })
		checkError(t, err, platform.ErrTooOld)
	}},
	{"watch ends with its context", func(t *testing.T, ctx context.Context, p *Platform, c platform.Client) {
		limitedCtx, cancel := context.WithTimeout(ctx, time.Minute)
		defer cancel()
		err := c.Watch(limitedCtx, kind, 0, func(platform.Event) error { return nil })
		checkError(t, err, context.DeadlineExceeded)
	}},
	{"outage that refuses", func(t *testing.T, ctx context.Context, p *Platform, c platform.Client) {
		p.SetFaults(Faults{Outage: OutageRefuse})
		_, err := c.Create(ctx, kind, "a", value(`1`))
		checkError(t, err, platform.ErrUnavailable)
		checkError(t, c.Watch(ctx, kind, 0, nil), platform.ErrUnavailable)
		p.SetFaults(Faults{})
		_, err = c.Get(ctx, kind, "a")
		checkError(t, err, platform.ErrNotFound)
	}},
	{"outage ends an open watch", func(t *testing.T, ctx context.Context, p *Platform, c platform.Client) {
		time.AfterFunc(time.Minute, func() { p.SetFaults(Faults{Outage: OutageRefuse}) })
		err := c.Watch(ctx, kind, 0, func(platform.Event) error { return nil })
		checkError(t, err, platform.ErrUnavailable)
	}},
	{"calls blocked by a hanging outage have no effect", func(t *testing.T, ctx context.Context, p *Platform, c platform.Client) {
		p.SetFaults(Faults{Outage: OutageHang})
		limitedCtx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		if _, err := c.Create(limitedCtx, kind, "a", value(`1`)); err == nil {
			t.Fatal("create succeeded during an outage")
		}
		time.Sleep(time.Second)
		p.SetFaults(Faults{})
		_, err := c.Get(ctx, kind, "a")
		checkError(t, err, platform.ErrNotFound)
	}},
	{"lost reply: the write took effect", func(t *testing.T, ctx context.Context, p *Platform, c platform.Client) {
		p.SetFaults(Faults{LostReplyShare: 1})
		_, err := c.Create(ctx, kind, "a", value(`1`))
		checkError(t, err, platform.ErrReplyLost)
		_, err = c.Get(ctx, kind, "a")
		must(t, err)
	}},
	{"late effect: the write takes effect afterwards", func(t *testing.T, ctx context.Context, p *Platform, c platform.Client) {
		p.SetFaults(Faults{LateEffectShare: 1, LateEffectDelay: 3 * time.Second})
		_, err := c.Create(ctx, kind, "a", value(`1`))
		checkError(t, err, platform.ErrReplyLost)
		_, err = c.Get(ctx, kind, "a")
		checkError(t, err, platform.ErrNotFound)
		time.Sleep(4 * time.Second)
		_, err = c.Get(ctx, kind, "a")
		must(t, err)
	}},
	{"call rates", func(t *testing.T, ctx context.Context, p *Platform, c platform.Client) {
		p.SetFaults(Faults{WritesPerSecond: 2, ReadsPerSecond: 1})
		must(t, c.PutStatus(ctx, kind, "a", value(`1`)))
		must(t, c.PutStatus(ctx, kind, "a", value(`2`)))
		checkError(t, c.PutStatus(ctx, kind, "a", value(`3`)), platform.ErrThrottled)
		_, err := c.Get(ctx, kind, "a")
		must(t, err)
		_, err = c.List(ctx, kind)
		checkError(t, err, platform.ErrThrottled)
		time.Sleep(time.Second)
		got, err := c.Get(ctx, kind, "a")
		must(t, err)
		if string(got.Value) != `2` {
			t.Fatalf("a throttled write took effect: %s", got.Value)
		}
	}},
	{"latency and counted calls", func(t *testing.T, ctx context.Context, p *Platform, c platform.Client) {
		p.SetFaults(Faults{Latency: 700 * time.Millisecond})
		start := time.Now()
		_, err := c.List(ctx, kind)
		must(t, err)
		must(t, c.PutStatus(ctx, kind, "a", value(`1`)))
		if elapsed := time.Since(start); elapsed != 1400*time.Millisecond {
			t.Fatalf("two calls took %s", elapsed)
		}
		calls := p.Calls()
		if calls[Call{MethodList, kind}] != 1 || calls[Call{MethodPutStatus, kind}] != 1 || len(calls) != 2 {
			t.Fatalf("calls %v", calls)
		}
	}},
}

const testChangeLog = 8

func TestContract(t *testing.T) {
	clients := []struct {
		name    string
		connect func(*testing.T, *Platform) platform.Client
	}{
		{"in process", func(_ *testing.T, p *Platform) platform.Client { return p.Client() }},
		{"http", overHTTP},
	}
	for _, client := range clients {
		for _, c := range contract {
			t.Run(client.name+"/"+c.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					p := New(Options{Seed: 1, ChangeLogSize: testChangeLog})
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					c.run(t, ctx, p, client.connect(t, p))
				})
			})
		}
	}
}

// TestHTTPFaults checks failures that only the HTTP client can see.
func TestHTTPFaults(t *testing.T) {
	t.Run("no listener", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must(t, err)
		must(t, listener.Close())
		c := transport.New(transport.Config{BaseURL: "http://" + listener.Addr().String()})
		checkError(t, c.PutStatus(t.Context(), kind, "a", value(`1`)), platform.ErrUnavailable)
	})
	t.Run("a hanging write loses its reply, a hanging read is unavailable", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			p := New(Options{Faults: Faults{Outage: OutageHang}})
			c := overHTTP(t, p)
			checkError(t, c.PutStatus(t.Context(), kind, "a", value(`1`)), platform.ErrReplyLost)
			_, err := c.Get(t.Context(), kind, "a")
			checkError(t, err, platform.ErrUnavailable)
		})
	})
	t.Run("a watch without heartbeats fails", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			p := New(Options{})
			c := overHTTP(t, p)
			time.AfterFunc(time.Minute, func() { p.SetFaults(Faults{Outage: OutageHang}) })
			checkError(t, c.Watch(t.Context(), kind, 0, nil), platform.ErrUnavailable)
		})
	})
}
