package forward

import (
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
)

// maxDetours is the number of batches of nodes which are cut off from the leafs that a node
// runs at a time. Further ones go to other nodes.
const maxDetours = 128

// Links says which leafs this node reaches. It is implemented by links.Monitor.
type Links interface {
	// Isolated reports whether the node is cut off from the leafs.
	Isolated() bool
	// Reaches reports whether the node can send to a leaf itself.
	Reaches(leafID string) bool
	// Silent reports whether the node is isolated and open connections carry nothing either.
	Silent() bool
	// Lost returns a channel that is closed while the node is isolated.
	Lost() <-chan struct{}
	// ServedByPeer records that a leaf has answered a request that another node sent.
	ServedByPeer()
}

// soundLinks is the Links of a node that always reaches all leafs.
type soundLinks struct{}

func (soundLinks) Isolated() bool        { return false }
func (soundLinks) Reaches(string) bool   { return true }
func (soundLinks) Silent() bool          { return false }
func (soundLinks) Lost() <-chan struct{} { return nil }
func (soundLinks) ServedByPeer()         {}

// reached returns the replicas that this node, which is isolated, can send to.
func (f *Forwarder) reached(replicas []shardmap.Replica) []shardmap.Replica {
	return slices.DeleteFunc(slices.Clone(replicas), func(r shardmap.Replica) bool { return !f.Links.Reaches(r.VM.ID) })
}

// detours returns clusters in which the shards that this node would send to leafs itself, but
// does not reach, go to other nodes: to the other relays of their cluster, or to any node if
// no relays are assigned.
func (x *exchange) detours(clusters []Cluster) []Cluster {
	if clusters == nil {
		all := Cluster{Direct: true, Shards: make([]int, len(x.shards))}
		for shard := range x.shards {
			all.Shards[shard] = shard
		}
		all.Preferred, all.Fallback = x.f.Relays.Others()
		clusters = []Cluster{all}
	}
	var parts []Cluster
	for _, c := range clusters {
		if !c.Direct {
			parts = append(parts, c)
			continue
		}
		own, others := c, c
		own.Shards, others.Shards = nil, nil
		for _, shard := range c.Shards {
			if x.shards[shard].unreached {
				others.Shards = append(others.Shards, shard)
			} else {
				own.Shards = append(own.Shards, shard)
			}
		}
		others.Direct = false
		for _, part := range []Cluster{own, others} {
			if len(part.Shards) > 0 {
				parts = append(parts, part)
			}
		}
	}
	return parts
}

// linksLost sends the shards whose attempts are pending at leafs that this node does not reach
// any more to other nodes. An attempt that was sent may still run, so the shard goes on only
// if the request is idempotent, has attempts left and the budget allows it.
func (x *exchange) linksLost(now time.Time) {
	if x.f.Relays == nil || x.req.relayed {
		return
	}
	run := &clusterRun{cancel: func() {}}
	run.cluster.Preferred, run.cluster.Fallback = x.f.Relays.Others()
	attempts := 0
	for shard := range x.shards {
		left, ok := x.canDetour(now, shard)
		if !ok {
			continue
		}
		run.cluster.Shards = append(run.cluster.Shards, shard)
		if attempts == 0 || left < attempts {
			attempts = left
		}
	}
	if len(run.cluster.Shards) == 0 {
		return
	}
	x.makeRelayEvents(0)
	x.f.log.WithFields(log.Fields{"request": x.req.id, "shards": len(run.cluster.Shards)}).Info("pending shards go through another node")
	if x.sendToRelay(now, run, relayRequest{shards: run.cluster.Shards, attempts: attempts, hedge: true, detour: true}) {
		x.clusters = append(x.clusters, run)
		return
	}
	x.detourEnded(now, run.cluster.Shards)
}

// canDetour takes a shard from the leafs if it may be sent to another node, and returns how
// many attempts are left for it; 0 means that there is no bound.
func (x *exchange) canDetour(now time.Time, shard int) (attempts int, ok bool) {
	run := &x.shards[shard]
	if run.budget == nil || run.detoured || x.query.IsSettled(shard) || x.isDelayed(shard) || len(x.f.reached(x.view.Replicas[shard])) > 0 {
		return 0, false
	}
	waiting := 0
	for x.withdraw(now, shard) != nil {
		waiting++
	}
	sent := run.machine.Sent() - waiting
	limit := x.req.route.MaxAttempts
	switch {
	case sent == 0:
	case !x.req.route.Idempotent, limit > 0 && sent >= limit, !run.budget.Spend():
		for range waiting {
			x.handleResult(now, shard, subrequest.Unsent)
		}
		return 0, false
	}
	run.detoured = true
	run.timerAt = time.Time{}
	if limit == 0 {
		return 0, true
	}
	return limit - sent, true
}

func (x *exchange) isDelayed(shard int) bool {
	return slices.ContainsFunc(x.delayed, func(d delayedAttempt) bool { return d.shard == shard })
}

// detourEnded fails the shards that another node has not answered, unless an attempt of this
// node is still pending.
func (x *exchange) detourEnded(now time.Time, shards []int) {
	for _, shard := range shards {
		if x.shards[shard].detoured && !x.hasPending(shard) {
			x.failShard(now, shard, query.ReasonNoReplica)
		}
	}
}

func (x *exchange) hasPending(shard int) bool {
	for call := range x.pending {
		if call.Shard == shard {
			return true
		}
	}
	return false
}

// detouredResult handles the end of an attempt at a leaf for a shard that has gone to another
// node as well: a reply is used, and what else is sent is up to the other node.
func (x *exchange) detouredResult(now time.Time, shard int, result subrequest.Result) {
	if result == subrequest.OK {
		x.deliver(now, shard)
	}
}
