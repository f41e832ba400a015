package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// meta, object and event have the wire format of the platform's metadata store.
type meta struct {
	Name           string   `json:"name"`
	Revision       uint64   `json:"revision"`
	CreateRevision uint64   `json:"createRevision"`
	Finalizers     []string `json:"finalizers"`
	Deleting       bool     `json:"deleting"`
}

type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	Object   object `json:"object"`
	Removed  bool   `json:"removed"`
	kind     string
	revision uint64
}

// store is a stand-in of the platform's metadata store. It keeps its whole history.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	history  []event
	changed  chan struct{} // closed by the next change
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), revision: 100, kinds: map[string]map[string]object{}, changed: make(chan struct{})}
	go func() { _ = (&http.Server{Handler: s}).Serve(listener) }()
	return s, nil
}

// put writes the spec of an object on behalf of the operator or a leaf.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	o.Meta.Name = name
	o.Spec = text
	s.write(kind, o)
}

// remove removes an object on behalf of the operator or a leaf.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.kinds[kind][name]; ok {
		s.drop(kind, o)
	}
}

// write stores an object under a new revision. The caller holds s.mu.
func (s *store) write(kind string, o object) object {
	s.revision++
	o.Meta.Revision = s.revision
	if o.Meta.CreateRevision == 0 {
		o.Meta.CreateRevision = s.revision
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	s.kinds[kind][o.Meta.Name] = o
	s.record(event{Object: o, kind: kind, revision: s.revision})
	return o
}

// drop removes an object. The caller holds s.mu.
func (s *store) drop(kind string, o object) {
	delete(s.kinds[kind], o.Meta.Name)
	s.revision++
	o.Meta.Revision = s.revision
	s.record(event{Object: o, Removed: true, kind: kind, revision: s.revision})
}

func (s *store) record(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	name, part, _ := strings.Cut(name, "/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && name == "" && query.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, query.Get("after"))
	default:
		s.change(w, r, kind, name, part)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// pageSize is the number of objects of one page of a list.
const pageSize = 500

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(s.kinds[kind]))
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	items := []object{}
	for _, name := range names[:min(pageSize, len(names))] {
		items = append(items, s.kinds[kind][name])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "more": len(names) > pageSize, "currentRev": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.revision > from {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
			return
		}
	}
}

// change serves calls about one object.
func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name, part string) {
	var sent object
	if text, err := io.ReadAll(r.Body); err == nil && len(text) > 0 {
		_ = json.Unmarshal(text, &sent)
	}
	if r.Method == http.MethodPost {
		name = sent.Meta.Name
	}
	wanted := sent.Meta.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		wanted, _ = strconv.ParseUint(text, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, found := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && found:
		reply(w, http.StatusConflict, old)
	case r.Method == http.MethodPost:
		reply(w, http.StatusOK, s.write(kind, object{Meta: meta{Name: name}, Spec: sent.Spec, Status: sent.Status}))
	case !found:
		reply(w, http.StatusNotFound, struct{}{})
	case r.Method == http.MethodGet:
		reply(w, http.StatusOK, old)
	case wanted != 0 && wanted != old.Meta.Revision:
		reply(w, http.StatusConflict, old)
	case r.Method == http.MethodDelete:
		s.drop(kind, old)
		reply(w, http.StatusOK, struct{}{})
	case part == "status":
		old.Status = sent.Status
		reply(w, http.StatusOK, s.write(kind, old))
	default:
		old.Spec = sent.Spec
		reply(w, http.StatusOK, s.write(kind, old))
	}
}
