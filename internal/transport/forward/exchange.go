package forward

import (
	"context"
	"slices"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/budget"
	"github.com/hickorydock/hickorydock/internal/coordination/gather"
	"github.com/hickorydock/hickorydock/internal/coordination/hedge"
	"github.com/hickorydock/hickorydock/internal/coordination/latency"
	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
	"github.com/hickorydock/hickorydock/internal/transport/leafwire"
)

// part is the reply of one shard.
type part struct {
	receipt string
	records []byte
	// merged holds the records instead if they were merged with those of other shards.
	merged *mergedResult
	// answer is the reply of the leaf; nil if only its records came from a relay.
	answer *leafwire.Reply
}

// shardRun is the state of one shard of a request.
type shardRun struct {
	group   string
	machine subrequest.Machine
	// budget is the budget of the group; nil until this node itself sends the shard to a
	// leaf.
	budget *budget.Budget
	// timerAt is when the timer of the shard fires; zero means never.
	timerAt time.Time
	// lastReply is the last reply of a leaf, which a relay may have received, and lastLeaf the
	// leaf's ID.
	lastReply *leafwire.Reply
	lastLeaf  string
	// unreached is true if the group has leafs in service, but this node reaches none of them.
	unreached bool
	// detoured is true once the shard has gone to another node while attempts of this node
	// were pending.
	detoured bool
	// lastTarget is the node or leaf to which the shard was sent last.
	lastTarget string
}

// exchange is one request in progress. It is used by one goroutine only.
type exchange struct {
	f *Forwarder
	// ctx carries the trace context of the request.
	ctx     context.Context
	req     *request
	message *leafwire.Message
	window  *latency.Window
	// hedgeDelay is the delay before a second attempt of a shard.
	hedgeDelay time.Duration
	view       *shardmap.SnapshotView
	query      *gather.Query[part]
	shards     []shardRun
	done       chan *leafwire.Call
	pending    map[*leafwire.Call]struct{}
	// clusters are the clusters whose shards were sent to relays.
	clusters    []*clusterRun
	relayEvents chan relayEvent
	// pendingAtRelays is the number of shards that a relay may still run.
	pendingAtRelays int
	// mayHaveRun is true once a leaf may have run the request.
	mayHaveRun bool
	// sendCounts is the number of attempts at leafs by kind, relayBatches the number of
	// batches sent to relays.
	sendCounts   [attemptKinds]int
	relayBatches int
	// delayed are the attempts that the quarantine delays.
	delayed []delayedAttempt
	// loopDeadline is the time at which the current loop ends; zero means the response
	// time of the query.
	loopDeadline time.Time
	// onReply is called with each reply if it is set.
	onReply func(shard int, reply part)
}

func newExchange(f *Forwarder, req *request) *exchange {
	x := &exchange{f: f, ctx: context.Background(), req: req, window: f.window(req.route.Name)}
	groups := req.route.Shards
	if !req.route.IsQuery() {
		groups = []string{f.chooseGroup(req.route)}
	}
	x.view = &shardmap.SnapshotView{
		Snapshot: query.Snapshot{Generation: req.version},
		Replicas: make([][]shardmap.Replica, len(groups)),
	}
	x.shards = make([]shardRun, len(groups))
	maxSends := 0
	for i, group := range groups {
		replicas := f.groups.Replicas(group)
		if f.Links.Isolated() {
			reached := f.reached(replicas)
			x.shards[i].unreached = !slices.ContainsFunc(reached, isInService) && slices.ContainsFunc(replicas, isInService)
			if !x.shards[i].unreached {
				replicas = reached
			}
		}
		x.view.Replicas[i] = replicas
		if len(replicas) > 0 {
			x.view.Covered++
		}
		x.shards[i].group = group
		maxSends += x.maxAttempts(len(replicas))
	}
	x.done = make(chan *leafwire.Call, maxSends)
	x.pending = make(map[*leafwire.Call]struct{}, len(groups))
	return x
}

// maxAttempts returns the maximum number of attempts of a shard.
func (x *exchange) maxAttempts(replicas int) int {
	limit := replicas + subrequest.MaxHedges
	if x.req.route.MaxAttempts > 0 {
		limit = min(limit, x.req.route.MaxAttempts)
	}
	return limit
}

func (x *exchange) minCoverage() float64 {
	if x.req.route.IsQuery() {
		return x.req.route.MinCoverage
	}
	return 1
}

// start sends the first attempts. It returns false if too few shards have a leaf to
// reach the minimum coverage.
func (x *exchange) start(now time.Time) bool {
	cfg := gather.Config{
		Policy:       note.PolicyCoverage,
		MinCoverage:  x.minCoverage(),
		ArrivedAt:    x.req.arrived,
		Deadline:     x.req.deadline,
		SoftDeadline: x.req.target,
	}
	x.query = gather.New[part](cfg, x.view)
	x.hedgeDelay = hedge.Delay(x.window.Quantile(), x.req.target.Sub(now))
	if x.query.CannotReachMinCoverage() {
		return false
	}
	if x.message == nil {
		x.message = x.f.encodeMessage(x.req)
	}
	x.advanceLimits(now)
	x.failShardsWithout(now, isInService)
	if x.query.CannotReachMinCoverage() {
		return false
	}
	if x.startAtRelays(now) {
		return true
	}
	x.failUnreachedShards(now)
	x.failShardsWithout(now, isUsable)
	if x.query.CannotReachMinCoverage() {
		return false
	}
	for shard := range x.shards {
		x.startShard(now, shard)
	}
	return true
}

// failShardsWithout fails the shards of which no leaf satisfies a condition, so that a request
// that cannot be served is refused before anything is sent.
func (x *exchange) failShardsWithout(now time.Time, condition func(shardmap.Replica) bool) {
	for shard, replicas := range x.view.Replicas {
		if len(replicas) > 0 && !slices.ContainsFunc(replicas, condition) {
			x.failShard(now, shard, query.ReasonNoReplica)
		}
	}
}

// failUnreachedShards fails the shards that only other nodes reach.
func (x *exchange) failUnreachedShards(now time.Time) {
	for shard := range x.shards {
		if x.shards[shard].unreached {
			x.failShard(now, shard, query.ReasonNoReplica)
		}
	}
}

// isUsable reports whether this node may send to a leaf now.
func isUsable(r shardmap.Replica) bool {
	stats := r.Record.Stats()
	return stats.IsUsable()
}

// isInService reports whether any node may send to a leaf, now or soon.
func isInService(r shardmap.Replica) bool {
	stats := r.Record.Stats()
	return !stats.IsWithdrawn()
}

// run processes the request until its response can be sent. It returns false if the
// caller disconnected.
func (x *exchange) run(ctx context.Context) bool {
	if !x.start(time.Now()) {
		return true
	}
	return x.loop(ctx, x.canRespond)
}

// loop processes events until isDone returns true or a planned stop ends all requests. It
// returns false if ctx ended before.
func (x *exchange) loop(ctx context.Context, isDone func(now time.Time) bool) bool {
	timer := time.NewTimer(time.Until(x.nextWake()))
	defer timer.Stop()
	lost := x.f.Links.Lost()
	sendsEnded, requestsEnded := x.f.sendsEnded.channel(), x.f.requestsEnded.channel()
	for !isDone(time.Now()) {
		select {
		case <-ctx.Done():
			return false
		case call := <-x.done:
			x.attemptEnded(time.Now(), call)
			x.drainEvents()
		case e := <-x.relayEvents:
			x.handleRelayEvent(time.Now(), e)
			x.drainEvents()
		case now := <-timer.C:
			x.fireTimers(now)
		case <-lost:
			lost = nil
			x.linksLost(time.Now())
		case <-sendsEnded:
			sendsEnded = nil
			x.withdrawWaiting(time.Now())
		case <-requestsEnded:
			return true
		}
		timer.Reset(time.Until(x.nextWake()))
	}
	return true
}

// drainEvents processes the events that have already arrived.
func (x *exchange) drainEvents() {
	for {
		select {
		case call := <-x.done:
			x.attemptEnded(time.Now(), call)
		case e := <-x.relayEvents:
			x.handleRelayEvent(time.Now(), e)
		default:
			return
		}
	}
}

// canRespond reports whether the response can be sent: it is complete, the minimum
// coverage is out of reach, or the response time has come.
func (x *exchange) canRespond(now time.Time) bool {
	return x.query.Progress() == gather.Complete || x.query.CannotReachMinCoverage() || !now.Before(x.query.RespondAt())
}

// nextWake returns the time of the next timer.
func (x *exchange) nextWake() time.Time {
	at := x.query.RespondAt()
	if !x.loopDeadline.IsZero() {
		at = x.loopDeadline
	}
	for i := range x.shards {
		if due := x.shards[i].timerAt; !due.IsZero() && due.Before(at) {
			at = due
		}
	}
	for _, c := range x.clusters {
		if !c.hedgeAt.IsZero() && c.hedgeAt.Before(at) {
			at = c.hedgeAt
		}
	}
	for _, d := range x.delayed {
		if d.sendAt.Before(at) {
			at = d.sendAt
		}
	}
	return at
}
