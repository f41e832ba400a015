package once

import (
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

func (m *Machine) create(now time.Time) []Action {
	if m.gaveUp(now) {
		return m.giveUp(now, m.giveUpCause())
	}
	m.phase = phaseCreating
	return []Action{ActCreate{m.spec.Record}}
}

func (m *Machine) read(next phase) []Action {
	m.phase = next
	return []Action{ActRead{}}
}

func (m *Machine) created(now time.Time, e Created) []Action {
	switch e.Fault {
	case FaultNone:
		m.confirm(e.Version)
		return m.proceed(now)
	case FaultRefused:
		m.spec.Refusal = command.CausePlatform
	case FaultExists:
		// The object is another claim, or this one by an effect that came doubled.
		m.contest()
	default:
		m.uncertain = true
	}
	if m.gaveUp(now) {
		return m.giveUp(now, m.giveUpCause())
	}
	return m.read(phaseReading)
}

// contest notes that an earlier or concurrent send may run.
func (m *Machine) contest() {
	m.contested = true
	m.wasFree = false
}

func (m *Machine) confirm(version uint64) {
	m.confirmed = true
	m.version = version
}

// mine reports whether a record is this machine's own claim.
func (m *Machine) mine(r command.Record) bool {
	return r.RequestID == m.spec.Record.RequestID
}

func (m *Machine) found(now time.Time, e ReadCompleted) ([]Action, error) {
	switch m.phase {
	case phaseReading:
		return m.searched(now, e)
	case phaseUpdateReading:
		return m.updateRead(now, e), nil
	case phaseDeleteReading:
		return m.deleteRead(now, e), nil
	case phaseWatchReading:
		return m.watchRead(now, e), nil
	default:
		return nil, m.broken("read that was not asked for")
	}
}

// searched handles what the key's object is.
func (m *Machine) searched(now time.Time, e ReadCompleted) ([]Action, error) {
	switch {
	case e.Fault == FaultNotFound:
		m.failures = 0
		m.wasFree = true
		return m.free(now), nil
	case e.Fault != FaultNone:
		m.failures++
		return m.searchFailed(now), nil
	case m.mine(e.Record):
		if e.Record.Settled() {
			return nil, m.broken("own claim was settled by another")
		}
		m.confirm(e.Version)
		return m.proceed(now), nil
	default:
		m.failures = 0
		return m.foreign(now, e), nil
	}
}

// free handles a key without a claim.
func (m *Machine) free(now time.Time) []Action {
	if m.spec.Refusal != "" {
		return m.giveUp(now, m.spec.Refusal)
	}
	return m.create(now)
}

func (m *Machine) searchFailed(now time.Time) []Action {
	if m.gaveUp(now) {
		return m.giveUp(now, m.giveUpCause())
	}
	if m.failures >= m.config.MaxReadFailures {
		return m.giveUp(now, command.CausePlatform)
	}
	return []Action{m.wait(now, phasePausing)}
}

// foreign handles a claim of another send.
func (m *Machine) foreign(now time.Time, e ReadCompleted) []Action {
	m.contest()
	id := e.Record.RequestID
	switch {
	case e.Record.BodyHash != m.spec.Record.BodyHash:
		return m.tellAndFinish(now, command.Result{Outcome: query.NotRun, Cause: command.CauseOtherBody, Final: true})
	case e.Record.Settled():
		return m.tellAndFinish(now, command.FromRecord(e.Record))
	case m.mutate == mutateTakeOver && !m.gaveUp(now):
		m.confirm(e.Version)
		return m.proceed(now)
	case m.gaveUp(now):
		return m.tellAndFinish(now, command.Result{Outcome: query.Unknown, Cause: command.CausePending, RequestID: id})
	default:
		return []Action{m.wait(now, phasePausing)}
	}
}

// giveUp ends a command of which nothing was dispatched and whose claim is not
// confirmed.
func (m *Machine) giveUp(now time.Time, cause command.Cause) []Action {
	return m.tellAndFinish(now, m.refusal(cause))
}

// refusal is the result of a command that was not dispatched and has no
// confirmed claim. Without having seen the key free since the command arrived,
// an earlier send may have run: only the caller's word then allows not_run.
func (m *Machine) refusal(cause command.Cause) command.Result {
	neverSent := m.spec.FirstSend && !m.contested
	if m.wasFree || neverSent || m.mutate == mutateClaimNotRun {
		return command.Result{Outcome: query.NotRun, Cause: cause, Final: true}
	}
	return command.Result{Outcome: query.Unknown, Cause: cause}
}

func (m *Machine) tellAndFinish(now time.Time, result command.Result) []Action {
	return append(m.tell(result), m.finish(now)...)
}

// watchRead removes an own claim that a late effect has stored.
func (m *Machine) watchRead(now time.Time, e ReadCompleted) []Action {
	if e.Fault == FaultNone && m.mine(e.Record) && !e.Record.Settled() {
		m.version = e.Version
		return m.delete(phaseWatchDeleting)
	}
	return m.watchOn(now)
}

func (m *Machine) watchOn(now time.Time) []Action {
	if !now.Before(m.settleEnd) {
		return m.end()
	}
	return []Action{m.wait(now, phaseWatching)}
}
