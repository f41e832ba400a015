package evacuation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickorydock/hickorydock/internal/protocol/rapidtest"
)

// TestMain fixes the seed of the random histories; -rapid.seed overrides it.
func TestMain(m *testing.M) { rapidtest.Run(m, 1) }

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

const hold = 5 * time.Second

// TestUnknownZonesAreEvacuated guards against a node that sends requests to an evacuated zone
// because it has not read the list yet.
func TestUnknownZonesAreEvacuated(t *testing.T) {
	var z Zones
	z.Change("a", false)
	if z.Known() || !z.IsEvacuated("a") || !z.IsEvacuated("") {
		t.Error("a zone counts as in service before the first list")
	}
	z.Replace(start, nil, 0, hold)
	if !z.Known() || z.IsEvacuated("a") || len(z.List()) != 0 {
		t.Errorf("after an empty list: known %t, zones %v", z.Known(), z.List())
	}
}

// TestZonesAfterRestore guards against requests to an evacuated zone whose entry the platform
// lost when it was restored from an older copy.
func TestZonesAfterRestore(t *testing.T) {
	var z Zones
	z.Replace(start, []string{"a", "b"}, 1, hold)
	z.Change("c", true)
	if !z.Replace(start, []string{"b", "d"}, 2, hold) {
		t.Fatal("nothing is held after a restore")
	}
	check := func(when string, want ...string) {
		t.Helper()
		if got := z.List(); !slices.Equal(got, want) {
			t.Errorf("%s: %v, want %v", when, got, want)
		}
	}
	check("after the restore", "a", "b", "c", "d")
	if z.Replace(start, nil, 1, hold); !z.IsEvacuated("b") {
		t.Error("a list of the earlier era is used")
	}
	z.Change("c", false)
	z.Replace(start.Add(time.Second), []string{"b", "d"}, 2, hold)
	check("once one was taken back", "a", "b", "d")
	z.Release(start.Add(hold - time.Millisecond))
	check("within the hold", "a", "b", "d")
	z.Release(start.Add(hold))
	check("after the hold", "b", "d")
}

// TestRandomHistories: whatever the order of lists, changes, restores and ends of holds, a zone
// that the operator has evacuated counts as evacuated, and one without an entry does not once
// the hold after the last restore is over.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var z Zones
		now, era, heldUntil := start, uint64(0), start
		entries := map[string]bool{}
		var older map[string]bool
		zone := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint("z", rapid.IntRange(0, 3).Draw(t, "zone")) })
		list := func() {
			names := make([]string, 0, len(entries))
			for name := range entries {
				names = append(names, name)
			}
			if z.Replace(now, names, era, hold) {
				heldUntil = now.Add(hold)
			}
		}
		list()
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			name := zone.Draw(t, "name")
			mustStay := map[string]bool{}
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				entries[name] = true
				z.Change(name, true)
			case 1:
				delete(entries, name)
				z.Change(name, false)
			case 2:
				list()
			case 3: // a copy is made; the next restore brings it back
				older = map[string]bool{}
				for name := range entries {
					older[name] = true
				}
			case 4:
				for name := range entries {
					mustStay[name] = true
				}
				if older != nil {
					entries = older
					older = nil
				}
				era++
				list()
			}
			z.Release(now)
			for name := range mustStay {
				if !z.IsEvacuated(name) {
					t.Fatalf("%s is in service right after a restore", name)
				}
			}
			for name := range entries {
				if !z.IsEvacuated(name) {
					t.Fatalf("%s is in service although it has an entry", name)
				}
			}
			for _, name := range z.List() {
				if !entries[name] && !now.Before(heldUntil) {
					t.Fatalf("%s stays evacuated without an entry", name)
				}
			}
		}
	})
}
