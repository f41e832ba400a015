package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is one stored object in the format of the store.
type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type meta struct {
	Name           string   `json:"name"`
	Revision       uint64   `json:"revision"`
	CreateRevision uint64   `json:"createRevision"`
	Finalizers     []string `json:"finalizers"`
	Deleting       bool     `json:"deleting"`
}

// change is one event of a watch.
type change struct {
	Removed bool   `json:"removed"`
	Object  object `json:"object"`

	kind     string
	revision uint64
}

// store is a stand-in of the platform's metadata store: linearizable, without losses, with its
// whole history.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object // kind -> name
	history  []change
	wake     chan struct{}
	server   *http.Server
	address  string
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{revision: 1, objects: map[string]map[string]object{}, wake: make(chan struct{}), address: listener.Addr().String()}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// put stores an object and returns when the store has accepted it.
func (s *store) put(kind, name string, spec any) time.Time {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Spec = text
	s.write(kind, name, o)
	return time.Now()
}

// remove deletes an object and returns when the store has accepted it.
func (s *store) remove(kind, name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.erase(kind, name)
	return time.Now()
}

// write stores an object under the next revision. The caller holds s.mu.
func (s *store) write(kind, name string, o object) object {
	s.revision++
	o.Meta.Name = name
	o.Meta.Revision = s.revision
	if o.Meta.CreateRevision == 0 {
		o.Meta.CreateRevision = s.revision
	}
	if o.Meta.Finalizers == nil {
		o.Meta.Finalizers = []string{}
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.record(change{Object: o, kind: kind, revision: s.revision})
	return o
}

// erase removes an object. The caller holds s.mu.
func (s *store) erase(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	o.Meta.Revision = s.revision
	s.record(change{Removed: true, Object: o, kind: kind, revision: s.revision})
}

func (s *store) record(c change) {
	s.history = append(s.history, c)
	close(s.wake)
	s.wake = make(chan struct{})
}

// ServeHTTP serves the object API.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	default:
		s.single(w, r, kind, name)
	}
}

const pageSize = 500

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	items := []object{}
	for _, name := range names[:min(pageSize, len(names))] {
		items = append(items, s.objects[kind][name])
	}
	reply := map[string]any{"items": items, "more": len(names) > pageSize, "currentRev": s.revision}
	s.mu.Unlock()
	answer(w, http.StatusOK, reply)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for done := false; ; {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.history {
			if c.kind == kind && c.revision > from {
				events = append(events, c)
			}
		}
		current, wake := s.revision, s.wake
		s.mu.Unlock()
		if len(events) > 0 || done {
			answer(w, http.StatusOK, map[string]any{"events": events, "currentRev": current})
			return
		}
		select {
		case <-wake:
		case <-timer.C:
			done = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) single(w http.ResponseWriter, r *http.Request, kind, name string) {
	var sent object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
			answer(w, http.StatusBadRequest, nil)
			return
		}
	}
	if r.Method == http.MethodPost {
		name = sent.Meta.Name
	}
	revision := sent.Meta.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		revision, _ = strconv.ParseUint(text, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held, ok := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && ok:
		answer(w, http.StatusConflict, held)
	case r.Method == http.MethodPost:
		answer(w, http.StatusOK, s.write(kind, name, object{Spec: sent.Spec}))
	case !ok:
		answer(w, http.StatusNotFound, nil)
	case r.Method == http.MethodGet:
		answer(w, http.StatusOK, held)
	case revision != 0 && revision != held.Meta.Revision:
		answer(w, http.StatusConflict, held)
	case r.Method == http.MethodPut && strings.HasSuffix(r.URL.Path, "/status"):
		held.Status = sent.Status
		answer(w, http.StatusOK, s.write(kind, name, held))
	case r.Method == http.MethodPut:
		held.Spec = sent.Spec
		answer(w, http.StatusOK, s.write(kind, name, held))
	case r.Method == http.MethodDelete:
		s.erase(kind, name)
		answer(w, http.StatusOK, map[string]any{})
	default:
		answer(w, http.StatusMethodNotAllowed, nil)
	}
}

func answer(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(value); err != nil {
		fmt.Println("store:", err)
	}
}
