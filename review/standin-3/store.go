package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the number of objects in one page of a list.
const pageSize = 500

// object is a stored object.
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

// history is how long the store keeps the changes, as historyS says.
const history = 20 * time.Second

// event is one change.
type event struct {
	kind     string
	revision uint64
	at       time.Time
	Object   object `json:"object"`
	Removed  bool   `json:"removed"`
}

// store is the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	events   []event
	// forgotten is the revision of the last change that the store has forgotten.
	forgotten uint64
	changed   chan struct{} // closed at the next change
	cut       chan struct{} // closed to cut the watches that wait
	waiting   map[string]int
	// intercept may answer a call of a gateway in place of the store; it may be nil.
	intercept func(gateway string, w http.ResponseWriter, r *http.Request) bool
}

func newStore() *store {
	return &store{
		objects: make(map[string]map[string]object),
		changed: make(chan struct{}),
		cut:     make(chan struct{}),
		waiting: make(map[string]int),
	}
}

// listen serves the store at an address of its own for one gateway.
func (s *store) listen(gateway string) (address string, stop func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.serve(gateway, w, r)
	})}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), func() { _ = server.Close() }, nil
}

// put creates or replaces an object and returns its revision, which the store acknowledges so.
func (s *store) put(kind, name string, spec any) uint64 {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return s.putRaw(kind, name, text)
}

func (s *store) putRaw(kind, name string, text json.RawMessage) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if ok && string(o.Spec) == string(text) {
		return o.Meta.Revision
	}
	o.Meta.Name = name
	o.Spec = text
	return s.store(kind, o).Meta.Revision
}

// store stores an object at a new revision. The caller holds s.mu.
func (s *store) store(kind string, o object) object {
	s.revision++
	o.Meta.Revision = s.revision
	if o.Meta.CreateRevision == 0 {
		o.Meta.CreateRevision = s.revision
	}
	if o.Meta.Finalizers == nil {
		o.Meta.Finalizers = []string{}
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][o.Meta.Name] = o
	s.notify(event{kind: kind, revision: s.revision, Object: o})
	return o
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(kind, name)
}

func (s *store) delete(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Meta.Revision = s.revision
	s.notify(event{kind: kind, revision: s.revision, Object: o, Removed: true})
}

func (s *store) notify(e event) {
	e.at = time.Now()
	s.events = append(s.events, e)
	s.forget()
	close(s.changed)
	s.changed = make(chan struct{})
}

// forget drops the changes that are older than history. The caller holds s.mu.
func (s *store) forget() {
	old := 0
	for old < len(s.events) && time.Since(s.events[old].at) > history {
		s.forgotten = s.events[old].revision
		old++
	}
	s.events = slices.Delete(s.events, 0, old)
}

// cutWatches cuts off the watches that wait now and returns their number.
func (s *store) cutWatches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, count := range s.waiting {
		n += count
	}
	close(s.cut)
	s.cut = make(chan struct{})
	return n
}

// waitingWatches returns the number of watches that wait, by "gateway kind".
func (s *store) waitingWatches() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.waiting)
}

func (s *store) serve(gateway string, w http.ResponseWriter, r *http.Request) {
	if s.intercept != nil && s.intercept(gateway, w, r) {
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(gateway, kind, w, r)
	case r.Method == http.MethodGet && name == "":
		s.list(kind, r.URL.Query().Get("after"), w)
	case r.Method == http.MethodGet:
		s.get(kind, name, w)
	default:
		s.write(kind, name, w, r)
	}
}

func (s *store) list(kind, after string, w http.ResponseWriter) {
	s.mu.Lock()
	names := slices.Sorted(maps.Keys(s.objects[kind]))
	reply := struct {
		Items      []object `json:"items"`
		More       bool     `json:"more"`
		CurrentRev uint64   `json:"currentRev"`
	}{Items: []object{}, CurrentRev: s.revision}
	for _, name := range names {
		if name <= after {
			continue
		}
		if len(reply.Items) == pageSize {
			reply.More = true
			break
		}
		reply.Items = append(reply.Items, s.objects[kind][name])
	}
	s.mu.Unlock()
	respond(w, http.StatusOK, reply)
}

func (s *store) get(kind, name string, w http.ResponseWriter) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		respond(w, http.StatusNotFound, struct{}{})
		return
	}
	respond(w, http.StatusOK, o)
}

// since returns the events of a kind after a revision. The caller holds s.mu.
func (s *store) since(kind string, from uint64) []event {
	events := []event{}
	for _, e := range s.events {
		if e.kind == kind && e.revision > from {
			events = append(events, e)
		}
	}
	return events
}

func (s *store) watch(gateway, kind string, w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	key := gateway + " " + kind
	for ended := false; ; {
		s.mu.Lock()
		s.forget()
		if from < s.forgotten {
			s.mu.Unlock()
			respond(w, http.StatusGone, struct{}{})
			return
		}
		events, revision := s.since(kind, from), s.revision
		changed, cut := s.changed, s.cut
		if len(events) > 0 || ended {
			s.mu.Unlock()
			respond(w, http.StatusOK, struct {
				Events     []event `json:"events"`
				CurrentRev uint64  `json:"currentRev"`
			}{events, revision})
			return
		}
		s.waiting[key]++
		s.mu.Unlock()
		isCut := false
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			ended = true
		case <-cut:
			isCut = true
		}
		s.mu.Lock()
		s.waiting[key]--
		s.mu.Unlock()
		if isCut {
			closeConnection(w)
			return
		}
	}
}

func (s *store) write(kind, name string, w http.ResponseWriter, r *http.Request) {
	var sent object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
			respond(w, http.StatusBadRequest, struct{}{})
			return
		}
	}
	name, isStatus := strings.CutSuffix(name, "/status")
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = sent.Meta.Name
	}
	old, ok := s.objects[kind][name]
	stated := sent.Meta.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		stated, _ = strconv.ParseUint(text, 10, 64)
	}
	switch {
	case r.Method == http.MethodPost && ok, ok && stated != 0 && stated != old.Meta.Revision:
		respond(w, http.StatusConflict, old)
	case r.Method == http.MethodPost:
		respond(w, http.StatusOK, s.store(kind, object{Meta: meta{Name: name}, Spec: sent.Spec, Status: sent.Status}))
	case !ok:
		respond(w, http.StatusNotFound, struct{}{})
	case r.Method == http.MethodDelete:
		s.delete(kind, name)
		respond(w, http.StatusOK, old)
	case isStatus:
		old.Status = sent.Status
		respond(w, http.StatusOK, s.store(kind, old))
	default:
		old.Spec = sent.Spec
		respond(w, http.StatusOK, s.store(kind, old))
	}
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// closeConnection closes the connection of a call without an answer.
func closeConnection(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}
