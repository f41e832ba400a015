package leafwire

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// recentFailure is the time for which a leaf whose connection failed is probed only if too
// few others are left.
const recentFailure = time.Second

// LastReply returns the time of the last reply of any leaf, or of the start before the first.
func (c *Client) LastReply() time.Time {
	return c.startedAt.Add(time.Duration(c.lastReply.Load()))
}

// Overdue reports whether a call that waits for a connection, or one that was sent, has lasted
// longer than its Patience.
func (c *Client) Overdue(now time.Time) (waiting, sent bool) {
	c.pools.Range(func(_, found any) bool {
		w, s := found.(*pool).overdue(now)
		waiting = waiting || w
		sent = sent || s
		return !waiting || !sent
	})
	return waiting, sent
}

func (p *pool) overdue(now time.Time) (waiting, sent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, call := range p.waiting {
		waiting = waiting || call.isOverdue(now)
	}
	for call := range p.sent {
		sent = sent || call.isOverdue(now)
	}
	return waiting, sent
}

func (call *Call) isOverdue(now time.Time) bool {
	return call.Patience > 0 && now.Sub(call.StartedAt) > call.Patience
}

// HasConnection reports whether a connection to a leaf is open.
func (c *Client) HasConnection(id string) bool {
	p, ok := c.findPool(id)
	if !ok {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open > p.dialling
}

// FailedGroups returns the number of groups to whose leafs a dial has failed since the last
// one that succeeded.
func (c *Client) FailedGroups() int {
	c.failedMu.Lock()
	defer c.failedMu.Unlock()
	return len(c.failedGroups)
}

// recordDial records the result of a dial.
func (c *Client) recordDial(group string, err error) {
	c.failedMu.Lock()
	defer c.failedMu.Unlock()
	if err == nil {
		clear(c.failedGroups)
		return
	}
	c.failedGroups[group] = struct{}{}
}

// ProbeTargets returns up to n leafs with which the node has exchanged requests, of different
// groups if possible. Leafs whose connection failed lately come last: they may have crashed.
func (c *Client) ProbeTargets(now time.Time, n int) []platform.VM {
	var sound, failed []platform.VM
	c.pools.Range(func(_, found any) bool {
		p := found.(*pool)
		p.mu.Lock()
		recent := now.Sub(p.failedAt) < recentFailure
		p.mu.Unlock()
		if recent {
			failed = append(failed, p.vm)
		} else {
			sound = append(sound, p.vm)
		}
		return true
	})
	for _, list := range [][]platform.VM{sound, failed} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	return ofDifferentGroups(append(sound, failed...), n)
}

// ofDifferentGroups returns n of the leafs, those of groups that are not among them yet first.
func ofDifferentGroups(leafs []platform.VM, n int) []platform.VM {
	seen := make(map[string]bool)
	var first, others []platform.VM
	for _, vm := range leafs {
		if seen[vm.Group] {
			others = append(others, vm)
			continue
		}
		seen[vm.Group] = true
		first = append(first, vm)
	}
	all := append(first, others...)
	return all[:min(n, len(all))]
}

// Probe opens a connection to a leaf and closes it again.
func (c *Client) Probe(ctx context.Context, vm platform.VM) error {
	raw, err := c.cfg.Dial(ctx, vm.Address)
	if err != nil {
		return err
	}
	_ = raw.Close()
	return nil
}

// ForgetFailures drops what was concluded about leafs from failed connections: reduced limits
// and delays before the next dial.
func (c *Client) ForgetFailures() {
	c.pools.Range(func(_, found any) bool {
		p := found.(*pool)
		p.mu.Lock()
		p.reducedUntil = time.Time{}
		p.refusedUntil = time.Time{}
		p.dialAfter = time.Time{}
		p.failedAt = time.Time{}
		p.mu.Unlock()
		return true
	})
	c.failedMu.Lock()
	clear(c.failedGroups)
	c.failedMu.Unlock()
}
