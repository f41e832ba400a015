package experiment

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"
)

// TestServeKeepsLeafCaps checks that nodes under load stay within the connection cap
// of each leaf while they grow from 3 to 7: no leaf refuses a connection. The
// services have as many slots as connections, so that only connections limit the
// requests in flight.
func TestServeKeepsLeafCaps(t *testing.T) {
	ctx := t.Context()
	first := demoNote()
	for i := range first.Added {
		first.Added[i].LeafSlots = first.Added[i].LeafConnections
	}
	d, err := StartDemo(ctx, first, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Stop(context.Background())
	burst(t, d)
	for i := demoNodes; i < 7; i++ {
		if err := d.startNode(ctx, i, io.Discard); err != nil {
			t.Fatal(err)
		}
	}
	if err := d.awaitFullCoverage(ctx, first.Added); err != nil {
		t.Fatal(err)
	}
	burst(t, d)
	leafs := d.leafs
	for _, g := range demoGroups {
		peak, refused := 0, 0
		for _, l := range leafs[:g.shards*g.replicas] {
			peak = max(peak, l.PeakConnections())
			refused += l.ConnectionsRefused()
		}
		leafs = leafs[g.shards*g.replicas:]
		t.Logf("%s: cap %d, peak at a leaf %d, %d refused", g.name, g.connectionCap, peak, refused)
		if refused > 0 || peak > g.connectionCap {
			t.Errorf("%s: %d connections refused, peak %d, cap %d", g.name, refused, peak, g.connectionCap)
		}
	}
}

// burst sends queries to all nodes at once and fails when none is answered.
func burst(t *testing.T, d *Demo) {
	t.Helper()
	c := newCaller()
	defer c.close()
	answers := newTally(false)
	var running sync.WaitGroup
	for i := range 60 * len(d.nodes) {
		running.Go(func() {
			service := demoGroups[i%len(demoGroups)].name
			answers.add(c.sendQuery(t.Context(), d.nodes[i%len(d.nodes)].URL(), service, i, time.Now()))
		})
	}
	running.Wait()
	t.Logf("%d nodes: %d queries, %d complete, %d failed", len(d.nodes), answers.total(), answers.complete, answers.failed)
	if answers.complete == 0 {
		t.Error("no query was answered")
	}
}
