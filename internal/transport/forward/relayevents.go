package forward

import (
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/transport/peer"
)

// handleRelayEvent processes the reply of a shard, or the end of a batch.
func (x *exchange) handleRelayEvent(now time.Time, e relayEvent) {
	if e.ended {
		x.pendingAtRelays -= e.call.pending
		x.relayBatchEnded(now, e)
		return
	}
	x.pendingAtRelays--
	e.call.pending--
	shard := e.call.shards[e.result.Index]
	switch e.result.Status {
	case contract.Status_STATUS_OK:
		x.mayHaveRun = true
		e.cluster.answered = true
		x.f.Links.ServedByPeer()
		switch {
		case !x.holdResult(e):
			x.failRelayed(now, e, shard, query.ReasonLimit)
		case x.req.route.IsQuery():
			x.addRelayResult(now, e)
		default:
			x.addAnswer(now, e)
		}
	case contract.Status_STATUS_NOT_RUN:
		x.shardNotRun(now, e, shard)
	default:
		x.mayHaveRun = true
		x.failRelayed(now, e, shard, query.ReasonConnectionLost)
	}
}

// addRelayResult adds the parts of a result. The records of a result without a body are
// in the merged result of another shard.
func (x *exchange) addRelayResult(now time.Time, e relayEvent) {
	if len(e.result.Body) == 0 {
		return
	}
	parts, err := parseParts(e.call.node.VM.ID, e.result, len(e.call.shards))
	if err != nil {
		x.f.invariantViolated("part", x.req, err)
		return
	}
	for i := range parts {
		parts[i].shard = e.call.shards[parts[i].shard]
	}
	if len(parts) == 1 {
		x.addReply(now, parts[0].shard, parts[0].part)
		return
	}
	x.addMerged(now, parts)
}

// shardNotRun records a shard that a relay did not run for lack of a leaf. A shard that
// leafs rejected fails: another relay would only add to their load.
func (x *exchange) shardNotRun(now time.Time, e relayEvent, shard int) {
	if e.result.Reason != string(query.ReasonNoReplica) {
		x.failRelayed(now, e, shard, query.ReasonShed)
		return
	}
	e.call.notRun = append(e.call.notRun, shard)
}

// failRelayed fails a shard for which a relay has used all attempts. After a hedge, the
// first relay decides.
func (x *exchange) failRelayed(now time.Time, e relayEvent, shard int, reason query.Reason) {
	if !e.call.hedge && x.shards[shard].budget == nil {
		x.failShard(now, shard, reason)
	}
}

// relayBatchEnded processes the end of a batch. Shards that did not run are sent to
// another relay; shards that may have run fail.
func (x *exchange) relayBatchEnded(now time.Time, e relayEvent) {
	switch {
	case e.err == nil:
		x.failUnusable(now, e)
	case peer.IsNotRun(e.err):
		x.logRelayFailed(e, true)
		e.call.notRun = e.call.shards
	default:
		x.mayHaveRun = true
		x.logRelayFailed(e, false)
		for _, shard := range e.call.shards {
			x.failRelayed(now, e, shard, query.ReasonConnectionLost)
		}
	}
	x.retryAtRelay(now, e)
}

func (x *exchange) logRelayFailed(e relayEvent, notRun bool) {
	fields := log.Fields{"request": x.req.id, "node": e.call.node.VM.ID, "shards": len(e.call.shards), "not_run": notRun}
	x.f.log.WithFields(fields).WithError(e.err).Info("relay failed")
}

// failUnusable fails the shards without a usable result.
func (x *exchange) failUnusable(now time.Time, e relayEvent) {
	for _, shard := range e.call.shards {
		if e.call.hedge || x.shards[shard].budget != nil || x.query.IsSettled(shard) || slices.Contains(e.call.notRun, shard) {
			continue
		}
		x.f.invariantViolated("part", x.req, fault.New(fault.StepPeer, e.call.node.VM.ID, "no records of shard %d", shard))
		x.failShard(now, shard, query.ReasonBadReply)
	}
}

// retryAtRelay sends the shards that a relay did not run to another relay. If there is
// none, this node sends them to the leafs, unless another relay may still answer.
func (x *exchange) retryAtRelay(now time.Time, e relayEvent) {
	retry := e.call.relayRequest
	retry.shards = slices.DeleteFunc(slices.Clone(e.call.notRun), x.query.IsSettled)
	if len(retry.shards) > 0 && x.sendToRelay(now, e.cluster, retry) {
		return
	}
	if retry.hedge {
		x.detourEnded(now, e.call.shards)
		return
	}
	for _, shard := range retry.shards {
		if x.shards[shard].budget == nil {
			x.startShard(now, shard)
		}
	}
}
