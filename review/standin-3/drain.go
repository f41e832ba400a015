package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["drain"] = drainAfterCut }

const (
	// drainCuts is the number of times that the store cuts off the watches that wait.
	drainCuts = 2
	// drainRounds is the number of leafs that leave, one after the other.
	drainRounds = 9
	// drainPause is the time between two rounds, longer than the window after which calm
	// machines are in touch.
	drainPause = 3 * time.Second
	// drainConnections is the number of connections of requesters to each gateway.
	drainConnections = 5
	// drainWork is how long a leaf works on a request.
	drainWork = 30 * time.Millisecond
	// drainOverrun is how long a leaf that leaves serves beyond drainMs.
	drainOverrun = 120 * time.Millisecond
)

// leaver is a leaf whose registration is removed without that it reported draining.
type leaver struct {
	// rule is what the store has acknowledged of a leaf.
	rule string
	mu   sync.Mutex
	// removedAt is when the store acknowledged the removal.
	removedAt map[string]time.Time
	sentAt    map[string]time.Time
	via       map[string]string
	// failed counts the answers without success.
	failed int
}

// drainAfterCut removes the registrations of leafs, which go on serving for drainMs and a little
// longer. Shortly before each removal the store cuts off the watches that wait.
func drainAfterCut(w *world) error {
	state := &leaver{rule: "is gone", removedAt: map[string]time.Time{}, sentAt: map[string]time.Time{}, via: map[string]string{}}
	w.store = newStore()
	w.configure(7, deskRoute("non_idempotent", 2000))
	arrived := func(a arrival, _ http.ResponseWriter, _ *http.Request) bool {
		state.check(w, a)
		return false
	}
	start := func(i int) (*leaf, error) {
		return w.startLeaf(fmt.Sprintf("i-%02d", i), "desk", "zone-x", drainWork, arrived)
	}
	if _, err := start(0); err != nil {
		return err
	}
	next, err := start(1)
	if err != nil {
		return err
	}
	if err := w.startGateways(7, []string{"brum-a", "brum-b", "cov", "wolves"}); err != nil {
		return err
	}
	done := make(chan struct{})
	var running sync.WaitGroup
	for _, g := range w.gateways {
		for range drainConnections {
			running.Go(func() { state.send(w, g, done) })
		}
	}
	time.Sleep(stableWindow)
	for round := range drainRounds {
		leaving := next
		if next, err = start(round + 2); err != nil {
			return err
		}
		time.Sleep(time.Second)
		if w.trouble {
			for range drainCuts {
				w.awaitWaitingWatches(4, 2*time.Second)
				w.record.printf("store cuts off %d watches that wait", w.store.cutWatches())
				time.Sleep(5 * time.Millisecond)
			}
		}
		time.Sleep(20 * time.Millisecond)
		leaving.deregister()
		state.mu.Lock()
		state.removedAt[leaving.id] = time.Now()
		state.mu.Unlock()
		w.record.printf("removal of %s acknowledged", leaving.id)
		time.Sleep(drainMs*time.Millisecond + drainOverrun)
		leaving.end()
		w.record.printf("%s has exited", leaving.id)
		time.Sleep(drainPause)
	}
	close(done)
	running.Wait()
	w.record.printf("%d requests were sent, %d had no success", len(state.sentAt), state.failed)
	return nil
}

// awaitWaitingWatches waits until n watches wait at the store.
func (w *world) awaitWaitingWatches(n int, atMost time.Duration) {
	for end := time.Now().Add(atMost); time.Now().Before(end); time.Sleep(time.Millisecond) {
		waiting := 0
		for _, count := range w.store.waitingWatches() {
			waiting += count
		}
		if waiting >= n {
			return
		}
	}
}

// send sends requests over one connection until done is closed.
func (s *leaver) send(w *world, g *gateway, done chan struct{}) {
	q := &requester{w: w, gateway: g}
	defer q.close()
	for {
		select {
		case <-done:
			return
		default:
		}
		id := nextRequestID()
		s.mu.Lock()
		s.sentAt[id] = time.Now()
		s.via[id] = g.name
		s.mu.Unlock()
		a := q.do(http.MethodPost, host, "/desk/x", id, 2*time.Second, []byte("note"))
		w.answered(g, id, a)
		if a.status != http.StatusOK {
			s.mu.Lock()
			s.failed++
			s.mu.Unlock()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// check checks that a request does not reach a leaf that was gone for drainMs when it was sent.
func (s *leaver) check(w *world, a arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	removed, ok := s.removedAt[a.leaf.id]
	sent := s.sentAt[a.id]
	if !ok || !sent.After(removed.Add(drainMs*time.Millisecond)) {
		return
	}
	w.record.violation("DRAIN: request %s, sent to %s %.3f s after the store had acknowledged that %s %s, reached it %.3f s after that", a.id, s.via[a.id], sent.Sub(removed).Seconds(), a.leaf.id, s.rule, a.at.Sub(removed).Seconds())
}
