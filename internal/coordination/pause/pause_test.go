package pause

import (
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func TestParse(t *testing.T) {
	valid := map[string]time.Duration{"2": 2 * time.Second, "0.25": 250 * time.Millisecond, "0": 0, "60": time.Minute}
	for value, want := range valid {
		if got, err := Parse(value); err != nil || got != want {
			t.Errorf("%q: %v, error %v, want %v", value, got, err, want)
		}
	}
	for _, value := range []string{"", "soon", "-1", "61", "1e300", "Inf", "NaN", "Fri, 31 Dec 1999 23:59:59 GMT", "99999999999999999999"} {
		if got, err := Parse(value); err == nil || got != 0 {
			t.Errorf("%q: %v without an error", value, got)
		}
	}
}

// TestReturnsAreSpread: nodes that a leaf sends away at the same moment return over a
// quarter of the pause, none before its end.
func TestReturnsAreSpread(t *testing.T) {
	const nodes, asked = 300, 4 * time.Second
	perTenth := map[time.Duration]int{}
	for i := range nodes {
		length := Length(asked, float64(i)/nodes)
		if length < asked || length > asked+asked/4 {
			t.Fatalf("pause of %v, asked for %v", length, asked)
		}
		perTenth[(length-asked)/(100*time.Millisecond)]++
	}
	for at, n := range perTenth {
		if n > nodes/8 {
			t.Errorf("%d of %d nodes return in the same tenth of a second, after %v", n, nodes, at)
		}
	}
}

// replica returns a leaf that is paused for a time, 0 if not, and leaves or not.
func replica(paused time.Duration, leaves bool) shardmap.Replica {
	record := &leaf.Record{}
	if paused > 0 {
		record.Pause(start.Add(paused))
	}
	record.UpdateDrain(func(d leaf.DrainState) leaf.DrainState {
		d.Reply = leaves
		return d
	})
	return shardmap.Replica{Record: record}
}

func TestUntil(t *testing.T) {
	ready := []shardmap.Replica{replica(time.Second, false), replica(0, false)}
	short := []shardmap.Replica{replica(3*time.Second, false), replica(time.Second, false)}
	long := []shardmap.Replica{replica(2*time.Second, false), replica(time.Millisecond, true)}
	leaving := []shardmap.Replica{replica(0, true)}
	tests := []struct {
		name   string
		groups [][]shardmap.Replica
		needed int
		want   time.Duration
		ok     bool
	}{
		{"one can be sent to", [][]shardmap.Replica{ready}, 1, 0, true},
		{"all pause: the first that returns", [][]shardmap.Replica{short}, 1, time.Second, true},
		{"a leaf that leaves does not return", [][]shardmap.Replica{long}, 1, 2 * time.Second, true},
		{"enough groups", [][]shardmap.Replica{ready, long, ready}, 2, 0, true},
		{"one group too few: the first that returns", [][]shardmap.Replica{ready, long, short}, 2, time.Second, true},
		{"all groups are needed", [][]shardmap.Replica{ready, long, short}, 3, 2 * time.Second, true},
		{"too many only leave", [][]shardmap.Replica{leaving, ready}, 2, 0, false},
		{"no leaf", [][]shardmap.Replica{nil}, 1, 0, false},
		{"none is needed", [][]shardmap.Replica{leaving}, 0, 0, true},
	}
	for _, test := range tests {
		got, ok := Until(test.groups, test.needed)
		var want time.Time
		if test.want > 0 {
			want = start.Add(test.want)
		}
		if ok != test.ok || !got.Equal(want) {
			t.Errorf("%s: %v, %t, want %v, %t", test.name, got, ok, want, test.ok)
		}
	}
}
