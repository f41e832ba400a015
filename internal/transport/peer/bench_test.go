package peer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
)

// Sizes of the bodies of one subrequest, in bytes.
const (
	benchRequestBytes = 100
	benchReplyBytes   = 200
)

// processorTime is the CPU time of this process, in user and system mode.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// report adds the CPU time of both sides for each subrequest.
func report(b *testing.B, used time.Duration, perOperation int) {
	b.ReportMetric(float64(used.Nanoseconds())/float64(b.N*perOperation), "cpu-ns/subrequest")
}

// callersPerProcessor keeps several calls in flight on the stream.
const callersPerProcessor = 2

// BenchmarkSubrequest measures the CPU time of both sides for a subrequest over a
// stream, by batch size, and for a direct one over net/http, on loopback.
func BenchmarkSubrequest(b *testing.B) {
	for _, size := range []int{1, 5, 20, 80} {
		b.Run(fmt.Sprintf("batch=%d", size), func(b *testing.B) { benchmarkBatch(b, size) })
	}
	b.Run("net-http", benchmarkHTTP)
}

func benchmarkBatch(b *testing.B, size int) {
	body := make([]byte, benchReplyBytes)
	s, err := NewServer(config(), handlerFunc(func(_ context.Context, batch *contract.Batch, reply func(Result)) {
		for i := range batch.Shards {
			reply(Result{Index: i, Status: contract.Status_STATUS_OK, Body: body})
		}
	}))
	if err != nil {
		b.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = s.Serve(listener) }()
	defer s.Close()
	defer listener.Close()
	raw, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	c, err := Connect(b.Context(), raw, config())
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	shards := make([]uint32, size)
	for i := range shards {
		shards[i] = uint32(i)
	}
	request := make([]byte, benchRequestBytes)
	b.SetParallelism(callersPerProcessor)
	b.ReportAllocs()
	b.ResetTimer()
	before := processorTime(b)
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
			var results atomic.Int64
			batch := &contract.Batch{RequestId: "0123456789abcdef", Service: "licence-desk", MapGeneration: 3, IndexVersion: 9, Shards: shards, Body: request}
			err := c.Do(ctx, batch, func(Result) { results.Add(1) })
			cancel()
			if err != nil || int(results.Load()) != size {
				b.Errorf("%v after %d of %d results", err, results.Load(), size)
				return
			}
		}
	})
	report(b, processorTime(b)-before, size)
}

func benchmarkHTTP(b *testing.B) {
	body := make([]byte, benchReplyBytes)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			_, _ = w.Write(body)
		}
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	request := make([]byte, benchRequestBytes)
	url := "http://" + listener.Addr().String() + "/shards/1/run"
	b.SetParallelism(callersPerProcessor)
	b.ReportAllocs()
	b.ResetTimer()
	before := processorTime(b)
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			response, err := client.Post(url, "application/json", bytes.NewReader(request))
			if err != nil {
				b.Error(err)
				return
			}
			n, err := io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if err != nil || n != benchReplyBytes {
				b.Errorf("%v after %d bytes", err, n)
				return
			}
		}
	})
	report(b, processorTime(b)-before, 1)
}
