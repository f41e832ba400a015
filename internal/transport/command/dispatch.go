package command

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/attribute"

	"github.com/hickorydock/hickorydock/internal/coordination/drain"
	"github.com/hickorydock/hickorydock/internal/coordination/replica"
	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	contract "github.com/hickorydock/hickorydock/internal/protocol/upstream"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
	"github.com/hickorydock/hickorydock/internal/transport/upstream"
)

// LeafDispatcher sends commands to leafs over the upstream client. It is safe
// for concurrent use.
type LeafDispatcher struct {
	client *upstream.Client
	store  *shardmap.Store
	zone   string
	tracer *tracing.Tracer
}

// NewLeafDispatcher returns a dispatcher of a node in an availability zone.
func NewLeafDispatcher(client *upstream.Client, store *shardmap.Store, availabilityZone string, tracer *tracing.Tracer) *LeafDispatcher {
	return &LeafDispatcher{client: client, store: store, zone: availabilityZone, tracer: tracer}
}

// Target returns the shard of a key in the newest snapshot that has every shard,
// or else in the one that covers the most.
func (d *LeafDispatcher) Target(service note.Service, shardKey string) (command.Target, error) {
	view := d.store.View(service.UpstreamGroup, service.Name)
	if view == nil {
		return command.Target{}, fault.New(fault.StepPlan, "", "no shard map of service %q is known", service.Name)
	}
	var best *shardmap.SnapshotView
	for _, v := range view.Snapshots {
		if best == nil || coverage(v) > coverage(best) {
			best = v
		}
	}
	if best == nil || best.ShardCount() == 0 {
		return command.Target{}, fault.New(fault.StepPlan, "", "no shard of service %q is known", service.Name)
	}
	count := best.ShardCount()
	return command.Target{
		Generation: best.Snapshot.Generation,
		ShardCount: count,
		Shard:      int(xxhash.Sum64String(shardKey) % uint64(count)),
	}, nil
}

// coverage returns the fraction of the shards that a leaf holds.
func coverage(v *shardmap.SnapshotView) float64 {
	return float64(v.Covered) / float64(max(1, v.ShardCount()))
}

// Dispatch sends an attempt to a leaf that holds the target's shard in the
// newest index version of its generation.
func (d *LeafDispatcher) Dispatch(ctx context.Context, a Attempt) command.DispatchResult {
	chosen, snapshot, ok := d.choose(a)
	if !ok {
		return command.DispatchResult{
			Kind: command.DispatchNotSent,
			Err:  fault.New(fault.StepPlan, "", "no leaf left for shard %d of generation %d", a.Target.Shard, a.Target.Generation),
		}
	}
	body, err := json.Marshal(contract.RunRequest{Query: a.Query})
	if err != nil {
		return command.DispatchResult{Kind: command.DispatchNotSent, Err: fmt.Errorf("encode command: %w", err)}
	}
	return d.send(ctx, a, chosen, snapshot, body)
}

// choose picks a replica that no earlier attempt was sent to.
func (d *LeafDispatcher) choose(a Attempt) (shardmap.Replica, query.Snapshot, bool) {
	view := d.store.View(a.Service.UpstreamGroup, a.Service.Name)
	if view == nil {
		return shardmap.Replica{}, query.Snapshot{}, false
	}
	for _, v := range view.Snapshots {
		if v.Snapshot.Generation != a.Target.Generation || v.ShardCount() != a.Target.ShardCount {
			continue
		}
		replicas := v.Replicas[a.Target.Shard]
		tried := replica.Set(0)
		for i, r := range replicas {
			if slices.Contains(a.Tried, r.VM.ID) {
				tried = tried.With(i)
			}
		}
		if i := replica.Choose(time.Now(), replicas, tried, d.zone, rand.Uint64()); i != replica.None {
			return replicas[i], v.Snapshot, true
		}
	}
	return shardmap.Replica{}, query.Snapshot{}, false
}

func (d *LeafDispatcher) send(ctx context.Context, a Attempt, chosen shardmap.Replica, snapshot query.Snapshot, body []byte) command.DispatchResult {
	sub := contract.Subrequest{
		RequestID: a.RequestID,
		Attempt:   a.Number,
		Service:   a.Service.Name,
		Shard:     a.Target.Shard,
		Snapshot:  snapshot,
		Class:     contract.ClassCommand,
	}
	startedAt := time.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = startedAt.Add(a.Service.LongestWait())
	}
	ctx, span := d.tracer.Start(ctx, tracing.HopAttempt, attribute.String("leaf", chosen.VM.ID), attribute.Int("shard", sub.Shard))
	chosen.Record.Begin(startedAt)
	reply := d.client.Run(ctx, chosen.VM, sub, deadline.Sub(startedAt), body)
	span.End(reply.Err)
	now := time.Now()
	chosen.Record.End(now, now.Sub(startedAt), reply.LeafResult(ctx))
	if reply.Result == subrequest.OK || reply.Result == subrequest.NotRun {
		chosen.Record.UpdateDrain(func(old leaf.DrainState) leaf.DrainState {
			return drain.OnReply(old, reply.Draining, startedAt, now)
		})
	}
	if reply.Result == subrequest.SnapshotUnavailable {
		d.store.Deny(chosen.VM, a.Service.Name, snapshot, now)
	}
	return command.DispatchResult{
		Kind:     dispatchKind(reply),
		Leaf:     chosen.VM.ID,
		Snapshot: snapshot,
		Items:    reply.Items,
		Err:      reply.Err,
	}
}

// dispatchKind classifies a reply by whether the leaf ran the command, certainly did
// not run it, or may have run it.
func dispatchKind(reply upstream.Reply) command.DispatchKind {
	switch {
	case reply.Result == subrequest.OK:
		return command.DispatchReplied
	case reply.Result == subrequest.NotRun, reply.Result == subrequest.SnapshotUnavailable:
		return command.DispatchNotRun
	case reply.Result == subrequest.ConnectionLost && !reply.Sent:
		return command.DispatchNotSent
	default:
		return command.DispatchLost
	}
}
