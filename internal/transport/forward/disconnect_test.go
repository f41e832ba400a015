package forward

import (
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/route"
)

// TestCallerEndsItsSide guards against an empty success for a caller that gives up by ending its
// sending side and still reads.
func TestCallerEndsItsSide(t *testing.T) {
	routes := map[string]route.Route{"GET": singleRoute(true), "POST": singleRoute(false), "query": queryRoute(1, 1)}
	for name, rt := range routes {
		t.Run(name, func(t *testing.T) {
			method := name
			if rt.IsQuery() {
				method = "GET"
			}
			r := newRig(t, rt, map[string]behaviour{"a/1": silent})
			server := httptest.NewServer(r.Forwarder)
			defer server.Close()
			c, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			fmt.Fprintf(c, "%s /x HTTP/1.1\r\nHost: h\r\nId: q1\r\nContent-Length: 0\r\n\r\n", method)
			time.Sleep(20 * time.Millisecond)
			if err := c.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
			response, err := io.ReadAll(c)
			if len(response) > 0 || err != nil {
				t.Errorf("response %q, error %v", response, err)
			}
			time.Sleep(r.cfg.Linger + 50*time.Millisecond)
		})
	}
}
