package once

import (
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

// dispatchOrFree dispatches a confirmed command, or frees its key when it is too late.
func (m *Machine) dispatchOrFree(now time.Time) []Action {
	if m.isAbandoned(now) {
		return m.freeKey(now, m.abandonCause())
	}
	return m.dispatch()
}

func (m *Machine) dispatch() []Action {
	m.phase = phaseDispatching
	m.attempts++
	return []Action{ActDispatch{
		Attempt: m.attempts,
		Target:  m.spec.Record.Target,
		Until:   m.spec.Deadline,
	}}
}

func (m *Machine) dispatched(now time.Time, r command.DispatchResult) ([]Action, error) {
	m.lastLeaf = r.Leaf
	switch r.Kind {
	case command.DispatchReplied:
		m.mayHaveRun = true
		return m.settleDone(now, r)
	case command.DispatchNotRun, command.DispatchNotSent:
		return m.notRun(now), nil
	default:
		return m.replyLost(now), nil
	}
}

func (m *Machine) replyLost(now time.Time) []Action {
	switch m.mutate {
	case mutateFreeAfterLoss:
		return m.freeKey(now, command.CauseRefused)
	case mutateRetryLost:
		return m.notRun(now)
	}
	m.mayHaveRun = true
	result := command.Result{
		Outcome:   query.Unknown,
		Cause:     command.CauseReplyLost,
		Final:     true,
		RequestID: m.spec.Record.RequestID,
		Peer:      m.lastLeaf,
	}
	return m.settle(now, command.StateUnknown, nil, result)
}

func (m *Machine) settleDone(now time.Time, r command.DispatchResult) ([]Action, error) {
	answer, err := command.NewAnswer(m.spec.Record.RequestID, m.spec.Record.Target, r.Snapshot, r.Items)
	if err != nil {
		return nil, m.invariantError("verified reply cannot be encoded: " + err.Error())
	}
	result := command.Result{
		Outcome:   query.Done,
		Cause:     command.CauseRan,
		Final:     true,
		Answer:    &answer,
		RequestID: answer.RequestID,
		Peer:      m.lastLeaf,
	}
	bounded := answer.Bounded(m.config.MaxAnswerBytes)
	return m.settle(now, command.StateDone, &bounded, result), nil
}

// settle records the outcome of a command that ran or may have run.
func (m *Machine) settle(now time.Time, state command.State, answer *command.Answer, result command.Result) []Action {
	m.finalRecord = m.spec.Record
	m.finalRecord.State = state
	m.finalRecord.SettledAt = now
	m.finalRecord.Answer = answer
	m.result = result
	m.startSettling(now)
	if m.spec.Unclaimed {
		return append(m.respond(result), m.end()...)
	}
	return append(m.respondAfterDeadline(now), m.update()...)
}

func (m *Machine) startSettling(now time.Time) {
	m.settleDeadline = now.Add(m.config.SettleTimeout)
	m.backoff = m.config.InitialBackoff
}

func (m *Machine) update() []Action {
	m.phase = phaseUpdating
	return []Action{ActUpdate{Version: m.version, Record: m.finalRecord}}
}

func (m *Machine) updated(now time.Time, e Updated) []Action {
	switch e.Fault {
	case FaultNone, FaultNotFound:
		// Not found: the claim's retention has ended.
		m.version = e.Version
		return append(m.respond(m.result), m.end()...)
	case FaultConflict:
		// An earlier update of this machine took effect without a reply, or was applied twice.
		return m.read(phaseUpdateReading)
	default:
		return m.retrySettling(now, phaseUpdateBackoff)
	}
}

func (m *Machine) updateReadCompleted(now time.Time, e ReadCompleted) []Action {
	switch {
	case e.Fault == FaultRefused || e.Fault == FaultUncertain:
		return m.retrySettling(now, phaseUpdateBackoff)
	case e.Fault == FaultNone && m.isOwn(e.Record) && !e.Record.Settled():
		m.version = e.Version
		return m.update()
	default:
		return append(m.respond(m.result), m.end()...)
	}
}

// retrySettling waits before the next attempt to record the outcome or free the
// key. It responds to the callers once they have waited for RecordTimeout, and
// ends after SettleTimeout.
func (m *Machine) retrySettling(now time.Time, next phase) []Action {
	var actions []Action
	waited := now.Sub(m.settleDeadline.Add(-m.config.SettleTimeout))
	if m.isAbandoned(now) || waited >= m.config.RecordTimeout {
		actions = m.respond(m.result)
	}
	if !now.Before(m.settleDeadline) {
		return append(append(actions, m.respond(m.result)...), m.end()...)
	}
	return append(actions, m.wait(now, next))
}

// notRun handles an attempt that certainly did not run.
func (m *Machine) notRun(now time.Time) []Action {
	if m.attempts >= m.config.MaxDispatches || m.isAbandoned(now) {
		return m.freeKey(now, command.CauseRefused)
	}
	return []Action{m.wait(now, phaseDispatchBackoff)}
}

// freeKey deletes the claim of a command that certainly did not run.
func (m *Machine) freeKey(now time.Time, cause command.Cause) []Action {
	m.result = command.Result{
		Outcome:   query.NotRun,
		Cause:     cause,
		Final:     true,
		RequestID: m.spec.Record.RequestID,
		Peer:      m.lastLeaf,
	}
	m.startSettling(now)
	if m.spec.Unclaimed {
		return append(m.respond(m.result), m.end()...)
	}
	return append(m.respondAfterDeadline(now), m.delete(phaseDeleting)...)
}

func (m *Machine) delete(next phase) []Action {
	m.phase = next
	return []Action{ActDelete{m.version}}
}

func (m *Machine) deleted(now time.Time, e Deleted) ([]Action, error) {
	switch {
	case m.phase == phaseCleanupDeleting:
		return m.continueCleanup(now), nil
	case m.phase != phaseDeleting:
		return nil, m.invariantError("unexpected end of a delete")
	}
	switch e.Fault {
	case FaultNone, FaultNotFound:
		return m.respondAndFinish(now, m.result), nil
	case FaultConflict:
		return m.read(phaseDeleteReading), nil
	default:
		return m.retrySettling(now, phaseDeleteBackoff), nil
	}
}

func (m *Machine) deleteReadCompleted(now time.Time, e ReadCompleted) []Action {
	switch {
	case e.Fault == FaultRefused || e.Fault == FaultUncertain:
		return m.retrySettling(now, phaseDeleteBackoff)
	case e.Fault == FaultNone && m.isOwn(e.Record):
		m.version = e.Version
		return m.delete(phaseDeleting)
	default:
		return m.respondAndFinish(now, m.result)
	}
}
