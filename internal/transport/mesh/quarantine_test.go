package mesh

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/quarantine"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/transport/guard"
)

// TestStoredQuarantines checks what is stored of the requests in quarantine and what is
// read back.
func TestStoredQuarantines(t *testing.T) {
	now := time.UnixMilli(1e12)
	entries := []quarantine.Entry{{Fingerprint: 1, Remaining: time.Minute}, {Fingerprint: 2, Remaining: time.Hour}, {Fingerprint: 1, Remaining: time.Second}}
	for i := range maxStoredQuarantines {
		entries = append(entries, quarantine.Entry{Fingerprint: quarantine.Fingerprint(100 + i), Remaining: 10 * time.Second})
	}
	value, err := encodeQuarantines(now, entries)
	if err != nil {
		t.Fatal(err)
	}
	read, err := decodeQuarantines(now.Add(30*time.Second), value)
	if err != nil || len(read) != 2 || read[0] != (quarantine.Entry{Fingerprint: 2, Remaining: time.Hour - 30*time.Second}) || read[1] != (quarantine.Entry{Fingerprint: 1, Remaining: 30 * time.Second}) {
		t.Errorf("read %v, %v; want the two that have not ended, each once", read, err)
	}
	if read, _ = decodeQuarantines(now, value); len(read) != maxStoredQuarantines {
		t.Errorf("%d entries stored, want %d", len(read), maxStoredQuarantines)
	}
}

// TestUnreadableStoredQuarantines checks that bad entries lose nothing but themselves.
func TestUnreadableStoredQuarantines(t *testing.T) {
	now := time.UnixMilli(1e12)
	good := fmt.Sprintf(`{"fingerprint":"00000000000000ff","until_ms":%d}`, now.Add(time.Minute).UnixMilli())
	for value, want := range map[string]int{
		`{"entries":[` + good + `,{"fingerprint":"xyz","until_ms":1}]}`: 1,
		`{"entries":[{},` + good + `]}`:                                 1,
		`{"entries":7}`:                                                 0,
		`no json`:                                                       0,
	} {
		entries, err := decodeQuarantines(now, json.RawMessage(value))
		if len(entries) != want || err == nil {
			t.Errorf("%s: %v, error %v; want %d entries and an error", value, entries, err, want)
		}
	}
}

// TestQuarantineStoredAfterOutage guards against a quarantine that is never stored, since the
// platform was down when it began.
func TestQuarantineStoredAfterOutage(t *testing.T) {
	store := newPlatform()
	g := guard.New(nil)
	nodes := startConfigured(t, 1, func(int) platform.Client { return store }, func(_ int, m *Mesh) {
		g.SetPeers(m)
		m.cfg.OnReport = g.Receive
		m.cfg.Quarantines = g.Entries
	})
	store.down.Store(true)
	for _, r := range quarantine.Reports(7) {
		g.Receive(r)
		nodes[0].Broadcast(r)
	}
	time.Sleep(300 * time.Millisecond)
	store.down.Store(false)
	for startedAt := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		listing, err := store.List(t.Context(), platform.KindQuarantine)
		if err != nil {
			t.Fatal(err)
		}
		if len(listing.Objects) == 1 {
			entries, err := decodeQuarantines(time.Now(), listing.Objects[0].Value)
			if err != nil || len(entries) != 1 || entries[0].Fingerprint != 7 {
				t.Errorf("stored %v, %v", entries, err)
			}
			return
		}
		if time.Since(startedAt) > 5*time.Second {
			t.Fatal("the quarantine was not stored after the outage")
		}
	}
}
