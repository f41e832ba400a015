package mesh

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/reader"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// startWithContacts starts nodes whose seed is not up and which use contacts. Their
// addresses are listed if listed is set.
func startWithContacts(t *testing.T, store *fakePlatform, count int, listed bool) []*node {
	t.Helper()
	seed := reserveAddress(t)
	addresses := make([]string, count)
	for i := range addresses {
		addresses[i] = reserveAddress(t)
		if !listed {
			continue
		}
		value, err := json.Marshal(platform.Contact{Address: addresses[i]})
		if err != nil {
			t.Fatal(err)
		}
		store.put(platform.KindContact, fmt.Sprintf("n%d", i), value)
	}
	if !listed {
		seed = addresses[0]
	}
	var nodes []*node
	for i, address := range addresses {
		nodes = append(nodes, startNode(t, i, address, seed, store, true, func(int, *Mesh) {}))
	}
	return nodes
}

// TestStartBeforeSeeds: all nodes lose power at once, and the seeds start last. The others
// find each other through the contacts that the platform lists and serve before they would
// have given up waiting for the seeds.
func TestStartBeforeSeeds(t *testing.T) {
	store := newPlatform()
	store.set(1)
	store.put(platform.KindContact, "foreign", []byte(`"not a contact"`))
	nodes := startWithContacts(t, store, 4, true)
	awaitAll(t, nodes, "1", reader.JoinWait*2/3)
	time.Sleep(time.Second)
	for _, n := range nodes {
		if got := len(n.Members()); got != len(nodes) {
			t.Errorf("%s knows %d members", n.cfg.Node, got)
		}
	}
}

// TestContactsAreRegistered: nodes store their addresses once they know each other, and
// again after the platform was restored from a copy without them.
func TestContactsAreRegistered(t *testing.T) {
	store := newPlatform()
	store.set(1)
	nodes := startWithContacts(t, store, 3, false)
	for _, when := range []string{"after the start", "after a restore"} {
		deadline := time.Now().Add(3 * contactInterval)
		for !allRegistered(t, store, nodes) {
			if time.Now().After(deadline) {
				t.Fatalf("not all are registered %s", when)
			}
			time.Sleep(20 * time.Millisecond)
		}
		store.restore(t, 1)
		for _, n := range nodes { // the nodes of this test do not follow the list of leafs
			n.cfg.Mirror.Replace(platform.KindVM, platform.Listing{Version: store.version}, time.Now())
		}
	}
}

func allRegistered(t *testing.T, store *fakePlatform, nodes []*node) bool {
	t.Helper()
	listing, err := store.List(t.Context(), platform.KindContact)
	if err != nil {
		t.Fatal(err)
	}
	addresses := map[string]string{}
	for _, o := range listing.Objects {
		var contact platform.Contact
		if err := json.Unmarshal(o.Value, &contact); err != nil {
			t.Fatal(err)
		}
		addresses[o.Name] = contact.Address
	}
	for _, n := range nodes {
		if addresses[n.cfg.Node] != n.cfg.Address {
			return false
		}
	}
	return true
}
