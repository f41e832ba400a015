package once

import (
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

func (m *Machine) create(now time.Time) []Action {
	if m.isAbandoned(now) {
		return m.abandon(now, m.abandonCause())
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
		m.confirmClaim(e.Version)
		return m.dispatchOrFree(now)
	case FaultRefused:
		m.spec.Refusal = command.CausePlatform
	case FaultExists:
		// The object is another claim, or this one if the create was applied twice.
		m.markContested()
	default:
		m.createUncertain = true
	}
	if m.isAbandoned(now) {
		return m.abandon(now, m.abandonCause())
	}
	return m.read(phaseLookup)
}

// markContested records that an earlier or concurrent send may run.
func (m *Machine) markContested() {
	m.contested = true
	m.seenFree = false
}

func (m *Machine) confirmClaim(version uint64) {
	m.confirmed = true
	m.version = version
}

// isOwn reports whether a record is this machine's own claim.
func (m *Machine) isOwn(r command.Record) bool {
	return r.RequestID == m.spec.Record.RequestID
}

func (m *Machine) readCompleted(now time.Time, e ReadCompleted) ([]Action, error) {
	switch m.phase {
	case phaseLookup:
		return m.lookupCompleted(now, e)
	case phaseUpdateReading:
		return m.updateReadCompleted(now, e), nil
	case phaseDeleteReading:
		return m.deleteReadCompleted(now, e), nil
	case phaseCleanupReading:
		return m.cleanupReadCompleted(now, e), nil
	default:
		return nil, m.invariantError("unexpected end of a read")
	}
}

// lookupCompleted decides by the object that is stored under the key.
func (m *Machine) lookupCompleted(now time.Time, e ReadCompleted) ([]Action, error) {
	switch {
	case e.Fault == FaultNotFound:
		m.readFailures = 0
		m.seenFree = true
		return m.keyFree(now), nil
	case e.Fault != FaultNone:
		m.readFailures++
		return m.lookupFailed(now), nil
	case m.isOwn(e.Record):
		if e.Record.Settled() {
			return nil, m.invariantError("own claim was settled by another node")
		}
		m.confirmClaim(e.Version)
		return m.dispatchOrFree(now), nil
	default:
		m.readFailures = 0
		return m.foreignClaimFound(now, e), nil
	}
}

// keyFree claims a key that has no claim, unless the command must not run.
func (m *Machine) keyFree(now time.Time) []Action {
	if m.spec.Refusal != "" {
		return m.abandon(now, m.spec.Refusal)
	}
	return m.create(now)
}

func (m *Machine) lookupFailed(now time.Time) []Action {
	if m.isAbandoned(now) {
		return m.abandon(now, m.abandonCause())
	}
	if m.readFailures >= m.config.MaxReadFailures {
		return m.abandon(now, command.CausePlatform)
	}
	return []Action{m.wait(now, phaseLookupBackoff)}
}

// foreignClaimFound handles a claim of another send.
func (m *Machine) foreignClaimFound(now time.Time, e ReadCompleted) []Action {
	m.markContested()
	id := e.Record.RequestID
	switch {
	case e.Record.BodyHash != m.spec.Record.BodyHash:
		return m.respondAndFinish(now, command.Result{Outcome: query.NotRun, Cause: command.CauseOtherBody, Final: true})
	case e.Record.Settled():
		return m.respondAndFinish(now, command.FromRecord(e.Record))
	case m.mutate == mutateTakeOver && !m.isAbandoned(now):
		m.confirmClaim(e.Version)
		return m.dispatchOrFree(now)
	case m.isAbandoned(now):
		return m.respondAndFinish(now, command.Result{Outcome: query.Unknown, Cause: command.CausePending, RequestID: id})
	default:
		return []Action{m.wait(now, phaseLookupBackoff)}
	}
}

// abandon ends a command of which nothing was dispatched and whose claim is not
// confirmed.
func (m *Machine) abandon(now time.Time, cause command.Cause) []Action {
	return m.respondAndFinish(now, m.undispatchedResult(cause))
}

// undispatchedResult is the result of a command that was not dispatched and has
// no confirmed claim. Unless the key was seen free since the command arrived, an
// earlier send may have run: not_run is then returned only if the caller stated
// that this is the first send and no other claim was seen.
func (m *Machine) undispatchedResult(cause command.Cause) command.Result {
	neverSent := m.spec.FirstSend && !m.contested
	if m.seenFree || neverSent || m.mutate == mutateReportNotRun {
		return command.Result{Outcome: query.NotRun, Cause: cause, Final: true}
	}
	return command.Result{Outcome: query.Unknown, Cause: cause}
}

func (m *Machine) respondAndFinish(now time.Time, result command.Result) []Action {
	return append(m.respond(result), m.finish(now)...)
}

// cleanupReadCompleted deletes an own claim that a late create has stored.
func (m *Machine) cleanupReadCompleted(now time.Time, e ReadCompleted) []Action {
	if e.Fault == FaultNone && m.isOwn(e.Record) && !e.Record.Settled() {
		m.version = e.Version
		return m.delete(phaseCleanupDeleting)
	}
	return m.continueCleanup(now)
}

func (m *Machine) continueCleanup(now time.Time) []Action {
	if !now.Before(m.settleDeadline) {
		return m.end()
	}
	return []Action{m.wait(now, phaseCleanupBackoff)}
}
