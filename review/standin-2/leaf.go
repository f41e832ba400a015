package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that a leaf has read.
type arrival struct {
	leaf    *leaf
	conn    net.Conn
	id      string
	method  string
	path    string
	body    []byte
	at      time.Time
	ordinal int // of the request on its connection, from 0
}

// leaf is a stand-in of a leaf: it registers itself, checks in, and runs requests in its slots.
type leaf struct {
	id, service, zone, address string
	slots, queue               int
	born                       int64
	// run answers a request that has a slot. It writes to the connection and reports whether
	// the connection may be used again.
	run func(a arrival) (reuse bool)
	// onArrival is called for each request for this leaf, before it waits for a slot. It may be
	// nil.
	onArrival func(a arrival)

	cluster  *cluster
	listener net.Listener
	slot     chan struct{}
	waiting  atomic.Int64
	runs     atomic.Int64

	mu       sync.Mutex
	conns    map[net.Conn]bool
	state    string
	sequence int
	listed   bool
	dead     bool
	// silent is true once the leaf takes no connections and answers nothing.
	silent bool
}

var leafCount atomic.Int64

// newLeaf starts a leaf and registers it.
func (c *cluster) newLeaf(service, zone string, slots, queue int, run func(arrival) bool) (*leaf, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return c.startLeaf(listener, service, zone, slots, queue, run)
}

func (c *cluster) startLeaf(listener net.Listener, service, zone string, slots, queue int, run func(arrival) bool) (*leaf, error) {
	return c.startLeafAs(fmt.Sprintf("i-%06x", 0xa10000+leafCount.Add(1)), listener, service, zone, slots, queue, run)
}

// startLeafAs starts a leaf that has an id.
func (c *cluster) startLeafAs(id string, listener net.Listener, service, zone string, slots, queue int, run func(arrival) bool) (*leaf, error) {
	l := &leaf{
		id: id, service: service, zone: zone, address: listener.Addr().String(),
		slots: slots, queue: queue, born: time.Now().UnixMilli(), run: run, cluster: c, listener: listener,
		slot: make(chan struct{}, slots), conns: map[net.Conn]bool{}, state: "ready", listed: true,
	}
	c.mu.Lock()
	c.leafs = append(c.leafs, l)
	c.mu.Unlock()
	l.checkIn()
	go l.accept()
	go l.beat()
	return l, nil
}

// checkIn writes the leaf's entry and returns when the store has accepted it.
func (l *leaf) checkIn() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.listed || l.dead {
		return time.Time{}
	}
	l.sequence++
	return l.cluster.store.put("servers", l.id, map[string]any{
		"service": l.service, "address": l.address, "zone": l.zone, "version": "v1", "slots": l.slots,
		"state": l.state, "warmupRemainingMs": 0, "sequence": l.sequence, "born": l.born,
	})
}

func (l *leaf) beat() {
	for range time.Tick(heartbeat) {
		l.mu.Lock()
		dead := l.dead
		l.mu.Unlock()
		if dead {
			return
		}
		l.checkIn()
	}
}

// drain reports that the leaf is draining and returns when the store has accepted it.
func (l *leaf) drain() time.Time {
	l.mu.Lock()
	l.state = "draining"
	l.mu.Unlock()
	return l.checkIn()
}

// leave removes the leaf's entry and ends the leaf.
func (l *leaf) leave() {
	l.mu.Lock()
	l.listed = false
	l.mu.Unlock()
	l.cluster.store.remove("servers", l.id)
	l.crash()
}

// crash ends the leaf without a word. Its entry is removed after three check-in intervals.
func (l *leaf) crash() {
	l.mu.Lock()
	if l.dead {
		l.mu.Unlock()
		return
	}
	l.dead = true
	_ = l.listener.Close()
	for conn := range l.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	l.mu.Unlock()
	time.AfterFunc(3*heartbeat, func() { l.cluster.store.remove("servers", l.id) })
}

func (l *leaf) accept() {
	for {
		l.mu.Lock()
		silent := l.silent
		l.mu.Unlock()
		if silent {
			return // the listener stays open
		}
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		if l.silent {
			l.conns[conn] = true
			l.mu.Unlock()
			return
		}
		if l.dead {
			l.mu.Unlock()
			_ = conn.Close()
			return
		}
		l.conns[conn] = true
		l.mu.Unlock()
		go l.serve(conn)
	}
}

// serve serves one request at a time.
func (l *leaf) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		l.mu.Lock()
		delete(l.conns, conn)
		l.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		a := arrival{leaf: l, conn: conn, id: r.Header.Get("Request-Id"), method: r.Method, path: r.RequestURI, body: body, at: time.Now(), ordinal: n}
		if target := r.Header.Get("Target-Instance"); target != "" && target != l.id {
			writeReply(conn, http.StatusMisdirectedRequest, nil, "Instance-Id", l.id, "Request-Id", a.id, "Not-Executed", "1")
			continue
		}
		if l.isSilent() {
			select {} // until the end of the program
		}
		if l.onArrival != nil {
			l.onArrival(a)
		}
		if !l.takeSlot() {
			writeReply(conn, http.StatusServiceUnavailable, nil, "Not-Executed", "1", "Request-Id", a.id)
			continue
		}
		reuse := l.run(a)
		<-l.slot
		if !reuse {
			return
		}
	}
}

func (l *leaf) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}

// takeSlot waits for a slot unless the queue is full.
func (l *leaf) takeSlot() bool {
	select {
	case l.slot <- struct{}{}:
		return true
	default:
	}
	if l.waiting.Add(1) > int64(l.queue) {
		l.waiting.Add(-1)
		return false
	}
	l.slot <- struct{}{}
	l.waiting.Add(-1)
	return true
}

// stamp returns the receipt of a new run.
func (l *leaf) stamp(id string) string {
	return fmt.Sprintf("%s.%s.%s.%d", l.service, l.id, id, l.runs.Add(1))
}

// writeReply writes a reply with a length; headers are names and values in turn.
func writeReply(conn net.Conn, status int, body []byte, headers ...string) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for i := 0; i+1 < len(headers); i += 2 {
		fmt.Fprintf(&b, "%s: %s\r\n", headers[i], headers[i+1])
	}
	b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
	b.Write(body)
	_, _ = conn.Write(b.Bytes())
}
