package leafwire

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/route"
)

var testNames = route.HeaderNames{RequestID: "Id", TimeLeft: "Left", Target: "Target", Receipt: "Receipt", NotRun: "Not-Run"}

const (
	requestID     = "r1"
	completeReply = "HTTP/1.1 200 OK\r\nId: r1\r\nReceipt: x\r\nContent-Length: 4\r\n\r\nbody"
	testWait      = 3 * time.Second
)

// fakeLeaf is a leaf that serves each connection with a given function.
type fakeLeaf struct {
	listener net.Listener
	accepted chan struct{}
}

// newLeaf starts a leaf that serves each connection with serve, which receives the
// connection's number, counted from 0.
func newLeaf(t *testing.T, serve func(n int, c net.Conn, r *bufio.Reader)) *fakeLeaf {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &fakeLeaf{listener: listener, accepted: make(chan struct{}, 100)}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			l.accepted <- struct{}{}
			go func() {
				defer c.Close()
				serve(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return l
}

func (l *fakeLeaf) vm() platform.VM {
	return platform.VM{ID: "leaf-1", Group: "g", Address: l.listener.Addr().String()}
}

func newClient(t *testing.T, limit int, vm platform.VM) *Client {
	t.Helper()
	c := New(Config{Names: testNames, MaxConnections: func(string) int { return limit }})
	c.AddLeaf(vm)
	t.Cleanup(func() { c.RemoveLeaf(vm.ID) })
	return c
}

func start(c *Client, vm platform.VM, body string) (*Call, chan *Call) {
	return startAt(c, vm, body, time.Now())
}

// startAt starts a call to a leaf, which is listed from then on, as of a given time.
func startAt(c *Client, vm platform.VM, body string, at time.Time) (*Call, chan *Call) {
	c.AddLeaf(vm)
	done := make(chan *Call, 1)
	call := &Call{
		Message:   &Message{Method: http.MethodGet, Head: []byte("GET /p HTTP/1.1\r\nHost: h\r\n"), Body: []byte(body), ID: requestID, Deadline: time.Now().Add(testWait)},
		Leaf:      vm,
		StartedAt: at,
		Done:      done,
	}
	c.Start(call)
	return call, done
}

func await(t *testing.T, done <-chan *Call) Reply {
	t.Helper()
	select {
	case call := <-done:
		return call.Reply
	case <-time.After(testWait):
		t.Fatal("call did not end")
		return Reply{}
	}
}

// TestReplies checks the result of each kind of reply and whether its connection is
// reused.
func TestReplies(t *testing.T) {
	tests := []struct {
		name   string
		reply  string
		result subrequest.Result
		sent   bool
		reused bool
	}{
		{"whole", completeReply, subrequest.OK, true, true},
		{"in chunks", "HTTP/1.1 200 OK\r\nReceipt: x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", subrequest.OK, true, true},
		{"after an interim response", "HTTP/1.1 103 Early Hints\r\n\r\n" + completeReply, subrequest.OK, true, true},
		{"announced close", strings.Replace(completeReply, "Id:", "Connection: close\r\nId:", 1), subrequest.OK, true, false},
		{"bytes after the reply", completeReply + "HTTP/1.1 200 OK\r\n", subrequest.OK, true, false},
		{"another request's reply", strings.Replace(completeReply, "r1", "r2", 1), subrequest.BadReply, true, false},
		{"truncated body", completeReply[:len(completeReply)-1], subrequest.ConnectionLost, true, false},
		{"truncated header", completeReply[:20], subrequest.ConnectionLost, true, false},
		{"no response", "hello\r\n\r\n", subrequest.ConnectionLost, true, false},
		{"truncated chunk", "HTTP/1.1 200 OK\r\nReceipt: x\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nbody", subrequest.ConnectionLost, true, false},
		{"no length", "HTTP/1.1 200 OK\r\nReceipt: x\r\n\r\nbody", subrequest.OK, true, false},
		{"no receipt", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", subrequest.BadReply, true, false},
		{"encoded body", strings.Replace(completeReply, "Id:", "Content-Encoding: gzip\r\nId:", 1), subrequest.BadReply, true, false},
		{"declared not run", "HTTP/1.1 503 Busy\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", subrequest.NotRun, false, true},
		{"declared not run, request not stated", "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", subrequest.NotRun, false, false},
		{"another leaf's address", "HTTP/1.1 421 No\r\nId: r1\r\nContent-Length: 0\r\n\r\n", subrequest.NotRun, false, true},
		{"another leaf's address, request not stated", "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n", subrequest.NotRun, false, false},
		{"failure that ran", "HTTP/1.1 500 No\r\nReceipt: x\r\nContent-Length: 0\r\n\r\n", subrequest.UpstreamError, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			requests := make(chan string, 10)
			leaf := newLeaf(t, func(n int, c net.Conn, r *bufio.Reader) {
				for {
					request, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					requests <- request.Header.Get("Target") + " " + request.Header.Get("Left")
					_, _ = io.WriteString(c, test.reply)
					if !strings.Contains(test.reply, "Content-Length") && !strings.Contains(test.reply, "\r\n0\r\n") || test.result == subrequest.ConnectionLost {
						return
					}
				}
			})
			client := newClient(t, 1, leaf.vm())
			_, done := start(client, leaf.vm(), "")
			reply := await(t, done)
			if reply.Result != test.result || reply.Sent != test.sent {
				t.Errorf("result %d, sent %t, error %v; want %d, %t", reply.Result, reply.Sent, reply.Err, test.result, test.sent)
			}
			if malformed := test.name == "no response"; errors.Is(reply.Err, ErrMalformed) != malformed {
				t.Errorf("error %v, malformed should be %t", reply.Err, malformed)
			}
			if (reply.Err == nil) != (test.result == subrequest.OK) {
				t.Errorf("error %v with result %d", reply.Err, reply.Result)
			}
			if got := <-requests; !strings.HasPrefix(got, "leaf-1 ") || len(got) <= len("leaf-1 ") {
				t.Errorf("leaf received target and remaining time %q", got)
			}
			await(t, startID(client, leaf.vm(), "r2"))
			if reused := len(leaf.accepted) == 1; reused != test.reused {
				t.Errorf("connection reused: %t, want %t", reused, test.reused)
			}
		})
	}
}

// TestLateReplyBelongsToNoRequest checks that an unsolicited reply on an idle
// connection closes the connection and is not taken as the reply of the next call.
func TestLateReplyBelongsToNoRequest(t *testing.T) {
	closed := make(chan struct{})
	leaf := newLeaf(t, func(n int, c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(c, completeReply)
		if n > 0 {
			return
		}
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(c, completeReply)
		_, _ = r.ReadByte()
		close(closed)
	})
	client := newClient(t, 1, leaf.vm())
	_, done := start(client, leaf.vm(), "")
	await(t, done)
	select {
	case <-closed:
	case <-time.After(testWait):
		t.Fatal("a connection with unsolicited bytes stays open")
	}
	_, done = start(client, leaf.vm(), "")
	if reply := await(t, done); reply.Result != subrequest.OK {
		t.Errorf("next call: %d, %v", reply.Result, reply.Err)
	}
}

// TestCancel checks that cancelling a sent call closes its connection, that a cancelled
// waiting call is not sent, and that both calls end.
func TestCancel(t *testing.T) {
	closed := make(chan struct{}, 1)
	leaf := newLeaf(t, func(n int, c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		if _, err := r.ReadByte(); err != nil {
			closed <- struct{}{}
		}
	})
	client := newClient(t, 1, leaf.vm())
	sent, sentDone := start(client, leaf.vm(), "")
	<-leaf.accepted
	time.Sleep(20 * time.Millisecond)
	waiting, waitingDone := start(client, leaf.vm(), "")
	client.Cancel(waiting)
	if reply := await(t, waitingDone); reply.Sent || reply.Result != subrequest.Unsent {
		t.Errorf("waiting call: %+v", reply)
	}
	client.Cancel(sent)
	client.Cancel(sent)
	if reply := await(t, sentDone); !reply.Sent || !errors.Is(reply.Err, ErrCancelled) {
		t.Errorf("sent call: %+v", reply)
	}
	select {
	case <-closed:
	case <-time.After(testWait):
		t.Fatal("the connection to the leaf stays open")
	}
}

// TestWithdraw checks that a call that waits for a connection can be withdrawn, that
// the connection then serves other calls, and that a sent call cannot be withdrawn.
func TestWithdraw(t *testing.T) {
	leaf := newLeaf(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			time.Sleep(30 * time.Millisecond)
			_, _ = io.WriteString(c, completeReply)
		}
	})
	client := newClient(t, 1, leaf.vm())
	sent, sentDone := start(client, leaf.vm(), "")
	<-leaf.accepted
	time.Sleep(10 * time.Millisecond)
	waiting, waitingDone := start(client, leaf.vm(), "")
	_, lastDone := start(client, leaf.vm(), "")
	if client.Withdraw(sent) {
		t.Error("a sent call was withdrawn")
	}
	if !client.Withdraw(waiting) || client.Withdraw(waiting) {
		t.Error("a waiting call must be withdrawn exactly once")
	}
	client.Cancel(waiting)
	for _, done := range []chan *Call{sentDone, lastDone} {
		if reply := await(t, done); reply.Result != subrequest.OK {
			t.Errorf("reply %+v", reply)
		}
	}
	select {
	case <-waitingDone:
		t.Error("a withdrawn call was delivered")
	default:
	}
}

func TestConnectionRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	vm := platform.VM{ID: "leaf-1", Address: listener.Addr().String()}
	_ = listener.Close()
	_, done := start(newClient(t, 1, vm), vm, "")
	if reply := await(t, done); reply.Sent || reply.Result != subrequest.Unsent || reply.Err == nil {
		t.Errorf("reply %+v", reply)
	}
}

// TestLimit checks that calls wait for a connection when the limit of connections to
// the leaf is reached.
func TestLimit(t *testing.T) {
	const limit = 2
	leaf := newLeaf(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
			_, _ = io.WriteString(c, completeReply)
		}
	})
	client := newClient(t, limit, leaf.vm())
	var ends []chan *Call
	for range 5 * limit {
		_, done := start(client, leaf.vm(), "")
		ends = append(ends, done)
	}
	for _, done := range ends {
		if reply := await(t, done); reply.Result != subrequest.OK {
			t.Errorf("call ended with %d: %v", reply.Result, reply.Err)
		}
	}
	if n := len(leaf.accepted); n > limit {
		t.Errorf("%d connections, limit %d", n, limit)
	}
}

// TestEarlyReply checks that a connection whose request was not fully written is not
// reused, since the leaf would read the next request as the rest of the first one.
func TestEarlyReply(t *testing.T) {
	leaf := newLeaf(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = r.ReadByte()
		_, _ = io.WriteString(c, "HTTP/1.1 413 Too long\r\nReceipt: x\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(100 * time.Millisecond)
	})
	client := newClient(t, 1, leaf.vm())
	_, done := start(client, leaf.vm(), strings.Repeat("x", 32<<20))
	if reply := await(t, done); reply.Status != http.StatusRequestEntityTooLarge {
		t.Fatalf("reply %+v", reply)
	}
	_, done = start(client, leaf.vm(), "")
	await(t, done)
	if n := len(leaf.accepted); n != 2 {
		t.Errorf("%d connections, want another one", n)
	}
}

// TestRelease checks that Release closes the idle connections to a leaf and that the
// leaf can be called again.
func TestRelease(t *testing.T) {
	ended := make(chan struct{}, 10)
	leaf := newLeaf(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				ended <- struct{}{}
				return
			}
			_, _ = io.WriteString(c, completeReply)
		}
	})
	client := newClient(t, 1, leaf.vm())
	_, done := start(client, leaf.vm(), "")
	await(t, done)
	client.Release("unknown")
	client.Release(leaf.vm().ID)
	select {
	case <-ended:
	case <-time.After(testWait):
		t.Fatal("the connection stays open")
	}
	_, done = start(client, leaf.vm(), "")
	if reply := await(t, done); reply.Result != subrequest.OK {
		t.Errorf("call after the release: %+v", reply)
	}
}

func TestKeepAliveTimeout(t *testing.T) {
	tests := map[string]time.Duration{"timeout=5": 5 * time.Second, "max=3, Timeout = 2": 2 * time.Second, "": 0, "timeout=x": 0, "timeout=-1": 0, "timeout=1e99": 0}
	for value, want := range tests {
		if got, _ := keepAliveTimeout(value); got != want {
			t.Errorf("%q: %v, want %v", value, got, want)
		}
	}
}

func TestMain(m *testing.M) {
	if os.Getenv(benchLeafVariable) != "" {
		serveBenchLeaf()
		return
	}
	goleak.VerifyTestMain(m)
}
