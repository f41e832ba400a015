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

// goodBody is the body of a valid reply.
const goodBody = `{"items":[{"id":1}]}`

// script writes a reply to conn after the request was read. The connection is
// closed when the script returns.
type script func(conn net.Conn)

// fixed returns a script that writes the given bytes.
func fixed(reply string) script {
	return func(conn net.Conn) { io.WriteString(conn, reply) }
}

// repeating returns a script that writes start, then part without end, with a pause
// before each part.
func repeating(start, part string, pause time.Duration) script {
	return func(conn net.Conn) {
		_, err := io.WriteString(conn, start)
		for err == nil {
			time.Sleep(pause)
			_, err = io.WriteString(conn, part)
		}
	}
}

// replyHead is the start of a 200 reply with the reply headers of sub and body; more
// are further header lines.
func replyHead(sub contract.Subrequest, body string, more ...string) string {
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

// fullReply is a 200 reply with Content-Length and body.
func fullReply(sub contract.Subrequest, body string, more ...string) string {
	return replyHead(sub, body, append(more, fmt.Sprintf("Content-Length: %d", len(body)))...) + "\r\n" + body
}

// rejection is a reply that declares that nothing ran.
func rejection(sub contract.Subrequest, status string) string {
	return strings.Replace(fullReply(sub, `""`, contract.HeaderNotRun+": 1"), "200 OK", status, 1)
}

// modified returns the test subrequest after change.
func modified(change func(s *contract.Subrequest)) contract.Subrequest {
	sub := poolSubrequest("r-1")
	change(&sub)
	return sub
}

// gzipBomb returns 64 MiB of zeroes, compressed to a small gzip stream.
func gzipBomb() string {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	io.CopyN(w, zeroReader{}, 64<<20)
	w.Close()
	return out.String()
}

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// subrequestTimeout is the time limit of a subrequest.
const subrequestTimeout = 2 * time.Second

func hostileCases() map[string]struct {
	reply   script
	want    subrequest.Result
	elapsed time.Duration
} {
	type c = struct {
		reply   script
		want    subrequest.Result
		elapsed time.Duration
	}
	good := poolSubrequest("r-1")
	other := modified(func(s *contract.Subrequest) { s.RequestID = "r-2" })
	chunked := replyHead(good, "", "Transfer-Encoding: chunked") + "\r\n"
	return map[string]c{
		"valid":                        {fixed(fullReply(good, goodBody)), subrequest.OK, 0},
		"closes at once":               {fixed(""), subrequest.ConnectionLost, 0},
		"not HTTP":                     {fixed("SSH-2.0-x\r\n\r\n"), subrequest.ConnectionLost, 0},
		"partial header":               {fixed("HTTP/1.1 200 OK\r\nX:"), subrequest.ConnectionLost, 0},
		"body too short":               {fixed(strings.TrimSuffix(fullReply(good, goodBody), "}")), subrequest.ConnectionLost, 0},
		"body too long":                {fixed(fullReply(good, goodBody) + "more"), subrequest.OK, 0},
		"two lengths":                  {fixed(fullReply(good, goodBody, "Content-Length: 1")), subrequest.ConnectionLost, 0},
		"bad chunk":                    {fixed(chunked + "zz\r\n"), subrequest.ConnectionLost, 0},
		"endless body":                 {repeating(chunked, "1000\r\n"+strings.Repeat("x", 0x1000)+"\r\n", 0), subrequest.ConnectionLost, 0},
		"huge length":                  {fixed(replyHead(good, "", "Content-Length: 9000000000000") + "\r\n" + goodBody), subrequest.ConnectionLost, 0},
		"endless header":               {repeating("HTTP/1.1 200 OK\r\n", "X: "+strings.Repeat("x", 500)+"\r\n", 0), subrequest.ConnectionLost, 0},
		"10,000 headers":               {fixed("HTTP/1.1 200 OK\r\n" + strings.Repeat("X: y\r\n", 10_000) + "\r\n"), subrequest.ConnectionLost, 0},
		"endless 1xx replies":          {repeating("", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", 0), subrequest.ConnectionLost, 0},
		"header, 1 byte per second":    {repeating("HTTP/1.1 200 OK\r\nX: ", "x", time.Second), subrequest.ConnectionLost, subrequestTimeout},
		"body, 1 byte per second":      {repeating(replyHead(good, goodBody, "Content-Length: 20")+"\r\n", "x", time.Second), subrequest.ConnectionLost, subrequestTimeout},
		"silent":                       {func(conn net.Conn) { io.Copy(io.Discard, conn) }, subrequest.ConnectionLost, subrequestTimeout},
		"reply to another request":     {fixed(fullReply(other, goodBody)), subrequest.BadReply, 0},
		"rejection":                    {fixed(rejection(good, "503 Busy")), subrequest.NotRun, 0},
		"rejection of another request": {fixed(rejection(other, "503 Busy")), subrequest.BadReply, 0},
		"rejection of no request":      {fixed("HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"), subrequest.BadReply, 0},
		"no snapshot":                  {fixed(rejection(good, "410 Gone")), subrequest.SnapshotUnavailable, 0},
		"no snapshot, another's":       {fixed(rejection(other, "410 Gone")), subrequest.BadReply, 0},
		"reply to another attempt":     {fixed(fullReply(modified(func(s *contract.Subrequest) { s.Attempt = 2 }), goodBody)), subrequest.BadReply, 0},
		"reply for another shard":      {fixed(fullReply(modified(func(s *contract.Subrequest) { s.Shard = 0 }), goodBody)), subrequest.BadReply, 0},
		"reply for another snapshot":   {fixed(fullReply(modified(func(s *contract.Subrequest) { s.Snapshot.Version++ }), goodBody)), subrequest.BadReply, 0},
		"another body":                 {fixed(strings.Replace(fullReply(good, goodBody), `"id":1`, `"id":2`, 1)), subrequest.BadReply, 0},
		"no reply headers":             {fixed("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"), subrequest.BadReply, 0},
		"not JSON":                     {fixed(fullReply(good, "<html>")), subrequest.BadReply, 0},
		"items are not a list":         {fixed(fullReply(good, `{"items":7}`)), subrequest.BadReply, 0},
		"deep JSON":                    {fixed(fullReply(good, `{"items":`+strings.Repeat("[", 100_000)+`}`)), subrequest.BadReply, 0},
		"gzip bomb":                    {fixed(fullReply(good, gzipBomb(), "Content-Encoding: gzip")), subrequest.BadReply, 0},
		"redirect":                     {fixed("HTTP/1.1 307 X\r\nLocation: http://192.0.2.1/\r\nContent-Length: 0\r\n\r\n"), subrequest.UpstreamError, 0},
		"upgrade, then silent":         {repeating("HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n", "", time.Second), subrequest.ConnectionLost, 0},
		"status 000":                   {fixed("HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n"), subrequest.ConnectionLost, 0},
		"status 099 with a body":       {fixed("HTTP/1.1 099 X\r\nContent-Length: 2\r\n\r\n{}"), subrequest.ConnectionLost, 0},
		"status 999":                   {fixed("HTTP/1.1 999 X\r\nContent-Length: 0\r\n\r\n"), subrequest.ConnectionLost, 0},
		"upgrade":                      {fixed("HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n"), subrequest.ConnectionLost, 0},
	}
}

var (
	hostileVM = platform.VM{ID: "hostile", Address: "10.0.0.2:80"}
	goodVM    = platform.VM{ID: "good", Address: "10.0.0.3:80"}
)

// TestHostileLeafFailsOnlyItsOwnSubrequest sends a subrequest to a leaf that replies
// by a script while another leaf serves the same client. It also guards against a late copy of a
// rejection by which a query that runs counts as not run.
func TestHostileLeafFailsOnlyItsOwnSubrequest(t *testing.T) {
	for name, c := range hostileCases() {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cfg := DefaultConfig()
				cfg.Dial = func(_ context.Context, _, address string) (net.Conn, error) {
					clientConn, leafConn := net.Pipe()
					reply := c.reply
					if address == goodVM.Address {
						reply = fixed(fullReply(poolSubrequest("r-1"), goodBody))
					}
					go serveScript(leafConn, reply)
					return clientConn, nil
				}
				client := New(cfg, nil)
				defer client.Close()
				start := time.Now()
				reply := runOn(t, client, hostileVM)
				if reply.Result != c.want || time.Since(start) != c.elapsed {
					t.Errorf("result %d after %s, want %d after %s: %v", reply.Result, time.Since(start), c.want, c.elapsed, reply.Err)
				}
				if (reply.Err == nil) != (c.want == subrequest.OK) || (reply.Items != nil) != (c.want == subrequest.OK) {
					t.Errorf("result %d comes with items %s and error %v", reply.Result, reply.Items, reply.Err)
				}
				if good := runOn(t, client, goodVM); good.Result != subrequest.OK {
					t.Errorf("another leaf's subrequest ended as %d: %v", good.Result, good.Err)
				}
				client.Close()
				time.Sleep(2 * subrequestTimeout) // lets the scripts notice that the connection is closed
			})
		})
	}
}

func runOn(t *testing.T, c *Client, vm platform.VM) Reply {
	ctx, cancel := context.WithTimeout(t.Context(), subrequestTimeout)
	defer cancel()
	return c.Run(ctx, vm, poolSubrequest("r-1"), subrequestTimeout, []byte(`{"query":1}`))
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
