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

// balancer sends requests to the nodes in turn, as a load balancer does: when a
// node rejects a request as not run, or no connection to it can be made, the
// request goes to the next node, and the failing node gets no request until its
// /readyz reports that it is ready. It is safe for concurrent use.
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
	interrupted int // requests whose connection ended before the reply
	// unavailable holds the URLs of the nodes that rejected a request and are not
	// ready again.
	unavailable map[string]bool
}

// probeInterval is the time between two readiness probes of an unavailable node.
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

// pick returns the node for an attempt of request i and the number of nodes.
func (b *balancer) pick(i, attempt int) (url string, nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if attempt > 0 {
		b.failedOver++
	}
	for k := range b.urls {
		candidate := b.urls[(i+attempt+k)%len(b.urls)]
		if !b.unavailable[candidate] {
			return candidate, len(b.urls)
		}
	}
	return b.urls[(i+attempt)%len(b.urls)], len(b.urls)
}

// markUnavailable sends no requests to a node until its readiness probe succeeds.
// A node that rejects requests only because the platform is unreachable is ready
// and returns with the first probe: with all nodes unavailable, requests would go
// to stopping ones.
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

// isRejected reports whether a node did not run a request and serves none at
// present: no connection could be made, or it replied 503 with not_run.
func isRejected(status int, outcome query.Outcome, err error) bool {
	return isUnsent(err) || err == nil && status == http.StatusServiceUnavailable && outcome == query.NotRun
}

// isUnsent reports whether no connection was made.
func isUnsent(err error) bool {
	var e *net.OpError
	return errors.As(err, &e) && e.Op == "dial"
}

// recordInterrupted counts a request whose connection was made and then failed,
// unless its own context ended.
func (b *balancer) recordInterrupted(ctx context.Context, err error) {
	if err == nil || isUnsent(err) || ctx.Err() != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.interrupted++
}

// counts returns how many requests failed over and how many were interrupted.
func (b *balancer) counts() (failedOver, interrupted int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failedOver, b.interrupted
}

// sendQuery sends a query that was scheduled at the given time.
func (b *balancer) sendQuery(ctx context.Context, service string, i int, scheduled time.Time) sample {
	for attempt := 0; ; attempt++ {
		url, nodes := b.pick(i, attempt)
		s := b.caller.sendQuery(ctx, url, service, i, scheduled)
		b.recordInterrupted(ctx, s.err)
		rejected := isRejected(s.status, s.answer.Outcome, s.err)
		if rejected && s.err == nil && b.onNotRun != nil {
			b.onNotRun(s)
		}
		if !rejected || attempt+1 >= nodes {
			return s
		}
		b.markUnavailable(url)
	}
}

// command sends a command under a key until a node replies with an outcome other
// than not_run.
func (b *balancer) command(ctx context.Context, service, key string, i int) commandSample {
	s := commandSample{key: key, sent: time.Now()}
	path := "/v1/services/" + service + "/command"
	for attempt := 0; ; attempt++ {
		url, nodes := b.pick(i, attempt)
		s.status, s.err = b.post(ctx, url+path, key, fmt.Sprintf(`{"query":{"echo":%q},"shard_key":%q}`, key, key), &s.answer)
		b.recordInterrupted(ctx, s.err)
		answered := s.err == nil && s.answer.Outcome != query.NotRun
		if answered || attempt+1 >= 2*nodes || ctx.Err() != nil {
			s.elapsed = time.Since(s.sent)
			return s
		}
		if isRejected(s.status, s.answer.Outcome, s.err) {
			b.markUnavailable(url)
		}
	}
}

// redeem requests a ticket from one node and sends a command under it through the next.
func (b *balancer) redeem(ctx context.Context, service string, i int) commandSample {
	s := commandSample{sent: time.Now()}
	var issued command.TicketReply
	for attempt := 0; issued.Ticket == ""; attempt++ {
		url, nodes := b.pick(i, attempt)
		s.status, s.err = b.post(ctx, url+"/v1/tickets", "", fmt.Sprintf(`{"service":%q}`, service), &issued)
		b.recordInterrupted(ctx, s.err)
		if issued.Ticket == "" && (attempt+1 >= nodes || ctx.Err() != nil) {
			return s
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
		// net/http retries a request with this header by itself; without GetBody it
		// cannot send the body again.
		request.GetBody = nil
	}
	response, err := b.caller.http.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return response.StatusCode, json.NewDecoder(response.Body).Decode(answer)
}
