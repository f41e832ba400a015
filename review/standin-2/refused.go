package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { plays["refused"] = playRefused }

const host = "pupu76.example"

// playRefused: a leaf fails part of the requests that it has run, with status 503 and its receipt.
// The requests may run once only.
func playRefused(c *cluster, trouble bool) (bool, error) {
	const (
		failing  = 3 // one in so many requests of the failing leaf
		failFor  = 6500 * time.Millisecond
		requests = 500
		interval = 20 * time.Millisecond
		work     = 60 * time.Millisecond
	)
	var mu sync.Mutex
	runs := map[string][]string{} // by request id: the leafs that ran it
	filed := map[string]int{}     // by complaint
	failures, runsThere := 0, 0
	var failingLeaf *leaf
	var failsUntil time.Time
	run := func(a arrival) bool {
		mu.Lock()
		runs[a.id] = append(runs[a.id], a.leaf.id)
		filed[string(a.body)]++
		fails := false
		if trouble && a.leaf == failingLeaf && a.at.Before(failsUntil) {
			runsThere++
			fails = runsThere%failing == 0
		}
		if fails {
			failures++
		}
		mu.Unlock()
		c.record.line("leaf %s runs request %s (%s)", a.leaf.id, a.id, a.body)
		time.Sleep(work)
		stamp := a.leaf.stamp(a.id)
		if fails {
			c.record.line("leaf %s has run request %s and answers 503 with receipt %s, without Not-Executed", a.leaf.id, a.id, stamp)
			writeReply(a.conn, http.StatusServiceUnavailable, []byte("failed"), "Request-Id", a.id, "Server-Stamp", stamp)
			return true
		}
		writeReply(a.conn, http.StatusOK, []byte("filed "+string(a.body)), "Request-Id", a.id, "Server-Stamp", stamp)
		return true
	}
	for _, zone := range []string{"brum-a", "brum-b", "cov", "wolves", "brum-a", "brum-b", "cov", "wolves"} {
		l, err := c.newLeaf("complaints", zone, 4, 16, run)
		if err != nil {
			return false, err
		}
		if failingLeaf == nil {
			mu.Lock()
			failingLeaf = l
			mu.Unlock()
		}
	}
	c.configureRoutes(3, 100, route{Name: "r-complaints", Hostname: host, PathPrefix: "/timi402/", Type: "non_idempotent", TimeoutMs: 2000, TargetLatencyMs: 400, Priority: 2, Attempts: 2, Service: "complaints"})
	if err := c.addGateways("brum-a", "brum-b"); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	mu.Lock()
	failsUntil = time.Now().Add(failFor)
	mu.Unlock()
	broken, served := 0, 0
	var wg sync.WaitGroup
	for n := range requests {
		wg.Go(func() {
			body := []byte(fmt.Sprintf("complaint-%d", n))
			// A requester sends a request that may run once only again after a promise, on a new
			// connection and under a new id.
			for try := range 2 {
				q := &requester{address: c.gateways[(n+try)%len(c.gateways)].front}
				id := newID()
				c.record.line("requester sends %s (%s) to %s", id, body, q.address)
				r := q.send(http.MethodPost, host, "/timi402/2f", id, 2*time.Second, body)
				q.close()
				c.record.line("requester gets %d for %s (%s), receipt %q, error %v", r.status, id, body, r.header.Get("Server-Stamp"), r.err)
				promise := r.status == 503 || r.status == 429 || r.status == 408 || r.status == 421
				mu.Lock()
				if promise && len(runs[id]) > 0 {
					broken++
					c.record.line("BROKEN: request %s was answered %d and has run at %v", id, r.status, runs[id])
				}
				if r.status == 200 {
					served++
				}
				mu.Unlock()
				if !promise {
					return
				}
			}
		})
		time.Sleep(interval)
	}
	wg.Wait()
	twice := 0
	for body, n := range filed {
		if n > 1 {
			twice++
			c.record.line("%s was filed %d times", body, n)
		}
	}
	c.record.verdict("%d requests, %d served, %d failed by the leaf after their run, %d answered with a promise though they had run, %d complaints filed more than once", requests, served, failures, broken, twice)
	if served < requests/2 || trouble && failures == 0 {
		return false, fmt.Errorf("too little was served or failed")
	}
	return broken > 0, nil
}
