package forward

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/hedge"
	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
	"github.com/hickorydock/hickorydock/internal/protocol/route"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
	"github.com/hickorydock/hickorydock/internal/transport/peer"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
	"go.opentelemetry.io/otel/attribute"
	"google.golang.org/protobuf/proto"
)

// relayReplyReserve is the part of a query's time that is reserved for the transfer of a
// relay's replies.
const relayReplyReserve = 4 * time.Millisecond

// traceHeader is the trace context header of the W3C.
const traceHeader = "traceparent"

// Cluster is a set of shards whose leafs have the same relays.
type Cluster struct {
	// Shards are indexes into the shard list of the route.
	Shards []int
	// Preferred and Fallback are the nodes that relay to the leafs, with their
	// statistics. Preferred relays are tried first.
	Preferred, Fallback []shardmap.Replica
	// Direct is true when this node sends to the leafs itself.
	Direct bool
}

// Relays determines which nodes relay to which groups and sends batches to them.
type Relays interface {
	// Clusters partitions the shards of a route by their relays, or returns nil if this
	// node sends to all leafs itself. Callers must not modify the result.
	Clusters(r *route.Route) []Cluster
	// Others returns other nodes that reach leafs themselves, those in the availability zone
	// of this node first.
	Others() (near, far []shardmap.Replica)
	// Do sends a batch to a node; see peer.Client.Do.
	Do(ctx context.Context, node string, batch *contract.Batch, deliver func(peer.Result)) error
}

// clusterRun is the state of one cluster of a request.
type clusterRun struct {
	cluster Cluster
	cancel  context.CancelFunc
	// answered is true once a reply for any shard has arrived.
	answered bool
	// tries is the number of relays that the shards were sent to.
	tries int
	// hedgeAt is when the unanswered shards are sent to another relay; zero means never.
	hedgeAt time.Time
}

// relayRequest lists the shards that are sent to a relay, with the limits for them.
type relayRequest struct {
	shards []int
	// attempts is the maximum number of attempts of each shard.
	attempts int
	// hedge is true if another relay has the same shards and may still answer. Only the
	// other relay merges results, since two merged results that overlap cannot both be
	// used.
	hedge bool
	// detour is true if this node is isolated and reaches no leaf of the shards itself.
	detour bool
}

// relayEvent is the reply of one shard, or the end of a batch.
type relayEvent struct {
	cluster *clusterRun
	call    *relayCall
	// ended is true at the end of the batch; err then applies to the shards without a
	// reply.
	ended  bool
	err    error
	result peer.Result
}

// relayCall is one batch at one relay.
type relayCall struct {
	relayRequest
	node      shardmap.Replica
	startedAt time.Time
	once      sync.Once
	// notRun are the shards that the relay did not run.
	notRun []int
	// pending is the number of shards without a result.
	pending int
}

// recordResult records the result of the batch in the relay's statistics. Only the first
// call has an effect.
func (c *relayCall) recordResult(result leaf.Result) {
	c.once.Do(func() {
		now := time.Now()
		c.node.Record.End(now, now.Sub(c.startedAt), result)
	})
}

// relayResult returns what to record for a relay whose batch ended without a reply.
func relayResult(ctx context.Context, err error) leaf.Result {
	switch {
	case err == nil:
		return leaf.Errored // a batch with a reply has been recorded already
	case ctx.Err() != nil:
		return leaf.Cancelled
	default:
		return leaf.Errored
	}
}

// startAtRelays sends the shards to their relays, and directly to the leafs of clusters
// that this node relays to. It returns false if this node sends to all leafs itself.
func (x *exchange) startAtRelays(now time.Time) bool {
	if x.f.Relays == nil || x.req.relayed {
		return false
	}
	var clusters []Cluster
	if x.req.route.IsQuery() {
		clusters = x.f.Relays.Clusters(x.req.route)
	}
	if x.hasUnreached() {
		clusters = x.detours(clusters)
	}
	if clusters == nil {
		return false
	}
	x.makeRelayEvents(len(clusters))
	for _, c := range clusters {
		if !c.Direct && x.startCluster(now, c) {
			continue
		}
		for _, shard := range c.Shards {
			x.startShard(now, shard)
		}
	}
	return true
}

func (x *exchange) hasUnreached() bool {
	return slices.ContainsFunc(x.shards, func(run shardRun) bool { return run.unreached })
}

// makeRelayEvents makes the channel of the events of relays, unless there is one. It holds all
// that can come at a time from each cluster, which is at two relays at most, and from the
// shards that linksLost sends to other nodes, so that relays never wait for the exchange.
func (x *exchange) makeRelayEvents(clusters int) {
	if x.relayEvents == nil {
		x.relayEvents = make(chan relayEvent, 2*(len(x.shards)+clusters)+2*(len(x.shards)+1))
	}
}

// startCluster sends the shards of a cluster to one of its relays. It returns false if
// there is none.
func (x *exchange) startCluster(now time.Time, c Cluster) bool {
	run := &clusterRun{cluster: c, cancel: func() {}}
	shards := make([]int, 0, len(c.Shards))
	for _, shard := range c.Shards {
		if len(x.view.Replicas[shard]) > 0 && !x.query.IsSettled(shard) {
			shards = append(shards, shard)
		}
	}
	relayReq := relayRequest{shards: shards, attempts: x.req.route.MaxAttempts - x.reservedAttempts(), detour: x.shards[c.Shards[0]].unreached}
	if len(shards) == 0 || !x.sendToRelay(now, run, relayReq) {
		return len(shards) == 0
	}
	if x.reservedAttempts() > 0 {
		run.hedgeAt = now.Add(hedge.RelayDelay(x.req.target.Sub(now)))
	}
	x.clusters = append(x.clusters, run)
	return true
}

// reservedAttempts returns the number of attempts of a shard that are withheld from a
// relay, so that the shard can be sent to another relay: 1 if enough attempts remain for
// the first relay's own hedge, else 0.
func (x *exchange) reservedAttempts() int {
	if x.req.route.MaxAttempts > 2 && x.req.route.Idempotent {
		return 1
	}
	return 0
}

// sendToRelay sends a request to a relay of the cluster that was not tried. It returns
// false if there is none, or if a planned stop has ended the sending of attempts.
func (x *exchange) sendToRelay(now time.Time, run *clusterRun, relayReq relayRequest) bool {
	if x.f.sendsEnded.hasHappened() {
		return false
	}
	relay, ok := x.chooseRelay(now, run)
	if !ok {
		return false
	}
	message := x.relayMessage(now, relayReq)
	if !x.req.hold.Grow(relayedFactor * int64(proto.Size(message))) {
		return false
	}
	body, err := proto.Marshal(message)
	if err != nil {
		x.f.invariantViolated("encode", x.req, err)
		return false
	}
	traced, span := x.f.Tracer.Start(x.ctx, tracing.HopPeer, attribute.String("node", relay.VM.ID), attribute.Int("shards", len(relayReq.shards)))
	headers := http.Header{}
	x.f.Tracer.Inject(traced, headers)
	batch := &contract.Batch{RequestId: x.req.id, Body: body, Shards: make([]uint32, len(relayReq.shards)), Traceparent: headers.Get(traceHeader)}
	for k, shard := range relayReq.shards {
		batch.Shards[k] = uint32(k)
		x.shards[shard].lastTarget = relay.VM.ID
	}
	if !x.req.route.Idempotent {
		batch.Class = contract.Class_CLASS_COMMAND
	}
	ctx, cancel := context.WithDeadline(context.Background(), x.req.deadline)
	cancelPrevious := run.cancel
	run.cancel = func() { cancelPrevious(); cancel() }
	relay.Record.Begin(now)
	run.tries++
	x.relayBatches++
	x.pendingAtRelays += len(relayReq.shards)
	e := relayEvent{cluster: run, call: &relayCall{relayRequest: relayReq, node: relay, startedAt: now, pending: len(relayReq.shards)}}
	x.req.hold.Share()
	go func() {
		defer x.req.hold.Release()
		defer cancel()
		err := x.f.Relays.Do(ctx, relay.VM.ID, batch, func(r peer.Result) {
			if r.Status == contract.Status_STATUS_OK {
				e.call.recordResult(leaf.Answered)
			}
			reply := e
			reply.result = r
			x.relayEvents <- reply
		})
		e.call.recordResult(relayResult(ctx, err))
		span.End(err)
		end := e
		end.ended = true
		end.err = err
		x.relayEvents <- end
	}()
	return true
}

func (x *exchange) relayMessage(now time.Time, relayReq relayRequest) *contract.Passed {
	r := x.req.route
	m := &contract.Passed{
		Method:   x.message.Method,
		Head:     x.message.Head,
		Body:     x.message.Body,
		Route:    r.Name,
		Version:  x.req.version,
		Attempts: uint32(max(relayReq.attempts, 0)),
		Top:      uint32(max(r.MaxRecords, 0)),

		Merge:       !relayReq.hedge,
		Detour:      relayReq.detour,
		Fingerprint: uint64(x.req.fingerprint),
		TargetUs:    max((x.req.target.Sub(now) - relayReplyReserve).Microseconds(), 0),
	}
	if !r.IsQuery() {
		m.Single = &contract.Single{Group: x.shards[0].group}
		return m
	}
	for _, shard := range relayReq.shards {
		m.Groups = append(m.Groups, x.shards[shard].group)
	}
	return m
}

// hedgeCluster sends the shards to another relay if the first one has not answered. Each
// shard spends from the budget of its group, since its leafs receive a second arrival.
func (x *exchange) hedgeCluster(now time.Time, run *clusterRun) {
	if run.answered {
		return
	}
	var hedged []int
	for _, shard := range run.cluster.Shards {
		if !x.query.IsSettled(shard) && len(x.view.Replicas[shard]) > 0 && x.f.budget(x.shards[shard].group).Spend() {
			hedged = append(hedged, shard)
		}
	}
	if len(hedged) > 0 {
		x.sendToRelay(now, run, relayRequest{shards: hedged, attempts: x.reservedAttempts(), hedge: true})
	}
}
