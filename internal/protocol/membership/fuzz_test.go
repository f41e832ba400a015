package membership

import (
	"errors"
	"reflect"
	"testing"
)

// FuzzDecode checks that any bytes are either rejected as malformed or decode to a
// message that survives encoding and decoding.
func FuzzDecode(f *testing.F) {
	f.Add(Message{Kind: Ping, From: "a", Seq: 7}.Append(nil))
	f.Add(Message{Kind: SyncReply, From: "a", Digest: 1 << 63, Subject: Subject{ID: "b", Start: 9}, Updates: []Member{
		{ID: "c", Address: "10.0.0.1:7070", AvailabilityZone: "z", Start: 1, Refutation: 2, State: Left},
	}}.Append(nil))
	f.Add([]byte("\x08\x80"))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err != nil {
			if !errors.Is(err, ErrMalformed) {
				t.Errorf("%x is rejected with %v", b, err)
			}
			return
		}
		decoded, err := Decode(m.Append(nil))
		if err != nil || !reflect.DeepEqual(decoded, m) {
			t.Errorf("%x decodes to %+v and then to %+v: %v", b, m, decoded, err)
		}
	})
}
