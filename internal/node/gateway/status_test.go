package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// TestImpossibleStatusOfLeaf guards against a leaf's reply with a status that HTTP lacks: the
// caller must get a failure at once, and nothing of the reply.
func TestImpossibleStatusOfLeaf(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "999"} {
		t.Run(status, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			go func() {
				for {
					c, err := listener.Accept()
					if err != nil {
						return
					}
					go func() {
						defer c.Close()
						request, err := http.ReadRequest(bufio.NewReader(c))
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, request.Body)
						_, _ = fmt.Fprintf(c, "HTTP/1.1 %s X\r\nId: q\r\nReceipt: x\r\nContent-Length: 4\r\n\r\nbody", status)
						_, _ = c.Read(make([]byte, 1)) // until the gateway closes the connection
					}()
				}
			}()
			cs := newTestCallerServer(t, platform.VM{ID: "leaf-1", Group: "g", Address: listener.Addr().String()}, time.Second)
			start := time.Now()
			result := post(cs.address, "q")
			if result.err != nil || result.status != http.StatusBadGateway || time.Since(start) > time.Second {
				t.Errorf("status %d, error %v after %v; want 502 at once", result.status, result.err, time.Since(start))
			}
		})
	}
}
