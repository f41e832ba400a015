package leafwire

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// TestLeafAtItsCap guards against a leaf that resets each connection, as after a power
// failure while it still counts the connections from before: each call would use up an
// attempt and the budget of its query. Calls that follow a reset fail unsent at once,
// without a connection, and the leaf is tried again after refusalPeriod.
func TestLeafAtItsCap(t *testing.T) {
	leaf := newLeaf(t, func(n int, c net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil || n == 0 {
				return
			}
			_, _ = io.WriteString(c, completeReply)
		}
	})
	client := newClient(t, 2, leaf.vm())
	refused := make(chan string, 10)
	client.cfg.OnRefused = func(vm platform.VM, _ int) { refused <- vm.ID }
	call, done := start(client, leaf.vm(), "")
	if reply := await(t, done); reply.Result != subrequest.ConnectionLost {
		t.Fatalf("first call: %+v", reply)
	}
	if id := <-refused; id != leaf.vm().ID || len(refused) != 0 {
		t.Errorf("leaf %q is reported to refuse connections, and %d more", id, len(refused))
	}
	refusedUntil := call.pool.refusedUntil
	for range 5 {
		_, done = startAt(client, leaf.vm(), "", refusedUntil.Add(-time.Millisecond))
		if reply := await(t, done); reply.Result != subrequest.Unsent || !errors.Is(reply.Err, ErrRefused) {
			t.Fatalf("call after the reset: %+v", reply)
		}
	}
	if connections := len(leaf.accepted); connections != 1 {
		t.Errorf("%d connections were opened, want 1", connections)
	}
	_, done = startAt(client, leaf.vm(), "", refusedUntil)
	if reply := await(t, done); reply.Result != subrequest.OK {
		t.Errorf("call after refusalPeriod: %+v", reply)
	}
}
