package peering

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"github.com/hickorydock/hickorydock/internal/coordination/quarantine"
	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/transport/peer"
)

// echoQuery answers a forwarded command with the command's query as the item.
func echoQuery(_ context.Context, f command.ForwardedCommand) (command.Result, error) {
	answer, err := command.NewAnswer("r", command.Target{}, query.Snapshot{}, []query.Item{query.Item(f.Request.Query)})
	return command.Result{Outcome: query.Done, Answer: &answer}, err
}

func commandOfSize(size int) command.ForwardedCommand {
	text, _ := json.Marshal(strings.Repeat("x", size)) // a string always encodes
	return command.ForwardedCommand{Ticket: "t", Service: "s", Request: command.Request{Query: text}}
}

// TestForward checks the outcomes of a forwarded command, and that the next call
// succeeds after each of them.
func TestForward(t *testing.T) {
	tests := []struct {
		name    string
		node    string
		size    int
		forward func(context.Context, command.ForwardedCommand) (command.Result, error)
		change  func(*Network, *Config)
		// maxTime is how long the call takes at most.
		maxTime time.Duration
		want    error // nil: done
		omitted bool
	}{
		{name: "answered", node: "b", size: 10, forward: echoQuery},
		{name: "node not known", node: "x", want: errAny},
		{name: "no listener", node: "gone", want: errAny},
		{name: "no answer", node: "silent", maxTime: 3 * time.Second, want: context.DeadlineExceeded},
		{name: "no handler", node: "b", want: errAny},
		{name: "refused", node: "b", want: errAny, forward: func(context.Context, command.ForwardedCommand) (command.Result, error) {
			return command.Result{}, errors.New("no such service")
		}},
		{name: "handler panics", node: "b", want: errAny, forward: func(context.Context, command.ForwardedCommand) (command.Result, error) {
			panic("broken")
		}},
		{name: "command too large", node: "b", size: 70 << 10, forward: echoQuery, want: peer.ErrTooLarge},
		{name: "answer too large", node: "b", size: 10, omitted: true, forward: func(ctx context.Context, _ command.ForwardedCommand) (command.Result, error) {
			return echoQuery(ctx, commandOfSize(70<<10))
		}},
		{name: "other version", node: "b", forward: echoQuery, want: errAny, change: func(n *Network, _ *Config) {
			n.peerConfig.Version, n.peerConfig.LowestVersion = peer.Version+1, peer.Version+1
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withFabric(t, func(f *fabric) {
				t := f.t
				f.silent["silent"] = true
				received := make(chan quarantine.Report, 1)
				a := f.start("a", Handlers{}, nil)
				b := f.start("b", Handlers{Forward: test.forward, OnReport: func(r quarantine.Report) { received <- r }}, test.change)
				a.SetVMs(vms("a", "b", "gone", "silent"))
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				started := time.Now()
				result, err := a.Forward(ctx, test.node, commandOfSize(test.size))
				if elapsed := time.Since(started); elapsed > test.maxTime {
					t.Errorf("took %s", elapsed)
				}
				checkForward(t, result, err, test.want, test.omitted)
				if test.change == nil {
					for _, kind := range []quarantine.Kind{quarantine.CrashAttributed, quarantine.TrialStarted, quarantine.TrialEnded, quarantine.Cleared} {
						want := quarantine.Report{Kind: kind, Fingerprint: 1, Leaf: "l"}
						a.Broadcast(want)
						if got := <-received; got != want {
							t.Errorf("next call delivered %+v, want %+v", got, want)
						}
					}
				}
				f.close(a, b)
			})
		})
	}
}

// errAny stands for any error.
var errAny = errors.New("any")

func checkForward(t *testing.T, result command.Result, err, want error, omitted bool) {
	t.Helper()
	if want == nil {
		if err != nil || result.Outcome != query.Done || result.Answer == nil || result.Answer.ItemsOmitted != omitted || result.Answer.ItemsHash == "" {
			t.Errorf("result %+v, %v", result, err)
		}
		return
	}
	var e *fault.Error
	if !errors.As(err, &e) || e.Step != fault.StepPeer || e.Peer == "" {
		t.Fatalf("error %v, want one with step and peer", err)
	}
	if want != errAny && !errors.Is(err, want) {
		t.Errorf("error %v, want %v", err, want)
	}
}

// TestOffers checks that replies arrive within the time of one call although other peers
// refuse, are silent or send an offer that is too large.
func TestOffers(t *testing.T) {
	withFabric(t, func(f *fabric) {
		t := f.t
		f.silent["silent"] = true
		offered := Offer{
			HasCatalogue: true, Catalogue: note.Catalogue{Revision: 7, Services: []note.Service{{Name: "s"}}},
			HasVMs: true, VMs: vms("b", "c"), VMsVersion: 9,
		}
		large := offered
		large.Catalogue.Services = []note.Service{{Name: strings.Repeat("x", 70<<10)}}
		a := f.start("a", Handlers{}, func(n *Network, _ *Config) {
			n.directory.bootstrap = []string{"a", "gone", "silent", "b"}
		})
		b := f.start("b", Handlers{Offer: func() Offer { return offered }}, nil)
		c := f.start("c", Handlers{Offer: func() Offer { return Offer{} }}, nil)
		d := f.start("d", Handlers{Offer: func() Offer { return large }}, nil)
		a.SetVMs(vms("a", "b", "c", "d"))
		started := time.Now()
		offers := a.Offers(t.Context())
		if elapsed := time.Since(started); elapsed > offersTimeout {
			t.Errorf("took %s", elapsed)
		}
		found := 0
		for _, o := range offers {
			if o.HasCatalogue && o.Catalogue.Revision == 7 && o.Catalogue.Services[0].Name == "s" && o.HasVMs && len(o.VMs) == 2 && o.VMsVersion == 9 {
				found++
			}
		}
		if len(offers) != 2 || found != 1 {
			t.Errorf("%d offers, %d complete: %+v", len(offers), found, offers)
		}
		f.close(a, b, c, d)
	})
}

// TestConnectionsAreReused checks that successive calls use one connection, that a
// restarted peer gets a new one, and the value of the metric.
func TestConnectionsAreReused(t *testing.T) {
	withFabric(t, func(f *fabric) {
		t := f.t
		a := f.start("a", Handlers{}, nil)
		b := f.start("b", Handlers{Forward: echoQuery}, nil)
		a.SetVMs(vms("a", "b"))
		call := func(want int) {
			t.Helper()
			if _, err := a.Forward(t.Context(), "b", commandOfSize(1)); err != nil {
				t.Fatal(err)
			}
			if got := f.dialled("b"); got != want {
				t.Errorf("%d connections opened, want %d", got, want)
			}
			if connected := a.cfg.Metrics.(*gauge).last(); connected != 1 {
				t.Errorf("connected to %d nodes", connected)
			}
		}
		for range 5 {
			call(1)
		}
		f.close(b)
		synctest.Wait()
		if connected := a.cfg.Metrics.(*gauge).last(); connected != 0 {
			t.Errorf("connected to %d nodes after the peer closed", connected)
		}
		b = f.start("b", Handlers{Forward: echoQuery}, nil)
		call(2)
		f.close(a, b)
	})
}

// TestCallsToOneNodeAreBounded checks the limit, and that a peer at its limit does not
// delay calls to another one.
func TestCallsToOneNodeAreBounded(t *testing.T) {
	withFabric(t, func(f *fabric) {
		t := f.t
		a := f.start("a", Handlers{}, nil)
		slow := f.start("slow", Handlers{Forward: func(ctx context.Context, _ command.ForwardedCommand) (command.Result, error) {
			<-ctx.Done()
			return command.Result{}, ctx.Err()
		}}, nil)
		b := f.start("b", Handlers{Forward: echoQuery}, nil)
		a.SetVMs(vms("a", "b", "slow"))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		ended := make(chan error)
		for range 2 * maxCallsPerNode {
			go func() {
				_, err := a.Forward(ctx, "slow", commandOfSize(1))
				ended <- err
			}()
		}
		synctest.Wait()
		if got := f.dialled("slow"); got != maxCallsPerNode {
			t.Errorf("%d connections, want %d", got, maxCallsPerNode)
		}
		if _, err := a.Forward(ctx, "b", commandOfSize(1)); err != nil {
			t.Error(err)
		}
		for range 2 * maxCallsPerNode {
			if err := <-ended; err == nil {
				t.Error("call to the slow node succeeded")
			}
		}
		f.close(a, b, slow)
	})
}

// TestLeaving checks that a leaving node gets no further reports and calls, that its
// tickets are still forwarded to it, and that its next incarnation is called again.
func TestLeaving(t *testing.T) {
	withFabric(t, func(f *fabric) {
		t := f.t
		received := make(chan quarantine.Report, 4)
		handlers := Handlers{Forward: echoQuery, OnReport: func(r quarantine.Report) { received <- r }, Offer: func() Offer { return Offer{} }}
		a := f.start("a", handlers, nil)
		b := f.start("b", handlers, nil)
		for _, n := range []*Network{a, b} {
			n.SetVMs(vms("a", "b", "gone"))
		}
		b.Leave(t.Context())
		a.Broadcast(quarantine.Report{Fingerprint: 1, Leaf: "l"})
		synctest.Wait()
		if len(received) != 0 || len(a.Offers(t.Context())) != 0 {
			t.Error("a node that leaves was called")
		}
		if _, err := a.Forward(t.Context(), "b", commandOfSize(1)); err != nil {
			t.Errorf("a ticket was not forwarded to a node that leaves: %v", err)
		}
		f.close(b)
		b = f.start("b", handlers, func(n *Network, _ *Config) { n.peerConfig.Incarnation = 2 })
		b.SetVMs(vms("a", "b"))
		if len(b.Offers(t.Context())) != 1 {
			t.Error("the next incarnation got no offer")
		}
		a.Broadcast(quarantine.Report{Fingerprint: 2, Leaf: "l"})
		if got := <-received; got.Fingerprint != 2 {
			t.Errorf("received %+v", got)
		}
		f.close(a, b)
	})
}

// TestCloseWaitsForCalls checks that a network that closes still answers a call in
// progress, and that it ends the call at the limit.
func TestCloseWaitsForCalls(t *testing.T) {
	for _, limit := range []time.Duration{time.Second, 10 * time.Second} {
		t.Run(limit.String(), func(t *testing.T) {
			withFabric(t, func(f *fabric) {
				t := f.t
				a := f.start("a", Handlers{}, nil)
				b := f.start("b", Handlers{Forward: func(ctx context.Context, c command.ForwardedCommand) (command.Result, error) {
					select {
					case <-time.After(3 * time.Second):
						return echoQuery(ctx, c)
					case <-ctx.Done():
						return command.Result{}, ctx.Err()
					}
				}}, nil)
				a.SetVMs(vms("a", "b"))
				ended := make(chan error)
				go func() {
					_, err := a.Forward(t.Context(), "b", commandOfSize(1))
					ended <- err
				}()
				synctest.Wait()
				ctx, cancel := context.WithTimeout(t.Context(), limit)
				defer cancel()
				closed := make(chan error, 1)
				go func() { closed <- b.Close(ctx) }()
				answered := <-ended == nil
				if clean := <-closed == nil; clean != answered || clean != (limit > 3*time.Second) {
					t.Errorf("closed without error %v, answered %v", clean, answered)
				}
				f.close(a)
			})
		})
	}
}

// TestBadMessagesEndOnlyTheirConnection checks that arbitrary bytes, a message over the
// limit and a call with an unknown name end at most their own connection.
func TestBadMessagesEndOnlyTheirConnection(t *testing.T) {
	tests := []struct {
		name string
		send func(ctx context.Context, f *fabric) error
	}{
		{"nonsense", func(ctx context.Context, f *fabric) error {
			raw, err := f.dial(ctx, "pipe", "b")
			if err != nil {
				return err
			}
			defer raw.Close()
			if _, err := raw.Write([]byte("GET / HTTP/1.1\r\n\r\n")); err != nil {
				return err
			}
			_ = raw.SetReadDeadline(time.Now().Add(time.Minute))
			_, err = raw.Read(make([]byte, 1))
			return err
		}},
		{"oversized", func(ctx context.Context, f *fabric) error {
			return invoke(ctx, f, "/hickorydock.peer.v1.Control/Forward", &contract.ForwardRequest{Command: make([]byte, 1<<20)})
		}},
		{"unknown call", func(ctx context.Context, f *fabric) error {
			return invoke(ctx, f, "/hickorydock.peer.v1.Control/Nothing", &contract.OffersRequest{})
		}},
		{"no hello", func(ctx context.Context, f *fabric) error {
			return invoke(ctx, f, "/hickorydock.peer.v1.Control/Offers", &contract.OffersRequest{})
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withFabric(t, func(f *fabric) {
				t := f.t
				a := f.start("a", Handlers{}, nil)
				b := f.start("b", Handlers{Forward: echoQuery, Offer: func() Offer { return Offer{} }}, nil)
				a.SetVMs(vms("a", "b"))
				if _, err := a.Forward(t.Context(), "b", commandOfSize(1)); err != nil {
					t.Fatal(err)
				}
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
				defer cancel()
				if err := test.send(ctx, f); err == nil || ctx.Err() != nil {
					t.Errorf("end of the bad message: %v", err)
				}
				if _, err := a.Forward(t.Context(), "b", commandOfSize(1)); err != nil || f.dialled("b") != 2 {
					t.Errorf("next call: %v, %d connections", err, f.dialled("b"))
				}
				f.close(a, b)
			})
		})
	}
}

// encoding encodes and decodes messages as the generated code does.
type encoding struct{}

func (encoding) Marshal(m drpc.Message) ([]byte, error) { return proto.Marshal(m.(proto.Message)) }
func (encoding) Unmarshal(b []byte, m drpc.Message) error {
	return proto.Unmarshal(b, m.(proto.Message))
}

// invoke makes a call by its name on a separate connection, without the limits that
// senders apply.
func invoke(ctx context.Context, f *fabric, name string, request drpc.Message) error {
	raw, err := f.dial(ctx, "pipe", "b")
	if err != nil {
		return err
	}
	conn := drpcconn.New(raw)
	defer conn.Close()
	return conn.Invoke(ctx, name, encoding{}, request, &contract.ForwardReply{})
}
