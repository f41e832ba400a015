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

// passedEnded takes the reply of a shard, or the end of a batch.
func (x *exchange) passedEnded(now time.Time, e passedEvent) {
	if e.ended {
		x.atRelays -= e.relay.open
		x.bundleEnded(now, e)
		return
	}
	x.atRelays--
	e.relay.open--
	shard := e.relay.shards[e.result.Index]
	switch e.result.Status {
	case contract.Status_STATUS_OK:
		x.ran = true
		e.bundle.answered = true
		x.takeResult(now, e)
	case contract.Status_STATUS_NOT_RUN:
		x.notRun(now, e, shard)
	default:
		x.ran = true
		x.failPassed(now, e, shard, query.ReasonConnectionLost)
	}
}

// takeResult takes the parts of a result. One without a body has its records in
// another shard's.
func (x *exchange) takeResult(now time.Time, e passedEvent) {
	if len(e.result.Body) == 0 {
		return
	}
	parts, err := parseParts(e.relay.owner.VM.ID, e.result, len(e.relay.shards))
	if err != nil {
		x.f.broken("part", x.req, err)
		return
	}
	for i := range parts {
		parts[i].shard = e.relay.shards[parts[i].shard]
	}
	if len(parts) == 1 {
		x.take(now, parts[0].shard, parts[0].part)
		return
	}
	x.takeMerged(now, parts)
}

// notRun notes a shard that a relay ran nothing of, for want of a leaf. One that leafs
// refused fails: asking another relay would only add to their load.
func (x *exchange) notRun(now time.Time, e passedEvent, shard int) {
	if e.result.Reason != string(query.ReasonNoReplica) {
		x.failPassed(now, e, shard, query.ReasonShed)
		return
	}
	e.relay.notRun = append(e.relay.notRun, shard)
}

// failPassed fails a shard that a relay has used up the attempts of. A hedge leaves
// it to the relay that was asked first.
func (x *exchange) failPassed(now time.Time, e passedEvent, shard int, reason query.Reason) {
	if !e.relay.hedge && x.shards[shard].budget == nil {
		x.fail(now, shard, reason)
	}
}

// bundleEnded takes the end of a batch. What was not run goes to another relay; what
// may have run fails.
func (x *exchange) bundleEnded(now time.Time, e passedEvent) {
	switch {
	case e.err == nil:
		x.failUnusable(now, e)
	case peer.IsNotRun(e.err):
		x.logRelayFailed(e, true)
		e.relay.notRun = e.relay.shards
	default:
		x.ran = true
		x.logRelayFailed(e, false)
		for _, shard := range e.relay.shards {
			x.failPassed(now, e, shard, query.ReasonConnectionLost)
		}
	}
	x.askAgain(now, e)
}

func (x *exchange) logRelayFailed(e passedEvent, notRun bool) {
	fields := log.Fields{"request": x.req.id, "node": e.relay.owner.VM.ID, "shards": len(e.relay.shards), "not_run": notRun}
	x.f.log.WithFields(fields).WithError(e.err).Info("relay failed")
}

// failUnusable fails the shards whose results could not be used.
func (x *exchange) failUnusable(now time.Time, e passedEvent) {
	for _, shard := range e.relay.shards {
		if e.relay.hedge || x.shards[shard].budget != nil || x.query.IsSettled(shard) || slices.Contains(e.relay.notRun, shard) {
			continue
		}
		x.f.broken("part", x.req, fault.New(fault.StepPeer, e.relay.owner.VM.ID, "no records of shard %d", shard))
		x.fail(now, shard, query.ReasonBadReply)
	}
}

// askAgain asks another relay for the shards that one ran nothing of. When there is
// none, they are sent from this node, unless another relay may still answer.
func (x *exchange) askAgain(now time.Time, e passedEvent) {
	rest := e.relay.assignment
	rest.shards = slices.DeleteFunc(slices.Clone(e.relay.notRun), x.query.IsSettled)
	if len(rest.shards) == 0 || x.ask(now, e.bundle, rest) || rest.hedge {
		return
	}
	for _, shard := range rest.shards {
		if x.shards[shard].budget == nil {
			x.begin(now, shard)
		}
	}
}
