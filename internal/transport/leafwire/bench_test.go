package leafwire

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// benchReply is a typical reply of a leaf: 62 records.
var benchReply = "HTTP/1.1 200 OK\r\nId: r1\r\nReceipt: x\r\nContent-Length: 992\r\nKeep-Alive: timeout=5\r\n\r\n" + strings.Repeat("0123456789abcdef", 62)

// benchLeafVariable is the environment variable that makes the test binary run as a leaf
// for benchmarks, so that the CPU time of the benchmark's process is that of the
// client alone.
const benchLeafVariable = "HICKORYDOCK_BENCH_LEAF"

// serveBenchLeaf answers each request with the same bytes until standard input ends.
func serveBenchLeaf() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		os.Exit(1)
	}
	fmt.Println(listener.Addr())
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(0)
	}()
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go serveBenchConn(c)
	}
}

func serveBenchConn(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return
		}
		if len(line) == 2 {
			if _, err := io.WriteString(c, benchReply); err != nil {
				return
			}
		}
	}
}

// startBenchLeaf starts a leaf in a separate process and returns its address.
func startBenchLeaf(b *testing.B) string {
	leaf := exec.Command(os.Args[0])
	leaf.Env = append(os.Environ(), benchLeafVariable+"=1")
	in, err := leaf.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	out, err := leaf.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := leaf.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = in.Close(); _ = leaf.Wait() })
	address, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		b.Fatal(err)
	}
	return strings.TrimSpace(address)
}

// processorTime returns the CPU time of the process, in user and system mode.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func reportProcessorTime(b *testing.B, before time.Duration) {
	b.ReportMetric(float64((processorTime()-before).Nanoseconds())/float64(b.N), "cpu-ns/op")
}

func BenchmarkCall(b *testing.B) {
	vm := platform.VM{ID: "leaf-1", Address: startBenchLeaf(b)}
	client := New(Config{Names: testNames, MaxConnections: func(string) int { return 1 }})
	client.AddLeaf(vm)
	message := &Message{Method: http.MethodGet, Head: []byte("GET /p HTTP/1.1\r\nHost: h\r\nId: r1\r\n"), ID: requestID, Deadline: time.Now().Add(time.Hour)}
	done := make(chan *Call, 1)
	b.ReportAllocs()
	before := processorTime()
	for b.Loop() {
		client.Start(&Call{Message: message, Leaf: vm, StartedAt: time.Now(), Done: done})
		if call := <-done; call.Reply.Err != nil {
			b.Fatal(call.Reply.Err)
		}
	}
	reportProcessorTime(b, before)
	client.RemoveLeaf(vm.ID)
	time.Sleep(10 * time.Millisecond) // wait for readLoop to end
}

func BenchmarkNetHTTP(b *testing.B) {
	url := "http://" + startBenchLeaf(b) + "/p"
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	b.ReportAllocs()
	before := processorTime()
	for b.Loop() {
		request, _ := http.NewRequest(http.MethodGet, url, nil)
		request.Header.Set("Id", requestID)
		response, err := transport.RoundTrip(request)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	reportProcessorTime(b, before)
}
