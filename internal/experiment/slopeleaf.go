package experiment

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/hickorydock/hickorydock/internal/protocol/upstream"
)

// fixedReplyLeaf answers every request with the same bytes and parses only the length
// of a request, so that the client accounts for nearly all CPU time.
type fixedReplyLeaf struct {
	listener net.Listener
	reply    []byte
	bytes    atomic.Int64
}

func startRunLeaf(sub upstream.Subrequest) (*fixedReplyLeaf, error) {
	body := []byte(fmt.Sprintf(`{"items":[{"text":%q}]}`, bytes.Repeat([]byte("x"), slopeReplyBytes-25)))
	h := make(http.Header)
	sub.SetReplyHeaders(h, body)
	return startFixedReplyLeaf(h, body)
}

func startManifestLeaf(m upstream.Manifest) (*fixedReplyLeaf, error) {
	body, err := json.Marshal(m)
	if err != nil {
		return nil, err
	}
	return startFixedReplyLeaf(make(http.Header), body)
}

func startFixedReplyLeaf(h http.Header, body []byte) (*fixedReplyLeaf, error) {
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", fmt.Sprint(len(body)))
	var reply bytes.Buffer
	reply.WriteString("HTTP/1.1 200 OK\r\n")
	if err := h.Write(&reply); err != nil {
		return nil, err
	}
	reply.WriteString("\r\n")
	reply.Write(body)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &fixedReplyLeaf{listener: listener, reply: reply.Bytes()}
	go l.accept()
	return l, nil
}

func (l *fixedReplyLeaf) address() string { return l.listener.Addr().String() }

func (l *fixedReplyLeaf) close() { _ = l.listener.Close() }

func (l *fixedReplyLeaf) accept() {
	for {
		raw, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(raw)
	}
}

// serve answers requests until the client closes the connection.
func (l *fixedReplyLeaf) serve(raw net.Conn) {
	defer raw.Close()
	in := bufio.NewReader(raw)
	for {
		n, err := skipRequest(in)
		if err != nil {
			return
		}
		if _, err := raw.Write(l.reply); err != nil {
			return
		}
		l.bytes.Add(int64(n + len(l.reply)))
	}
}

var contentLengthPrefix = []byte("Content-Length: ")

// skipRequest reads one request and returns its size in bytes.
func skipRequest(in *bufio.Reader) (int, error) {
	size, body := 0, 0
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return 0, err
		}
		size += len(line)
		if len(line) <= len("\r\n") {
			break
		}
		if rest, ok := bytes.CutPrefix(line, contentLengthPrefix); ok {
			for _, digit := range bytes.TrimSpace(rest) {
				body = 10*body + int(digit-'0')
			}
		}
	}
	n, err := in.Discard(body)
	return size + n, err
}
