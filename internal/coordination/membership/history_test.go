package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickorydock/hickorydock/internal/protocol/membership"
)

// random is a network whose messages may be lost, late and doubled.
type random struct {
	*network
	t       *rapid.T
	held    []Packet
	starts  uint64
	highest map[[2]string]membership.Member // by viewer and id
	lossy   bool
}

func (r *random) list() []membership.Member {
	var list []membership.Member
	for i := range 5 {
		list = append(list, member(name(i), 0))
	}
	return list
}

func (r *random) node() string { return name(rapid.IntRange(0, 4).Draw(r.t, "node")) }

// fate draws what becomes of a message.
func (r *random) fate(s Packet) bool {
	if !r.lossy {
		return false
	}
	draw := rapid.IntRange(0, 19).Draw(r.t, "fate")
	if draw <= 2 {
		r.held = append(r.held, s) // late, or doubled when it is delivered too
	}
	return draw <= 1 || draw == 3
}

// check holds that no node's knowledge of a member ever goes back.
func (r *random) check(*rapid.T) {
	for _, viewer := range sortedKeys(r.nodes) {
		for id, e := range r.nodes[viewer].members {
			key := [2]string{viewer, id}
			if highest, seen := r.highest[key]; seen && highest.Outranks(e.Member) {
				r.t.Fatalf("%s went back on %s from %+v to %+v", viewer, id, highest, e.Member)
			}
			r.highest[key] = e.Member
		}
	}
}

func (r *random) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": r.check,
		"time passes": func(t *rapid.T) {
			r.run(time.Duration(rapid.IntRange(1, 30).Draw(t, "ticks")) * TickInterval)
		},
		"late messages arrive": func(t *rapid.T) {
			r.wire = append(r.wire, r.held...)
			r.held = nil
			r.deliver()
		},
		"pause or die": func(t *rapid.T) { r.down[r.node()] = true },
		"go on":        func(t *rapid.T) { delete(r.down, r.node()) },
		"restart": func(t *rapid.T) {
			id := r.node()
			r.starts++
			delete(r.down, id)
			for key := range r.highest {
				if key[0] == id {
					delete(r.highest, key)
				}
			}
			r.start(id, r.starts, r.list())
		},
		"leave": func(t *rapid.T) {
			id := r.node()
			if !r.down[id] {
				r.carry(id, r.nodes[id].Leave(r.now))
			}
		},
		"the list arrives": func(t *rapid.T) {
			id := r.node()
			r.carry(id, r.nodes[id].MergePlatformList(r.now, r.list()))
		},
	}
}

// TestHistories holds over random histories with lost, late and doubled
// messages, pauses, deaths and restarts that knowledge never goes back, and
// that all running nodes agree with the truth once the faults end.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &random{network: newNetwork(5), t: t, starts: 100, highest: map[[2]string]membership.Member{}, lossy: true}
		r.lose = r.fate
		t.Repeat(r.actions())
		r.lossy = false
		for _, id := range sortedKeys(r.nodes) {
			if !r.down[id] {
				r.carry(id, r.nodes[id].MergePlatformList(r.now, r.list()))
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
