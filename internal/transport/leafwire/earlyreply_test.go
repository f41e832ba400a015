package leafwire

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// TestReplyBeforeRequestIsWritten guards against a leaf that answers a request before it has read
// all of it and then gets bytes of the next request in place of the rest.
func TestReplyBeforeRequestIsWritten(t *testing.T) {
	near, far := net.Pipe() // a write lasts until all of it is read
	defer far.Close()
	_ = far.SetDeadline(time.Now().Add(testWait))
	vm := platform.VM{ID: "leaf-1", Group: "g", Address: "pipe"}
	client := New(Config{
		Names:          testNames,
		MaxConnections: func(string) int { return 1 },
		Dial:           func(context.Context, string) (net.Conn, error) { return near, nil },
	})
	client.AddLeaf(vm)
	defer client.RemoveLeaf(vm.ID)
	const bodyBytes = 8 << 10
	send := func(id, letter string) chan *Call {
		done := make(chan *Call, 1)
		message := &Message{Method: http.MethodPost, Head: []byte("POST /p HTTP/1.1\r\n"), Body: []byte(strings.Repeat(letter, bodyBytes)), ID: id, Deadline: time.Now().Add(testWait)}
		go client.Start(&Call{Message: message, Leaf: vm, StartedAt: time.Now(), Done: done})
		return done
	}
	// read returns the next n bytes that the leaf receives.
	read := func(n int) string {
		received := make([]byte, n)
		if _, err := io.ReadFull(far, received); err != nil {
			t.Fatal(err)
		}
		return string(received)
	}
	reply := func(id string, done chan *Call) {
		if _, err := io.WriteString(far, withID(replyOf("200 OK", id), id)); err != nil {
			t.Fatal(err)
		}
		if reply := await(t, done); reply.Result != subrequest.OK {
			t.Fatalf("reply %+v", reply)
		}
	}
	before := send("before", "+") // the connection reads from its second request on
	for text := ""; strings.Count(text, "+") < bodyBytes; {
		text += read(1)
	}
	reply("before", before)
	first := send("first", "~")
	received := read(bodyBytes / 2)
	reply("first", first)
	send("second", "^")
	time.Sleep(50 * time.Millisecond) // until the second request waits to be written
	received += read(bodyBytes)
	if got := strings.Count(received, "~"); got != bodyBytes {
		t.Errorf("the leaf received %d of %d bytes of the first body", got, bodyBytes)
	}
}
