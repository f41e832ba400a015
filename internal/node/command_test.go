package node

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/protocol/settings"
	"github.com/hickorydock/hickorydock/internal/protocol/upstream"
	"github.com/hickorydock/hickorydock/internal/standin/leaf"
	standin "github.com/hickorydock/hickorydock/internal/standin/platform"
)

// complaints is a service that accepts commands.
var complaints = note.Service{
	Name: "complaints", UpstreamGroup: "complaints", Policy: note.PolicyCoverage, Merge: note.MergeConcat,
	LongestWaitMS: 5000, LeafSlots: 4, LeafConnections: 100, Commands: true,
}

// startLeaf serves a leaf of complaints and lists it in the platform.
func startLeaf(t *testing.T, p *standin.Platform, serviceTime time.Duration) *leaf.Leaf {
	t.Helper()
	l := leaf.New(leaf.Options{
		ID:          "leaf-1",
		ServiceTime: leaf.ServiceTime{Median: serviceTime},
		Holdings: []upstream.Holding{{
			Service: complaints.Name, Snapshot: query.Snapshot{Generation: 1, Version: 1}, ShardCount: 1, Shards: []int{0},
		}},
	})
	address, err := l.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	vm := platform.VM{ID: "leaf-1", Group: complaints.UpstreamGroup, Address: address, State: platform.VMLive}
	if err := p.Set(platform.KindVM, vm.ID, vm); err != nil {
		t.Fatal(err)
	}
	return l
}

func startNode(t *testing.T, p *standin.Platform, id string) *Node {
	t.Helper()
	s := settings.Default()
	s.Node = settings.Node{
		ID: id, AvailabilityZone: "az-1", CallerAddress: "127.0.0.1:0", AdminAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
	}
	s.Query.ManifestIntervalMS = 50
	n, err := New(Config{Settings: s, Logs: io.Discard, Control: PlatformControl(p.Client())})
	if err != nil {
		t.Fatal(err)
	}
	if err := n.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return n
}

// sendComplaint sends a command and retries until the node has the service and the shard map.
func sendComplaint(t *testing.T, n *Node, key string) command.Answer {
	t.Helper()
	for {
		request, err := http.NewRequest(http.MethodPost, n.URL()+"/v1/services/complaints/command", strings.NewReader(`{"query":1,"shard_key":"d"}`))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set(command.HeaderKey, key)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Error(err)
			return command.Answer{}
		}
		var answer command.Answer
		err = json.NewDecoder(response.Body).Decode(&answer)
		_ = response.Body.Close()
		if err != nil {
			t.Error(err)
			return command.Answer{}
		}
		if answer.Outcome != query.NotRun {
			return answer
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestCommandThroughStop checks that a command completes on a node that is stopped
// while it runs, and that another node answers the same key from the record instead of
// running the command again.
func TestCommandThroughStop(t *testing.T) {
	p := standin.New(standin.Options{})
	if err := p.Set(platform.KindCatalogue, platform.CatalogueName, note.Catalogue{Revision: 1, Services: []note.Service{complaints}}); err != nil {
		t.Fatal(err)
	}
	l := startLeaf(t, p, 200*time.Millisecond)
	one := startNode(t, p, "node-1")
	answers := make(chan command.Answer)
	go func() { answers <- sendComplaint(t, one, "complaint-1") }()
	for l.Running() == 0 {
		time.Sleep(time.Millisecond)
	}
	if err := one.Stop(context.Background()); err != nil {
		t.Error(err)
	}
	first := <-answers
	two := startNode(t, p, "node-2")
	second := sendComplaint(t, two, "complaint-1")
	if first.Outcome != query.Done || second.RequestID != first.RequestID || !second.Recorded || l.RunCount() != 1 {
		t.Errorf("first %+v, second %+v, %d runs", first, second, l.RunCount())
	}
	if err := two.Stop(context.Background()); err != nil {
		t.Error(err)
	}
}
