package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/replica"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/upstream"
	"github.com/hickorydock/hickorydock/internal/standin/leaf"
	stateleaf "github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
	"github.com/hickorydock/hickorydock/internal/transport/relay"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
	client "github.com/hickorydock/hickorydock/internal/transport/upstream"
)

// benchSlots is the number of slots of the leaf, as in the settings of its service.
const benchSlots = 64

// benchLeaf starts a leaf whose runs take no time.
func benchLeaf(b *testing.B) platform.VM {
	l := leaf.New(leaf.Options{
		ID:       "leaf",
		Slots:    benchSlots,
		Items:    1,
		Holdings: []upstream.Holding{{Service: "s", Snapshot: firstSnapshot, ShardCount: 1, Shards: []int{0}}},
	})
	address, err := l.Start("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(l.Close)
	return platform.VM{ID: "leaf", Group: "s", Address: address}
}

// processorTime is the CPU time of all threads of the process.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// reportProcessorTime adds the CPU time per iteration, of client and leaf together.
func reportProcessorTime(b *testing.B, run func(*testing.PB)) {
	b.ReportAllocs()
	b.ResetTimer()
	start := processorTime(b)
	b.RunParallel(run)
	b.ReportMetric(float64((processorTime(b)-start).Nanoseconds())/float64(b.N), "cpu-ns/op")
}

// BenchmarkSubrequestBare measures a plain net/http client in a loop against a leaf.
func BenchmarkSubrequestBare(b *testing.B) {
	vm := benchLeaf(b)
	plain := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer plain.CloseIdleConnections()
	body, _ := json.Marshal(upstream.RunRequest{Query: json.RawMessage(`{}`)})
	sub := upstream.Subrequest{RequestID: "r", Service: "s", Snapshot: firstSnapshot, Class: upstream.ClassQuery}
	reportProcessorTime(b, func(pb *testing.PB) {
		for pb.Next() {
			request, _ := http.NewRequest(http.MethodPost, "http://"+vm.Address+upstream.RunPath(0), bytes.NewReader(body))
			sub.SetHeaders(request.Header, time.Second)
			response, err := plain.Do(request)
			if err != nil {
				b.Error(err)
				return
			}
			reply, _ := io.ReadAll(response.Body)
			response.Body.Close()
			var run upstream.RunReply
			if err := json.Unmarshal(reply, &run); err != nil {
				b.Error(err)
			}
		}
	})
}

// BenchmarkSubrequestRelay measures the same subrequest through the relay.
func BenchmarkSubrequestRelay(b *testing.B) {
	vm := benchLeaf(b)
	store := shardmap.NewStore(stateleaf.NewTable())
	c := client.New(client.DefaultConfig(), nil)
	defer c.Close()
	r := relay.New(c, store, nil, "az-1", replica.Choose, nil, tracing.Off())
	service := experimentService(0.05)
	service.Name = "s"
	service.LeafSlots = benchSlots
	body, _ := json.Marshal(upstream.RunRequest{Query: json.RawMessage(`{}`)})
	record := &stateleaf.Record{}
	reportProcessorTime(b, func(pb *testing.PB) {
		for pb.Next() {
			result := r.Run(context.Background(), relay.Task{
				Service:   &service,
				RequestID: "r",
				Snapshot:  firstSnapshot,
				Replicas:  []shardmap.Replica{{VM: vm, Record: record}},
				Deadline:  time.Now().Add(time.Second),
				Body:      body,
			})
			if !result.OK {
				b.Error(result.Err)
				return
			}
		}
	})
}
