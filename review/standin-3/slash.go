package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["slash"] = escapedSlash }

const (
	// slashRequests is the number of requests to each gateway.
	slashRequests = 40
	// lostAnswers is one in how many requests lose their answers at one of the two leafs of the
	// service look.
	lostAnswers = 3
)

// runsOf counts which services ran a request.
type runsOf struct {
	mu sync.Mutex
	by map[string]map[string]int
}

// escapedSlash sends requests whose path begins with the prefix of one route and, only if an
// escaped slash counted as a slash, with the longer prefix of another route.
func escapedSlash(w *world) error {
	runs := &runsOf{by: map[string]map[string]int{}}
	w.store = newStore()
	desk := deskRoute("non_idempotent", 2000)
	look := deskRoute("idempotent", 2000)
	look.Name, look.PathPrefix, look.Service = "r-look", "/desk/look/", "look"
	w.configureServices(7, []routeEntry{desk, look}, "desk", "look")
	for _, id := range []string{"desk-1", "desk-2", "look-1", "look-2"} {
		service := id[:4]
		arrived := func(a arrival, rw http.ResponseWriter, _ *http.Request) bool {
			n := runs.count(a.id, service)
			if a.leaf.id == "look-1" && n%lostAnswers == 0 {
				w.record.printf("leaf %s runs %s and loses its answer", a.leaf.id, a.id)
				closeConnection(rw)
				return true
			}
			return false
		}
		if _, err := w.startLeaf(id, service, "zone-x", 5*time.Millisecond, arrived); err != nil {
			return err
		}
	}
	if err := w.startGateways(7, []string{"brum-a", "brum-b", "cov", "wolves"}); err != nil {
		return err
	}
	time.Sleep(stableWindow)
	path := "/desk/look-"
	if w.trouble {
		path = "/desk/look%2F"
	}
	for _, g := range w.gateways {
		q := &requester{w: w, gateway: g}
		for range slashRequests {
			id := nextRequestID()
			w.record.printf("POST %s%s is sent to %s", path, id, g.name)
			a := q.do(http.MethodPost, host, path+id, id, 2*time.Second, []byte("note"))
			w.answered(g, id, a)
			runs.check(w, path, id)
		}
		q.close()
	}
	return nil
}

// count counts a run of a request and returns the number of all runs so far.
func (r *runsOf) count(id, service string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.by[id] == nil {
		r.by[id] = map[string]int{}
	}
	r.by[id][service]++
	return len(r.by)
}

// check checks that only the service desk ran a request, and once at most.
func (r *runsOf) check(w *world, path, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := 0
	for service, n := range r.by[id] {
		total += n
		if service != "desk" {
			w.record.violation("ROUTE: POST %s%s was run by the service %s, the only prefix that begins its path is that of the service desk", path, id, service)
		}
	}
	if total > 1 {
		w.record.violation("TWICE: POST %s%s, on a route whose requests are not idempotent, ran %d times", path, id, total)
	}
}
