package upstream

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// TestCancelByProtocol cancels a request and sends another one: HTTP/1.1 closes
// the connection, HTTP/2 ends the stream only. Both end the leaf's work.
func TestCancelByProtocol(t *testing.T) {
	for name, c := range map[string]struct {
		protocol Protocol
		opened   int64
	}{
		"HTTP/1.1": {HTTP1, 2},
		"HTTP/2.0": {HTTP2, 1},
	} {
		t.Run(name, func(t *testing.T) {
			sub := poolSubrequest("r-1")
			began, ended := make(chan string, 1), make(chan struct{}, 1)
			first := true
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if first {
					first = false
					began <- r.Proto
					<-r.Context().Done()
					ended <- struct{}{}
					return
				}
				sub.SetReplyHeaders(w.Header(), []byte(goodBody))
				_, _ = io.WriteString(w, goodBody)
			}))
			server.Config.Protocols = new(http.Protocols)
			server.Config.Protocols.SetHTTP1(true)
			server.Config.Protocols.SetUnencryptedHTTP2(true)
			server.Start()
			defer server.Close()
			cfg := DefaultConfig()
			cfg.Protocol = c.protocol
			client := New(cfg, nil)
			defer client.Close()
			vm := platform.VM{ID: "leaf", Address: strings.TrimPrefix(server.URL, "http://")}
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				if got := <-began; got != name {
					t.Errorf("protocol %s, want %s", got, name)
				}
				cancel()
			}()
			if reply := client.Run(ctx, vm, sub, time.Minute, []byte(`{}`)); reply.Result != subrequest.ConnectionLost {
				t.Errorf("cancelled request ended as %+v", reply)
			}
			<-ended
			if reply := client.Run(t.Context(), vm, sub, time.Minute, []byte(`{}`)); reply.Result != subrequest.OK {
				t.Errorf("next request ended as %+v", reply)
			}
			if got := client.ConnectionsOpened(); got != c.opened {
				t.Errorf("%d connections opened, want %d", got, c.opened)
			}
		})
	}
}
