package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

func init() { plays["deadly"] = playDeadly }

// playDeadly: a request that leafs have answered begins to crash each leaf that runs it, and comes
// again.
func playDeadly(c *cluster, trouble bool) (bool, error) {
	const (
		path      = "/timi402/dead"
		work      = 30 * time.Millisecond
		window    = 4 * time.Second // stableWindowMs
		returns   = 2 * time.Second // until a crashed leaf is back
		lasts     = 20 * time.Second
		interval  = 20 * time.Millisecond // between two requests
		share     = 34                    // one in so many requests is the deadly one
		timeLimit = 2 * time.Second
	)
	var mu sync.Mutex
	var deadlyFrom time.Time
	var crashes []time.Time
	reached := map[string]int{} // number of leafs that the deadly request reached, by id
	var run func(a arrival) bool
	start := func(zone string) error {
		l, err := c.newLeaf("licence-desk", zone, 4, 16, run)
		if err == nil {
			c.record.line("leaf %s starts in %s", l.id, zone)
		}
		return err
	}
	run = func(a arrival) bool {
		mu.Lock()
		crash := trouble && a.path == path && !deadlyFrom.IsZero()
		if a.path == path {
			reached[a.id]++
			c.record.line("leaf %s begins to run request %s (%s)", a.leaf.id, a.id, a.path)
		}
		if crash {
			crashes = append(crashes, time.Now())
		}
		mu.Unlock()
		if crash {
			c.record.line("leaf %s crashes", a.leaf.id)
			a.leaf.crash()
			time.AfterFunc(returns, func() { _ = start(a.leaf.zone) })
			return false
		}
		time.Sleep(work)
		writeReply(a.conn, http.StatusOK, []byte("licence"), "Request-Id", a.id, "Server-Stamp", a.leaf.stamp(a.id))
		return true
	}
	for _, zone := range []string{"brum-a", "brum-b", "cov", "wolves"} {
		if err := start(zone); err != nil {
			return false, err
		}
	}
	c.configureRoutes(3, 100, route{Name: "r-licence", Hostname: host, PathPrefix: "/timi402/", Type: "idempotent", TimeoutMs: 2000, TargetLatencyMs: 400, Priority: 2, Attempts: 2, Service: "licence-desk"})
	if err := c.addGateways("brum-a", "brum-b"); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second) // stableWindowMs and one more second
	send := func(n int, path string) reply {
		q := &requester{address: c.gateways[n%len(c.gateways)].front}
		defer q.close()
		return q.send(http.MethodGet, host, path, newID(), timeLimit, nil)
	}
	// Leafs answer the request, at each gateway once. NEVER_ANSWERED=1 leaves that out.
	if os.Getenv("NEVER_ANSWERED") == "" {
		for n := range c.gateways {
			r := send(n, path)
			c.record.line("requester gets %d for %s (%s)", r.status, r.id, path)
		}
	}
	time.Sleep(2 * time.Second)
	mu.Lock()
	deadlyFrom = time.Now()
	mu.Unlock()
	type try struct {
		id string
		at time.Time
	}
	var tries []try
	served, asked := 0, 0
	var wg sync.WaitGroup
	for n, end := 0, time.Now().Add(lasts); time.Now().Before(end); n++ {
		wg.Go(func() {
			if n%share == 0 {
				r := send(n/share, path)
				c.record.line("requester sent %s (%s), gets %d, error %v", r.id, path, r.status, r.err)
				mu.Lock()
				defer mu.Unlock()
				tries = append(tries, try{r.id, r.sentAt})
				return
			}
			r := send(n, fmt.Sprintf("/timi402/%x", n))
			mu.Lock()
			defer mu.Unlock()
			asked++
			if r.status == http.StatusOK {
				served++
			} else {
				c.record.line("requester gets %d for %s, error %v", r.status, r.id, r.err)
			}
		})
		time.Sleep(interval)
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	if len(crashes) >= 3 {
		for _, t := range tries {
			if t.at.After(crashes[2].Add(window)) && reached[t.id] > 0 {
				late++
				c.record.line("request %s, sent %v after the third crash, reached %d leafs", t.id, t.at.Sub(crashes[2]).Round(time.Millisecond), reached[t.id])
			}
		}
	}
	c.record.verdict("the request came %d times and crashed %d leafs; %d retries reached leafs later than %v after the third crash (allowed: 3); of %d other requests %d were served", len(tries), len(crashes), late, window, asked, served)
	if !trouble && served < asked/2 {
		return false, fmt.Errorf("too little was served")
	}
	return late > 3, nil
}
