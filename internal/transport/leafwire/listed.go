package leafwire

import "github.com/hickorydock/hickorydock/internal/protocol/platform"

// AddLeaf lists a leaf, so that it can be called until RemoveLeaf. A leaf that is listed at
// another address must be removed first.
func (c *Client) AddLeaf(vm platform.VM) {
	c.listedMu.Lock()
	c.listed[vm.ID] = vm.Address
	c.listedMu.Unlock()
}

// pool returns the pool of a leaf, or nil if the leaf is not listed at its address: the caller
// may know an earlier run of it.
func (c *Client) pool(vm platform.VM) *pool {
	p, ok := c.findPool(vm.ID)
	if !ok {
		return c.addPool(vm)
	}
	if p.vm.Address != vm.Address {
		return nil
	}
	return p
}

func (c *Client) addPool(vm platform.VM) *pool {
	c.listedMu.Lock()
	defer c.listedMu.Unlock()
	if address, ok := c.listed[vm.ID]; !ok || address != vm.Address {
		return nil
	}
	p, _ := c.pools.LoadOrStore(vm.ID, &pool{client: c, vm: vm, sent: make(map[*Call]struct{})})
	return p.(*pool)
}

func (c *Client) findPool(id string) (*pool, bool) {
	found, ok := c.pools.Load(id)
	if !ok {
		return nil, false
	}
	return found.(*pool), true
}

// RemoveLeaf closes the idle connections to a leaf that was removed and ends the calls that wait
// for a connection to it as unsent. Calls that were sent are not interrupted.
func (c *Client) RemoveLeaf(id string) {
	c.listedMu.Lock()
	delete(c.listed, id)
	found, ok := c.pools.LoadAndDelete(id)
	c.listedMu.Unlock()
	if !ok {
		return
	}
	p := found.(*pool)
	p.mu.Lock()
	p.removed = true
	failed := p.takeWaiting()
	p.mu.Unlock()
	p.failUnsent(failed, ErrStayAway)
	p.closeIdle()
}
