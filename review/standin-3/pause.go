package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["pause"] = longPause }

const (
	// usualPause and longPauseTime are what a leaf that turns requests away asks for, in seconds,
	// without and with the disruption.
	usualPause    = 30
	longPauseTime = 90
	// pausePlay is how long the script watches what reaches the leaf.
	pausePlay = 25 * time.Second
	// pauseAllowed is the number of requests of one machine that the rule allows in a pause, from
	// pauseSlack after the first answer on.
	pauseAllowed = 2
	pauseSlack   = 500 * time.Millisecond
)

// pauser is a leaf that turns requests away.
type pauser struct {
	mu sync.Mutex
	// asked is when each machine was asked to stay away, and late counts what came from it after
	// pauseSlack.
	asked map[string]time.Time
	late  map[string]int
	via   map[string]string
}

// longPause lets a leaf turn requests away with 503 and Retry-After, while another one serves.
func longPause(w *world) error {
	state := &pauser{asked: map[string]time.Time{}, late: map[string]int{}, via: map[string]string{}}
	w.store = newStore()
	w.configure(7, deskRoute("idempotent", 2000))
	seconds := usualPause
	if w.trouble {
		seconds = longPauseTime
	}
	turnAway := func(a arrival, rw http.ResponseWriter, _ *http.Request) bool {
		state.arrived(w, a, seconds)
		rw.Header().Set("Not-Executed", "1")
		rw.Header().Set("Retry-After", fmt.Sprint(seconds))
		rw.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	if _, err := w.startLeaf("i-serving", "desk", "zone-x", 10*time.Millisecond, nil); err != nil {
		return err
	}
	if _, err := w.startLeaf("i-paused", "desk", "zone-x", 10*time.Millisecond, turnAway); err != nil {
		return err
	}
	if err := w.startGateways(7, []string{"brum-a", "brum-b", "cov", "wolves"}); err != nil {
		return err
	}
	done := make(chan struct{})
	var running sync.WaitGroup
	for _, g := range w.gateways {
		for range 2 {
			running.Go(func() { state.send(w, g, done) })
		}
	}
	time.Sleep(pausePlay)
	close(done)
	running.Wait()
	for name, n := range state.late {
		if n > pauseAllowed {
			w.record.violation("BUDGET: %d requests reached i-paused from %s between half a second after it had answered 503 with Retry-After: %d and the end of that time, %d are allowed", n, name, seconds, pauseAllowed)
		}
	}
	return nil
}

// send sends requests over one connection until done is closed.
func (p *pauser) send(w *world, g *gateway, done chan struct{}) {
	q := &requester{w: w, gateway: g}
	defer q.close()
	for {
		select {
		case <-done:
			return
		default:
		}
		id := nextRequestID()
		p.mu.Lock()
		p.via[id] = g.name
		p.mu.Unlock()
		a := q.do(http.MethodGet, host, "/desk/"+id, id, 2*time.Second, nil)
		w.record.printf("%s answers %s with %d %v", g.name, id, a.status, a.err)
		time.Sleep(20 * time.Millisecond)
	}
}

// arrived counts a request that reaches the leaf.
func (p *pauser) arrived(w *world, a arrival, seconds int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	machine := p.via[a.id]
	first, ok := p.asked[machine]
	if !ok {
		p.asked[machine] = a.at
		w.record.printf("i-paused answers %s of %s with 503, Retry-After: %d", a.id, machine, seconds)
		return
	}
	since := a.at.Sub(first)
	w.record.printf("request %s of %s reaches i-paused %.3f s after it was asked to stay away", a.id, machine, since.Seconds())
	if since > pauseSlack && since < time.Duration(seconds)*time.Second {
		p.late[machine]++
	}
}
