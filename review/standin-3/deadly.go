package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["deadly"] = deadlyRequest }

const (
	// deadlyPlay is how long the deadly request comes, deadlyGap the time between two of its
	// attempts.
	deadlyPlay = 20 * time.Second
	deadlyGap  = 1500 * time.Millisecond
	// leafReturn is how long after a crash a leaf is back.
	leafReturn = 2500 * time.Millisecond
	// deadlyCrashes and deadlyAllowed are the numbers of the rule: after so many crashes only so
	// many retries of the request may still reach leafs.
	deadlyCrashes = 3
	deadlyAllowed = 3
	// deadlyCaller begins the ids of the attempts of the caller whose request is deadly, and
	// deadlyAddress is the address from which it connects.
	deadlyCaller  = "deadly-"
	deadlyAddress = "127.0.0.2"
)

// deadlyState is what the leafs have seen of the deadly request.
type deadlyState struct {
	w  *world
	mu sync.Mutex
	// crashes is the number of leafs that crashed, thirdAt the time of the third crash.
	crashes int
	thirdAt time.Time
	sentAt  map[string]time.Time
	// late are the attempts of the caller that reached leafs too late.
	late   map[string]bool
	leafs  int
	failed int
	served int
}

// deadlyRequest lets one caller send a request that crashes the leafs which begin to run it, again
// and again, while other callers send requests with the same path, which are sound.
func deadlyRequest(w *world) error {
	state := &deadlyState{w: w, sentAt: map[string]time.Time{}, late: map[string]bool{}}
	w.store = newStore()
	w.configure(7, deskRoute("idempotent", 2000))
	for range 6 {
		if err := state.startLeaf(); err != nil {
			return err
		}
	}
	if err := w.startGateways(7, []string{"brum-a", "brum-b", "cov", "wolves"}); err != nil {
		return err
	}
	done := make(chan struct{})
	var running sync.WaitGroup
	for _, g := range w.gateways {
		running.Go(func() { state.send(g, done) })
	}
	time.Sleep(stableWindow)
	for i, end := 0, time.Now().Add(deadlyPlay); time.Now().Before(end); i++ {
		g := w.gateways[i%len(w.gateways)]
		id := fmt.Sprintf("%s%03d", deadlyCaller, i)
		if w.trouble {
			state.mu.Lock()
			state.sentAt[id] = time.Now()
			state.mu.Unlock()
			q := &requester{w: w, gateway: g, from: deadlyAddress}
			a := q.do(http.MethodGet, host, "/desk/look", id, 2*time.Second, nil)
			q.close()
			w.answered(g, id, a)
		}
		time.Sleep(deadlyGap)
	}
	close(done)
	running.Wait()
	w.record.printf("%d leafs have crashed, other callers got %d successes and %d failures", state.crashes, state.served, state.failed)
	if len(state.late) > deadlyAllowed {
		w.record.violation("BUDGET: %d retries of the deadly request reached leafs, sent later than %v after it had crashed the third, %d are allowed; it has crashed %d leafs", len(state.late), stableWindow, deadlyAllowed, state.crashes)
	}
	return nil
}

// startLeaf starts a leaf with an id of its own.
func (s *deadlyState) startLeaf() error {
	s.mu.Lock()
	s.leafs++
	id := fmt.Sprintf("i-%03d", s.leafs)
	s.mu.Unlock()
	_, err := s.w.startLeaf(id, "desk", "zone-x", 5*time.Millisecond, s.arrived)
	return err
}

// arrived crashes the leaf if the request is the deadly one.
func (s *deadlyState) arrived(a arrival, _ http.ResponseWriter, _ *http.Request) bool {
	if !strings.HasPrefix(a.id, deadlyCaller) {
		return false
	}
	s.mu.Lock()
	s.crashes++
	if s.crashes == deadlyCrashes {
		s.thirdAt = a.at
	}
	if !s.thirdAt.IsZero() && s.sentAt[a.id].After(s.thirdAt.Add(stableWindow)) {
		s.late[a.id] = true
	}
	s.mu.Unlock()
	s.w.record.printf("leaf %s begins to run %s and crashes", a.leaf.id, a.id)
	a.leaf.end()
	time.AfterFunc(leafReturn, func() {
		if err := s.startLeaf(); err != nil {
			s.w.record.printf("no leaf started: %v", err)
		}
	})
	return true
}

// send sends sound requests over one connection until done is closed.
func (s *deadlyState) send(g *gateway, done chan struct{}) {
	q := &requester{w: s.w, gateway: g}
	defer q.close()
	for {
		select {
		case <-done:
			return
		default:
		}
		id := nextRequestID()
		a := q.do(http.MethodGet, host, "/desk/look", id, 2*time.Second, nil)
		s.w.answered(g, id, a)
		s.mu.Lock()
		if a.status == http.StatusOK {
			s.served++
		} else {
			s.failed++
		}
		s.mu.Unlock()
		time.Sleep(25 * time.Millisecond)
	}
}
