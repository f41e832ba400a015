package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["thaw"] = frozenInStorm }

const (
	// thawRoutes is the number of routes that big_config has added.
	thawRoutes = 3850
	// thawFreeze is how long one gateway is frozen.
	thawFreeze = 3900 * time.Millisecond
	// thawChanges configurations come in quick succession, thawGap apart, thawLead after the
	// freeze began.
	thawChanges = 25
	thawGap     = 60 * time.Millisecond
	thawLead    = 200 * time.Millisecond
	// thawPlay is how long the script goes on after the freeze.
	thawPlay = 22 * time.Second
)

// thawState is what the script knows of requests and of the configuration.
type thawState struct {
	mu     sync.Mutex
	sentAt map[string]time.Time
	via    map[string]string
	// changedAt is when the store acknowledged that requests go to the service new.
	changedAt time.Time
	// inTouch is from when on the gateway that was frozen is in touch.
	inTouch map[string]time.Time
}

// frozenInStorm freezes one gateway while configurations come in quick succession, the first of
// which moves a route to another service. STORM=1 with TROUBLE=0 leaves the freeze alone out.
func frozenInStorm(w *world) error {
	state := &thawState{sentAt: map[string]time.Time{}, via: map[string]string{}, inTouch: map[string]time.Time{}}
	w.store = newStore()
	routes := []routeEntry{deskRoute("idempotent", 2000)}
	for i := range thawRoutes {
		r := deskRoute("idempotent", 2000)
		r.Name = fmt.Sprintf("r-more-%05d", i)
		r.PathPrefix = fmt.Sprintf("/more-%05d/", i)
		routes = append(routes, r)
	}
	w.configureServices(7, routes, "desk", "new")
	w.record.printf("the configuration has %d routes and %d bytes, %d are allowed", len(routes), len(w.store.objects["config"]["main"].Spec), 1<<20)
	arrived := func(a arrival, _ http.ResponseWriter, _ *http.Request) bool {
		if strings.HasPrefix(a.leaf.id, "desk") {
			state.check(w, a)
		}
		return false
	}
	for _, id := range []string{"desk-1", "desk-2", "new-1", "new-2"} {
		service, _, _ := strings.Cut(id, "-")
		if _, err := w.startLeaf(id, service, "zone-x", 4*time.Millisecond, arrived); err != nil {
			return err
		}
	}
	if err := w.startGateways(7, []string{"brum-a", "brum-b", "cov", "wolves"}); err != nil {
		return err
	}
	done := make(chan struct{})
	var running sync.WaitGroup
	for _, g := range w.gateways {
		running.Go(func() { state.send(w, g, done) })
	}
	time.Sleep(stableWindow)
	frozen := w.gateways[len(w.gateways)-1]
	if w.trouble {
		frozen.signal(syscall.SIGSTOP)
		w.record.printf("%s is frozen", frozen.name)
	}
	begun := time.Now()
	time.Sleep(thawLead)
	routes[0].Service = "new"
	changes := thawChanges
	if !w.trouble && os.Getenv("STORM") == "" {
		changes = 1
	}
	first := time.Now()
	for i := range changes {
		time.Sleep(time.Until(first.Add(time.Duration(i) * thawGap)))
		version := 8 + i
		routes[1].TimeoutMs = 1000 + version
		w.configureServices(version, routes, "desk", "new")
		state.acknowledged(w, version)
	}
	w.record.printf("version %d is acknowledged", 7+changes)
	time.Sleep(time.Until(begun.Add(thawFreeze)))
	if w.trouble {
		frozen.signal(syscall.SIGCONT)
		w.record.printf("%s runs again", frozen.name)
		state.mu.Lock()
		state.inTouch[frozen.name] = time.Now().Add(stableWindow)
		state.mu.Unlock()
	}
	time.Sleep(thawPlay)
	close(done)
	running.Wait()
	return nil
}

// acknowledged records the acknowledgement of a version.
func (s *thawState) acknowledged(w *world, version int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changedAt.IsZero() {
		s.changedAt = time.Now()
		w.record.printf("version %d, which moves the route /desk/ to the service new, is acknowledged", version)
	}
}

// check checks a request that reaches a leaf of the service that had the route first.
func (s *thawState) check(w *world, a arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent, machine := s.sentAt[a.id], s.via[a.id]
	if s.changedAt.IsZero() || !sent.After(s.changedAt.Add(configApplyMs*time.Millisecond)) || sent.Before(s.inTouch[machine]) {
		return
	}
	w.record.violation("CONFIG: request %s, sent to %s %.3f s after the acknowledgement of the version that moves its route, was run by the service of the older version", a.id, machine, sent.Sub(s.changedAt).Seconds())
}

// send sends requests over one connection until done is closed.
func (s *thawState) send(w *world, g *gateway, done chan struct{}) {
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
		a := q.do(http.MethodGet, host, "/desk/"+id, id, 2*time.Second, nil)
		w.answered(g, id, a)
		time.Sleep(25 * time.Millisecond)
	}
}
