package connections

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// settle is the time that the tests' nodes wait before a larger share.
const settle = 2 * time.Second

// fakeLeafs records the shares that a node sets, by address.
type fakeLeafs struct {
	mu       sync.Mutex
	required bool
	counts   map[string]int
}

func newFakeLeafs() *fakeLeafs { return &fakeLeafs{counts: make(map[string]int)} }

func (f *fakeLeafs) RequireShares() { f.required = true }

func (f *fakeLeafs) SetShare(vm platform.VM, count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[vm.Address] = count
}

func (f *fakeLeafs) DropShare(vm platform.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.counts, vm.Address)
}

func (f *fakeLeafs) count(address string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if count, ok := f.counts[address]; ok {
		return count
	}
	return -1
}

func nodeVM(i int) platform.VM {
	return platform.VM{ID: fmt.Sprintf("node-%d", i), Group: platform.NodeGroup, State: platform.VMLive}
}

func leafVM(id, group string) platform.VM {
	return platform.VM{ID: id, Group: group, Address: id + ":80", State: platform.VMLive}
}

// list is the platform's list of some nodes and leafs.
func list(nodes int, leafs ...platform.VM) []platform.VM {
	for i := range nodes {
		leafs = append(leafs, nodeVM(i))
	}
	return leafs
}

func service(name, group string, connections int) note.Service {
	return note.Service{Name: name, UpstreamGroup: group, LeafConnections: connections}
}

func services(all ...note.Service) note.Catalogue { return note.Catalogue{Services: all} }

// run starts the shares of node-0 under virtual time.
func run(t *testing.T, test func(t *testing.T, s *Shares, f *fakeLeafs)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeLeafs()
		s := New(f, nodeVM(0).ID, settle, time.Now())
		ctx, cancel := context.WithCancel(t.Context())
		go s.Run(ctx)
		test(t, s, f)
		cancel()
		synctest.Wait()
	})
}

func pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func (f *fakeLeafs) want(t *testing.T, when, address string, count int) {
	t.Helper()
	if got := f.count(address); got != count {
		t.Errorf("%s: share of %s is %d, want %d", when, address, got, count)
	}
}

func TestSettledShares(t *testing.T) {
	leaf := leafVM("l", "g")
	leaving := nodeVM(1)
	leaving.State = platform.VMLeaving
	cases := []struct {
		name     string
		vms      []platform.VM
		services []note.Service
		want     int
		ready    bool
	}{
		{"7 nodes, cap 25", list(7, leaf), []note.Service{service("s", "g", 25)}, 3, true},
		{"7 nodes, cap 100", list(7, leaf), []note.Service{service("s", "g", 100)}, 12, true},
		{"lowest cap of the group", list(7, leaf), []note.Service{service("a", "g", 100), service("b", "g", 25), service("c", "g", 40), service("d", "h", 10)}, 3, true},
		{"a leaving node still counts", []platform.VM{leaf, nodeVM(0), leaving}, []note.Service{service("s", "g", 25)}, 10, true},
		{"alone", list(1, leaf), []note.Service{service("s", "g", 25)}, 16, true},
		{"more nodes than connections", list(22, leaf), []note.Service{service("s", "g", 25)}, 0, false},
		{"no connection beside the reserve", list(1, leaf), []note.Service{service("s", "g", 1)}, 0, false},
		{"no service of the group", list(7, leaf), []note.Service{service("s", "h", 25)}, 0, true},
		{"no service states a cap", list(7, leaf), []note.Service{service("s", "g", 0)}, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(t *testing.T, s *Shares, f *fakeLeafs) {
				s.SetVMs(c.vms)
				s.SetCatalogue(services(c.services...))
				pass(settle)
				f.want(t, "settled", leaf.Address, c.want)
				if got := s.Ready() == nil; got != c.ready {
					t.Errorf("ready: %v", s.Ready())
				}
				if !f.required {
					t.Error("leafs without a share stay reachable")
				}
			})
		})
	}
}

func TestSharesFollowChanges(t *testing.T) {
	run(t, func(t *testing.T, s *Shares, f *fakeLeafs) {
		one, two := leafVM("one", "g"), leafVM("two", "g")
		s.SetCatalogue(services(service("s", "g", 25)))
		s.SetVMs(list(7, one))
		pass(settle - time.Millisecond)
		f.want(t, "before it settled", one.Address, 0)
		if s.Ready() == nil {
			t.Error("ready without a connection")
		}
		pass(time.Millisecond)
		f.want(t, "settled", one.Address, 3)

		s.SetVMs(list(7, one, two))
		f.want(t, "a leaf comes", two.Address, 3)
		s.SetVMs(list(10, one, two))
		f.want(t, "nodes come", one.Address, 2)
		s.SetVMs(list(7, two))
		f.want(t, "a leaf is gone", one.Address, -1)
		f.want(t, "nodes leave", two.Address, 2)
		pass(settle)
		f.want(t, "nodes left", two.Address, 3)

		s.SetCatalogue(services(service("s", "g", 100)))
		f.want(t, "cap raised", two.Address, 3)
		pass(settle)
		f.want(t, "raised cap settled", two.Address, 12)
		s.SetCatalogue(services(service("s", "g", 10)))
		f.want(t, "cap lowered", two.Address, 1)
		s.SetCatalogue(services())
		pass(settle)
		f.want(t, "service withdrawn", two.Address, 1)

		moved := two
		moved.Address = "elsewhere:80"
		s.SetVMs(list(7, moved))
		f.want(t, "old address", two.Address, -1)
		f.want(t, "new address", moved.Address, 1)
		s.SetVMs(list(22, moved))
		f.want(t, "too many nodes", moved.Address, 0)
		if err := s.Ready(); err != nil {
			t.Errorf("not ready any more: %v", err)
		}
		if count, known := s.Allowed("g"); count != 0 || !known {
			t.Errorf("allowed %d, %v", count, known)
		}
		if _, known := s.Allowed("other"); known {
			t.Error("a share of a group without services")
		}
	})
}

// TestUnlistedNode holds that a node takes nothing while others cannot count it,
// one connection of the reserve when the platform never lists it, and that one
// when it drops out of the list.
func TestUnlistedNode(t *testing.T) {
	run(t, func(t *testing.T, s *Shares, f *fakeLeafs) {
		leaf := leafVM("l", "g")
		others := list(7, leaf)[:1]
		for i := 1; i < 7; i++ {
			others = append(others, nodeVM(i))
		}
		s.SetCatalogue(services(service("s", "g", 25)))
		s.SetVMs(others)
		pass(ListingTimeout + settle - time.Millisecond)
		f.want(t, "at first", leaf.Address, 0)
		pass(time.Millisecond)
		f.want(t, "for long", leaf.Address, unlistedShare)
		s.SetVMs(list(7, leaf))
		f.want(t, "just listed", leaf.Address, unlistedShare)
		pass(settle)
		f.want(t, "listed", leaf.Address, 3)
		s.SetVMs(others)
		f.want(t, "dropped from the list", leaf.Address, unlistedShare)
	})
}
