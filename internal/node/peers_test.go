package node

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/quarantine"
	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/protocol/settings"
	standin "github.com/hickorydock/hickorydock/internal/standin/platform"
	"github.com/hickorydock/hickorydock/internal/transport/certtest"
)

// startJoinedNode starts a node with changed settings and lists it in the platform.
func startJoinedNode(t *testing.T, p *standin.Platform, id string, logs io.Writer, change func(*settings.Settings)) *Node {
	t.Helper()
	s := settings.Default()
	s.Node = settings.Node{
		ID: id, AvailabilityZone: "az-1", CallerAddress: "127.0.0.1:0", AdminAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
	}
	s.Query.ManifestIntervalMS = 50
	s.Platform.TimeoutMS = 200
	change(&s)
	n, err := New(Config{Settings: s, Logs: logs, Control: PlatformControl(p.Client())})
	if err != nil {
		t.Fatal(err)
	}
	if err := n.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := n.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
	vm := platform.VM{ID: id, Group: platform.NodeGroup, Address: n.Address(), PeerAddress: n.PeerAddress(), State: platform.VMLive}
	if err := p.Set(platform.KindVM, id, vm); err != nil {
		t.Fatal(err)
	}
	return n
}

// waitFor waits until a condition holds; only the timeout of the test limits it.
func waitFor(condition func() bool) {
	for !condition() {
		time.Sleep(5 * time.Millisecond)
	}
}

func newComplaintsPlatform(t *testing.T) *standin.Platform {
	t.Helper()
	p := standin.New(standin.Options{})
	if err := p.Set(platform.KindCatalogue, platform.CatalogueName, note.Catalogue{Revision: 1, Services: []note.Service{complaints}}); err != nil {
		t.Fatal(err)
	}
	return p
}

// mutualTLS returns a function that adds a node certificate to settings.
func mutualTLS(t *testing.T, ca *certtest.Authority) func(*settings.Settings) {
	return func(s *settings.Settings) {
		s.TLS.NodeCert, s.TLS.NodeKey = ca.Issue(t, "node.test", time.Now().Add(time.Hour))
		s.TLS.NodeCA, s.TLS.NodeName = ca.PEM, "node.test"
	}
}

// lineCounter counts the log lines that contain a text.
type lineCounter struct {
	text    string
	mu      sync.Mutex
	matches int
}

// Write counts line if it contains the text.
func (l *lineCounter) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if strings.Contains(string(line), l.text) {
		l.matches++
	}
	return len(line), nil
}

func (l *lineCounter) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.matches
}

func noChange(*settings.Settings) {}

// TestStartDuringOutage checks that a node that starts while the platform is down
// becomes ready from a peer of its settings, with and without mutual TLS, and
// that a node without a certificate of the same authority does not.
func TestStartDuringOutage(t *testing.T) {
	ours, theirs := certtest.NewAuthority(t), certtest.NewAuthority(t)
	tests := []struct {
		name          string
		first, second func(*settings.Settings)
		ready         bool
	}{
		{"without TLS", noChange, noChange, true},
		{"mutual TLS", mutualTLS(t, ours), mutualTLS(t, ours), true},
		{"other authority", mutualTLS(t, ours), mutualTLS(t, theirs), false},
		{"no certificate", mutualTLS(t, ours), noChange, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newComplaintsPlatform(t)
			startLeaf(t, p, 20*time.Millisecond)
			one := startJoinedNode(t, p, "node-1", io.Discard, test.first)
			waitFor(func() bool { return one.Ready() == nil })
			p.SetFaults(standin.Faults{Outage: standin.OutageHang})
			failedFetches := &lineCounter{text: "failed to fetch offer"}
			two := startJoinedNode(t, p, "node-2", failedFetches, func(s *settings.Settings) {
				test.second(s)
				s.Log.Level = "debug"
				s.Node.BootstrapPeers = []string{one.PeerAddress()}
			})
			t.Cleanup(func() { p.SetFaults(standin.Faults{}) }) // before the nodes stop
			if test.ready {
				waitFor(func() bool { return two.Ready() == nil && queryComplaints(t, two) == query.Done })
				return
			}
			waitFor(func() bool { return failedFetches.count() > 1 })
			if two.Ready() == nil {
				t.Error("ready from a peer without a common authority")
			}
		})
	}
}

// queryComplaints sends a query and returns its outcome.
func queryComplaints(t *testing.T, n *Node) query.Outcome {
	t.Helper()
	response, err := http.Post(n.URL()+"/v1/services/complaints/query", "application/json", strings.NewReader(`{"query":1}`))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var answer query.Answer
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		t.Fatal(err)
	}
	return answer.Outcome
}

// ticketOf requests a ticket for complaints from a node.
func ticketOf(t *testing.T, n *Node) string {
	t.Helper()
	response, err := http.Post(n.URL()+"/v1/tickets", "application/json", strings.NewReader(`{"service":"complaints"}`))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var reply command.TicketReply
	if err := json.NewDecoder(response.Body).Decode(&reply); err != nil || reply.Ticket == "" {
		t.Fatalf("ticket %+v, %v", reply, err)
	}
	return reply.Ticket
}

// TestPeers checks calls between two nodes: a ticket redeemed through another node is
// forwarded to its issuer and runs once, and a quarantine report reaches the other
// node.
func TestPeers(t *testing.T) {
	p := newComplaintsPlatform(t)
	l := startLeaf(t, p, 20*time.Millisecond)
	one := startJoinedNode(t, p, "node-1", io.Discard, noChange)
	two := startJoinedNode(t, p, "node-2", io.Discard, noChange)
	waitFor(func() bool { return queryComplaints(t, one) == query.Done && queryComplaints(t, two) == query.Done })
	before := l.RunCount()
	ticket := ticketOf(t, one)
	waitFor(func() bool {
		_, err := two.network.Forward(t.Context(), "node-1", command.ForwardedCommand{})
		return reachedNode(err)
	})
	forwarded := sendComplaint(t, two, ticket)
	direct := sendComplaint(t, one, ticket)
	if forwarded.Outcome != query.Done || direct.Outcome != query.Done || direct.RequestID != forwarded.RequestID || l.RunCount() != before+1 {
		t.Errorf("through the other node %+v, at the issuer %+v, %d runs", forwarded, direct, l.RunCount()-before)
	}
	fingerprint := quarantine.FingerprintOf(complaints.Name, []byte("1"))
	for _, leafID := range []string{"leaf-1", "leaf-2"} {
		two.network.Broadcast(quarantine.Report{Fingerprint: fingerprint, Leaf: leafID})
	}
	waitFor(func() bool { _, quarantined := one.Guard().Quarantined(fingerprint); return quarantined })
}

// TestStopNotifiesPeersFirst checks that peers are notified of a planned stop while the
// node still finishes a command, and that the caller gets the result of the command.
func TestStopNotifiesPeersFirst(t *testing.T) {
	p := newComplaintsPlatform(t)
	l := startLeaf(t, p, time.Second)
	leavingLines := &lineCounter{text: "peer is leaving"}
	startJoinedNode(t, p, "node-1", leavingLines, noChange)
	two := startNode(t, p, "node-2")
	waitFor(func() bool {
		_, err := two.network.Forward(t.Context(), "node-1", command.ForwardedCommand{})
		return reachedNode(err) && queryComplaints(t, two) == query.Done
	})
	answered := make(chan command.Answer)
	go func() { answered <- sendComplaint(t, two, "complaint-1") }()
	waitFor(func() bool { return l.Running() > 0 })
	stopped := make(chan error)
	go func() { stopped <- two.Stop(context.Background()) }()
	waitFor(func() bool { return leavingLines.count() > 0 || l.Running() == 0 })
	if l.Running() == 0 {
		t.Error("peer not notified while the command ran")
	}
	if answer := <-answered; answer.Outcome != query.Done {
		t.Errorf("answer %+v", answer)
	}
	if err := <-stopped; err != nil || leavingLines.count() != 1 {
		t.Errorf("stop: %v, peer notified %d times", err, leavingLines.count())
	}
}

// reachedNode reports whether a call reached the other node, which rejects a
// command without a service.
func reachedNode(err error) bool {
	return err != nil && strings.Contains(err.Error(), "is not in force")
}
