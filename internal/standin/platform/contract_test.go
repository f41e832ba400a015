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

// pipeListener hands the server one end of an in-memory connection for each dial.
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
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// overHTTP returns the HTTP adapter, connected to p, and closes it with the test.
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

// check asserts that err is want and, when it is an error, names step and peer.
func check(t *testing.T, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Fatalf("error %v, want %v", err, want)
	}
	var f *fault.Error
	if want != nil && (!errors.As(err, &f) || f.Step != fault.StepPlatform || f.Peer == "") {
		t.Fatalf("error %v names no step and peer", err)
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func value(text string) json.RawMessage { return json.RawMessage(text) }

// contract holds the cases that every client of the object API must meet.
var contract = []struct {
	name string
	run  func(t *testing.T, ctx context.Context, p *Platform, c platform.Client)
}{
	{"get what is missing", func(t *testing.T, ctx context.Context, p *Platform, c platform.Client) {
		_, err := c.Get(ctx, kind, "a")
		check(t, err, platform.ErrNotFound)
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
		check(t, err, platform.ErrExists)
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
		check(t, err, platform.ErrConflict)
		_, err = c.Update(ctx, platform.Object{Kind: kind, Name: "b", Version: 1, Value: value(`1`)})
		check(t, err, platform.ErrNotFound)
	}},
	{"delete needs the stored version", func(t *testing.T, ctx context.Context, p *Platform, c platform.Client) {
		object, err := c.Create(ctx, kind, "a", value(`1`))
		must(t, err)
		check(t, c.Delete(ctx, kind, "a", object.Version+1), platform.ErrConflict)
		must(t, c.Delete(ctx, kind, "a", object.Version))
		check(t, c.Delete(ctx, kind, "a", object.Version), platform.ErrNotFound)
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
		check(t, err, platform.ErrTooLarge)
		_, err = c.Get(ctx, kind, "a")
		check(t, err, platform.ErrNotFound)
	}},
	{"watch delivers every change in order", func(t *testing.T, ctx context.Context, p *Platform, c platform.Client) {
		must(t, c.PutStatus(ctx, kind, "a", value(`1`)))
		must(t, c.PutStatus(ctx, platform.KindNode, "n", value(`1`)))
		var seen []platform.Event
		stop := errors.New("seen enough")
		go func() {
			time.Sleep(time.Minute)
			_ = c.PutStatus(ctx, kind, "a", value(`2`))
			object, _ := c.Get(ctx, kind, "a")
			_ = c.Delete(ctx, kind, "a", object.Version)
		}()
		err := c.Watch(ctx, kind, 0, func(e platform.Event) error {
			seen = append(seen, e)
			if e.Deleted {
				return stop
			}
			return nil
		})
		if !errors.Is(err, stop) {
			t.Fatal(err)
		}
		if len(seen) != 3 || seen[0].Object.Version != 1 || string(seen[1].Object.Value) != `2` || string(seen[2].Object.Value) != `2` {
			t.Fatalf("events %+v", seen)
		}
	}},
	{"watch from a forgotten version", func(t *testing.T, ctx context.Context, p *Platform, c platform.Client) {
		for range testChangeLog + 2 {
			must(t, c.PutStatus(ctx, kind, "a", value(`1`)))
		}
		err := c.Watch(ctx, kind, 1, func(platform.Event) error { return nil })
		check(t, err, platform.ErrTooOld)
	}},
	{"watch ends with its context", func(t *testing.T, ctx context.Context, p *Platform, c platform.Client) {
		limited, cancel := context.WithTimeout(ctx, time.Minute)
		defer cancel()
		err := c.Watch(limited, kind, 0, func(platform.Event) error { return nil })
		check(t, err, context.DeadlineExceeded)
	}},
	{"outage that refuses", func(t *testing.T, ctx context.Context, p *Platform, c platform.Client) {
		p.SetFaults(Faults{Outage: OutageRefuse})
		_, err := c.Create(ctx, kind, "a", value(`1`))
		check(t, err, platform.ErrUnavailable)
		check(t, c.Watch(ctx, kind, 0, nil), platform.ErrUnavailable)
		p.SetFaults(Faults{})
		_, err = c.Get(ctx, kind, "a")
		check(t, err, platform.ErrNotFound)
	}},
	{"outage ends an open watch", func(t *testing.T, ctx context.Context, p *Platform, c platform.Client) {
		time.AfterFunc(time.Minute, func() { p.SetFaults(Faults{Outage: OutageRefuse}) })
		err := c.Watch(ctx, kind, 0, func(platform.Event) error { return nil })
		check(t, err, platform.ErrUnavailable)
	}},
	{"outage that hangs has no effect on what it holds", func(t *testing.T, ctx context.Context, p *Platform, c platform.Client) {
		p.SetFaults(Faults{Outage: OutageHang})
		limited, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		if _, err := c.Create(limited, kind, "a", value(`1`)); err == nil {
			t.Fatal("create succeeded during an outage")
		}
		time.Sleep(time.Second)
		p.SetFaults(Faults{})
		_, err := c.Get(ctx, kind, "a")
		check(t, err, platform.ErrNotFound)
	}},
	{"lost reply: the write took effect", func(t *testing.T, ctx context.Context, p *Platform, c platform.Client) {
		p.SetFaults(Faults{LostReplyShare: 1})
		_, err := c.Create(ctx, kind, "a", value(`1`))
		check(t, err, platform.ErrReplyLost)
		_, err = c.Get(ctx, kind, "a")
		must(t, err)
	}},
	{"late effect: the write takes effect afterwards", func(t *testing.T, ctx context.Context, p *Platform, c platform.Client) {
		p.SetFaults(Faults{LateEffectShare: 1, LateEffectDelay: 3 * time.Second})
		_, err := c.Create(ctx, kind, "a", value(`1`))
		check(t, err, platform.ErrReplyLost)
		_, err = c.Get(ctx, kind, "a")
		check(t, err, platform.ErrNotFound)
		time.Sleep(4 * time.Second)
		_, err = c.Get(ctx, kind, "a")
		must(t, err)
	}},
	{"call rates", func(t *testing.T, ctx context.Context, p *Platform, c platform.Client) {
		p.SetFaults(Faults{WritesPerSecond: 2, ReadsPerSecond: 1})
		must(t, c.PutStatus(ctx, kind, "a", value(`1`)))
		must(t, c.PutStatus(ctx, kind, "a", value(`2`)))
		check(t, c.PutStatus(ctx, kind, "a", value(`3`)), platform.ErrThrottled)
		_, err := c.Get(ctx, kind, "a")
		must(t, err)
		_, err = c.List(ctx, kind)
		check(t, err, platform.ErrThrottled)
		time.Sleep(time.Second)
		got, err := c.Get(ctx, kind, "a")
		must(t, err)
		if string(got.Value) != `2` {
			t.Fatalf("a refused write took effect: %s", got.Value)
		}
	}},
	{"latency and counted calls", func(t *testing.T, ctx context.Context, p *Platform, c platform.Client) {
		p.SetFaults(Faults{Latency: 700 * time.Millisecond})
		start := time.Now()
		_, err := c.List(ctx, kind)
		must(t, err)
		must(t, c.PutStatus(ctx, kind, "a", value(`1`)))
		if took := time.Since(start); took != 1400*time.Millisecond {
			t.Fatalf("two calls took %s", took)
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

// TestHTTPFaults holds what only the HTTP adapter can meet.
func TestHTTPFaults(t *testing.T) {
	t.Run("nobody listens", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must(t, err)
		must(t, listener.Close())
		c := transport.New(transport.Config{BaseURL: "http://" + listener.Addr().String()})
		check(t, c.PutStatus(t.Context(), kind, "a", value(`1`)), platform.ErrUnavailable)
	})
	t.Run("a hanging write is lost, a hanging read unavailable", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			p := New(Options{Faults: Faults{Outage: OutageHang}})
			c := overHTTP(t, p)
			check(t, c.PutStatus(t.Context(), kind, "a", value(`1`)), platform.ErrReplyLost)
			_, err := c.Get(t.Context(), kind, "a")
			check(t, err, platform.ErrUnavailable)
		})
	})
	t.Run("a silent watch breaks", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			p := New(Options{})
			c := overHTTP(t, p)
			time.AfterFunc(time.Minute, func() { p.SetFaults(Faults{Outage: OutageHang}) })
			check(t, c.Watch(t.Context(), kind, 0, nil), platform.ErrUnavailable)
		})
	})
}
