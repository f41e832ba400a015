package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// requester sends one request at a time over a connection that it keeps.
type requester struct {
	w       *world
	gateway *gateway
	// from is the address from which it connects; empty means that of the machine.
	from   string
	conn   net.Conn
	reader *bufio.Reader
}

// answer is how a request ended; err is set if the connection ended without an answer.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

var requestIDs atomic.Int64

// nextRequestID returns the id of a new requester attempt.
func nextRequestID() string { return fmt.Sprintf("r%08d", requestIDs.Add(1)) }

// connectTimeout is how long a requester allows a new connection to take.
const connectTimeout = time.Second

func (q *requester) close() {
	if q.conn != nil {
		_ = q.conn.Close()
		q.conn = nil
	}
}

// do sends one request and waits for its answer.
func (q *requester) do(method, host, path, id string, deadline time.Duration, body []byte) answer {
	if q.conn == nil {
		dialer := net.Dialer{Timeout: connectTimeout}
		if q.from != "" {
			dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(q.from)}
		}
		conn, err := dialer.Dial("tcp", q.gateway.callers)
		if err != nil {
			return answer{err: err}
		}
		q.conn = conn
		q.reader = bufio.NewReader(conn)
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	_ = q.conn.SetDeadline(time.Now().Add(deadline + time.Second))
	if _, err := q.conn.Write(b.Bytes()); err != nil {
		q.close()
		return answer{err: err}
	}
	reply, err := http.ReadResponse(q.reader, &http.Request{Method: method})
	if err != nil {
		q.close()
		return answer{err: err}
	}
	text, err := io.ReadAll(reply.Body)
	if err != nil || reply.Close {
		q.close()
	}
	return answer{status: reply.StatusCode, header: reply.Header, body: text, err: err}
}
