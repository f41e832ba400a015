package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { plays["drain"] = playDrain }

// playDrain: a leaf is replaced by a new one while requests wait at a gateway for a connection
// to it.
func playDrain(c *cluster, trouble bool) (bool, error) {
	const (
		work      = 160 * time.Millisecond
		requests  = 240
		interval  = time.Second / 112       // all traffic of the deployment
		drainTime = 3 * time.Second         // drainMs
		stays     = 4500 * time.Millisecond // drainMs and a little longer
		timeLimit = 10 * time.Second
	)
	type seen struct {
		at time.Time
		id string
	}
	var mu sync.Mutex
	arrivals := map[*leaf][]seen{}
	run := func(a arrival) bool {
		time.Sleep(work)
		writeReply(a.conn, http.StatusOK, []byte("price"), "Request-Id", a.id, "Server-Stamp", a.leaf.stamp(a.id))
		return true
	}
	var leafs []*leaf
	add := func(zone string) error {
		l, err := c.newLeaf("franchise-portal", zone, 2, 12, run)
		if err != nil {
			return err
		}
		l.onArrival = func(a arrival) {
			mu.Lock()
			arrivals[a.leaf] = append(arrivals[a.leaf], seen{a.at, a.id})
			mu.Unlock()
			c.record.line("request %s reaches leaf %s", a.id, a.leaf.id)
		}
		leafs = append(leafs, l)
		return nil
	}
	for _, zone := range []string{"tallinn-a", "tartu-b"} {
		if err := add(zone); err != nil {
			return false, err
		}
	}
	c.configureRoutes(3, 26, route{Name: "r-quote", Hostname: host, PathPrefix: "/timi402/", Type: "non_idempotent", TimeoutMs: 10000, TargetLatencyMs: 600, Priority: 2, Attempts: 2, Service: "franchise-portal"})
	if err := c.addGateways("tallinn-a", "tartu-b"); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second) // stableWindowMs and one more second
	replies := make([]reply, requests)
	var wg sync.WaitGroup
	for n := range requests {
		wg.Go(func() {
			q := &requester{address: c.gateways[0].front}
			id := newID()
			c.record.line("requester sends %s", id)
			r := q.send(http.MethodPost, host, "/timi402/2f", id, timeLimit, []byte(fmt.Sprintf("quote-%d", n)))
			q.close()
			c.record.line("requester gets %d for %s after %v, error %v", r.status, id, r.endedAt.Sub(r.sentAt).Round(time.Millisecond), r.err)
			replies[n] = r
		})
		time.Sleep(interval)
	}
	leaving := leafs[0]
	var ack time.Time
	if trouble {
		// The new leaf starts first, the old one drains.
		if err := add("tallinn-a"); err != nil {
			return false, err
		}
		ack = leaving.drain()
		c.record.line("the store has accepted that leaf %s is draining", leaving.id)
		time.Sleep(stays)
		c.record.line("leaf %s ends", leaving.id)
		leaving.leave()
	}
	wg.Wait()
	late, last := map[string]bool{}, time.Duration(0)
	mu.Lock()
	defer mu.Unlock()
	for _, s := range arrivals[leaving] {
		after := s.at.Sub(ack)
		if !ack.IsZero() && after > drainTime {
			late[s.id] = true
			last = max(last, after)
			c.record.line("BROKEN: request %s reached leaf %s %v after the ack that it is draining", s.id, leaving.id, after.Round(time.Millisecond))
		}
	}
	served, lost := 0, 0
	for _, r := range replies {
		if r.status == 200 {
			served++
		} else if late[r.id] {
			lost++
			c.record.line("request %s reached the leaf too late and ended with status %d, error %v", r.id, r.status, r.err)
		}
	}
	c.record.verdict("%d requests, %d served; %d arrivals at the leaf, %d of them later than %v after the ack, the last one %v after it; %d of these were lost when the leaf ended", requests, served, len(arrivals[leaving]), len(late), drainTime, last.Round(time.Millisecond), lost)
	if served < requests/2 {
		return false, fmt.Errorf("too little was served")
	}
	return len(late) > 0, nil
}
