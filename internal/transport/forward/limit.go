package forward

import (
	"sync"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/ratelimit"
	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/transport/leafwire"
)

const (
	// departedNodeHold is how long a node that is not present any more counts among those
	// that share a limit: it may be cut off and still send.
	departedNodeHold = 10 * time.Second
	// joinPeriod is the time after the start in which a node may not know all others, and
	// joiningNodes the number of nodes that it assumes meanwhile.
	joinPeriod   = 3 * time.Second
	joiningNodes = 8
)

// nodeCounter counts the nodes that share a limit. Its count falls only departedNodeHold
// after the number of present nodes has.
type nodeCounter struct {
	mu      sync.Mutex
	present int
	// highest is the largest recent count, which holds until heldUntil.
	highest   int
	heldUntil time.Time
}

func (c *nodeCounter) set(now time.Time, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.highest = c.count(now)
	if n < c.present {
		c.heldUntil = now.Add(departedNodeHold)
	}
	c.present = n
	c.highest = max(c.highest, n)
}

// count returns the number at now. The caller holds c.mu.
func (c *nodeCounter) count(now time.Time) int {
	if now.Before(c.heldUntil) {
		return max(c.highest, c.present)
	}
	return c.present
}

func (c *nodeCounter) get(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count(now)
}

// sharers returns the number of nodes that share the limits of a group's leafs.
func (f *Forwarder) sharers(now time.Time, group string) int {
	n := f.limitNodes.get(now)
	if now.Sub(f.startedAt) < joinPeriod {
		n = max(n, joiningNodes)
	}
	if f.Holders != nil {
		if holders, holds := f.Holders(group); holders > 0 && holds {
			n = min(n, holders)
		}
	}
	return max(n, 1)
}

// limitNode returns what the decisions about a limit of a group's leaf know of this node.
func (f *Forwarder) limitNode(now time.Time, group string) ratelimit.Node {
	return ratelimit.Node{Sharers: f.sharers(now, group), Phase: f.limitPhase, Origin: f.startedAt}
}

// SetCold records that a leaf of a group has become cold, in which it takes perSecond requests
// from all nodes together (0 if it has no bound), or that it is warm.
func (f *Forwarder) SetCold(record *leaf.Record, group string, cold bool, perSecond float64) {
	if !cold {
		perSecond = 0
	}
	record.SetCold(cold)
	now := time.Now()
	node := f.limitNode(now, group)
	f.changeLimit(now, record, func(l leaf.Limit) leaf.Limit {
		if l.WarmupPerSecond == 0 && perSecond == 0 {
			return l
		}
		f.limitsSet.Store(true)
		return ratelimit.OnWarmup(l, perSecond, node, now)
	})
}

// takeFromLimit reports whether a request may be sent to a leaf now, and counts it if the
// leaf limits the requests of all nodes. Until the next one may be sent, the leaf is not used.
func (f *Forwarder) takeFromLimit(now time.Time, record *leaf.Record, group string) bool {
	if stats := record.Stats(); !stats.Limited {
		return true
	}
	taken := true
	node := f.limitNode(now, group)
	f.changeLimit(now, record, func(l leaf.Limit) leaf.Limit {
		l, taken = ratelimit.Take(l, node, now)
		return l
	})
	return taken
}

// advanceLimits brings the limits of the leafs of a request up to now, so that what can be
// sent is known before anything is sent.
func (x *exchange) advanceLimits(now time.Time) {
	if !x.f.limitsSet.Load() {
		return
	}
	for shard, replicas := range x.view.Replicas {
		for _, r := range replicas {
			if stats := r.Record.Stats(); stats.Limited {
				node := x.f.limitNode(now, x.shards[shard].group)
				x.f.changeLimit(now, r.Record, func(l leaf.Limit) leaf.Limit { return ratelimit.Advance(l, node, now) })
			}
		}
	}
}

// changeLimit replaces the limit of a leaf by the result of update, and keeps new requests
// from the leaf until the next one may be sent.
func (f *Forwarder) changeLimit(now time.Time, record *leaf.Record, update func(leaf.Limit) leaf.Limit) {
	if until := record.UpdateLimit(now, update); !until.IsZero() {
		time.AfterFunc(until.Sub(now), func() { record.ClearLimitedUntil(time.Now()) })
	}
}

// noteLimit handles the limit that a reply states, or that it states none.
func (f *Forwarder) noteLimit(now time.Time, call *leafwire.Call) {
	value := call.Reply.Header.Get(f.cfg.Names.Limit)
	stats := call.Record.Stats()
	if value == "" {
		if stats.Limited && call.Reply.Result != subrequest.ConnectionLost {
			f.limitUnstated(now, call)
		}
		return
	}
	fields := callFields(call)
	asked, err := ratelimit.Parse(value)
	if err != nil {
		f.log.WithFields(fields).WithError(err).Warn("limit that a leaf states ignored")
		return
	}
	f.limitsSet.Store(true)
	node := f.limitNode(now, call.Leaf.Group)
	var before, after leaf.Limit
	f.changeLimit(now, call.Record, func(l leaf.Limit) leaf.Limit {
		before = l
		after = ratelimit.OnStated(l, asked, node, now)
		return after
	})
	if before.Stated && before.PerSecond == after.PerSecond {
		return
	}
	if !before.Stated {
		f.leafClient.FailWaiting(call.Leaf.ID)
		f.observer.LeafNotice(noticeLimit)
	}
	fields["per_second"] = asked
	fields["nodes"] = node.Sharers
	f.log.WithFields(fields).Info("leaf limits requests")
}

// limitUnstated ends the limit of a leaf whose reply states none.
func (f *Forwarder) limitUnstated(now time.Time, call *leafwire.Call) {
	ended := false
	call.Record.UpdateLimit(now, func(l leaf.Limit) leaf.Limit {
		next := ratelimit.OnUnstated(l, call.StartedAt)
		ended = l.Stated && !next.Stated
		return next
	})
	if ended {
		f.log.WithFields(callFields(call)).Info("leaf limits requests no more")
	}
}
