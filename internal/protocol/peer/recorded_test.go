package peer

import (
	"encoding/hex"
	"testing"

	"google.golang.org/protobuf/proto"
)

// recordedMessages were encoded by the release at commit 17141dd.
var recordedMessages = map[string]struct {
	bytes string
	want  proto.Message
}{
	"batch of shards": {
		"0a03474554121c474554202f712f3120485454502f312e310d0a486f73743a20680d0a2201612201622a017230073802400548a8c3015163000000000000005801",
		&Passed{Method: "GET", Head: []byte("GET /q/1 HTTP/1.1\r\nHost: h\r\n"), Groups: []string{"a", "b"}, TargetUs: 25000, Version: 7, Route: "r", Attempts: 2, Top: 5, Fingerprint: 99, Merge: true},
	},
	"request to one leaf of an isolated node": {
		"0a04504f53541214504f5354202f6f2f3120485454502f312e310d0a1a01782a016f3007380151620000000000000062030a01736801",
		&Passed{Method: "POST", Head: []byte("POST /o/1 HTTP/1.1\r\n"), Body: []byte("x"), Route: "o", Version: 7, Attempts: 1, Fingerprint: 98, Single: &Single{Group: "s"}, Detour: true},
	},
	"answer of one leaf": {
		"0a03692d3110c8011a110a0c5365727665722d5374616d701201762201792a0176",
		&Answer{Leaf: "i-1", Status: 200, Headers: []*Header{{Name: "Server-Stamp", Values: []string{"v"}}}, Body: []byte("y"), Receipt: "v"},
	},
	"quarantine reports": {
		"0a08080210011a026e3112100905000000000000001203692d31180112100905000000000000001203692d311804",
		&ReportRequest{Hello: &Hello{Node: "n1", Version: 2, LowestVersion: 1}, Charges: []*Charge{{Kind: 1, Fingerprint: 5, Leaf: "i-1"}, {Kind: ChargeKind_CHARGE_KIND_WITHDRAWN, Fingerprint: 5, Leaf: "i-1"}}},
	},
	"request for changes": {
		"0a08080210011a026e311202766d200c28f40330a01f",
		&FollowRequest{Hello: &Hello{Node: "n1", Version: 2, LowestVersion: 1}, Kind: "vm", From: 12, WaitMs: 500, MaxAgeMs: 4000},
	},
	"changes": {
		"0a08080210011a026e321001220b0a03692d31100e1a027b7d22090a03692d32100d2001280e30033a04080a100c",
		&FollowReply{Hello: &Hello{Node: "n2", Version: 2, LowestVersion: 1}, Known: true, Version: 14, AgeMs: 3, Gaps: []*Gap{{After: 10, Before: 12}}, Objects: []*StoredObject{{Name: "i-1", Version: 14, Value: []byte("{}")}, {Name: "i-2", Version: 13, Deleted: true}}},
	},
}

// TestMessagesOfEarlierRelease guards against messages that nodes of the release in production
// and of this one read differently while they run side by side.
func TestMessagesOfEarlierRelease(t *testing.T) {
	for name, recorded := range recordedMessages {
		t.Run(name, func(t *testing.T) {
			bytes, err := hex.DecodeString(recorded.bytes)
			if err != nil {
				t.Fatal(err)
			}
			got := recorded.want.ProtoReflect().New().Interface()
			if err := proto.Unmarshal(bytes, got); err != nil || !proto.Equal(got, recorded.want) {
				t.Errorf("decoded %v, want %v, error %v", got, recorded.want, err)
			}
			again, err := proto.MarshalOptions{Deterministic: true}.Marshal(recorded.want)
			if err != nil || hex.EncodeToString(again) != recorded.bytes {
				t.Errorf("encoded %x, want %s, error %v", again, recorded.bytes, err)
			}
			if unknown := got.ProtoReflect().GetUnknown(); len(unknown) > 0 {
				t.Errorf("fields that this release does not know: %x", unknown)
			}
		})
	}
}
