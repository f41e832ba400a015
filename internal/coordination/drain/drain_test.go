package drain

import (
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/state/leaf"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// step applies one event at a time, in seconds, and states the expected result.
type step struct {
	at       float64
	apply    func(leaf.DrainState, time.Time) leaf.DrainState
	draining bool
}

func reply(draining bool) func(leaf.DrainState, time.Time) leaf.DrainState {
	return func(d leaf.DrainState, now time.Time) leaf.DrainState { return OnReply(d, draining, now, now) }
}

// lateReply is a reply to a subrequest that was sent 5 s earlier.
func lateReply(draining bool) func(leaf.DrainState, time.Time) leaf.DrainState {
	return func(d leaf.DrainState, now time.Time) leaf.DrainState {
		return OnReply(d, draining, now.Add(-5*time.Second), now)
	}
}

func manifest(draining bool, incarnation uint64) func(leaf.DrainState, time.Time) leaf.DrainState {
	return func(d leaf.DrainState, now time.Time) leaf.DrainState {
		return OnManifest(d, draining, incarnation, now)
	}
}

func list(leaving bool) func(leaf.DrainState, time.Time) leaf.DrainState {
	return func(d leaf.DrainState, _ time.Time) leaf.DrainState { return OnList(d, leaving) }
}

func TestDrain(t *testing.T) {
	cases := []struct {
		name  string
		steps []step
	}{
		{"manifest only", []step{{0, manifest(true, 1), true}, {1, reply(false), true}, {2, manifest(false, 1), false}}},
		{"list only", []step{{0, list(true), true}, {1, manifest(false, 1), true}, {2, reply(false), true}, {3, list(false), false}}},
		{"reply that reports draining, then one that does not", []step{{0, reply(true), true}, {1, reply(false), false}}},
		{"reply to an older subrequest is ignored", []step{{0, reply(true), true}, {1, lateReply(false), true}, {2, manifest(true, 1), true}, {3, lateReply(false), true}}},
		{"stale manifest does not override a reply", []step{
			{0, manifest(false, 1), false}, {1, reply(true), true}, {1.2, manifest(false, 1), true}, {4, manifest(true, 1), true}, {9, manifest(false, 1), false},
		}},
		{"hold doubles each time a wrong manifest overrides a reply", []step{
			{0, manifest(false, 1), false}, {1, reply(true), true}, {10, manifest(false, 1), true}, {11, manifest(false, 1), false},
			{12, reply(true), true}, {31, manifest(false, 1), true}, {32, manifest(false, 1), false},
			{33, reply(true), true}, {72, manifest(false, 1), true}, {73, manifest(false, 1), false},
			{74, reply(true), true}, {133, manifest(false, 1), true}, {134, manifest(false, 1), false},
		}},
		{"a manifest fetched before the reply is ignored", []step{
			{0, manifest(true, 1), true}, {5, reply(true), true},
			{5.1, func(d leaf.DrainState, now time.Time) leaf.DrainState {
				return OnManifest(d, false, 1, now.Add(-time.Second))
			}, true},
		}},
		{"a new process receives work", []step{{0, manifest(true, 1), true}, {1, reply(true), true}, {2, manifest(false, 2), false}}},
		{"a new process on a leaving VM receives no work", []step{{0, list(true), true}, {1, manifest(false, 2), true}}},
		{"a new process that is draining", []step{{0, manifest(false, 1), false}, {1, manifest(true, 2), true}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var d leaf.DrainState
			for i, s := range c.steps {
				d = s.apply(d, start.Add(time.Duration(s.at*float64(time.Second))))
				if d.IsDraining() != s.draining {
					t.Fatalf("step %d at %v s: draining %v, want %v; state %+v", i, s.at, d.IsDraining(), s.draining, d)
				}
			}
		})
	}
}
