package leafwire

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
)

// slowCloseConn is a connection whose Close blocks until proceed is closed.
type slowCloseConn struct {
	net.Conn
	closing chan struct{}
	proceed chan struct{}
	once    sync.Once
}

func (c *slowCloseConn) Close() error {
	c.once.Do(func() { close(c.closing) })
	<-c.proceed
	return c.Conn.Close()
}

// TestCallDuringConnectionClose checks that a call that starts while an idle connection
// is being closed, because the leaf sent unsolicited bytes, gets another connection.
func TestCallDuringConnectionClose(t *testing.T) {
	leaf := newLeaf(t, func(n int, c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(c, completeReply)
		if n == 0 {
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(c, completeReply)
			_, _ = r.ReadByte()
		}
	})
	first := &slowCloseConn{closing: make(chan struct{}), proceed: make(chan struct{})}
	client := New(Config{Names: testNames, MaxConnections: func(string) int { return 2 }, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		raw, err := dialTCP(ctx, address)
		if first.Conn == nil && err == nil {
			first.Conn = raw
			return first, nil
		}
		return raw, err
	}})
	t.Cleanup(func() { client.RemoveLeaf(leaf.vm().ID) })
	_, done := start(client, leaf.vm(), "")
	await(t, done)
	<-first.closing
	_, done = start(client, leaf.vm(), "")
	time.AfterFunc(20*time.Millisecond, func() { close(first.proceed) })
	if reply := await(t, done); reply.Result != subrequest.OK {
		t.Errorf("call: %d, %v", reply.Result, reply.Err)
	}
}
