package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"google.golang.org/protobuf/proto"

	"github.com/hickorydock/hickorydock/internal/coordination/hedge"
	"github.com/hickorydock/hickorydock/internal/coordination/replica"
	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
	"github.com/hickorydock/hickorydock/internal/protocol/route"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
	"github.com/hickorydock/hickorydock/internal/transport/peer"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
)

// hopReserve is kept of a query's time for the way of a relay's replies.
const hopReserve = 4 * time.Millisecond

// traceHeader is the W3C header of a trace context.
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

// Relays knows which nodes relay to which groups, and reaches them.
type Relays interface {
	// Clusters divides the shards of a route by their relays, or returns nil when
	// this node is to send to all leafs itself. Callers must not change the result.
	Clusters(r *route.Route) []Cluster
	// Do sends a batch to a node; see peer.Client.Do.
	Do(ctx context.Context, node string, batch *contract.Batch, deliver func(peer.Result)) error
}

// bundle is the shards of a request that go to one relay.
type bundle struct {
	cluster Cluster
	cancel  context.CancelFunc
	// answered is true once a reply of any shard came.
	answered bool
	// hedgeAt is when another relay is asked; zero means never.
	hedgeAt time.Time
}

// assignment is what a relay is asked for.
type assignment struct {
	shards []int
	// attempts bounds the attempts of each shard.
	attempts int
	// hedge is true beside another relay that may still answer. Only the other one
	// sends merged results, since two that overlap could not both be used.
	hedge bool
}

// passedEvent is the reply of one shard, or the end of a batch.
type passedEvent struct {
	bundle *bundle
	relay  *relayCall
	// ended is true at the end of the batch; err then says what became of shards
	// without a reply.
	ended  bool
	err    error
	result peer.Result
}

// relayCall is one batch at one relay.
type relayCall struct {
	assignment
	owner shardmap.Replica
	began time.Time
	once  sync.Once
	// notRun are the shards that the relay ran nothing of.
	notRun []int
	// open is the number of shards without a result.
	open int
}

// finish records once what the batch says about its relay.
func (c *relayCall) finish(result leaf.Result) {
	c.once.Do(func() {
		now := time.Now()
		c.owner.Record.End(now, now.Sub(c.began), result)
	})
}

// relayResult says what the end of a batch without a reply tells about its relay.
func relayResult(ctx context.Context, err error) leaf.Result {
	switch {
	case err == nil:
		return leaf.Errored // a batch with a reply was recorded before
	case ctx.Err() != nil:
		return leaf.Cancelled
	default:
		return leaf.Errored
	}
}

// pass hands the shards to their relays and sends to those of its own. It reports
// false when the request goes to all leafs from here.
func (x *exchange) pass(now time.Time) bool {
	if x.f.Relays == nil || !x.req.route.IsQuery() || x.req.relayed {
		return false
	}
	clusters := x.f.Relays.Clusters(x.req.route)
	if clusters == nil {
		return false
	}
	x.passed = make(chan passedEvent, 2*(len(x.shards)+len(clusters)))
	for _, c := range clusters {
		if !c.Direct && x.passBundle(now, c) {
			continue
		}
		for _, shard := range c.Shards {
			x.begin(now, shard)
		}
	}
	return true
}

// passBundle asks one relay of a cluster. It reports false when there is none.
func (x *exchange) passBundle(now time.Time, c Cluster) bool {
	b := &bundle{cluster: c, cancel: func() {}}
	shards := make([]int, 0, len(c.Shards))
	for _, shard := range c.Shards {
		if len(x.view.Replicas[shard]) > 0 {
			shards = append(shards, shard)
		}
	}
	if len(shards) == 0 || !x.ask(now, b, assignment{shards: shards, attempts: x.req.route.MaxAttempts - x.spareAttempts()}) {
		return len(shards) == 0
	}
	if x.spareAttempts() > 0 {
		b.hedgeAt = now.Add(hedge.RelayDelay(x.req.target.Sub(now)))
	}
	x.bundles = append(x.bundles, b)
	return true
}

// spareAttempts is the number of attempts of a shard that a relay is not given, so
// that another one can be asked: 1 where it keeps one for its own hedge, else 0.
func (x *exchange) spareAttempts() int {
	if x.req.route.MaxAttempts > 2 {
		return 1
	}
	return 0
}

// ask hands an assignment to a relay of the bundle that was not tried. It reports
// false when there is none.
func (x *exchange) ask(now time.Time, b *bundle, a assignment) bool {
	owner, ok := x.chooseRelay(now, b)
	if !ok {
		return false
	}
	body, err := proto.Marshal(x.passedMessage(now, a))
	if err != nil {
		x.f.broken("encode", x.req, err)
		return false
	}
	traced, span := x.f.Tracer.Start(x.ctx, tracing.HopPeer, attribute.String("node", owner.VM.ID), attribute.Int("shards", len(a.shards)))
	headers := http.Header{}
	x.f.Tracer.Inject(traced, headers)
	batch := &contract.Batch{RequestId: x.req.id, Body: body, Shards: make([]uint32, len(a.shards)), Traceparent: headers.Get(traceHeader)}
	for k, shard := range a.shards {
		batch.Shards[k] = uint32(k)
		x.shards[shard].asked = owner.VM.ID
	}
	ctx, cancel := context.WithDeadline(context.Background(), x.req.deadline)
	before := b.cancel
	b.cancel = func() { before(); cancel() }
	owner.Record.Begin(now)
	x.batches++
	x.atRelays += len(a.shards)
	e := passedEvent{bundle: b, relay: &relayCall{assignment: a, owner: owner, began: now, open: len(a.shards)}}
	go func() {
		defer cancel()
		err := x.f.Relays.Do(ctx, owner.VM.ID, batch, func(r peer.Result) {
			if r.Status == contract.Status_STATUS_OK {
				e.relay.finish(leaf.Answered)
			}
			one := e
			one.result = r
			x.passed <- one
		})
		e.relay.finish(relayResult(ctx, err))
		span.End(err)
		last := e
		last.ended = true
		last.err = err
		x.passed <- last
	}()
	return true
}

// silentFor is how long a relay without a reply to its last batch is passed over.
const silentFor = 2 * time.Second

// chooseRelay takes a relay of the bundle that was not tried: a near one first, but
// one that is silent last.
func (x *exchange) chooseRelay(now time.Time, b *bundle) (shardmap.Replica, bool) {
	for _, avoid := range []func(time.Time, []shardmap.Replica) replica.Set{silentRelays, none} {
		for _, owners := range []*[]shardmap.Replica{&b.cluster.Preferred, &b.cluster.Fallback} {
			i := replica.Choose(now, *owners, avoid(now, *owners), x.f.cfg.AvailabilityZone, rand.Uint64())
			if i == replica.None {
				continue
			}
			owner := (*owners)[i]
			*owners = slices.Delete(slices.Clone(*owners), i, i+1)
			return owner, true
		}
	}
	return shardmap.Replica{}, false
}

// silentRelays returns the relays that lately answered nothing to a batch.
func silentRelays(now time.Time, owners []shardmap.Replica) replica.Set {
	var set replica.Set
	for i, owner := range owners {
		stats := owner.Record.Stats()
		if stats.Unanswered+stats.Failures > 0 && now.Sub(stats.LastSend) < silentFor {
			set = set.With(i)
		}
	}
	return set
}

func none(time.Time, []shardmap.Replica) replica.Set { return 0 }

func (x *exchange) passedMessage(now time.Time, a assignment) *contract.Passed {
	r := x.req.route
	m := &contract.Passed{
		Method:   x.message.Method,
		Head:     x.message.Head,
		Body:     x.message.Body,
		Groups:   make([]string, len(a.shards)),
		Route:    r.Name,
		Version:  x.req.version,
		Attempts: uint32(max(a.attempts, 0)),
		Top:      uint32(max(r.MaxRecords, 0)),

		Merge:       !a.hedge,
		Fingerprint: uint64(x.req.mark),
		TargetUs:    max((x.req.target.Sub(now) - hopReserve).Microseconds(), 0),
	}
	for k, shard := range a.shards {
		m.Groups[k] = x.shards[shard].group
	}
	return m
}

// hedgeBundle asks another relay for what the first one has not answered. Each
// shard is paid for, since its leafs get a second arrival.
func (x *exchange) hedgeBundle(now time.Time, b *bundle) {
	if b.answered {
		return
	}
	var paid []int
	for _, shard := range b.cluster.Shards {
		if !x.query.IsSettled(shard) && len(x.view.Replicas[shard]) > 0 && x.f.budget(x.shards[shard].group).Spend() {
			paid = append(paid, shard)
		}
	}
	if len(paid) > 0 {
		x.ask(now, b, assignment{shards: paid, attempts: x.spareAttempts(), hedge: true})
	}
}
