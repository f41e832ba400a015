package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickorydock/hickorydock/internal/protocol/membership"
)

// lossyNetwork is a network whose messages may be lost, delayed and duplicated.
type lossyNetwork struct {
	*network
	t       *rapid.T
	delayed []Packet
	starts  uint64
	latest  map[[2]string]membership.Member // by viewer and id
	lossy   bool
}

func (r *lossyNetwork) list() []membership.Member {
	var list []membership.Member
	for i := range 5 {
		list = append(list, member(name(i), 0))
	}
	return list
}

func (r *lossyNetwork) node() string { return name(rapid.IntRange(0, 4).Draw(r.t, "node")) }

// dropOrDelay draws at random whether a message is dropped, delayed or both delivered and
// repeated later. It reports whether the message is not delivered now.
func (r *lossyNetwork) dropOrDelay(p Packet) bool {
	if !r.lossy {
		return false
	}
	draw := rapid.IntRange(0, 19).Draw(r.t, "fate")
	if draw <= 2 {
		r.delayed = append(r.delayed, p) // delayed, or duplicated when it is delivered too
	}
	return draw <= 1 || draw == 3
}

// check fails when a node's state of a member is replaced by an older one.
func (r *lossyNetwork) check(*rapid.T) {
	for _, viewer := range sortedKeys(r.nodes) {
		for id, e := range r.nodes[viewer].members {
			key := [2]string{viewer, id}
			if latest, seen := r.latest[key]; seen && latest.Outranks(e.Member) {
				r.t.Fatalf("%s replaced its state of %s: %+v by the older %+v", viewer, id, latest, e.Member)
			}
			r.latest[key] = e.Member
		}
	}
}

func (r *lossyNetwork) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": r.check,
		"time passes": func(t *rapid.T) {
			r.run(time.Duration(rapid.IntRange(1, 30).Draw(t, "ticks")) * TickInterval)
		},
		"late messages arrive": func(t *rapid.T) {
			r.inFlight = append(r.inFlight, r.delayed...)
			r.delayed = nil
			r.deliver()
		},
		"pause or die": func(t *rapid.T) { r.down[r.node()] = true },
		"go on":        func(t *rapid.T) { delete(r.down, r.node()) },
		"restart": func(t *rapid.T) {
			id := r.node()
			r.starts++
			delete(r.down, id)
			for key := range r.latest {
				if key[0] == id {
					delete(r.latest, key)
				}
			}
			r.start(id, r.starts, r.list())
		},
		"leave": func(t *rapid.T) {
			id := r.node()
			if !r.down[id] {
				r.dispatch(id, r.nodes[id].Leave(r.now))
			}
		},
		"the list arrives": func(t *rapid.T) {
			id := r.node()
			r.dispatch(id, r.nodes[id].MergePlatformList(r.now, r.list()))
		},
	}
}

// TestHistories checks over random histories with lost, delayed and duplicated
// messages, pauses, failures and restarts that no node's state of a member is replaced
// by an older one, and that all running nodes have the right state of every node once
// the faults end.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &lossyNetwork{network: newNetwork(5), t: t, starts: 100, latest: map[[2]string]membership.Member{}, lossy: true}
		r.drop = r.dropOrDelay
		t.Repeat(r.actions())
		r.lossy = false
		for _, id := range sortedKeys(r.nodes) {
			if !r.down[id] {
				r.dispatch(id, r.nodes[id].MergePlatformList(r.now, r.list()))
			}
		}
		r.run(time.Minute)
		for _, id := range sortedKeys(r.nodes) {
			if len(r.down) == len(r.nodes) {
				return
			}
			want := membership.Dead
			if !r.down[id] {
				want = r.nodes[id].self.State
			}
			for state, viewers := range r.views(id) {
				if state != want {
					t.Fatalf("%d nodes see %s as %v, want %v", viewers, id, state, want)
				}
			}
		}
	})
}
