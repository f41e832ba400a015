package mirror

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

const testKind = platform.KindVM

func object(name, value string) platform.Object {
	return platform.Object{Kind: testKind, Name: name, Value: json.RawMessage(value)}
}

// presence maps the name of each changed object to whether it still exists.
func presence(changes []platform.Event) map[string]bool {
	present := map[string]bool{}
	for _, c := range changes {
		present[c.Object.Name] = !c.Deleted
	}
	return present
}

// TestReplaceAfterLostHistory checks that watchers receive only the differences to
// the new list when the platform has discarded its history, so that they need not
// read every object again.
func TestReplaceAfterLostHistory(t *testing.T) {
	m := New()
	now := time.Now()
	m.Replace(testKind, platform.Listing{Version: 10, Objects: []platform.Object{object("same", "1"), object("changed", "1"), object("removed", "1")}}, now)
	m.Replace(testKind, platform.Listing{Version: 20, Objects: []platform.Object{object("same", "1"), object("changed", "2"), object("new", "1")}}, now)
	changes, version, _, err := m.Changes(t.Context(), testKind, 10, time.Second)
	if err != nil || version != 20 {
		t.Fatalf("version %d, error %v", version, err)
	}
	got := presence(changes)
	if len(got) != 3 || !got["changed"] || !got["new"] || got["removed"] {
		t.Errorf("changes %v", got)
	}
	if _, _, _, err := m.Changes(t.Context(), testKind, 9, time.Second); !errors.Is(err, platform.ErrTooOld) {
		t.Errorf("from a version before all retained changes: %v", err)
	}
}

func TestOlderStateIsIgnored(t *testing.T) {
	m := New()
	now := time.Now()
	m.Replace(testKind, platform.Listing{Version: 20, Objects: []platform.Object{object("a", "new")}}, now)
	m.Replace(testKind, platform.Listing{Version: 10, Objects: []platform.Object{object("a", "old")}}, now)
	m.Apply(testKind, []platform.Event{{Object: object("a", "older")}}, 15, now)
	listing, _, ok := m.List(testKind)
	if !ok || listing.Version != 20 || string(listing.Objects[0].Value) != "new" {
		t.Errorf("listing %+v", listing)
	}
}

func TestChangesWaitsForChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New()
		if _, _, _, err := m.Changes(t.Context(), testKind, 0, time.Second); !errors.Is(err, platform.ErrUnavailable) {
			t.Errorf("of an unknown kind: %v", err)
		}
		m.Replace(testKind, platform.Listing{Version: 1}, time.Now())
		started := time.Now()
		go func() {
			time.Sleep(300 * time.Millisecond)
			m.Apply(testKind, []platform.Event{{Object: object("a", "1")}, {Object: object("b", "1")}}, 5, time.Now())
		}()
		changes, version, confirmed, err := m.Changes(t.Context(), testKind, 1, time.Second)
		if err != nil || len(changes) != 2 || version != 5 || time.Since(started) != 300*time.Millisecond || !confirmed.Equal(time.Now()) {
			t.Errorf("%d changes to version %d after %v, error %v", len(changes), version, time.Since(started), err)
		}
		if changes, _, _, err = m.Changes(t.Context(), testKind, 5, time.Second); err != nil || len(changes) != 0 {
			t.Errorf("%d changes without any, error %v", len(changes), err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if _, _, _, err = m.Changes(ctx, testKind, 5, time.Second); !errors.Is(err, context.Canceled) {
			t.Errorf("after a cancel: %v", err)
		}
	})
}

func TestChangesAreBounded(t *testing.T) {
	m := New()
	m.Replace(testKind, platform.Listing{Version: 1}, time.Now())
	for v := range uint64(maxChanges + 10) {
		m.Apply(testKind, []platform.Event{{Object: object("a", strconv.FormatUint(v, 10))}}, 2+v, time.Now())
	}
	if _, _, _, err := m.Changes(t.Context(), testKind, 1, 0); !errors.Is(err, platform.ErrTooOld) {
		t.Errorf("from a version that is no longer retained: %v", err)
	}
	if changes, _, _, err := m.Changes(t.Context(), testKind, maxChanges, 0); err != nil || len(changes) != 11 {
		t.Errorf("%d changes, error %v", len(changes), err)
	}
}

// TestUnchangedRewritesAreNotChanges guards against heartbeats flooding the history:
// many leafs that start at once rewrite their entries each second. A rewrite with the
// same value is neither sent to watchers nor displaces retained changes.
func TestUnchangedRewritesAreNotChanges(t *testing.T) {
	m := New()
	m.Replace(platform.KindVM, platform.Listing{Objects: []platform.Object{object("a", "1")}, Version: 1}, time.Now())
	same := platform.Event{Object: object("a", "1")}
	m.Apply(platform.KindVM, []platform.Event{same, {Object: object("b", "1")}}, 3, time.Now())
	for n := range uint64(2 * maxChanges) {
		m.Apply(platform.KindVM, []platform.Event{{Object: object("a", "1")}}, 4+n, time.Now())
	}
	changes, version, _, err := m.Changes(t.Context(), platform.KindVM, 1, 0)
	if err != nil || len(changes) != 1 || changes[0].Object.Name != "b" || version != 3+2*maxChanges {
		t.Errorf("%d changes up to %d, error %v; want that of b", len(changes), version, err)
	}
	m.Apply(platform.KindVM, []platform.Event{{Object: object("a", "2")}}, version+1, time.Now())
	if changes, _, _, _ = m.Changes(t.Context(), platform.KindVM, version, 0); len(changes) != 1 {
		t.Errorf("%d changes after an entry changed, want 1", len(changes))
	}
}

// TestAwaitKnown checks that a request for a list made before the first one arrives,
// also one of an empty platform, is answered as soon as it does.
func TestAwaitKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New()
		start := time.Now()
		time.AfterFunc(100*time.Millisecond, func() { m.Replace(testKind, platform.Listing{}, time.Now()) })
		m.AwaitKnown(t.Context(), testKind, 50*time.Millisecond)
		if waited := time.Since(start); waited != 50*time.Millisecond {
			t.Errorf("gave up after %v, want after 50 ms", waited)
		}
		m.AwaitKnown(t.Context(), testKind, time.Second)
		if waited := time.Since(start); waited != 100*time.Millisecond {
			t.Errorf("waited for %v, want 100 ms", waited)
		}
	})
}

// TestBytesOfChangesAreBounded guards against a node that exceeds its memory because it retains each
// version of a large object, and against messages to other nodes that are too large to be sent.
func TestBytesOfChangesAreBounded(t *testing.T) {
	m := New()
	m.Replace(testKind, platform.Listing{Version: 1}, time.Now())
	const size = 700 << 10
	for v := range uint64(50) {
		value := `"` + strconv.FormatUint(v, 10) + strings.Repeat("x", size) + `"`
		m.Apply(testKind, []platform.Event{{Object: object("a", value)}}, 2+v, time.Now())
	}
	if _, _, _, err := m.Changes(t.Context(), testKind, 40, 0); !errors.Is(err, platform.ErrTooOld) {
		t.Errorf("from a version that is no longer retained: %v", err)
	}
	changes, version, _, err := m.Changes(t.Context(), testKind, 50, 0)
	if err != nil || len(changes) != 1 || version != 51 {
		t.Errorf("%d changes up to %d, error %v; want the last one", len(changes), version, err)
	}
	held := 0
	for _, c := range m.kind(testKind).changes {
		held += len(c.Object.Value)
	}
	if held > maxChangeBytes || held != m.kind(testKind).changeBytes {
		t.Errorf("%d bytes are retained, counted as %d, of at most %d", held, m.kind(testKind).changeBytes, maxChangeBytes)
	}
}

// TestLargeChangeIsHandedOn guards against an object above the limit of all changes, whose change
// no watcher receives.
func TestLargeChangeIsHandedOn(t *testing.T) {
	m := New()
	m.Replace(testKind, platform.Listing{Version: 1}, time.Now())
	large := `"` + strings.Repeat("x", maxChangeBytes) + `"`
	m.Apply(testKind, []platform.Event{{Object: object("small", "1")}}, 2, time.Now())
	m.Apply(testKind, []platform.Event{{Object: object("large", large)}}, 3, time.Now())
	changes, version, _, err := m.Changes(t.Context(), testKind, 2, 0)
	if err != nil || len(changes) != 1 || version != 3 {
		t.Errorf("%d changes up to %d, error %v; want the large one", len(changes), version, err)
	}
	if _, _, _, err := m.Changes(t.Context(), testKind, 1, 0); !errors.Is(err, platform.ErrTooOld) {
		t.Errorf("from before the small change: %v", err)
	}
}
