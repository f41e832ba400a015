package upstream

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	contract "github.com/hickorydock/hickorydock/internal/protocol/upstream"
)

// goodBody is the body of a sound reply.
const goodBody = `{"items":[{"id":1}]}`

// script writes a reply to conn after the request was read. The connection is
// closed when it returns.
type script func(conn net.Conn)

// text writes fixed bytes.
func text(reply string) script {
	return func(conn net.Conn) { io.WriteString(conn, reply) }
}

// forever repeats a part after a start, with a pause between parts.
func forever(start, part string, pause time.Duration) script {
	return func(conn net.Conn) {
		_, err := io.WriteString(conn, start)
		for err == nil {
			time.Sleep(pause)
			_, err = io.WriteString(conn, part)
		}
	}
}

// head is the start of a 200 reply whose echo is that of sub, for a body.
func head(sub contract.Subrequest, body string, more ...string) string {
	h := http.Header{}
	sub.SetReplyHeaders(h, []byte(body))
	var out strings.Builder
	out.WriteString("HTTP/1.1 200 OK\r\n")
	h.Write(&out)
	for _, line := range more {
		out.WriteString(line + "\r\n")
	}
	return out.String()
}

// whole is a reply with a length and a body.
func whole(sub contract.Subrequest, body string, more ...string) string {
	return head(sub, body, append(more, fmt.Sprintf("Content-Length: %d", len(body)))...) + "\r\n" + body
}

func with(change func(s *contract.Subrequest)) contract.Subrequest {
	sub := poolSubrequest("r-1")
	change(&sub)
	return sub
}

// bomb is a small gzip text of a large body.
func bomb() string {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	io.CopyN(w, zeroes{}, 64<<20)
	w.Close()
	return out.String()
}

type zeroes struct{}

func (zeroes) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// limit is the time given to a subrequest.
const limit = 2 * time.Second

func hostileCases() map[string]struct {
	reply script
	want  subrequest.Result
	took  time.Duration
} {
	type c = struct {
		reply script
		want  subrequest.Result
		took  time.Duration
	}
	good := poolSubrequest("r-1")
	chunked := head(good, "", "Transfer-Encoding: chunked") + "\r\n"
	return map[string]c{
		"sound":                {text(whole(good, goodBody)), subrequest.OK, 0},
		"closes at once":       {text(""), subrequest.ConnectionLost, 0},
		"not HTTP":             {text("SSH-2.0-x\r\n\r\n"), subrequest.ConnectionLost, 0},
		"half a header":        {text("HTTP/1.1 200 OK\r\nX:"), subrequest.ConnectionLost, 0},
		"body too short":       {text(strings.TrimSuffix(whole(good, goodBody), "}")), subrequest.ConnectionLost, 0},
		"body too long":        {text(whole(good, goodBody) + "more"), subrequest.OK, 0},
		"two lengths":          {text(whole(good, goodBody, "Content-Length: 1")), subrequest.ConnectionLost, 0},
		"bad chunk":            {text(chunked + "zz\r\n"), subrequest.ConnectionLost, 0},
		"endless body":         {forever(chunked, "1000\r\n"+strings.Repeat("x", 0x1000)+"\r\n", 0), subrequest.ConnectionLost, 0},
		"huge length":          {text(head(good, "", "Content-Length: 9000000000000") + "\r\n" + goodBody), subrequest.ConnectionLost, 0},
		"endless header":       {forever("HTTP/1.1 200 OK\r\n", "X: "+strings.Repeat("x", 500)+"\r\n", 0), subrequest.ConnectionLost, 0},
		"10,000 headers":       {text("HTTP/1.1 200 OK\r\n" + strings.Repeat("X: y\r\n", 10_000) + "\r\n"), subrequest.ConnectionLost, 0},
		"endless interim":      {forever("", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", 0), subrequest.ConnectionLost, 0},
		"header by the second": {forever("HTTP/1.1 200 OK\r\nX: ", "x", time.Second), subrequest.ConnectionLost, limit},
		"body by the second":   {forever(head(good, goodBody, "Content-Length: 20")+"\r\n", "x", time.Second), subrequest.ConnectionLost, limit},
		"silent":               {func(conn net.Conn) { io.Copy(io.Discard, conn) }, subrequest.ConnectionLost, limit},
		"another request":      {text(whole(with(func(s *contract.Subrequest) { s.RequestID = "r-2" }), goodBody)), subrequest.BadReply, 0},
		"another attempt":      {text(whole(with(func(s *contract.Subrequest) { s.Attempt = 2 }), goodBody)), subrequest.BadReply, 0},
		"another shard":        {text(whole(with(func(s *contract.Subrequest) { s.Shard = 0 }), goodBody)), subrequest.BadReply, 0},
		"another snapshot":     {text(whole(with(func(s *contract.Subrequest) { s.Snapshot.Version++ }), goodBody)), subrequest.BadReply, 0},
		"another body":         {text(strings.Replace(whole(good, goodBody), `"id":1`, `"id":2`, 1)), subrequest.BadReply, 0},
		"no echo":              {text("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"), subrequest.BadReply, 0},
		"not JSON":             {text(whole(good, "<html>")), subrequest.BadReply, 0},
		"items of no list":     {text(whole(good, `{"items":7}`)), subrequest.BadReply, 0},
		"deep JSON":            {text(whole(good, `{"items":`+strings.Repeat("[", 100_000)+`}`)), subrequest.BadReply, 0},
		"gzip bomb":            {text(whole(good, bomb(), "Content-Encoding: gzip")), subrequest.BadReply, 0},
		"redirect":             {text("HTTP/1.1 307 X\r\nLocation: http://192.0.2.1/\r\nContent-Length: 0\r\n\r\n"), subrequest.UpstreamError, 0},
		"upgrade, then silent": {forever("HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n", "", time.Second), subrequest.ConnectionLost, 0},
		"upgrade":              {text("HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n"), subrequest.ConnectionLost, 0},
	}
}

var (
	hostileVM = platform.VM{ID: "hostile", Address: "10.0.0.2:80"}
	goodVM    = platform.VM{ID: "good", Address: "10.0.0.3:80"}
)

// TestHostileLeafCostsItsOwnSubrequestOnly sends a subrequest to a leaf that
// replies by a script while another leaf serves the same client.
func TestHostileLeafCostsItsOwnSubrequestOnly(t *testing.T) {
	for name, c := range hostileCases() {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cfg := DefaultConfig()
				cfg.Dial = func(_ context.Context, _, address string) (net.Conn, error) {
					near, far := net.Pipe()
					reply := c.reply
					if address == goodVM.Address {
						reply = text(whole(poolSubrequest("r-1"), goodBody))
					}
					go serveScript(far, reply)
					return near, nil
				}
				client := New(cfg, nil)
				defer client.Close()
				start := time.Now()
				reply := runOn(t, client, hostileVM)
				if reply.Result != c.want || time.Since(start) != c.took {
					t.Errorf("result %d after %s, want %d after %s: %v", reply.Result, time.Since(start), c.want, c.took, reply.Err)
				}
				if (reply.Err == nil) != (c.want == subrequest.OK) || (reply.Items != nil) != (c.want == subrequest.OK) {
					t.Errorf("result %d comes with items %s and error %v", reply.Result, reply.Items, reply.Err)
				}
				if good := runOn(t, client, goodVM); good.Result != subrequest.OK {
					t.Errorf("another leaf's subrequest ended as %d: %v", good.Result, good.Err)
				}
				client.Close()
				time.Sleep(2 * limit) // lets the scripts notice that nobody reads
			})
		})
	}
}

func runOn(t *testing.T, c *Client, vm platform.VM) Reply {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	return c.Run(ctx, vm, poolSubrequest("r-1"), limit, []byte(`{"query":1}`))
}

// serveScript reads one request and replies by a script.
func serveScript(conn net.Conn, reply script) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	reply(conn)
}
