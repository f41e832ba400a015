package relay

import (
	"github.com/hickorydock/hickorydock/internal/coordination/quarantine"
	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
	"github.com/hickorydock/hickorydock/internal/transport/upstream"
)

// trial is what the quarantine is told of an attempt.
func (u *run) trial(attempt subrequest.Attempt, target shardmap.Replica) quarantine.Attempt {
	return quarantine.Attempt{
		Fingerprint: u.task.Fingerprint,
		Shard:       u.task.Shard,
		Leaf:        target.VM.ID,
		Hedge:       attempt.Kind == subrequest.Hedge,
		Canary:      u.task.Canary,
	}
}

// passGuard waits until the quarantine allows the attempt. It returns the end
// of an attempt that must not be sent, else nil.
func (u *run) passGuard(trial *quarantine.Attempt, target shardmap.Replica) *ended {
	verdict, err := u.relay.guard.Enter(u.ctx, trial)
	switch {
	case err != nil:
		return unsent(subrequest.Lost, fault.Wrap(err, fault.StepAdmit, target.VM.ID, "wait for the trial of a suspect"))
	case verdict == quarantine.Refuse:
		refused := unsent(subrequest.NotRun, fault.New(fault.StepAdmit, target.VM.ID, "request is in quarantine"))
		refused.quarantined = true
		return refused
	case verdict == quarantine.Hold:
		return unsent(subrequest.NotRun, fault.New(fault.StepAdmit, target.VM.ID, "no hedge of an unproven request"))
	}
	return nil
}

// trialEnd says what the end of an attempt tells the quarantine.
func trialEnd(reply upstream.Reply, result leaf.Result) quarantine.Outcome {
	ran := reply.Result == subrequest.OK || reply.Result == subrequest.Failed
	switch {
	case ran:
		return quarantine.Answered
	case result == leaf.Broken && reply.Sent && reply.Result == subrequest.Lost:
		return quarantine.ConnectionLost
	default:
		return quarantine.Inconclusive
	}
}

// countRefusal counts an attempt that was refused. One whose context ended
// while it waited was not refused.
func (u *run) countRefusal(e *ended) {
	if u.relay.observer != nil && e.reply.Result == subrequest.NotRun {
		u.relay.observer.Refused(u.task.Service.Name, e.quarantined)
	}
}
