package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { plays["stop"] = playStop }

// playStop: a gateway gets SIGTERM while requests that it has read wait there for a connection to a
// leaf.
func playStop(c *cluster, trouble bool) (bool, error) {
	const (
		work      = 160 * time.Millisecond
		requests  = 240
		interval  = time.Second / 112 // all traffic of the deployment
		stopAfter = 100 * time.Millisecond
		grace     = 6 * time.Second // graceS
		timeLimit = 10 * time.Second
	)
	var mu sync.Mutex
	began := map[string]time.Time{} // by request id
	ended := map[string]time.Time{}
	run := func(a arrival) bool {
		mu.Lock()
		began[a.id] = a.at
		mu.Unlock()
		c.record.line("leaf %s begins to run request %s", a.leaf.id, a.id)
		time.Sleep(work)
		mu.Lock()
		ended[a.id] = time.Now()
		mu.Unlock()
		writeReply(a.conn, http.StatusOK, []byte("booked"), "Request-Id", a.id, "Server-Stamp", a.leaf.stamp(a.id))
		return true
	}
	for _, zone := range []string{"tallinn-a", "tartu-b"} {
		if _, err := c.newLeaf("franchise-portal", zone, 2, 12, run); err != nil {
			return false, err
		}
	}
	c.configureRoutes(3, 26, route{Name: "r-portal", Hostname: host, PathPrefix: "/timi402/", Type: "non_idempotent", TimeoutMs: 10000, TargetLatencyMs: 600, Priority: 2, Attempts: 2, Service: "franchise-portal"})
	if err := c.addGateways("tallinn-a", "tartu-b"); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second) // stableWindowMs and one more second
	stopped := c.gateways[0]
	replies := make([]reply, requests)
	var wg sync.WaitGroup
	for n := range requests {
		wg.Go(func() {
			q := &requester{address: stopped.front}
			id := newID()
			c.record.line("requester sends %s", id)
			replies[n] = q.send(http.MethodPost, host, "/timi402/2f", id, timeLimit, []byte(fmt.Sprintf("booking-%d", n)))
			q.close()
			r := &replies[n]
			c.record.line("requester gets %d for %s after %v, error %v", r.status, id, r.endedAt.Sub(r.sentAt).Round(time.Millisecond), r.err)
		})
		time.Sleep(interval)
	}
	time.Sleep(stopAfter)
	var stoppedAt time.Time
	if trouble {
		stoppedAt = time.Now()
		c.record.line("%s gets SIGTERM", stopped.name)
		stopped.signal(syscall.SIGTERM)
		time.AfterFunc(grace, func() { stopped.signal(syscall.SIGKILL) })
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	served, lost, waiting, atWork := 0, 0, 0, 0
	for _, r := range replies {
		if r.status == 200 {
			served++
		}
		// Counted are requests that were sent before the SIGTERM and whose connection ended
		// without a complete answer more than lossSlackMs after that, within graceS and 1 s,
		// before the time limit.
		if r.err == nil || r.endedAt.Sub(r.sentAt) >= timeLimit || !trouble || r.endedAt.After(stoppedAt.Add(grace+time.Second)) || r.endedAt.Sub(r.sentAt) <= 200*time.Millisecond {
			continue
		}
		// Not counted: a leaf was still at work on it in the last sixth of graceS.
		at, ran := began[r.id]
		end, finished := ended[r.id]
		if ran && !at.After(r.endedAt) && (!finished || end.After(stoppedAt.Add(grace*5/6))) {
			atWork++
			continue
		}
		lost++
		if !ran {
			waiting++
		}
		c.record.line("BROKEN: request %s was read, its connection ended %v after the SIGTERM without an answer, it had been passed on to a leaf: %t", r.id, r.endedAt.Sub(stoppedAt).Round(time.Millisecond), ran)
	}
	if trouble {
		<-stopped.exited
		c.record.line("%s ended %v after the SIGTERM", stopped.name, stopped.exitedAt.Sub(stoppedAt).Round(time.Millisecond))
	}
	c.record.verdict("%d requests, %d served; %d were cut without an answer, %d of them had reached no leaf; %d more were cut while a leaf was at work", requests, served, lost, waiting, atWork)
	if served < requests/4 {
		return false, fmt.Errorf("too little was served")
	}
	return lost > 0, nil
}
