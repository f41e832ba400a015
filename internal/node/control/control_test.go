package control

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hickorydock/hickorydock/internal/coordination/backoff"
	"github.com/hickorydock/hickorydock/internal/coordination/reconcile"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	standin "github.com/hickorydock/hickorydock/internal/standin/platform"
	"github.com/hickorydock/hickorydock/internal/state/catalogue"
	"github.com/hickorydock/hickorydock/internal/transport/operator"
)

// testCluster runs nodes against one stand-in platform under virtual time.
type testCluster struct {
	t       *testing.T
	p       *standin.Platform
	ctx     context.Context
	running []func()
}

type testNode struct {
	*Control
	store   *catalogue.Store
	metrics *recorder
	vms     []platform.VM
	stop    func()
}

type recorder struct {
	revisions []uint64
	refused   int
}

func (r *recorder) SetCatalogueRevision(revision uint64) { r.revisions = append(r.revisions, revision) }
func (r *recorder) OldRevisionRefused()                  { r.refused++ }

func runTestCluster(t *testing.T, options standin.Options, body func(*testCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		tc := &testCluster{t: t, p: standin.New(options), ctx: t.Context()}
		body(tc)
		for _, stop := range tc.running {
			stop()
		}
	})
}

func (tc *testCluster) start(name string, peers Peers) *testNode {
	n := &testNode{store: catalogue.New(), metrics: &recorder{}}
	n.Control = New(Config{
		Node:    name,
		Client:  tc.p.Client(),
		Store:   n.store,
		Peers:   peers,
		OnVMs:   func(vms []platform.VM) { n.vms = vms },
		Log:     &log.Logger{Handler: discard.New(), Level: log.DebugLevel},
		Metrics: n.metrics,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.Run(ctx)
	}()
	n.stop = func() {
		cancel()
		<-done
	}
	tc.running = append(tc.running, n.stop)
	return n
}

func (tc *testCluster) apply(id string, n note.Note) {
	tc.t.Helper()
	if _, err := operator.Apply(tc.ctx, tc.p.Client(), n, operator.Options{}); err != nil {
		tc.t.Fatalf("%s: %v", id, err)
	}
}

func (tc *testCluster) add(name string, base uint64) {
	tc.t.Helper()
	s := note.Service{Name: name, UpstreamGroup: name, LeafSlots: 1, LeafConnections: 25}
	tc.apply(name, note.Note{ID: "add-" + name, Author: "o", Base: base, Added: []note.Service{s.Normalize()}})
}

// settle lets virtual time pass and waits until all goroutines block.
func settle(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func (tc *testCluster) wantRevision(n *testNode, revision uint64) {
	tc.t.Helper()
	if got := n.store.Revision(); got != revision {
		tc.t.Fatalf("current revision is %d, want %d", got, revision)
	}
}

func TestNotesAreApplied(t *testing.T) {
	// The latency keeps the first list from arriving before the first check.
	latency := standin.Faults{Latency: 10 * time.Millisecond}
	runTestCluster(t, standin.Options{Faults: latency}, func(tc *testCluster) {
		n := tc.start("n1", nil)
		if n.Ready() == nil {
			t.Error("ready without a catalogue and a list of VMs")
		}
		settle(time.Second)
		if err := n.Ready(); err != nil {
			t.Error(err)
		}
		tc.add("a", 0)
		tc.add("b", 1)
		settle(time.Second)
		tc.wantRevision(n, 2)
		if _, found := n.store.Find("b"); !found {
			t.Error("service is not in the current catalogue")
		}
		report, err := operator.Status(tc.ctx, tc.p.Client())
		if err != nil || len(report.Nodes) != 1 || report.Nodes[0].Behind || report.Nodes[0].Revision != 2 {
			t.Fatalf("report %+v, %v", report, err)
		}
		n.stop()
		report, err = operator.Status(tc.ctx, tc.p.Client())
		if err != nil || report.Nodes[0].Live {
			t.Fatalf("live after its stop: %+v, %v", report, err)
		}
	})
}

// TestOutages checks that the current catalogue does not change during an outage and
// that the node catches up afterwards, also if the platform's change log no longer
// reaches back to the node's version.
func TestOutages(t *testing.T) {
	for _, outage := range []standin.Outage{standin.OutageRefuse, standin.OutageHang} {
		for _, changes := range []int{0, 1, 20} {
			t.Run(fmt.Sprintf("%s with %d changes", outage, changes), func(t *testing.T) {
				runTestCluster(t, standin.Options{ChangeLogSize: 5}, func(tc *testCluster) {
					n := tc.start("n1", nil)
					tc.add("a", 0)
					settle(time.Minute)
					tc.p.SetFaults(standin.Faults{Outage: outage})
					settle(5 * time.Minute)
					tc.wantRevision(n, 1)
					if n.Ready() != nil {
						t.Error("not ready during an outage")
					}
					tc.p.SetFaults(standin.Faults{})
					for i := range changes {
						tc.add(fmt.Sprintf("s%d", i), uint64(i+1))
					}
					settle(2 * backoff.PlatformReconnect.Max)
					tc.wantRevision(n, uint64(changes+1))
					if n.metrics.refused != 0 {
						t.Errorf("%d offers refused", n.metrics.refused)
					}
				})
			})
		}
	}
}

// fixedPeers returns fixed offers.
type fixedPeers []Offer

func (p fixedPeers) Offers(context.Context) []Offer { return p }

func TestStartDuringOutage(t *testing.T) {
	offers := fixedPeers{
		{Catalogue: note.Catalogue{Revision: 3}, HasCatalogue: true, VMs: []platform.VM{{ID: "old"}}, VMsVersion: 4, HasVMs: true},
		{},
		{Catalogue: note.Catalogue{Revision: 7}, HasCatalogue: true, VMs: []platform.VM{{ID: "new"}}, VMsVersion: 9, HasVMs: true},
		{Catalogue: note.Catalogue{Revision: 5}, HasCatalogue: true},
	}
	for _, outage := range []standin.Outage{standin.OutageRefuse, standin.OutageHang} {
		t.Run(string(outage), func(t *testing.T) {
			runTestCluster(t, standin.Options{Faults: standin.Faults{Outage: outage}}, func(tc *testCluster) {
				alone := tc.start("alone", nil)
				n := tc.start("n1", offers)
				settle(bootstrapDelay + time.Millisecond)
				tc.wantRevision(n, 7)
				if n.Ready() != nil || len(n.vms) != 1 || n.vms[0].ID != "new" {
					t.Errorf("ready: %v, VMs %v", n.Ready(), n.vms)
				}
				settle(5 * time.Minute)
				if alone.Ready() == nil {
					t.Error("ready without any source")
				}
			})
		})
	}
}

// TestDriftIsUndone checks that a node that has a catalogue never applies a change
// made without a note, and that a single write restores the platform's object however
// many nodes see the change.
func TestDriftIsUndone(t *testing.T) {
	cases := []struct {
		name   string
		tamper func(tc *testCluster)
	}{
		{"other content", func(tc *testCluster) {
			tc.store(note.Catalogue{Revision: 2, Services: []note.Service{{Name: "x"}}})
		}},
		{"old state restored", func(tc *testCluster) { tc.store(note.Catalogue{Revision: 1}) }},
		{"not readable", func(tc *testCluster) {
			if err := tc.p.Set(platform.KindCatalogue, platform.CatalogueName, "text"); err != nil {
				tc.t.Fatal(err)
			}
		}},
		{"removed", func(tc *testCluster) {
			if err := tc.p.Remove(platform.KindCatalogue, platform.CatalogueName); err != nil {
				tc.t.Fatal(err)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runTestCluster(t, standin.Options{}, func(tc *testCluster) {
				var nodes []*testNode
				for i := range 5 {
					nodes = append(nodes, tc.start(fmt.Sprintf("n%d", i), nil))
				}
				settle(time.Second)
				tc.add("a", 0)
				tc.add("b", 1)
				settle(time.Second)
				before := tc.catalogueWrites()
				c.tamper(tc)
				settle(time.Minute)
				for _, n := range nodes {
					tc.wantRevision(n, 3)
					if len(n.metrics.revisions) != 3 || n.metrics.refused == 0 {
						t.Errorf("revisions %v, %d refused", n.metrics.revisions, n.metrics.refused)
					}
				}
				stored, err := operator.ReadCatalogue(tc.ctx, tc.p.Client())
				if err != nil || stored.Catalogue.Revision != 3 || len(stored.Catalogue.Services) != 2 {
					t.Errorf("stored %+v, %v", stored.Catalogue, err)
				}
				if writes := tc.catalogueWrites() - before; writes != 1 {
					t.Errorf("%d writes", writes)
				}
			})
		})
	}
}

func (tc *testCluster) store(c note.Catalogue) {
	tc.t.Helper()
	if err := tc.p.Set(platform.KindCatalogue, platform.CatalogueName, c); err != nil {
		tc.t.Fatal(err)
	}
}

func (tc *testCluster) catalogueWrites() uint64 {
	calls := tc.p.Calls()
	return calls[standin.Call{Method: standin.MethodUpdate, Kind: platform.KindCatalogue}] +
		calls[standin.Call{Method: standin.MethodCreate, Kind: platform.KindCatalogue}]
}

func TestVMList(t *testing.T) {
	runTestCluster(t, standin.Options{ChangeLogSize: 4}, func(tc *testCluster) {
		set := func(id string, state platform.VMState) {
			if err := tc.p.Set(platform.KindVM, id, platform.VM{ID: id, Group: platform.NodeGroup, State: state}); err != nil {
				t.Fatal(err)
			}
		}
		set("b", platform.VMLive)
		n := tc.start("n1", nil)
		settle(time.Second)
		set("a", platform.VMLive)
		if err := tc.p.Set(platform.KindVM, "bad", json.RawMessage("3")); err != nil {
			t.Fatal(err)
		}
		settle(0)
		if len(n.vms) != 2 || n.vms[0].ID != "a" {
			t.Fatalf("VMs %v", n.vms)
		}
		tc.p.SetFaults(standin.Faults{Outage: standin.OutageRefuse})
		settle(time.Minute)
		for range 5 {
			set("a", platform.VMLeaving)
		}
		if err := tc.p.Remove(platform.KindVM, "b"); err != nil {
			t.Fatal(err)
		}
		tc.p.SetFaults(standin.Faults{})
		settle(2 * backoff.PlatformReconnect.Max)
		if len(n.vms) != 1 || n.vms[0].State != platform.VMLeaving {
			t.Fatalf("VMs after the outage %v", n.vms)
		}
	})
}

// TestReportsAreBounded checks the rate of one node's writes, with and without
// changes.
func TestReportsAreBounded(t *testing.T) {
	runTestCluster(t, standin.Options{}, func(tc *testCluster) {
		tc.start("n1", nil)
		settle(10 * time.Minute)
		call := standin.Call{Method: standin.MethodPutStatus, Kind: platform.KindNode}
		quietReports := tc.p.Calls()[call]
		maxReports := uint64(2*10*time.Minute/reconcile.ReportInterval(1)) + 1
		if quietReports < maxReports/2 || quietReports > maxReports {
			t.Errorf("%d reports in 10 min, want %d to %d", quietReports, maxReports/2, maxReports)
		}
		for i := range 100 {
			tc.add(fmt.Sprintf("s%d", i), uint64(i))
			settle(100 * time.Millisecond)
		}
		settle(time.Second)
		if busyReports := tc.p.Calls()[call] - quietReports; busyReports > uint64(11*time.Second/minReportInterval)+1 {
			t.Errorf("%d reports during 100 changes in 11 s", busyReports)
		}
	})
}

// TestExpiredStatusesAreSwept checks that the statuses of nodes that stopped or no
// longer report are removed after an hour, and those of running nodes stay.
func TestExpiredStatusesAreSwept(t *testing.T) {
	runTestCluster(t, standin.Options{}, func(tc *testCluster) {
		status := func(node string, freshFor float64) {
			s := platform.NodeStatus{Node: node, At: time.Now(), FreshFor: freshFor}
			if err := tc.p.Set(platform.KindNode, node, s); err != nil {
				t.Fatal(err)
			}
		}
		status("stopped", 0)
		status("silent", 10)
		status("slow", 3600)
		running := tc.start("running", nil)
		remaining := func() int {
			listing, err := tc.p.Client().List(tc.ctx, platform.KindNode)
			if err != nil {
				t.Fatal(err)
			}
			return len(listing.Objects)
		}
		settle(50 * time.Minute)
		if got := remaining(); got != 4 {
			t.Errorf("%d statuses after 50 min", got)
		}
		settle(20 * time.Minute)
		if removed, err := running.sweep(tc.ctx); err != nil || remaining() != 2 {
			t.Errorf("%d removed, %v, %d remain", removed, err, remaining())
		}
	})
}
