package gateway

import (
	"encoding/json"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/route"
	"github.com/hickorydock/hickorydock/internal/transport/leafwire"
)

// put handles an entry of a leaf.
func (c *controller) put(l route.Leaf) {
	text, _ := json.Marshal(l)
	c.leafChanged(platform.Event{Object: platform.Object{Kind: platform.KindVM, Name: l.VM.ID, Value: text}})
}

// TestLeafThatLeavesGetsNoWaitingRequests guards against requests that wait for a connection to a
// leaf and reach it after the platform's list says that it is draining, gone or replaced.
func TestLeafThatLeavesGetsNoWaitingRequests(t *testing.T) {
	busy := newBusyLeaf(t)
	defer close(busy.release)
	entry := route.Leaf{VM: busy.vm(), Incarnation: 1}
	draining, restarted, moved := entry, entry, entry
	draining.VM.State = platform.VMLeaving
	restarted.Incarnation = 2
	moved.VM.Group = "other"
	object := platform.Object{Kind: platform.KindVM, Name: entry.VM.ID}
	tests := map[string]func(c *controller){
		"draining":   func(c *controller) { c.put(draining) },
		"removed":    func(c *controller) { c.leafChanged(platform.Event{Object: object, Deleted: true}) },
		"not listed": func(c *controller) { c.leafsListed(platform.Listing{}) },
		"not readable": func(c *controller) {
			c.leafChanged(platform.Event{Object: platform.Object{Kind: platform.KindVM, Name: entry.VM.ID, Value: json.RawMessage(`"?"`)}})
		},
		"another leaf": func(c *controller) { c.leafMisdirected(entry.VM.ID) },
		"restarted":    func(c *controller) { c.put(restarted) },
		"other group":  func(c *controller) { c.put(moved) },
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
			c := newTestController()
			c.leafClient = leafwire.New(leafwire.Config{Names: testHeaders, MaxConnections: func(string) int { return 1 }})
			c.put(entry)
			record := c.groups.Record(entry.VM.ID)
			done := make(chan *leafwire.Call, 2)
			start := func() *leafwire.Call {
				message := &leafwire.Message{Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: h\r\nId: q\r\n"), ID: "q", Deadline: time.Now().Add(time.Minute)}
				call := &leafwire.Call{Message: message, Leaf: entry.VM, StartedAt: time.Now(), Done: done}
				c.leafClient.Start(call)
				return call
			}
			sent := start()
			<-busy.received
			waiting := start()
			leave(c)
			select {
			case ended := <-done:
				if ended != waiting || ended.Reply.Result != subrequest.Unsent || !errors.Is(ended.Reply.Err, leafwire.ErrStayAway) {
					t.Errorf("ended: %+v", ended.Reply)
				}
			case <-time.After(time.Second):
				t.Error("the request still waits for the leaf")
				c.leafClient.Cancel(waiting)
				<-done
			}
			if stats := record.Stats(); stats.IsUsable() {
				t.Error("a request that is in progress may still choose the leaf")
			}
			c.leafClient.Cancel(sent)
			<-done
		})
	}
}
