package leafwire

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
)

// TestLateCopyWithoutID: a leaf that states the request in its replies sends a late copy of
// one that does not, where the reply to the next request is expected. It must not be taken
// for that reply.
func TestLateCopyWithoutID(t *testing.T) {
	copyWithoutID := strings.Replace(completeReply, "Id: r1\r\n", "", 1)
	leaf := newLeaf(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for _, reply := range []string{completeReply, copyWithoutID} {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, reply)
		}
	})
	client := newClient(t, 1, leaf.vm())
	for i, want := range []subrequest.Result{subrequest.OK, subrequest.BadReply, subrequest.OK} {
		_, done := start(client, leaf.vm(), "")
		reply := await(t, done)
		if reply.Result != want || want == subrequest.BadReply && !errors.Is(reply.Err, ErrRequestIDMismatch) {
			t.Errorf("reply %d: %+v", i, reply)
		}
	}
	if got := len(leaf.accepted); got != 2 {
		t.Errorf("%d connections, want a new one after the copy", got)
	}
}
