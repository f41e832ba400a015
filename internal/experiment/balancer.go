package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

// balancer sends requests to the nodes in turn, as callers behind a load
// balancer do: one that a node refuses as not run, or that no connection could
// be made for, goes to the next node, and that node gets no request until its
// /readyz says that it is ready. It is safe for concurrent use.
type balancer struct {
	caller  *caller
	probes  *http.Client
	ctx     context.Context
	cancel  context.CancelFunc
	probing sync.WaitGroup
	// onNotRun, if set, is called for each query that a node rejected as not run.
	onNotRun func(sample)

	mu          sync.Mutex
	urls        []string
	failedOver  int // requests sent to another node
	interrupted int // requests whose connection ended before the answer
	// unavailable names the nodes that refused and are not ready again.
	unavailable map[string]bool
}

// probeInterval is the time between two looks at whether a node is ready again.
const probeInterval = 300 * time.Millisecond

func newBalancer(urls []string) *balancer {
	b := &balancer{
		caller:      newCaller(),
		probes:      &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		urls:        slices.Clone(urls),
		unavailable: make(map[string]bool),
	}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	return b
}

func (b *balancer) close() {
	b.cancel()
	b.probing.Wait()
	b.caller.close()
}

func (b *balancer) add(url string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.urls = append(b.urls, url)
}

func (b *balancer) remove(url string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.urls = slices.DeleteFunc(b.urls, func(u string) bool { return u == url })
}

// pick returns the node for a try of request i and the number of nodes.
func (b *balancer) pick(i, try int) (url string, nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if try > 0 {
		b.failedOver++
	}
	for k := range b.urls {
		candidate := b.urls[(i+try+k)%len(b.urls)]
		if !b.unavailable[candidate] {
			return candidate, len(b.urls)
		}
	}
	return b.urls[(i+try)%len(b.urls)], len(b.urls)
}

// markUnavailable takes a node that refused out until it is ready. A node that is ready
// and refused for want of the platform stays in: with all nodes out, requests
// would go to stopping ones.
func (b *balancer) markUnavailable(url string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.unavailable[url] || b.ctx.Err() != nil {
		return
	}
	b.unavailable[url] = true
	b.probing.Go(func() {
		for !b.isReady(url) && sleepUntil(b.ctx, time.Now().Add(probeInterval)) {
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.unavailable, url)
	})
}

func (b *balancer) isReady(url string) bool {
	request, err := http.NewRequestWithContext(b.ctx, http.MethodGet, url+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := b.probes.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// isRejected reports whether a request was not run by a node that takes none.
func isRejected(status int, outcome query.Outcome, err error) bool {
	return isUnsent(err) || err == nil && status == http.StatusServiceUnavailable && outcome == query.NotRun
}

// isUnsent reports whether no connection was made.
func isUnsent(err error) bool {
	var e *net.OpError
	return errors.As(err, &e) && e.Op == "dial"
}

func (b *balancer) recordInterrupted(ctx context.Context, err error) {
	if err == nil || isUnsent(err) || ctx.Err() != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.interrupted++
}

// counts returns how many requests moved on and how many were cut off.
func (b *balancer) counts() (moved, cut int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failedOver, b.interrupted
}

// query sends a query that was due at begun.
func (b *balancer) query(ctx context.Context, service string, i int, begun time.Time) sample {
	for try := 0; ; try++ {
		url, nodes := b.pick(i, try)
		s := b.caller.query(ctx, url, service, i, begun)
		b.recordInterrupted(ctx, s.err)
		refused := isRejected(s.status, s.answer.Outcome, s.err)
		if refused && s.err == nil && b.onNotRun != nil {
			b.onNotRun(s)
		}
		if !refused || try+1 >= nodes {
			return s
		}
		b.markUnavailable(url)
	}
}

// command sends a command under a key until a node tells an outcome.
func (b *balancer) command(ctx context.Context, service, key string, i int) commandSample {
	t := commandSample{key: key, sent: time.Now()}
	path := "/v1/services/" + service + "/command"
	for try := 0; ; try++ {
		url, nodes := b.pick(i, try)
		t.status, t.err = b.post(ctx, url+path, key, fmt.Sprintf(`{"query":{"echo":%q},"shard_key":%q}`, key, key), &t.answer)
		b.recordInterrupted(ctx, t.err)
		settled := t.err == nil && t.answer.Outcome != query.NotRun
		if settled || try+1 >= 2*nodes || ctx.Err() != nil {
			t.elapsed = time.Since(t.sent)
			return t
		}
		if isRejected(t.status, t.answer.Outcome, t.err) {
			b.markUnavailable(url)
		}
	}
}

// redeem takes a ticket at one node and sends a command under it through the next.
func (b *balancer) redeem(ctx context.Context, service string, i int) commandSample {
	t := commandSample{sent: time.Now()}
	var issued command.TicketReply
	for try := 0; issued.Ticket == ""; try++ {
		url, nodes := b.pick(i, try)
		t.status, t.err = b.post(ctx, url+"/v1/tickets", "", fmt.Sprintf(`{"service":%q}`, service), &issued)
		b.recordInterrupted(ctx, t.err)
		if issued.Ticket == "" && (try+1 >= nodes || ctx.Err() != nil) {
			return t
		}
	}
	return b.command(ctx, service, issued.Ticket, i+1)
}

func (b *balancer) post(ctx context.Context, url, key, body string, answer any) (int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set(command.HeaderKey, key)
		// net/http sends a request with this header again by itself; its body must not allow it.
		request.GetBody = nil
	}
	response, err := b.caller.http.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return response.StatusCode, json.NewDecoder(response.Body).Decode(answer)
}
