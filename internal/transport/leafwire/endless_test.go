package leafwire

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
)

const (
	// endlessCalls is the number of calls to endless leafs at the same time.
	endlessCalls = 24
	// maxEndlessHeap is the memory that their replies may take: under half of a small VM's.
	maxEndlessHeap = 140 << 20
	// endlessTimeout is the deadline of the calls; they must have ended before.
	endlessTimeout = testWait
)

// peakHeap samples the heap until stop is called, which returns the largest growth in bytes.
func peakHeap() (stop func() int64) {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	before := int64(stats.HeapInuse)
	done, ended := make(chan struct{}), make(chan int64)
	go func() {
		var peak int64
		ticker := time.NewTicker(50 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				ended <- peak
				return
			case <-ticker.C:
				var stats runtime.MemStats
				runtime.ReadMemStats(&stats)
				peak = max(peak, int64(stats.HeapInuse)-before)
			}
		}
	}()
	return func() int64 { close(done); return <-ended }
}

// TestEndlessReplies guards against a leaf that sends bytes that are no answer without end:
// they take all memory, and the call and its connection last until the caller gives up.
func TestEndlessReplies(t *testing.T) {
	filler := strings.Repeat("x", 32<<10)
	tests := map[string]struct{ begin, repeat string }{
		"status line":     {"HTTP/1.1 200 ", filler},
		"no protocol":     {"", filler},
		"header line":     {"HTTP/1.1 200 OK\r\nReceipt: ", filler},
		"headers":         {"HTTP/1.1 200 OK\r\n", strings.Repeat("X-A: b\r\n", 4<<10)},
		"interim replies": {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1<<10)},
		"body in chunks":  {"HTTP/1.1 200 OK\r\nReceipt: x\r\nTransfer-Encoding: chunked\r\n\r\n", "8000\r\n" + filler + "\r\n"},
		"empty chunks":    {"HTTP/1.1 200 OK\r\nReceipt: x\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("1;"+strings.Repeat("e", 100)+"\r\nx\r\n", 300)},
		"trailers":        {"HTTP/1.1 200 OK\r\nReceipt: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("X-A: b\r\n", 4<<10)},
		"no length":       {"HTTP/1.1 200 OK\r\nReceipt: x\r\n\r\n", filler},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var open atomic.Int64
			endless := newLeaf(t, func(_ int, c net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				open.Add(1)
				defer open.Add(-1)
				_, err := io.WriteString(c, test.begin)
				for err == nil {
					_, err = io.WriteString(c, test.repeat)
				}
			})
			sound := newLeaf(t, func(_ int, c net.Conn, r *bufio.Reader) {
				for {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					_, _ = io.WriteString(c, completeReply)
				}
			})
			vm, neighbour := endless.vm(), sound.vm()
			neighbour.ID = "leaf-2"
			client := newClient(t, endlessCalls, vm)
			t.Cleanup(func() { client.RemoveLeaf(neighbour.ID) })
			heap := peakHeap()
			var calls []*Call
			var ends []chan *Call
			for range endlessCalls {
				call, done := start(client, vm, "")
				calls = append(calls, call)
				ends = append(ends, done)
			}
			_, done := start(client, neighbour, "")
			if reply := await(t, done); reply.Result != subrequest.OK {
				t.Errorf("the neighbour's call ended with %d, %v", reply.Result, reply.Err)
			}
			timeout := time.After(endlessTimeout)
			for i, done := range ends {
				select {
				case call := <-done:
					if call.Reply.Err == nil {
						t.Error("endless bytes were taken for an answer")
					}
				case <-timeout:
					timeout = nil
					for _, call := range calls[i:] {
						client.Cancel(call)
					}
					<-done
					t.Errorf("call %d was not over after %v", i, endlessTimeout)
				}
				if t.Failed() && timeout == nil {
					break
				}
			}
			if growth := heap(); growth > maxEndlessHeap {
				t.Errorf("%d MB of memory taken, want at most %d", growth>>20, maxEndlessHeap>>20)
			}
			for startedAt := time.Now(); open.Load() > 0; time.Sleep(5 * time.Millisecond) {
				if time.Since(startedAt) > time.Second {
					t.Fatalf("%d connections stay open", open.Load())
				}
			}
		})
	}
}
