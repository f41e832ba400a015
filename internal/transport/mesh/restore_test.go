package mesh

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hickorydock/hickorydock/internal/coordination/reader"
	messages "github.com/hickorydock/hickorydock/internal/protocol/membership"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/state/mirror"
)

// restore brings the platform back from an older copy that holds a value, at the first
// revision of a new era.
func (p *fakePlatform) restore(t *testing.T, value int) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	var err error
	if p.version, err = platform.NewVersion(platform.Era(p.version)+1, 1); err != nil {
		t.Fatal(err)
	}
	object := platform.Object{Kind: platform.KindRouting, Name: platform.RoutingName, Version: p.version, Value: []byte(strconv.Itoa(value))}
	p.objects.Replace(platform.KindRouting, platform.Listing{Objects: []platform.Object{object}, Version: p.version}, time.Now())
	p.objects.Replace(platform.KindContact, platform.Listing{Version: p.version}, time.Now())
}

// TestPlatformRestored guards against nodes that ignore a restored platform until its
// revisions exceed those before the restore. Readers and their followers receive the content
// of the older copy and each later change.
func TestPlatformRestored(t *testing.T) {
	store := newPlatform()
	for value := range 50 {
		store.set(value)
	}
	nodes := startNodes(t, 8, func(int) platform.Client { return store })
	awaitAll(t, nodes, "49", 5*time.Second)
	for restores := range 3 {
		value := 100 * (restores + 1)
		store.restore(t, value)
		awaitAll(t, nodes, strconv.Itoa(value), 2*time.Second)
		store.set(value + 1)
		awaitAll(t, nodes, strconv.Itoa(value+1), time.Second)
	}
}

// TestNodesThatDoNotKnowEras: nodes of an earlier release send revisions without an era, so a
// lost revision looks like the new one with the same number. Other nodes do not use them as
// sources.
func TestNodesThatDoNotKnowEras(t *testing.T) {
	store := newPlatform()
	store.restore(t, 1)
	var members []messages.Member
	for i := range 6 {
		members = append(members, messages.Member{ID: fmt.Sprintf("n%d", i), AvailabilityZone: fmt.Sprintf("az-%d", i%2), State: messages.Alive})
	}
	older := reader.Readers(members, nil)
	nodes := startConfigured(t, len(members), func(int) platform.Client { return store }, func(i int, m *Mesh) {
		if slices.Contains(older, members[i].ID) {
			m.peerConfig.Version = 1
		}
	})
	awaitAll(t, nodes, "1", 10*time.Second)
	store.restore(t, 2)
	awaitAll(t, nodes, "2", 4*time.Second)
}

// TestStartedNodeAdoptsFromMember: a node starts after the platform was restored from a
// copy with a lower value than the one in force, and reads the platform itself. It learns
// the value in force from a member that runs for longer.
func TestStartedNodeAdoptsFromMember(t *testing.T) {
	store := newPlatform()
	store.set(9)
	keepHigher := func(_ int, m *Mesh) {
		m.cfg.Mirror.Keep(platform.KindRouting, func(held, next platform.Object) bool { return string(held.Value) > string(next.Value) })
	}
	nodes := startConfigured(t, 2, func(int) platform.Client { return store }, keepHigher)
	awaitAll(t, nodes, "9", 5*time.Second)
	time.Sleep(adoptPeriod) // until the nodes run for longer than one that starts
	store.restore(t, 3)
	started, err := New(Config{
		Node: "n2", AvailabilityZone: "az-0", Address: reserveAddress(t), Seeds: []string{nodes[0].cfg.Address},
		Mirror: mirror.New(), Log: &log.Logger{Handler: discard.Default},
	}, echo{})
	if err != nil {
		t.Fatal(err)
	}
	if err := started.Start(); err != nil {
		t.Fatal(err)
	}
	defer started.Close(t.Context())
	client := NewClient(store, started, testWait)
	if listing, err := client.listPlatform(t.Context(), platform.KindRouting); err != nil || string(listing.Objects[0].Value) != "3" {
		t.Fatalf("platform has %+v, error %v", listing, err)
	}
	adopted := ""
	client.AdoptFromMember(t.Context(), platform.KindRouting, func(listing platform.Listing) { adopted = string(listing.Objects[0].Value) })
	if adopted != "9" {
		t.Errorf("adopted %q, want the value in force", adopted)
	}
}
