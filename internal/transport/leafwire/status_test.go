package leafwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
)

// TestStatusThatHTTPLacks guards against a reply with a status that HTTP does not have: its
// caller must neither wait for another reply until its time limit nor get anything of this one,
// and the connection must not be used again.
func TestStatusThatHTTPLacks(t *testing.T) {
	replies := map[string]string{
		"without a body":           "Content-Length: 0\r\n\r\n",
		"with a body":              "Content-Length: 4\r\n\r\nbody",
		"in chunks":                "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"without a length":         "\r\n",
		"whose body is a reply":    fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(completeReply), completeReply),
		"that a reply comes after": "Content-Length: 0\r\n\r\n" + completeReply,
		"that says not run":        "Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
	}
	for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
		for name, rest := range replies {
			t.Run(status+" "+name, func(t *testing.T) {
				closed := make(chan struct{})
				leaf := newLeaf(t, func(n int, c net.Conn, r *bufio.Reader) {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					if n > 0 {
						_, _ = io.WriteString(c, completeReply)
						return
					}
					_, _ = io.WriteString(c, "HTTP/1.1 "+status+" X\r\nId: r1\r\nReceipt: x\r\n"+rest)
					_, _ = r.ReadByte()
					close(closed)
				})
				client := newClient(t, 1, leaf.vm())
				startedAt := time.Now()
				_, done := start(client, leaf.vm(), "")
				reply := await(t, done)
				if took := time.Since(startedAt); took > testWait/3 {
					t.Errorf("the call ended after %v", took)
				}
				if reply.Result != subrequest.ConnectionLost || !reply.Sent || !errors.Is(reply.Err, ErrMalformed) {
					t.Errorf("result %d, sent %t, error %v", reply.Result, reply.Sent, reply.Err)
				}
				if reply.Status != 0 || reply.Header != nil || reply.Body != nil || reply.Receipt != "" {
					t.Errorf("the reply is handed on: %+v", reply)
				}
				select {
				case <-closed:
				case <-time.After(testWait):
					t.Error("the connection stays open")
				}
				_, done = start(client, leaf.vm(), "")
				if reply := await(t, done); reply.Result != subrequest.OK {
					t.Errorf("next call: %d, %v", reply.Result, reply.Err)
				}
			})
		}
	}
}
