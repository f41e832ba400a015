package forward

import (
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/hickorydock/hickorydock/internal/transport/leafwire"
)

// hopByHopHeaders are the headers that apply to a single connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect",
}

// encodeMessage encodes a request for leafs.
func (f *Forwarder) encodeMessage(req *request) *leafwire.Message {
	r := req.httpRequest
	head := make([]byte, 0, 512)
	head = append(head, r.Method...)
	head = append(head, ' ')
	head = append(head, r.RequestURI...)
	head = append(head, " HTTP/1.1\r\nHost: "...)
	head = append(head, r.Host...)
	head = append(head, "\r\n"...)
	connectionHeaders := connectionOptions(r.Header)
	for name, values := range r.Header {
		if f.isReplacedHeader(name) || slices.Contains(connectionHeaders, name) {
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
	return &leafwire.Message{Method: r.Method, Head: head, Body: req.body, ID: req.id, Deadline: req.deadline, Hold: req.hold}
}

// isReplacedHeader reports whether a header of the caller is not forwarded, because the
// node sets it itself or it applies to one connection.
func (f *Forwarder) isReplacedHeader(name string) bool {
	return name == f.cfg.Names.TimeLeft || name == f.cfg.Names.Target || slices.Contains(hopByHopHeaders, name)
}

// connectionOptions returns the headers that are named by Connection headers.
func connectionOptions(h http.Header) []string {
	var names []string
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return names
}
