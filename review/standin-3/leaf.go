package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// leafEntry is the registration of a leaf.
type leafEntry struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	Warmup   int    `json:"warmupRemainingMs"`
	Sequence int    `json:"sequence"`
	Born     int64  `json:"born"`
}

// arrival is a request that reached a leaf.
type arrival struct {
	leaf *leaf
	id   string
	at   time.Time
	body []byte
}

// leaf is a server of one service.
type leaf struct {
	w        *world
	id       string
	work     time.Duration
	server   *http.Server
	listener net.Listener
	stop     chan struct{}
	once     sync.Once
	runs     atomic.Int64
	// silent stops the heartbeats.
	silent atomic.Bool
	// arrived is called with each request before it runs; if it returns true, it has answered.
	arrived func(a arrival, w http.ResponseWriter, r *http.Request) bool

	mu    sync.Mutex
	entry leafEntry
	conns map[net.Conn]struct{}
}

// startLeaf starts a leaf and registers it.
func (w *world) startLeaf(id, service, zone string, work time.Duration, arrived func(arrival, http.ResponseWriter, *http.Request) bool) (*leaf, error) {
	l := &leaf{w: w, id: id, work: work, stop: make(chan struct{}), arrived: arrived, conns: make(map[net.Conn]struct{})}
	var err error
	if l.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	l.entry = leafEntry{Service: service, Address: l.listener.Addr().String(), Zone: zone, Version: "v1", Slots: 4, State: "ready", Born: time.Now().UnixMilli()}
	l.server = &http.Server{Handler: l, ConnState: l.track}
	go func() { _ = l.server.Serve(l.listener) }()
	w.closers = append(w.closers, l.end)
	l.beat()
	go l.heartbeats()
	return l, nil
}

func (l *leaf) track(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(l.conns, c)
		return
	}
	l.conns[c] = struct{}{}
}

// beat writes the registration once.
func (l *leaf) beat() {
	l.mu.Lock()
	l.entry.Sequence++
	entry := l.entry
	l.mu.Unlock()
	l.w.store.put("servers", l.id, entry)
}

func (l *leaf) heartbeats() {
	ticker := time.NewTicker(heartbeatMs * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-l.stop:
			return
		case <-ticker.C:
			if !l.silent.Load() {
				l.beat()
			}
		}
	}
}

// deregister removes the registration and ends the heartbeats. The leaf goes on serving.
func (l *leaf) deregister() {
	l.once.Do(func() { close(l.stop) })
	l.w.store.remove("servers", l.id)
}

// end ends the leaf like an exit of its process.
func (l *leaf) end() {
	l.once.Do(func() { close(l.stop) })
	_ = l.server.Close()
}

// ServeHTTP runs a request.
func (l *leaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if target := r.Header.Get("Target-Instance"); target != "" && target != l.id {
		w.Header().Set("Instance-Id", l.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, _ := io.ReadAll(r.Body)
	if l.arrived != nil && l.arrived(arrival{l, id, at, body}, w, r) {
		return
	}
	n := l.runs.Add(1)
	l.w.record.printf("leaf %s runs %s", l.id, id)
	select {
	case <-time.After(l.work):
	case <-r.Context().Done():
	}
	w.Header().Set("Server-Stamp", fmt.Sprintf("%s.%d", l.id, n))
	_, _ = fmt.Fprintf(w, "%s ran %s", l.id, id)
}
