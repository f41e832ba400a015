package peering

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// pipes is a listener whose connections are pipes.
type pipes struct {
	address  string
	accepted chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.accepted:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

func (p *pipes) Addr() net.Addr  { return p }
func (p *pipes) Network() string { return "pipe" }
func (p *pipes) String() string  { return p.address }

// fabric connects the networks of a test. An address without a listener refuses
// connections; one in silent accepts them and never sends anything.
type fabric struct {
	t         *testing.T
	listeners map[string]*pipes
	silent    map[string]bool
	mu        sync.Mutex
	dials     map[string]int
}

func (f *fabric) dial(ctx context.Context, _, address string) (net.Conn, error) {
	f.mu.Lock()
	f.dials[address]++
	f.mu.Unlock()
	clientSide, serverSide := net.Pipe()
	if f.silent[address] {
		f.t.Cleanup(func() { _ = serverSide.Close() })
		return clientSide, nil
	}
	l, ok := f.listeners[address]
	if !ok {
		return nil, fmt.Errorf("%s refuses", address)
	}
	select {
	case l.accepted <- serverSide:
		return clientSide, nil
	case <-l.closed:
		return nil, fmt.Errorf("%s refuses", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (f *fabric) dialled(address string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dials[address]
}

// gauge stores the last value.
type gauge struct {
	mu        sync.Mutex
	connected int
}

func (g *gauge) SetPeers(connected int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.connected = connected
}

func (g *gauge) last() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.connected
}

// start runs a network at the address that equals its name; change may be nil.
func (f *fabric) start(name string, h Handlers, change func(*Network, *Config)) *Network {
	f.t.Helper()
	cfg := Config{
		Self: command.Incarnation{Node: name, Number: 1}, Dial: f.dial, MaxMessageBytes: 64 << 10,
		Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}, Metrics: &gauge{},
	}
	n, err := New(cfg)
	if err != nil {
		f.t.Fatal(err)
	}
	if change != nil {
		change(n, &n.cfg)
	}
	n.SetHandlers(h)
	l := &pipes{address: name, accepted: make(chan net.Conn), closed: make(chan struct{})}
	f.listeners[name] = l
	n.Serve(l)
	return n
}

// vms lists nodes, each at the address that equals its name.
func vms(names ...string) []platform.VM {
	var all []platform.VM
	for _, name := range names {
		all = append(all, platform.VM{ID: name, Group: platform.NodeGroup, PeerAddress: name, State: platform.VMLive})
	}
	return all
}

// withFabric runs a test with a fabric under virtual time.
func withFabric(t *testing.T, test func(f *fabric)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fabric{t: t, listeners: make(map[string]*pipes), silent: make(map[string]bool), dials: make(map[string]int)}
		test(f)
	})
}

func (f *fabric) close(networks ...*Network) {
	f.t.Helper()
	for _, n := range networks {
		if err := n.Close(f.t.Context()); err != nil {
			f.t.Error(err)
		}
	}
}
