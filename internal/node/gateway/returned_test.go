package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/route"
	"github.com/hickorydock/hickorydock/internal/transport/leafwire"
)

// TestLeafThatReturnsElsewhereIsUsed guards against a leaf that gets nothing after it has come back
// under its ID at another address, since a request or an assignment that began before it was
// removed has made connections to the old address belong to the ID.
func TestLeafThatReturnsElsewhereIsUsed(t *testing.T) {
	gone := newBusyLeaf(t)
	back := newBusyLeaf(t)
	close(gone.release)
	close(back.release)
	old := route.Leaf{VM: gone.vm(), Incarnation: 1}
	next := route.Leaf{VM: back.vm(), Incarnation: 2}
	call := func(c *controller, vm platform.VM) leafwire.Reply {
		done := make(chan *leafwire.Call, 1)
		message := &leafwire.Message{Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: h\r\nId: q\r\n"), ID: "q", Deadline: time.Now().Add(time.Minute)}
		c.leafClient.Start(&leafwire.Call{Message: message, Leaf: vm, StartedAt: time.Now(), Done: done})
		return (<-done).Reply
	}
	remove := func(c *controller) {
		c.leafChanged(platform.Event{Object: platform.Object{Kind: platform.KindVM, Name: old.VM.ID}, Deleted: true})
	}
	tests := map[string]func(c *controller){
		"late retry after the removal": func(c *controller) { remove(c); call(c, old.VM) },
		"late assignment":              func(c *controller) { remove(c); c.leafClient.Warm(old.VM) },
		"late retry after the return":  func(c *controller) { remove(c); c.put(next); call(c, old.VM) },
		"replaced at once":             func(c *controller) { call(c, old.VM); c.put(next); call(c, old.VM) },
	}
	for name, late := range tests {
		t.Run(name, func(t *testing.T) {
			c := newTestController()
			c.leafClient = leafwire.New(leafwire.Config{Names: testHeaders, MaxConnections: func(string) int { return 1 }})
			t.Cleanup(func() { c.leafClient.RemoveLeaf(old.VM.ID) })
			c.put(old)
			late(c)
			c.put(next)
			for len(back.received) > 0 {
				<-back.received
			}
			if reply := call(c, next.VM); reply.Result != subrequest.OK || len(back.received) != 1 {
				t.Errorf("result %d, error %v, %d requests at the leaf that came back", reply.Result, reply.Err, len(back.received))
			}
		})
	}
}
