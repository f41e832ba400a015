package leafwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// startID starts a call of a request.
func startID(c *Client, vm platform.VM, id string) chan *Call {
	done := make(chan *Call, 1)
	c.Start(&Call{
		Message:   &Message{Method: http.MethodGet, Head: []byte("GET /p HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n"), ID: id, Deadline: time.Now().Add(testWait)},
		Leaf:      vm,
		StartedAt: time.Now(),
		Done:      done,
	})
	return done
}

// replyOf returns a reply with a receipt of its own, or without one if it says that nothing ran.
func replyOf(status, id string) string {
	var head strings.Builder
	head.WriteString("HTTP/1.1 " + status + "\r\nX-Of: " + id + "\r\n")
	if strings.HasPrefix(status, "503") {
		head.WriteString("Not-Run: 1\r\nRetry-After: 5\r\n")
	} else {
		head.WriteString("Receipt: run-" + id + "\r\n")
	}
	return head.String() + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(id), id)
}

// withID returns a reply that states its request.
func withID(reply, id string) string {
	return strings.Replace(reply, "\r\n", "\r\nId: "+id+"\r\n", 1)
}

// repeatingLeaf replies to each request with reply, to the first one of its first connection
// twice: the second time when the next request has arrived.
func repeatingLeaf(t *testing.T, reply func(id string) string) *fakeLeaf {
	return repeatingLeafOf(t, reply, reply)
}

// repeatingLeafOf is a repeatingLeaf whose second replies are made by another function.
func repeatingLeafOf(t *testing.T, reply, again func(id string) string) *fakeLeaf {
	return newLeaf(t, func(number int, c net.Conn, r *bufio.Reader) {
		first := ""
		for n := 0; ; n++ {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			id := request.Header.Get("Id")
			switch {
			case number > 0:
			case n == 0:
				first = again(id)
			case n == 1:
				_, _ = io.WriteString(c, first)
			}
			_, _ = io.WriteString(c, reply(id))
		}
	})
}

// TestLateCopyLeavesNothing guards against a late second copy of a reply, of whatever kind, whose
// status, headers or body reach the caller of the next request.
func TestLateCopyLeavesNothing(t *testing.T) {
	for _, status := range []string{"200 OK", "500 Failed", "404 Not Found", "307 Moved", "503 Busy"} {
		complete := func(id string) string { return withID(replyOf(status, id), id) }
		withoutID := func(id string) string { return replyOf(status, id) }
		for name, again := range map[string]func(string) string{"the same": complete, "without its ID": withoutID} {
			t.Run(status+", "+name, func(t *testing.T) {
				checkLateCopy(t, repeatingLeafOf(t, complete, again))
			})
		}
	}
}

// checkLateCopy checks that nothing is left of a second copy of the reply to the first request.
func checkLateCopy(t *testing.T, leaf *fakeLeaf) {
	t.Helper()
	client := newClient(t, 1, leaf.vm())
	await(t, startID(client, leaf.vm(), "first"))
	reply := await(t, startID(client, leaf.vm(), "second"))
	if reply.Result != subrequest.BadReply || !errors.Is(reply.Err, ErrRequestIDMismatch) || !reply.Sent {
		t.Errorf("result %d, sent %t, error %v", reply.Result, reply.Sent, reply.Err)
	}
	if reply.Status != 0 || reply.Header != nil || reply.Body != nil || reply.Receipt != "" || reply.WillClose || reply.Misdirected {
		t.Errorf("the reply to another request is kept: %+v", reply)
	}
	if third := await(t, startID(client, leaf.vm(), "third")); third.Header.Get("X-Of") != "third" {
		t.Errorf("reply of %q to the third request", third.Header.Get("X-Of"))
	}
}

// TestLateCopyFromLeafWithoutIDs guards against a late second copy of a reply of a leaf that
// states no request IDs, which is then taken for the reply to the next request.
func TestLateCopyFromLeafWithoutIDs(t *testing.T) {
	for _, status := range []string{"200 OK", "500 Failed"} {
		t.Run(status, func(t *testing.T) {
			leaf := repeatingLeaf(t, func(id string) string { return replyOf(status, id) })
			client := newClient(t, 1, leaf.vm())
			await(t, startID(client, leaf.vm(), "first"))
			reply := await(t, startID(client, leaf.vm(), "second"))
			if reply.Result != subrequest.BadReply || !errors.Is(reply.Err, ErrRepeatedReply) {
				t.Errorf("result %d, error %v, reply of %q", reply.Result, reply.Err, reply.Header.Get("X-Of"))
			}
			if third := await(t, startID(client, leaf.vm(), "third")); third.Header.Get("X-Of") != "third" {
				t.Errorf("reply of %q to the third request", third.Header.Get("X-Of"))
			}
		})
	}
}

// TestVeryLateCopyFromLeafWithoutIDs guards against a second copy of a reply without an ID that
// comes after many other replies, and against a connection that remembers replies without end.
func TestVeryLateCopyFromLeafWithoutIDs(t *testing.T) {
	for _, lateBy := range []int{4, 5, 6, 100, maxReceipts - 1} {
		t.Run(fmt.Sprint(lateBy), func(t *testing.T) {
			leaf := newLeaf(t, func(number int, c net.Conn, r *bufio.Reader) {
				first := ""
				for n := 0; ; n++ {
					request, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					reply := replyOf("200 OK", request.Header.Get("Id"))
					if n == 0 {
						first = reply
					}
					if n == lateBy && number == 0 {
						_, _ = io.WriteString(c, first)
					}
					_, _ = io.WriteString(c, reply)
				}
			})
			client := newClient(t, 1, leaf.vm())
			for n := range maxReceipts + 2 {
				id := fmt.Sprint("request-", n)
				reply := await(t, startID(client, leaf.vm(), id))
				if n == lateBy {
					if reply.Result != subrequest.BadReply || !errors.Is(reply.Err, ErrRepeatedReply) {
						t.Errorf("result %d, error %v, reply of %q in place of %q", reply.Result, reply.Err, reply.Header.Get("X-Of"), id)
					}
					continue
				}
				if reply.Result != subrequest.OK || reply.Header.Get("X-Of") != id {
					t.Fatalf("%s: result %d, error %v, reply of %q", id, reply.Result, reply.Err, reply.Header.Get("X-Of"))
				}
			}
			if n := len(leaf.accepted); n != 2 {
				t.Errorf("%d connections", n)
			}
		})
	}
}

// TestLateCopyOfRejectionWithoutID guards against a late second copy of a rejection that states no
// request: the next request then counts as not run although it runs, and the one after it gets
// its reply.
func TestLateCopyOfRejectionWithoutID(t *testing.T) {
	leaf := repeatingLeaf(t, func(id string) string {
		if id == "first" {
			return replyOf("503 Busy", id)
		}
		return replyOf("200 OK", id)
	})
	client := newClient(t, 1, leaf.vm())
	if reply := await(t, startID(client, leaf.vm(), "first")); reply.Result != subrequest.NotRun {
		t.Fatalf("reply %+v", reply)
	}
	for _, id := range []string{"second", "third"} {
		if reply := await(t, startID(client, leaf.vm(), id)); reply.Result != subrequest.OK || reply.Header.Get("X-Of") != id {
			t.Errorf("the %s request got result %d, reply of %q", id, reply.Result, reply.Header.Get("X-Of"))
		}
	}
}

// TestRejectedRequestIsSentAgain guards against a late second copy of a rejection that is taken for
// the reply when the same request is sent to the leaf again: it then counts as not run although it
// runs.
func TestRejectedRequestIsSentAgain(t *testing.T) {
	for _, waits := range []bool{false, true} {
		t.Run(fmt.Sprintf("waits %t", waits), func(t *testing.T) {
			var rejected atomic.Bool
			rejection := func(id string) string { return withID(replyOf("503 Busy", id), id) }
			leaf := repeatingLeafOf(t, func(id string) string {
				if !rejected.Swap(true) {
					return rejection(id)
				}
				return withID(replyOf("200 OK", id), id)
			}, rejection)
			client := newClient(t, 1, leaf.vm())
			first := startID(client, leaf.vm(), "same")
			var second chan *Call
			if waits {
				second = startID(client, leaf.vm(), "same")
			}
			if reply := await(t, first); reply.Result != subrequest.NotRun {
				t.Fatalf("reply %+v", reply)
			}
			if !waits {
				second = startID(client, leaf.vm(), "same")
			}
			if reply := await(t, second); reply.Result != subrequest.OK {
				t.Errorf("the second attempt got result %d, status %d", reply.Result, reply.Status)
			}
		})
	}
}
