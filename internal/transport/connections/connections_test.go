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

// settleTime is how long the tests' nodes wait before they use a larger share.
const settleTime = 2 * time.Second

// fakeLeafClient records the shares that a node sets, by address.
type fakeLeafClient struct {
	mu       sync.Mutex
	required bool
	counts   map[string]int
}

func newFakeLeafClient() *fakeLeafClient { return &fakeLeafClient{counts: make(map[string]int)} }

func (f *fakeLeafClient) RequireShares() { f.required = true }

func (f *fakeLeafClient) SetShare(vm platform.VM, count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[vm.Address] = count
}

func (f *fakeLeafClient) DropShare(vm platform.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.counts, vm.Address)
}

func (f *fakeLeafClient) count(address string) int {
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

// newList returns a list of the platform with some nodes and leafs.
func newList(nodes int, leafs ...platform.VM) []platform.VM {
	for i := range nodes {
		leafs = append(leafs, nodeVM(i))
	}
	return leafs
}

func service(name, group string, connections int) note.Service {
	return note.Service{Name: name, UpstreamGroup: group, LeafConnections: connections}
}

func newCatalogue(services ...note.Service) note.Catalogue { return note.Catalogue{Services: services} }

// runShares runs a test with the shares of node-0 in virtual time.
func runShares(t *testing.T, test func(t *testing.T, s *Shares, f *fakeLeafClient)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeLeafClient()
		s := New(f, nodeVM(0).ID, settleTime, time.Now())
		ctx, cancel := context.WithCancel(t.Context())
		go s.Run(ctx)
		test(t, s, f)
		cancel()
		synctest.Wait()
	})
}

// advance lets virtual time pass and waits until all goroutines are idle.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func (f *fakeLeafClient) expectShare(t *testing.T, when, address string, count int) {
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
		{"7 nodes, cap 25", newList(7, leaf), []note.Service{service("s", "g", 25)}, 3, true},
		{"7 nodes, cap 100", newList(7, leaf), []note.Service{service("s", "g", 100)}, 12, true},
		{"lowest cap of the group", newList(7, leaf), []note.Service{service("a", "g", 100), service("b", "g", 25), service("c", "g", 40), service("d", "h", 10)}, 3, true},
		{"a leaving node still counts", []platform.VM{leaf, nodeVM(0), leaving}, []note.Service{service("s", "g", 25)}, 10, true},
		{"alone", newList(1, leaf), []note.Service{service("s", "g", 25)}, 16, true},
		{"more nodes than connections", newList(22, leaf), []note.Service{service("s", "g", 25)}, 0, false},
		{"no connection beside the reserve", newList(1, leaf), []note.Service{service("s", "g", 1)}, 0, false},
		{"no service of the group", newList(7, leaf), []note.Service{service("s", "h", 25)}, 0, true},
		{"no service states a cap", newList(7, leaf), []note.Service{service("s", "g", 0)}, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runShares(t, func(t *testing.T, s *Shares, f *fakeLeafClient) {
				s.SetVMs(c.vms)
				s.SetCatalogue(newCatalogue(c.services...))
				advance(settleTime)
				f.expectShare(t, "settled", leaf.Address, c.want)
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
	runShares(t, func(t *testing.T, s *Shares, f *fakeLeafClient) {
		one, two := leafVM("one", "g"), leafVM("two", "g")
		s.SetCatalogue(newCatalogue(service("s", "g", 25)))
		s.SetVMs(newList(7, one))
		advance(settleTime - time.Millisecond)
		f.expectShare(t, "before it settled", one.Address, 0)
		if s.Ready() == nil {
			t.Error("ready without a connection")
		}
		advance(time.Millisecond)
		f.expectShare(t, "settled", one.Address, 3)

		s.SetVMs(newList(7, one, two))
		f.expectShare(t, "a leaf is added", two.Address, 3)
		s.SetVMs(newList(10, one, two))
		f.expectShare(t, "nodes are added", one.Address, 2)
		s.SetVMs(newList(7, two))
		f.expectShare(t, "a leaf is removed", one.Address, -1)
		f.expectShare(t, "nodes are removed", two.Address, 2)
		advance(settleTime)
		f.expectShare(t, "removal of nodes settled", two.Address, 3)

		s.SetCatalogue(newCatalogue(service("s", "g", 100)))
		f.expectShare(t, "cap raised", two.Address, 3)
		advance(settleTime)
		f.expectShare(t, "raised cap settled", two.Address, 12)
		s.SetCatalogue(newCatalogue(service("s", "g", 10)))
		f.expectShare(t, "cap lowered", two.Address, 1)
		s.SetCatalogue(newCatalogue())
		advance(settleTime)
		f.expectShare(t, "service withdrawn", two.Address, 1)

		moved := two
		moved.Address = "elsewhere:80"
		s.SetVMs(newList(7, moved))
		f.expectShare(t, "old address", two.Address, -1)
		f.expectShare(t, "new address", moved.Address, 1)
		s.SetVMs(newList(22, moved))
		f.expectShare(t, "too many nodes", moved.Address, 0)
		if err := s.Ready(); err != nil {
			t.Errorf("no longer ready: %v", err)
		}
		if count, known := s.Allowed("g"); count != 0 || !known {
			t.Errorf("allowed %d, %v", count, known)
		}
		if _, known := s.Allowed("other"); known {
			t.Error("a share of a group without services")
		}
	})
}

// TestUnlistedNode checks that a node that the platform does not list, so that the
// other nodes do not count it, uses no connection until ListingTimeout and one of the
// reserve after it, and again one when it is removed from the list.
func TestUnlistedNode(t *testing.T) {
	runShares(t, func(t *testing.T, s *Shares, f *fakeLeafClient) {
		leaf := leafVM("l", "g")
		others := newList(7, leaf)[:1]
		for i := 1; i < 7; i++ {
			others = append(others, nodeVM(i))
		}
		s.SetCatalogue(newCatalogue(service("s", "g", 25)))
		s.SetVMs(others)
		advance(ListingTimeout + settleTime - time.Millisecond)
		f.expectShare(t, "at first", leaf.Address, 0)
		advance(time.Millisecond)
		f.expectShare(t, "after the timeout", leaf.Address, unlistedShare)
		s.SetVMs(newList(7, leaf))
		f.expectShare(t, "just listed", leaf.Address, unlistedShare)
		advance(settleTime)
		f.expectShare(t, "listed", leaf.Address, 3)
		s.SetVMs(others)
		f.expectShare(t, "removed from the list", leaf.Address, unlistedShare)
	})
}
