package leafwire

import (
	"bufio"
	"errors"
	"net"
	"testing"

	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
)

// TestFailWaiting: calls that wait for a connection end unsent; the one that was sent goes
// on, and later ones are sent.
func TestFailWaiting(t *testing.T) {
	received, release := make(chan struct{}, 2), make(chan struct{})
	l := newLeaf(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for range 2 {
			if _, err := r.ReadString('\n'); err != nil {
				return
			}
			received <- struct{}{}
			<-release
			_, _ = c.Write([]byte(completeReply))
			for r.Buffered() > 0 {
				_, _ = r.ReadByte()
			}
		}
	})
	client := newClient(t, 1, l.vm())
	_, sent := start(client, l.vm(), "")
	<-received
	_, waiting := start(client, l.vm(), "")
	client.FailWaiting(l.vm().ID)
	client.FailWaiting("unknown")
	if reply := await(t, waiting); reply.Result != subrequest.Unsent || !errors.Is(reply.Err, ErrStayAway) {
		t.Errorf("waiting call: %+v", reply)
	}
	close(release)
	if reply := await(t, sent); reply.Result != subrequest.OK {
		t.Errorf("sent call: %+v", reply)
	}
	_, later := start(client, l.vm(), "")
	if reply := await(t, later); reply.Result != subrequest.OK {
		t.Errorf("later call: %+v", reply)
	}
}
