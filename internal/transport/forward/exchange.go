package forward

import (
	"context"
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
	// merged holds the records instead when they came with those of other shards.
	merged *merged
	// call is the attempt that got it; nil when it came through another node.
	call *leafwire.Call
}

// shardRun is the state of one shard of a request.
type shardRun struct {
	group   string
	machine subrequest.Machine
	budget  *budget.Budget
	// due is when the machine wants to be asked; zero means never.
	due  time.Time
	last *leafwire.Call
	// asked is the node or leaf that was asked last.
	asked string
}

// exchange is one request in progress. It belongs to one goroutine.
type exchange struct {
	f *Forwarder
	// ctx carries the trace of the request.
	ctx     context.Context
	req     *request
	message *leafwire.Message
	window  *latency.Window
	// hedgeDelay is the wait before a second attempt of a shard.
	hedgeDelay time.Duration
	view       *shardmap.SnapshotView
	query      *gather.Query[part]
	shards     []shardRun
	done       chan *leafwire.Call
	pending    map[*leafwire.Call]struct{}
	// bundles are the shards that other nodes were asked for.
	bundles []*bundle
	passed  chan passedEvent
	// atRelays counts the shards at relays that may still run them.
	atRelays int
	// ran is true once a leaf may have run the request.
	ran bool
	// sends counts the attempts at leafs, by kind, and batches those at relays.
	sends   [kinds]int
	batches int
	// held are the attempts that the quarantine holds back.
	held []heldSend
	// alarm is a time at which the loop has to wake; zero means none.
	alarm time.Time
	// replied is told of each reply, once set.
	replied func(shard int, reply part)
}

func newExchange(f *Forwarder, req *request) *exchange {
	x := &exchange{f: f, ctx: context.Background(), req: req, window: f.window(req.route.Name)}
	groups := req.route.Shards
	if !req.route.IsQuery() {
		groups = []string{f.splitGroup(req.route)}
	}
	x.view = &shardmap.SnapshotView{
		Snapshot: query.Snapshot{Generation: req.version},
		Replicas: make([][]shardmap.Replica, len(groups)),
	}
	x.shards = make([]shardRun, len(groups))
	most := 0
	for i, group := range groups {
		replicas := f.groups.Replicas(group)
		x.view.Replicas[i] = replicas
		if len(replicas) > 0 {
			x.view.Covered++
		}
		x.shards[i].group = group
		most += x.attemptsOf(len(replicas))
	}
	x.done = make(chan *leafwire.Call, most)
	x.pending = make(map[*leafwire.Call]struct{}, len(groups))
	return x
}

// attemptsOf bounds the attempts of a shard.
func (x *exchange) attemptsOf(replicas int) int {
	most := replicas + subrequest.MaxHedges
	if x.req.route.MaxAttempts > 0 {
		most = min(most, x.req.route.MaxAttempts)
	}
	return most
}

func (x *exchange) minCoverage() float64 {
	if x.req.route.IsQuery() {
		return x.req.route.MinCoverage
	}
	return 1
}

// start sends the first attempts. It reports false when too few shards have a leaf.
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
		x.message = x.f.message(x.req)
	}
	if !x.pass(now) {
		for shard := range x.shards {
			x.begin(now, shard)
		}
	}
	return true
}

// run drives the request until its answer can leave. It returns false when the
// caller left.
func (x *exchange) run(ctx context.Context) bool {
	if !x.start(time.Now()) {
		return true
	}
	return x.loop(ctx, x.isOver)
}

// loop takes events until the request is over. It returns false when ctx ended
// before.
func (x *exchange) loop(ctx context.Context, isOver func(now time.Time) bool) bool {
	timer := time.NewTimer(time.Until(x.wakeAt()))
	defer timer.Stop()
	for !isOver(time.Now()) {
		select {
		case <-ctx.Done():
			return false
		case call := <-x.done:
			x.ended(time.Now(), call)
			x.drain()
		case e := <-x.passed:
			x.passedEnded(time.Now(), e)
			x.drain()
		case now := <-timer.C:
			x.due(now)
		}
		timer.Reset(time.Until(x.wakeAt()))
	}
	return true
}

// drain takes the ends that are there already.
func (x *exchange) drain() {
	for {
		select {
		case call := <-x.done:
			x.ended(time.Now(), call)
		case e := <-x.passed:
			x.passedEnded(time.Now(), e)
		default:
			return
		}
	}
}

func (x *exchange) isOver(now time.Time) bool {
	return x.query.Progress() == gather.Complete || x.query.CannotReachMinCoverage() || !now.Before(x.query.RespondAt())
}

// wakeAt is when the next decision is due.
func (x *exchange) wakeAt() time.Time {
	at := x.query.RespondAt()
	if !x.alarm.IsZero() {
		at = x.alarm
	}
	for i := range x.shards {
		if due := x.shards[i].due; !due.IsZero() && due.Before(at) {
			at = due
		}
	}
	for _, b := range x.bundles {
		if !b.hedgeAt.IsZero() && b.hedgeAt.Before(at) {
			at = b.hedgeAt
		}
	}
	for _, h := range x.held {
		if h.at.Before(at) {
			at = h.at
		}
	}
	return at
}
