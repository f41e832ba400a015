package drain

import (
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/route"
)

func entry(incarnation int64, address string, state platform.VMState) route.Leaf {
	return route.Leaf{VM: platform.VM{ID: "i-1", Address: address, State: state}, Incarnation: incarnation}
}

// TestDepartures: which entries of a restored list are those of a leaf that had left.
func TestDepartures(t *testing.T) {
	var d Departures
	if d.Left(start, entry(5, "a:1", platform.VMLive)) {
		t.Error("a leaf that never left")
	}
	d.Add(start, entry(5, "a:1", platform.VMLive))
	tests := []struct {
		name  string
		entry route.Leaf
		after time.Duration
		want  bool
	}{
		{"same run", entry(5, "a:1", platform.VMLive), time.Second, true},
		{"earlier run", entry(4, "b:1", platform.VMLive), time.Second, true},
		{"later run", entry(6, "a:1", platform.VMLive), time.Second, false},
		{"another address without a start time", entry(5, "b:1", platform.VMLive), time.Second, false},
		{"long ago", entry(5, "a:1", platform.VMLive), departureTTL + time.Second, false},
	}
	for _, test := range tests {
		if got := d.Left(start.Add(test.after), test.entry); got != test.want {
			t.Errorf("%s: left %t, want %t", test.name, got, test.want)
		}
	}
	d.Forget("i-1")
	if d.Left(start, entry(5, "a:1", platform.VMLive)) {
		t.Error("left after it registered again")
	}
}

func TestDeparturesAreBounded(t *testing.T) {
	var d Departures
	for i := range 100 {
		l := entry(int64(i), "a:1", platform.VMLive)
		l.VM.ID = string(rune('a' + i))
		d.Add(start.Add(time.Duration(i)*time.Minute), l)
	}
	if len(d.left) > 2 {
		t.Errorf("%d departures are kept", len(d.left))
	}
}

func TestOlderEntries(t *testing.T) {
	tests := []struct {
		name        string
		entry, used route.Leaf
		want        bool
	}{
		{"same entry", entry(5, "a:1", platform.VMLive), entry(5, "a:1", platform.VMLive), false},
		{"before it began to leave", entry(5, "a:1", platform.VMLive), entry(5, "a:1", platform.VMLeaving), true},
		{"began to leave", entry(5, "a:1", platform.VMLeaving), entry(5, "a:1", platform.VMLive), false},
		{"earlier run", entry(4, "a:1", platform.VMLeaving), entry(5, "a:1", platform.VMLive), true},
		{"new run of a leaf that was leaving", entry(6, "a:1", platform.VMLive), entry(5, "a:1", platform.VMLeaving), false},
		{"other address without a start time", entry(0, "b:1", platform.VMLive), entry(0, "a:1", platform.VMLeaving), false},
	}
	for _, test := range tests {
		if got := IsOlder(test.entry, test.used); got != test.want {
			t.Errorf("%s: older %t, want %t", test.name, got, test.want)
		}
	}
}

// TestOvertakenHeartbeats guards against a leaf that leaves and is used again, since the platform
// executed a heartbeat late that the leaf had sent before.
func TestOvertakenHeartbeats(t *testing.T) {
	numbered := func(incarnation int64, heartbeat uint64, address string) route.Leaf {
		l := entry(incarnation, address, platform.VMLive)
		l.Heartbeat = heartbeat
		return l
	}
	used := numbered(5, 57, "a:1")
	used.VM.State = platform.VMLeaving
	tests := []struct {
		name  string
		entry route.Leaf
		want  bool
	}{
		{"older heartbeat", numbered(5, 56, "a:1"), true},
		{"same heartbeat", numbered(5, 57, "a:1"), false},
		{"newer heartbeat", numbered(5, 58, "a:1"), false},
		{"not counted", numbered(5, 0, "a:1"), false},
		{"next run", numbered(6, 1, "a:1"), false},
		{"another address", numbered(5, 56, "b:1"), false},
	}
	for _, test := range tests {
		if got := IsOvertaken(test.entry, used); got != test.want {
			t.Errorf("%s: overtaken %t, want %t", test.name, got, test.want)
		}
	}
	unknown, restarted := numbered(0, 57, "a:1"), numbered(0, 1, "a:1")
	if IsOvertaken(restarted, unknown) {
		t.Error("a heartbeat counts as older although its run is not known")
	}
}
