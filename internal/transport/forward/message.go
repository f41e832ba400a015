package forward

import (
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/hickorydock/hickorydock/internal/transport/leafwire"
)

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect",
}

// message encodes a request for leafs.
func (f *Forwarder) message(req *request) *leafwire.Message {
	r := req.http
	head := make([]byte, 0, 512)
	head = append(head, r.Method...)
	head = append(head, ' ')
	head = append(head, r.RequestURI...)
	head = append(head, " HTTP/1.1\r\nHost: "...)
	head = append(head, r.Host...)
	head = append(head, "\r\n"...)
	dropped := connectionOptions(r.Header)
	for name, values := range r.Header {
		if f.isOwn(name) || slices.Contains(dropped, name) {
			continue
		}
		for _, value := range values {
			head = append(head, name...)
			head = append(head, ": "...)
			head = append(head, value...)
			head = append(head, "\r\n"...)
		}
	}
	if len(req.body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, int64(len(req.body)), 10)
		head = append(head, "\r\n"...)
	}
	return &leafwire.Message{Method: r.Method, Head: head, Body: req.body, ID: req.id, Deadline: req.deadline}
}

// isOwn reports whether the node sets or drops a header itself.
func (f *Forwarder) isOwn(name string) bool {
	return name == f.cfg.Names.TimeLeft || name == f.cfg.Names.Target || slices.Contains(hopByHop, name)
}

// connectionOptions lists the headers that a Connection header names.
func connectionOptions(h http.Header) []string {
	var names []string
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return names
}
