package peer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
)

// handlerFunc is a Handler.
type handlerFunc func(ctx context.Context, b *contract.Batch, reply func(Result))

func (f handlerFunc) Serve(ctx context.Context, b *contract.Batch, reply func(Result)) {
	f(ctx, b, reply)
}

func bodyOf(request string, shard uint32) string { return fmt.Sprintf("%s/%d", request, shard) }

func ok(b *contract.Batch, i int) Result {
	return Result{Index: i, Status: contract.Status_STATUS_OK, Body: []byte(bodyOf(b.RequestId, b.Shards[i]))}
}

func echo(_ context.Context, b *contract.Batch, reply func(Result)) {
	for i := range b.Shards {
		reply(ok(b, i))
	}
}

// pair connects a client with a server over a pipe.
func pair(t *testing.T, client, server Config, h handlerFunc) (*Client, *Server, error) {
	t.Helper()
	s, err := NewServer(server, h)
	if err != nil {
		t.Fatal(err)
	}
	clientSide, serverSide := net.Pipe()
	go s.ServeConn(serverSide)
	c, err := Connect(t.Context(), clientSide, client)
	t.Cleanup(func() {
		if c != nil {
			c.Close()
		}
		s.Close()
	})
	return c, s, err
}

func connected(t *testing.T, cfg Config, h handlerFunc) (*Client, *Server) {
	t.Helper()
	c, s, err := pair(t, cfg, cfg, h)
	if err != nil {
		t.Fatal(err)
	}
	return c, s
}

func config() Config { return DefaultConfig("node-1", 7) }

func batchOf(request string, shards ...uint32) *contract.Batch {
	return &contract.Batch{RequestId: request, Service: "licence-desk", Shards: shards, Body: []byte(`{"query":1}`)}
}

// collected gathers the results of one call.
type collected struct {
	mu  sync.Mutex
	all []Result
}

func (c *collected) add(r Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, r)
}

func (c *collected) statuses(n int) []contract.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]contract.Status, n)
	for _, r := range c.all {
		out[r.Index] = r.Status
	}
	return out
}

func TestResults(t *testing.T) {
	const (
		okay   = contract.Status_STATUS_OK
		notRun = contract.Status_STATUS_NOT_RUN
		failed = contract.Status_STATUS_FAILED
	)
	small := config()
	small.MaxMessageBytes = 4 << 10
	tests := []struct {
		name    string
		cfg     Config
		handler handlerFunc
		want    []contract.Status
	}{
		{"in order", config(), echo, []contract.Status{okay, okay, okay}},
		{"backwards", config(), func(_ context.Context, b *contract.Batch, reply func(Result)) {
			for i := len(b.Shards) - 1; i >= 0; i-- {
				reply(ok(b, i))
			}
		}, []contract.Status{okay, okay, okay}},
		{"one missing", config(), func(_ context.Context, b *contract.Batch, reply func(Result)) {
			reply(ok(b, 0))
			reply(ok(b, 2))
		}, []contract.Status{okay, failed, okay}},
		{"twice and out of range", config(), func(_ context.Context, b *contract.Batch, reply func(Result)) {
			reply(Result{Index: 1, Status: notRun})
			reply(ok(b, 1))
			reply(Result{Index: 9, Status: okay})
			reply(Result{Index: -1, Status: okay})
			reply(ok(b, 0))
			reply(ok(b, 2))
		}, []contract.Status{okay, notRun, okay}},
		{"status of a newer version", config(), func(ctx context.Context, b *contract.Batch, reply func(Result)) {
			reply(Result{Index: 0, Status: 99})
			reply(ok(b, 1))
			reply(ok(b, 2))
		}, []contract.Status{failed, okay, okay}},
		{"reply too large", small, func(_ context.Context, b *contract.Batch, reply func(Result)) {
			reply(Result{Index: 0, Status: okay, Body: make([]byte, 5<<10)})
			reply(Result{Index: 1, Status: okay, Body: make([]byte, 2<<10)})
			reply(Result{Index: 2, Status: okay, Body: make([]byte, 2<<10)})
		}, []contract.Status{failed, okay, okay}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, _ := connected(t, test.cfg, test.handler)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			var got collected
			if err := c.Do(ctx, batchOf("r", 4, 5, 6), got.add); err != nil {
				t.Fatal(err)
			}
			if statuses := got.statuses(3); !slices.Equal(statuses, test.want) || len(got.all) != 3 {
				t.Fatalf("got %v in %d results, want %v", statuses, len(got.all), test.want)
			}
		})
	}
}

func TestVersions(t *testing.T) {
	tests := []struct {
		name                         string
		client, clientLow            uint32
		server, serverLow            uint32
		want                         uint32
		refuse, withoutCommonVersion bool
	}{
		{name: "same", client: 1, clientLow: 1, server: 1, serverLow: 1, want: 1},
		{name: "newer client", client: 2, clientLow: 1, server: 1, serverLow: 1, want: 1},
		{name: "newer server", client: 1, clientLow: 1, server: 3, serverLow: 1, want: 1},
		{name: "client has dropped the server's version", client: 3, clientLow: 2, server: 1, serverLow: 1, refuse: true},
		{name: "server has dropped the client's version", client: 1, clientLow: 1, server: 3, serverLow: 2, refuse: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			client, server := config(), config()
			client.Version, client.LowestVersion = test.client, test.clientLow
			server.Version, server.LowestVersion = test.server, test.serverLow
			c, _, err := pair(t, client, server, echo)
			if test.refuse {
				if !errors.Is(err, ErrVersion) {
					t.Fatalf("got %v, want ErrVersion", err)
				}
				return
			}
			if err != nil || c.Version() != test.want {
				t.Fatalf("got %v, want version %d", err, test.want)
			}
		})
	}
}

// TestUnknownFields sends a field that this version does not define.
func TestUnknownFields(t *testing.T) {
	c, _ := connected(t, config(), echo)
	b := batchOf("r", 1)
	b.ProtoReflect().SetUnknown([]byte{0xf8, 0x3f, 0x01}) // field 1023, varint 1
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	var got collected
	if err := c.Do(ctx, b, got.add); err != nil || len(got.all) != 1 {
		t.Fatal(err, got.all)
	}
}

func TestSlowShardDoesNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := connected(t, config(), func(ctx context.Context, b *contract.Batch, reply func(Result)) {
			reply(ok(b, 0))
			reply(ok(b, 2))
			time.Sleep(500 * time.Millisecond)
			reply(ok(b, 1))
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		started := time.Now()
		at := make(map[int]time.Duration)
		err := c.Do(ctx, batchOf("r", 1, 2, 3), func(r Result) { at[r.Index] = time.Since(started) })
		if err != nil || at[0] != 0 || at[2] != 0 || at[1] != 500*time.Millisecond {
			t.Fatal(err, at)
		}
	})
}

func TestTimeLeftIsForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		left := make(chan time.Duration, 1)
		c, _ := connected(t, config(), func(ctx context.Context, b *contract.Batch, reply func(Result)) {
			deadline, _ := ctx.Deadline()
			left <- time.Until(deadline)
			<-ctx.Done()
		})
		ctx, cancel := context.WithTimeout(t.Context(), 61*time.Millisecond)
		defer cancel()
		err := c.Do(ctx, batchOf("r", 1), func(Result) {})
		if got := <-left; got != 61*time.Millisecond {
			t.Fatalf("handler had %v left", got)
		}
		// The result of the other side's own deadline and the end of ctx race.
		if err != nil && !errors.Is(err, context.DeadlineExceeded) {
			t.Fatal(err)
		}
	})
}

func TestCancelIsForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan error, 1)
		c, _ := connected(t, config(), func(ctx context.Context, b *contract.Batch, reply func(Result)) {
			reply(ok(b, 0))
			<-ctx.Done()
			reply(ok(b, 1))
			ended <- ctx.Err()
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		var got collected
		time.AfterFunc(time.Second, cancel)
		err := c.Do(ctx, batchOf("r", 1, 2), got.add)
		if !errors.Is(err, context.Canceled) || errors.Is(err, ErrNotSent) {
			t.Fatalf("got %v", err)
		}
		if cause := <-ended; !errors.Is(cause, context.Canceled) {
			t.Fatalf("handler saw %v", cause)
		}
		synctest.Wait()
		if len(got.all) != 1 {
			t.Fatalf("%d results, one came before the cancellation", len(got.all))
		}
	})
}

func TestMaxInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := config()
		cfg.MaxInFlight = 4
		var mu sync.Mutex
		running, peak := 0, 0
		c, _ := connected(t, cfg, func(ctx context.Context, b *contract.Batch, reply func(Result)) {
			mu.Lock()
			running += len(b.Shards)
			peak = max(peak, running)
			mu.Unlock()
			time.Sleep(10 * time.Millisecond)
			mu.Lock()
			running -= len(b.Shards)
			mu.Unlock()
			echo(ctx, b, reply)
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		var calls sync.WaitGroup
		for i := range 10 {
			calls.Go(func() {
				var got collected
				err := c.Do(ctx, batchOf(fmt.Sprint(i), 1, 2), got.add)
				if err != nil || !slices.Equal(got.statuses(2), []contract.Status{1, 1}) {
					t.Error(err, got.all)
				}
			})
		}
		calls.Wait()
		if peak != 4 {
			t.Fatalf("%d in flight at the same time, limit 4", peak)
		}
		if err := c.Do(ctx, batchOf("r", 1, 2, 3, 4, 5), func(Result) {}); !errors.Is(err, ErrTooLarge) {
			t.Fatalf("got %v for more shards than the limit", err)
		}
	})
}

func TestRefusedBatchesAreNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := config()
		cfg.MaxInFlight = 1
		cfg.MaxMessageBytes = 4 << 10
		served := 0
		c, s := connected(t, cfg, func(ctx context.Context, b *contract.Batch, reply func(Result)) {
			served++
			<-ctx.Done()
		})
		long, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		large := batchOf("r", 1)
		large.Body = make([]byte, 8<<10)
		if err := c.Do(long, large, func(Result) {}); !errors.Is(err, ErrTooLarge) {
			t.Fatalf("got %v for a large batch", err)
		}
		if err := c.Do(t.Context(), batchOf("r", 1), func(Result) {}); !errors.Is(err, ErrNotSent) {
			t.Fatalf("got %v without a deadline", err)
		}
		first := make(chan error, 1)
		go func() { first <- c.Do(long, batchOf("first", 1), func(Result) {}) }()
		synctest.Wait()
		short, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		if err := c.Do(short, batchOf("second", 1), func(Result) {}); !errors.Is(err, ErrNotSent) {
			t.Fatalf("got %v for a batch beyond the limit in flight", err)
		}
		s.Close()
		if err := <-first; !errors.Is(err, ErrStreamLost) || errors.Is(err, ErrNotSent) {
			t.Fatalf("got %v for a batch in progress when the stream broke", err)
		}
		if err := c.Do(long, batchOf("third", 1), func(Result) {}); !errors.Is(err, ErrNotSent) {
			t.Fatalf("got %v after the stream broke", err)
		}
		if served != 1 {
			t.Fatalf("%d batches served", served)
		}
	})
}

// TestResultsMatchCalls runs batches that are cancelled and answered in random order,
// and checks that no call receives a result of another one, a second result of a shard
// or a result after its return.
func TestResultsMatchCalls(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { randomCalls(t, seed) })
		})
	}
}

func randomCalls(t *testing.T, seed uint64) {
	cfg := config()
	cfg.MaxInFlight = 40
	c, _ := connected(t, cfg, func(ctx context.Context, b *contract.Batch, reply func(Result)) {
		random := rand.New(rand.NewPCG(seed, b.Id))
		for _, i := range random.Perm(len(b.Shards)) {
			time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
			reply(ok(b, i))
		}
	})
	random := rand.New(rand.NewPCG(seed, 0))
	var calls sync.WaitGroup
	for i := range 60 {
		time.Sleep(time.Duration(random.IntN(10)) * time.Millisecond)
		shards := make([]uint32, 1+random.IntN(10))
		for j := range shards {
			shards[j] = random.Uint32N(1000)
		}
		limit := time.Duration(1+random.IntN(150)) * time.Millisecond
		calls.Go(func() { oneCall(t, c, fmt.Sprint(i), shards, limit) })
	}
	calls.Wait()
}

func oneCall(t *testing.T, c *Client, request string, shards []uint32, limit time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	returned := false
	seen := make(map[int]bool)
	err := c.Do(ctx, batchOf(request, shards...), func(r Result) {
		if returned || seen[r.Index] {
			t.Errorf("request %s: result %d twice or after the return", request, r.Index)
		}
		seen[r.Index] = true
		if r.Status == contract.Status_STATUS_OK && string(r.Body) != bodyOf(request, shards[r.Index]) {
			t.Errorf("request %s got %q", request, r.Body)
		}
	})
	returned = true
	if err == nil && len(seen) != len(shards) {
		t.Errorf("request %s: %d of %d results", request, len(seen), len(shards))
	}
	if err != nil && !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, ErrNotSent) {
		t.Errorf("request %s: %v", request, err)
	}
}
