package relay

import (
	"github.com/hickorydock/hickorydock/internal/coordination/quarantine"
	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
	"github.com/hickorydock/hickorydock/internal/transport/upstream"
)

// trackedAttempt describes an attempt to the quarantine.
func (u *run) trackedAttempt(attempt subrequest.Attempt, target shardmap.Replica) quarantine.Attempt {
	return quarantine.Attempt{
		Fingerprint: u.task.Fingerprint,
		Shard:       u.task.Shard,
		Leaf:        target.VM.ID,
		Hedge:       attempt.Kind == subrequest.Hedge,
		Canary:      u.task.Canary,
	}
}

// enterGuard waits until the quarantine allows the attempt. It returns the end
// of an attempt that must not be sent, else nil.
func (u *run) enterGuard(tracked *quarantine.Attempt, target shardmap.Replica) *attemptEnd {
	decision, err := u.relay.guard.Enter(u.ctx, tracked)
	switch {
	case err != nil:
		return unsent(subrequest.ConnectionLost, fault.Wrap(err, fault.StepAdmit, target.VM.ID, "wait for the trial of a suspect"))
	case decision == quarantine.Refuse:
		refused := unsent(subrequest.NotRun, fault.New(fault.StepAdmit, target.VM.ID, "request is in quarantine"))
		refused.quarantined = true
		return refused
	case decision == quarantine.Hold:
		return unsent(subrequest.NotRun, fault.New(fault.StepAdmit, target.VM.ID, "no hedge of an unproven request"))
	}
	return nil
}

// outcomeOf returns the outcome of an attempt for the quarantine. An error of the leaf is
// no evidence: it may have failed before it ran the request. Nor is a connection on which
// nothing came back: a crash closes it.
func outcomeOf(reply upstream.Reply, result leaf.Result) quarantine.Outcome {
	switch {
	case reply.Result == subrequest.OK:
		return quarantine.Answered
	case result == leaf.Errored && reply.Sent && reply.Result == subrequest.ConnectionLost && !fault.IsTimeout(reply.Err):
		return quarantine.ConnectionLost
	default:
		return quarantine.Inconclusive
	}
}

// countRefusal counts an attempt that was refused. An attempt whose context ended
// while it waited does not count as refused.
func (u *run) countRefusal(e *attemptEnd) {
	if u.relay.observer != nil && e.reply.Result == subrequest.NotRun {
		u.relay.observer.Refused(u.task.Service.Name, e.quarantined)
	}
}
