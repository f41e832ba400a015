package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// host is the host of all routes.
const host = "pupu76.example"

// requester holds one connection to a gateway.
type requester struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// reply is what a requester has got.
type reply struct {
	id      string
	status  int // 0 if the connection ended without a complete answer
	header  http.Header
	body    []byte
	err     error
	sentAt  time.Time
	endedAt time.Time
}

var requestCount atomic.Int64

func newID() string {
	return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, requestCount.Add(1))
}

// send sends one request and waits for its answer, over the requester's connection if that is
// open.
func (q *requester) send(method, host, path, id string, deadline time.Duration, body []byte) (r reply) {
	r = reply{id: id, sentAt: time.Now()}
	defer func() { r.endedAt = time.Now() }()
	if q.conn == nil {
		conn, err := net.DialTimeout("tcp", q.address, time.Second)
		if err != nil {
			r.err = err
			return r
		}
		q.conn, q.reader = conn, bufio.NewReader(conn)
	}
	text := method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + id + "\r\nDeadline-Ms: " + strconv.FormatInt(deadline.Milliseconds(), 10) + "\r\n"
	if method == http.MethodPost {
		text += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	_ = q.conn.SetDeadline(time.Now().Add(deadline + 2*time.Second))
	if _, r.err = q.conn.Write(append([]byte(text+"\r\n"), body...)); r.err != nil {
		q.close()
		return r
	}
	response, err := http.ReadResponse(q.reader, &http.Request{Method: method})
	if err != nil {
		r.err = err
		q.close()
		return r
	}
	r.body, r.err = io.ReadAll(response.Body)
	if r.err != nil {
		q.close()
		return r
	}
	r.status, r.header = response.StatusCode, response.Header
	if response.Close {
		q.close()
	}
	return r
}

func (q *requester) close() {
	if q.conn != nil {
		_ = q.conn.Close()
		q.conn = nil
	}
}
