package gateway

import (
	"encoding/json"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/drain"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/route"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
)

// registration returns the entry of one run of a leaf.
func registration(id string, incarnation int64, state platform.VMState) platform.Object {
	text, _ := json.Marshal(route.Leaf{VM: platform.VM{ID: id, Group: "g", Address: "127.0.0.1:1", State: state}, Incarnation: incarnation})
	return platform.Object{Kind: platform.KindVM, Name: id, Value: text}
}

// listingOf returns a list of an era.
func listingOf(t *testing.T, era, revision uint64, objects ...platform.Object) platform.Listing {
	t.Helper()
	version, err := platform.NewVersion(era, revision)
	if err != nil {
		t.Fatal(err)
	}
	return platform.Listing{Objects: objects, Version: version}
}

// checkLeafs checks which leafs satisfy a condition.
func checkLeafs(t *testing.T, c *controller, when, what string, condition func(*leaf.Stats) bool, want []string) {
	t.Helper()
	var got []string
	for _, r := range c.groups.Replicas("g") {
		if stats := r.Record.Stats(); condition(&stats) {
			got = append(got, r.VM.ID)
		}
	}
	if !slices.Equal(got, want) {
		t.Errorf("%s: leafs %v are %s, want %v", when, got, what, want)
	}
}

// checkUsable checks which leafs may get work.
func checkUsable(t *testing.T, c *controller, when string, want ...string) {
	t.Helper()
	checkLeafs(t, c, when, "in use", func(s *leaf.Stats) bool { return !s.Draining }, want)
}

// TestRestoredRegistrations: the platform is restored from a copy made before one leaf left,
// one began to leave, one started again and one was added. None of the first two is used
// until its registration has outlived all those of leafs that are gone; the others go on.
func TestRestoredRegistrations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestController()
		live, leaving := platform.VMLive, platform.VMLeaving
		older := []platform.Object{registration("begins", 1, live), registration("left", 1, live), registration("restarts", 1, live)}
		c.leafsListed(listingOf(t, 1, 10, older...))
		c.leafChanged(platform.Event{Object: registration("added", 1, live)})
		c.leafChanged(platform.Event{Object: registration("begins", 1, leaving)})
		c.leafChanged(platform.Event{Object: registration("restarts", 2, live)})
		c.leafChanged(platform.Event{Deleted: true, Object: registration("left", 1, live)})
		checkUsable(t, c, "before the restore", "added", "restarts")

		time.Sleep(5 * time.Second)
		c.leafsListed(listingOf(t, 2, 10, older...))
		checkUsable(t, c, "after the restore", "added", "restarts")
		if l, _ := c.groups.Find("restarts"); l.Incarnation != 2 {
			t.Errorf("restarts is in use as run %d", l.Incarnation)
		}
		c.leafChanged(platform.Event{Object: registration("added", 1, live)})
		c.leafChanged(platform.Event{Object: registration("restarts", 2, live)})
		time.Sleep(time.Second)
		c.leafsListed(listingOf(t, 2, 14, append(older[:2:2], registration("added", 1, live), registration("restarts", 2, live))...))
		checkUsable(t, c, "listed again", "added", "restarts")
		c.leafChanged(platform.Event{Deleted: true, Object: registration("left", 1, live)})
		time.Sleep(drain.RestoreHold(c.heartbeat))
		synctest.Wait()
		checkUsable(t, c, "after the hold", "added", "begins", "restarts")
	})
}

// TestLeafBackAfterRestore: a leaf whose registration had expired is alive after all. It is
// used once it writes its registration again, or when the restored one does not expire.
func TestLeafBackAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestController()
		a, b := registration("a", 1, platform.VMLive), registration("b", 1, platform.VMLive)
		c.leafsListed(listingOf(t, 1, 10, a, b))
		c.leafChanged(platform.Event{Deleted: true, Object: a})
		c.leafChanged(platform.Event{Deleted: true, Object: b})
		time.Sleep(5 * time.Second)
		c.leafsListed(listingOf(t, 2, 10, a, b))
		checkUsable(t, c, "after the restore")
		c.leafChanged(platform.Event{Object: a})
		checkUsable(t, c, "once one has registered again", "a")
		time.Sleep(drain.RestoreHold(c.heartbeat))
		synctest.Wait()
		checkUsable(t, c, "after the hold", "a", "b")
	})
}

// TestLostRegistrations: a leaf that registered after the copy was made is kept until it has
// had time to register again.
func TestLostRegistrations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestController()
		back, gone := registration("back", 1, platform.VMLive), registration("gone", 1, platform.VMLive)
		c.leafsListed(listingOf(t, 1, 10, back, gone))
		time.Sleep(5 * time.Second)
		c.leafsListed(listingOf(t, 2, 5))
		checkUsable(t, c, "after the restore", "back", "gone")
		time.Sleep(time.Second)
		c.leafChanged(platform.Event{Object: back})
		time.Sleep(2 * time.Second)
		checkUsable(t, c, "later", "back")
	})
}

// TestMirrorKeepsNewestTable: nodes that start after the platform was restored from a copy
// with an older routing table receive the newest one from the others.
func TestMirrorKeepsNewestTable(t *testing.T) {
	table := func(text string) platform.Object {
		return platform.Object{Kind: platform.KindRouting, Name: platform.RoutingName, Value: json.RawMessage(text)}
	}
	m := newMirror(plainAdapter{})
	for revision, text := range []string{`{"Version":5}`, `{"Version":7}`, `{"Version":6}`, `{`, `{"Version":7}`} {
		m.Replace(platform.KindRouting, listingOf(t, uint64(revision), 1, table(text)), time.Now())
		if revision == 0 {
			continue
		}
		if listing, _, _ := m.List(platform.KindRouting); string(listing.Objects[0].Value) != `{"Version":7}` {
			t.Errorf("table %s is handed on after %s", listing.Objects[0].Value, text)
		}
	}
}
