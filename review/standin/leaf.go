package main

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// leaf is a stand-in of a leaf. It runs slots requests at a time, queues a few more and
// rejects the others.
type leaf struct {
	id, service, zone, address string
	slots                      chan struct{}
	waiting                    atomic.Int64
	work                       time.Duration
	record                     *record
}

const (
	leafSlots = 4
	leafQueue = 16
	// recordSize is the size of the records in the part of a shard, in bytes.
	recordSize = 16
)

func newLeaf(service, zone string, n int, work time.Duration, r *record) (*leaf, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &leaf{id: fmt.Sprintf("i-%s-%d", service, n), service: service, zone: zone, address: listener.Addr().String(), slots: make(chan struct{}, leafSlots), work: work, record: r}
	go func() { _ = (&http.Server{Handler: l}).Serve(listener) }()
	return l, nil
}

// entry is the leaf's entry in the store.
func (l *leaf) entry() map[string]any {
	return leafEntry(l.service, l.address, l.zone)
}

func leafEntry(service, address, zone string) map[string]any {
	return map[string]any{"service": service, "address": address, "zone": zone, "version": "v1", "slots": leafSlots, "state": "ready", "warmupRemainingMs": 0, "sequence": 1, "born": 1}
}

var stamps atomic.Int64

// ServeHTTP runs a request.
func (l *leaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if target := r.Header.Get("Target-Instance"); target != "" && target != l.id {
		w.Header().Set("Instance-Id", l.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if l.waiting.Add(1) > leafQueue+leafSlots {
		l.waiting.Add(-1)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer l.waiting.Add(-1)
	l.slots <- struct{}{}
	defer func() { <-l.slots }()
	l.record.ran(id, l.id)
	select {
	case <-time.After(l.work):
	case <-r.Context().Done():
		l.record.line("leaf %s: connection of request %s closed during its run", l.id, id)
		return
	}
	w.Header().Set("Server-Stamp", fmt.Sprintf("%s.%s.%d", l.service, id, stamps.Add(1)))
	sum := sha256.Sum256([]byte(l.service + id))
	body := append(sum[:recordSize:recordSize], sum[recordSize:]...)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// record is what requesters and leafs have seen.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
	runs  map[string]int
}

func newRecord(out io.Writer) *record {
	return &record{out: out, start: time.Now(), runs: map[string]int{}}
}

// line writes a line with the seconds since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%7.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) ran(id, leaf string) {
	r.mu.Lock()
	r.runs[id]++
	r.mu.Unlock()
	r.line("leaf %s runs request %s", leaf, id)
}

func (r *record) runCount(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}
