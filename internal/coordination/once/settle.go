package once

import (
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

// proceed dispatches a confirmed command, or frees its key when it is too late.
func (m *Machine) proceed(now time.Time) []Action {
	if m.gaveUp(now) {
		return m.freeKey(now, m.giveUpCause())
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
	m.peer = r.Leaf
	switch r.Kind {
	case command.DispatchReplied:
		m.mayHaveRun = true
		return m.settleDone(now, r)
	case command.DispatchNotRun, command.DispatchNotSent:
		return m.refused(now), nil
	default:
		return m.lost(now), nil
	}
}

func (m *Machine) lost(now time.Time) []Action {
	switch m.mutate {
	case mutateFreeAfterLoss:
		return m.freeKey(now, command.CauseRefused)
	case mutateRetryLost:
		return m.refused(now)
	}
	m.mayHaveRun = true
	result := command.Result{
		Outcome:   query.Unknown,
		Cause:     command.CauseReplyLost,
		Final:     true,
		RequestID: m.spec.Record.RequestID,
		Peer:      m.peer,
	}
	return m.settle(now, command.StateUnknown, nil, result)
}

func (m *Machine) settleDone(now time.Time, r command.DispatchResult) ([]Action, error) {
	answer, err := command.NewAnswer(m.spec.Record.RequestID, m.spec.Record.Target, r.Snapshot, r.Items)
	if err != nil {
		return nil, m.broken("verified reply cannot be encoded: " + err.Error())
	}
	result := command.Result{
		Outcome:   query.Done,
		Cause:     command.CauseRan,
		Final:     true,
		Answer:    &answer,
		RequestID: answer.RequestID,
		Peer:      m.peer,
	}
	bounded := answer.Bounded(m.config.MaxAnswerBytes)
	return m.settle(now, command.StateDone, &bounded, result), nil
}

// settle records the outcome of a command that ran or may have run.
func (m *Machine) settle(now time.Time, state command.State, answer *command.Answer, result command.Result) []Action {
	m.outcome = m.spec.Record
	m.outcome.State = state
	m.outcome.SettledAt = now
	m.outcome.Answer = answer
	m.result = result
	m.startSettling(now)
	if m.spec.Unclaimed {
		return append(m.tell(result), m.end()...)
	}
	return append(m.tellInTime(now), m.update()...)
}

func (m *Machine) startSettling(now time.Time) {
	m.settleEnd = now.Add(m.config.SettleTimeout)
	m.backoff = m.config.InitialBackoff
}

func (m *Machine) update() []Action {
	m.phase = phaseUpdating
	return []Action{ActUpdate{Version: m.version, Record: m.outcome}}
}

func (m *Machine) updated(now time.Time, e Updated) []Action {
	switch e.Fault {
	case FaultNone, FaultNotFound:
		// Not found: the claim's retention has ended.
		m.version = e.Version
		return append(m.tell(m.result), m.end()...)
	case FaultConflict:
		// An earlier update of this machine took effect without a reply, or came doubled.
		return m.read(phaseUpdateReading)
	default:
		return m.settleLater(now, phaseUpdatePausing)
	}
}

func (m *Machine) updateRead(now time.Time, e ReadCompleted) []Action {
	switch {
	case e.Fault == FaultRefused || e.Fault == FaultUncertain:
		return m.settleLater(now, phaseUpdatePausing)
	case e.Fault == FaultNone && m.mine(e.Record) && !e.Record.Settled():
		m.version = e.Version
		return m.update()
	default:
		return append(m.tell(m.result), m.end()...)
	}
}

// settleLater waits before the next try. It tells the callers when they have
// waited long enough and ends when SettleTimeout has passed.
func (m *Machine) settleLater(now time.Time, next phase) []Action {
	var actions []Action
	waited := now.Sub(m.settleEnd.Add(-m.config.SettleTimeout))
	if m.gaveUp(now) || waited >= m.config.RecordTimeout {
		actions = m.tell(m.result)
	}
	if !now.Before(m.settleEnd) {
		return append(append(actions, m.tell(m.result)...), m.end()...)
	}
	return append(actions, m.wait(now, next))
}

// refused handles an attempt that certainly did not run.
func (m *Machine) refused(now time.Time) []Action {
	if m.attempts >= m.config.MaxDispatches || m.gaveUp(now) {
		return m.freeKey(now, command.CauseRefused)
	}
	return []Action{m.wait(now, phaseHolding)}
}

// freeKey removes the claim of a command that certainly did not run.
func (m *Machine) freeKey(now time.Time, cause command.Cause) []Action {
	m.result = command.Result{
		Outcome:   query.NotRun,
		Cause:     cause,
		Final:     true,
		RequestID: m.spec.Record.RequestID,
		Peer:      m.peer,
	}
	m.startSettling(now)
	if m.spec.Unclaimed {
		return append(m.tell(m.result), m.end()...)
	}
	return append(m.tellInTime(now), m.delete(phaseDeleting)...)
}

func (m *Machine) delete(next phase) []Action {
	m.phase = next
	return []Action{ActDelete{m.version}}
}

func (m *Machine) deleted(now time.Time, e Deleted) ([]Action, error) {
	switch {
	case m.phase == phaseWatchDeleting:
		return m.watchOn(now), nil
	case m.phase != phaseDeleting:
		return nil, m.broken("delete that was not asked for")
	}
	switch e.Fault {
	case FaultNone, FaultNotFound:
		return m.tellAndFinish(now, m.result), nil
	case FaultConflict:
		return m.read(phaseDeleteReading), nil
	default:
		return m.settleLater(now, phaseDeletePausing), nil
	}
}

func (m *Machine) deleteRead(now time.Time, e ReadCompleted) []Action {
	switch {
	case e.Fault == FaultRefused || e.Fault == FaultUncertain:
		return m.settleLater(now, phaseDeletePausing)
	case e.Fault == FaultNone && m.mine(e.Record):
		m.version = e.Version
		return m.delete(phaseDeleting)
	default:
		return m.tellAndFinish(now, m.result)
	}
}
