package membership

import (
	"encoding/hex"
	"errors"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/hickorydock/hickorydock/internal/protocol/rapidtest"
)

// TestMain fixes the seed of the random histories; -rapid.seed overrides it.
func TestMain(m *testing.M) { rapidtest.Run(m, 7) }

func TestRoundTrip(t *testing.T) {
	members := rapid.Custom(func(t *rapid.T) Member {
		return Member{
			ID:               rapid.StringN(1, 10, 30).Draw(t, "id"),
			Address:          rapid.String().Draw(t, "address"),
			AvailabilityZone: rapid.String().Draw(t, "zone"),
			Start:            rapid.Uint64().Draw(t, "start"),
			Refutation:       rapid.Uint32().Draw(t, "refutation"),
			State:            State(rapid.IntRange(int(Alive), int(Left)).Draw(t, "state")),
			Isolated:         rapid.Bool().Draw(t, "isolated"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		m := Message{
			Kind:    Kind(rapid.IntRange(int(Ping), int(SyncReply)).Draw(t, "kind")),
			From:    rapid.StringN(1, 10, 30).Draw(t, "from"),
			Seq:     rapid.Uint64().Draw(t, "seq"),
			Digest:  rapid.Uint64().Draw(t, "digest"),
			Subject: Subject{ID: rapid.String().Draw(t, "subject"), Start: rapid.Uint64().Draw(t, "subject start")},
			Updates: rapid.SliceOfN(members, 0, 5).Draw(t, "updates"),
			Known:   rapid.SliceOfN(rapid.Uint32(), 0, 5).Draw(t, "known"),
		}
		got, err := Decode(m.Append(nil))
		if err != nil {
			t.Fatal(err)
		}
		if len(m.Updates) == 0 {
			m.Updates = nil
		}
		if len(m.Known) == 0 {
			m.Known = nil
		}
		if !reflect.DeepEqual(got, m) {
			t.Fatalf("got %+v, want %+v", got, m)
		}
	})
}

// TestDecodeRejectsMalformed checks that truncated and invalid messages are
// malformed, and that no random bytes decode to a message without a sender.
func TestDecodeRejectsMalformed(t *testing.T) {
	valid := Message{Kind: Gossip, From: "a", Updates: []Member{{ID: "b", State: Alive}}}.Append(nil)
	for _, b := range [][]byte{nil, valid[:1], valid[:len(valid)-1], {0xff}, Message{Kind: Ping}.Append(nil), Message{Kind: 99, From: "a"}.Append(nil), append(Message{Kind: Sync, From: "a"}.Append(nil), 8<<3|2, 3, 1, 2, 3)} {
		if _, err := Decode(b); !errors.Is(err, ErrMalformed) {
			t.Errorf("Decode(%x): %v", b, err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		b := rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")
		if m, err := Decode(b); err == nil && m.From == "" {
			t.Fatalf("message without a sender from %x", b)
		}
	})
}

// TestDatagramOfEarlierRelease guards against gossip that nodes of the release in production
// (17141dd) and of this one read differently while they run side by side.
func TestDatagramOfEarlierRelease(t *testing.T) {
	const recorded = "080312026e31214d000000000000003a1b0a026e32120a31302e302e302e323a311a01612005280330013801"
	want := Message{Kind: Gossip, From: "n1", Digest: 77, Updates: []Member{{ID: "n2", Address: "10.0.0.2:1", AvailabilityZone: "a", Start: 5, Refutation: 3, State: Alive, Isolated: true}}}
	bytes, err := hex.DecodeString(recorded)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := Decode(bytes); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("decoded %+v, want %+v, error %v", got, want, err)
	}
	if got := hex.EncodeToString(want.Append(nil)); got != recorded {
		t.Errorf("encoded %s, want %s", got, recorded)
	}
}
