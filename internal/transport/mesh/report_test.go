package mesh

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/quarantine"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/transport/guard"
)

// reportLog collects the reports that a node receives.
type reportLog struct {
	mu      sync.Mutex
	reports map[quarantine.Report]int
}

func (l *reportLog) receive(r quarantine.Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reports == nil {
		l.reports = make(map[quarantine.Report]int)
	}
	l.reports[r]++
}

func (l *reportLog) size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.reports)
}

// await waits until the node has received n different reports.
func (l *reportLog) await(t *testing.T, n int, limit time.Duration) {
	t.Helper()
	for startedAt := time.Now(); l.size() < n; time.Sleep(5 * time.Millisecond) {
		if time.Since(startedAt) > limit {
			t.Fatalf("%d of %d reports after %v", l.size(), n, limit)
		}
	}
}

func attribution(i int) quarantine.Report {
	return quarantine.Report{Kind: quarantine.CrashAttributed, Fingerprint: quarantine.Fingerprint(i), Leaf: fmt.Sprint("leaf-", i)}
}

// awaitMembers waits until each node knows all of them.
func awaitMembers(t *testing.T, nodes []*node) {
	t.Helper()
	for startedAt := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		complete := 0
		for _, n := range nodes {
			if len(n.Members()) == len(nodes) {
				complete++
			}
		}
		if complete == len(nodes) {
			return
		}
		if time.Since(startedAt) > 5*time.Second {
			t.Fatal("the nodes do not know each other")
		}
	}
}

// TestReportsPassSilentNode guards against quarantine reports that reach no node in time,
// since one node takes none: each waited for the timeout of that node.
func TestReportsPassSilentNode(t *testing.T) {
	store := newPlatform()
	logs := make([]reportLog, 3)
	release := make(chan struct{})
	nodes := startConfigured(t, 3, func(int) platform.Client { return store }, func(i int, m *Mesh) {
		m.cfg.OnReport = logs[i].receive
		if i == 2 {
			m.cfg.OnReport = func(quarantine.Report) { <-release }
		}
	})
	t.Cleanup(func() { close(release) }) // before the nodes close
	awaitMembers(t, nodes)
	const reports = 10
	for i := range reports {
		nodes[0].Broadcast(attribution(i))
		time.Sleep(10 * time.Millisecond) // each is sent by itself
	}
	logs[1].await(t, reports, time.Second)
}

// TestAttributionsAreNotDropped guards against a node that does not learn which request
// crashes leafs, since reports of trials had filled the queue.
func TestAttributionsAreNotDropped(t *testing.T) {
	store := newPlatform()
	logs := make([]reportLog, 2)
	nodes := startConfigured(t, 2, func(int) platform.Client { return store }, func(i int, m *Mesh) { m.cfg.OnReport = logs[i].receive })
	awaitMembers(t, nodes)
	const trials = 2000
	for i := range trials {
		nodes[0].Broadcast(quarantine.Report{Kind: quarantine.TrialStarted, Fingerprint: 1, Leaf: fmt.Sprint("leaf-", i)})
	}
	const attributions = 40
	for i := range attributions {
		nodes[0].Broadcast(attribution(i))
	}
	startedAt := time.Now()
	for i := range attributions {
		for {
			logs[1].mu.Lock()
			received := logs[1].reports[attribution(i)]
			logs[1].mu.Unlock()
			if received > 0 {
				break
			}
			if time.Since(startedAt) > 5*time.Second {
				t.Fatalf("attribution %d of %d was not received", i, attributions)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// TestStartedNodeLearnsQuarantines guards against a request in quarantine that crashes all
// leafs again through a node that was restarted.
func TestStartedNodeLearnsQuarantines(t *testing.T) {
	store := newPlatform()
	ledgers := make([]*guard.Guard, 4)
	configure := func(i int, m *Mesh) {
		ledgers[i] = guard.New(nil)
		m.cfg.OnReport = ledgers[i].Receive
		m.cfg.Quarantines = ledgers[i].Entries
	}
	nodes := startConfigured(t, 3, func(int) platform.Client { return store }, configure)
	awaitMembers(t, nodes)
	const twice, twoLeafs = quarantine.Fingerprint(1), quarantine.Fingerprint(2)
	for _, r := range []quarantine.Report{{Fingerprint: twice, Leaf: "a"}, {Fingerprint: twoLeafs, Leaf: "b"}, {Fingerprint: twoLeafs, Leaf: "c"}} {
		for _, l := range ledgers[:3] {
			l.Receive(r)
		}
	}
	time.Sleep(quarantine.CrashWindow())
	for _, l := range ledgers[:3] {
		l.Receive(quarantine.Report{Fingerprint: twice, Leaf: "a"})
	}
	startNode(t, 3, reserveAddress(t), nodes[0].cfg.Address, store, false, configure)
	for _, f := range []quarantine.Fingerprint{twice, twoLeafs} {
		for startedAt := time.Now(); ; time.Sleep(5 * time.Millisecond) {
			if _, quarantined := ledgers[3].Quarantined(f); quarantined {
				break
			}
			if time.Since(startedAt) > 2*time.Second {
				t.Fatalf("the started node does not know the quarantine of %d", f)
			}
		}
	}
}

// TestQuarantineOutlastsFleet guards against a request in quarantine that crashes all leafs
// again after all nodes have ended at the same moment.
func TestQuarantineOutlastsFleet(t *testing.T) {
	const fingerprint = quarantine.Fingerprint(1)
	store := newPlatform()
	var ledgers []*guard.Guard
	configure := func(_ int, m *Mesh) {
		g := guard.New(nil)
		g.SetPeers(m)
		ledgers = append(ledgers, g)
		m.cfg.OnReport = g.Receive
		m.cfg.Quarantines = g.Entries
	}
	nodes := startConfigured(t, 2, func(int) platform.Client { return store }, configure)
	awaitMembers(t, nodes)
	for _, leaf := range []string{"a", "b"} {
		attempt := quarantine.Attempt{Fingerprint: fingerprint, Leaf: leaf}
		for ledgers[0].TryEnter(&attempt) == quarantine.Hold {
			time.Sleep(quarantine.ReportDelay())
		}
		ledgers[0].Leave(attempt, quarantine.ConnectionLost)
	}
	if _, quarantined := ledgers[0].Quarantined(fingerprint); !quarantined {
		t.Fatal("the request is not in quarantine")
	}
	for _, n := range nodes {
		n.Mesh.Close(t.Context())
	}
	ledgers = nil
	startConfigured(t, 2, func(int) platform.Client { return store }, configure)
	for i, l := range ledgers {
		for startedAt := time.Now(); ; time.Sleep(5 * time.Millisecond) {
			if _, quarantined := l.Quarantined(fingerprint); quarantined {
				break
			}
			if time.Since(startedAt) > 2*time.Second {
				t.Errorf("node %d does not know the quarantine", i)
				break
			}
		}
	}
}
