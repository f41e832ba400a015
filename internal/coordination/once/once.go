// Package once decides how a command runs at most once. A Machine carries one
// command through one node: events with their time go in, actions come out. It
// does no input or output and reads no clock.
//
// A claim is an object in the platform that only its claimer changes. The
// command is dispatched after the claim is confirmed, and nobody takes over a
// claim. A command that ran, or may have run, leaves its claim settled; one
// that certainly did not run removes it, which frees the key.
//
// A command under a ticket has no claim: the issuer's memory takes its place.
//
// A Machine is not safe for concurrent use.
package once

import (
	"fmt"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

// Config holds the settings of all machines of a node.
type Config struct {
	// MaxDispatches bounds the attempts of one command.
	MaxDispatches int
	// InitialBackoff and MaxBackoff bound the wait between calls, which doubles each time.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
	// MaxReadFailures ends the search for a claim when the platform fails so often in a row.
	MaxReadFailures int
	// RecordTimeout is how long callers wait for their outcome to be recorded.
	RecordTimeout time.Duration
	// SettleTimeout is how long settling, freeing and clean-up go on after the
	// callers have been told.
	SettleTimeout time.Duration
	// MaxAnswerBytes bounds the items in a record.
	MaxAnswerBytes int
}

// DefaultConfig returns the settings of production.
func DefaultConfig() Config {
	return Config{
		MaxDispatches:   3,
		InitialBackoff:  20 * time.Millisecond,
		MaxBackoff:      time.Second,
		MaxReadFailures: 2,
		RecordTimeout:   500 * time.Millisecond,
		SettleTimeout:   2 * time.Minute,
		MaxAnswerBytes:  4 << 10,
	}
}

// watchParts is the least number of waits in which a late effect is looked for.
const watchParts = 4

// Spec is one command at one node.
type Spec struct {
	// Record is the claim to be stored, in StateClaimed.
	Record command.Record
	// Deadline bounds the time until the callers are told.
	Deadline time.Time
	// FirstSend is command.Request.FirstSend.
	FirstSend bool
	// Unclaimed commands need no claim: a ticket's issuer runs them.
	Unclaimed bool
	// Refusal makes the machine look up the key without claiming it; empty lets it run.
	Refusal command.Cause
}

// InvariantError means that a check inside the decisions failed. The command
// must end; its outcome is unknown.
type InvariantError struct {
	Check     string
	RequestID string
}

// Error describes the failed check.
func (e *InvariantError) Error() string {
	return fmt.Sprintf("invariant broken for %s: %s", e.RequestID, e.Check)
}

// phase is what the machine waits for.
type phase uint8

const (
	phaseNew phase = iota
	phaseCreating
	phaseReading     // searching the key's claim
	phasePausing     // between two searches
	phaseDispatching // an attempt is at an upstream
	phaseHolding     // between two attempts
	phaseUpdating
	phaseUpdatePausing
	phaseUpdateReading
	phaseDeleting
	phaseDeletePausing
	phaseDeleteReading
	phaseWatching // after an uncertain create, its late effect is removed
	phaseWatchReading
	phaseWatchDeleting
	phaseEnded
)

// mutation is a deliberate fault, set by tests to prove that their checks find it.
type mutation uint8

const (
	mutateNothing mutation = iota
	mutateDispatchEarly
	mutateTakeOver
	mutateFreeAfterLoss
	mutateRetryLost
	mutateClaimNotRun
)

// Machine is one command at one node.
type Machine struct {
	config Config
	spec   Spec
	mutate mutation

	phase      phase
	left       bool
	told       bool
	confirmed  bool   // the claim is stored, or none is needed
	version    uint64 // of the stored claim, when confirmed
	uncertain  bool   // a create may still have its effect
	wasFree    bool   // the key was seen without a claim since the command arrived, and none since
	contested  bool   // another claim of the key was seen
	mayHaveRun bool
	peer       string // the leaf of the last attempt
	attempts   int
	failures   int // reads failed in a row
	backoff    time.Duration
	settleEnd  time.Time
	outcome    command.Record // the record to be stored, in phaseUpdating and on
	result     command.Result // what is told when recording or freeing ends
}

// New returns a machine that waits for Begin.
func New(config Config, spec Spec) *Machine {
	return &Machine{config: config, spec: spec, backoff: config.InitialBackoff}
}

// Ended reports whether the machine has ended.
func (m *Machine) Ended() bool { return m.phase == phaseEnded }

// IsCleaningUp reports whether only the late effect of a create is still looked for.
func (m *Machine) IsCleaningUp() bool {
	return m.phase == phaseWatching || m.phase == phaseWatchReading || m.phase == phaseWatchDeleting
}

// Version is the version of the stored claim; 0 when there is none.
func (m *Machine) Version() uint64 { return m.version }

// Settled returns the final record of a command that ran or may have run.
func (m *Machine) Settled() (command.Record, bool) {
	return m.outcome, m.mayHaveRun && m.outcome.Settled()
}

// Step takes an event that arose at now. An error is an *InvariantError, after
// which the machine has ended.
func (m *Machine) Step(now time.Time, event Event) ([]Action, error) {
	if _, ok := event.(CallersDisconnected); ok {
		m.left = true
		return nil, nil
	}
	actions, err := m.handle(now, event)
	if err == nil {
		err = m.check(now, actions)
	}
	if err != nil {
		m.phase = phaseEnded
		return nil, err
	}
	return actions, nil
}

func (m *Machine) handle(now time.Time, event Event) ([]Action, error) {
	switch e := event.(type) {
	case Begin:
		if m.phase == phaseNew {
			return m.begin(now), nil
		}
	case Created:
		if m.phase == phaseCreating {
			return m.created(now, e), nil
		}
	case ReadCompleted:
		return m.found(now, e)
	case Dispatched:
		if m.phase == phaseDispatching {
			return m.dispatched(now, e.Result)
		}
	case Updated:
		if m.phase == phaseUpdating {
			return m.updated(now, e), nil
		}
	case Deleted:
		return m.deleted(now, e)
	case WaitElapsed:
		return m.woke(now)
	case Abort:
		return m.cut(), nil
	}
	return nil, m.broken(fmt.Sprintf("event %T in phase %d", event, m.phase))
}

func (m *Machine) woke(now time.Time) ([]Action, error) {
	switch m.phase {
	case phasePausing:
		return m.read(phaseReading), nil
	case phaseHolding:
		return m.proceed(now), nil
	case phaseUpdatePausing:
		return m.read(phaseUpdateReading), nil
	case phaseDeletePausing:
		return m.read(phaseDeleteReading), nil
	case phaseWatching:
		return m.read(phaseWatchReading), nil
	default:
		return nil, m.broken(fmt.Sprintf("woke in phase %d", m.phase))
	}
}

func (m *Machine) begin(now time.Time) []Action {
	switch {
	case m.spec.Unclaimed:
		m.confirmed = true
		return m.proceed(now)
	case m.spec.Refusal != "":
		return m.read(phaseReading)
	case m.mutate == mutateDispatchEarly:
		return m.dispatch()
	case m.spec.FirstSend:
		return m.create(now)
	default:
		// The key may be claimed: a read is cheaper than a write that fails.
		return m.read(phaseReading)
	}
}

// cut tells what is certain and ends.
func (m *Machine) cut() []Action {
	result := m.refusal(command.CauseStopping)
	if m.mayHaveRun || m.result.Outcome != "" {
		result = m.result
	} else if m.confirmed {
		result = command.Result{Outcome: query.NotRun, Cause: command.CauseStopping, Final: true}
	}
	return append(m.tell(result), m.end()...)
}

// gaveUp reports that nothing may be dispatched any more.
func (m *Machine) gaveUp(now time.Time) bool {
	return m.left || !now.Before(m.spec.Deadline)
}

// giveUpCause is the cause when gaveUp is true.
func (m *Machine) giveUpCause() command.Cause {
	if m.left {
		return command.CauseCallerLeft
	}
	return command.CauseDeadline
}

func (m *Machine) broken(check string) error {
	return &InvariantError{Check: check, RequestID: m.spec.Record.RequestID}
}

// check asserts the invariants of the actions that a step returns.
func (m *Machine) check(now time.Time, actions []Action) error {
	if m.mutate != mutateNothing {
		return nil
	}
	for _, action := range actions {
		if check := m.violated(now, action); check != "" {
			return m.broken(check)
		}
	}
	return nil
}

// violated names the invariant that an action breaks, or is empty.
func (m *Machine) violated(now time.Time, action Action) string {
	switch a := action.(type) {
	case ActDispatch:
		switch {
		case !m.confirmed:
			return "dispatch before the claim is confirmed"
		case m.mayHaveRun:
			return "dispatch after an attempt that may have run"
		case m.told || m.gaveUp(now):
			return "dispatch after giving up"
		}
	case ActUpdate:
		if !m.confirmed || !m.mayHaveRun || !a.Record.Settled() {
			return "update that does not settle an own claim"
		}
	case ActDelete:
		if m.mayHaveRun {
			return "freed a key whose command may have run"
		}
	case ActRespond:
		if a.Result.Outcome == query.NotRun && m.mayHaveRun {
			return "told not run after an attempt that may have run"
		}
		if a.Result.Outcome == query.Done && a.Result.Answer == nil {
			return "told done without an answer"
		}
	}
	return ""
}

// tell returns the action that tells the callers, unless they were told.
func (m *Machine) tell(result command.Result) []Action {
	if m.told {
		return nil
	}
	m.told = true
	return []Action{ActRespond{result}}
}

// wait moves to a pausing phase with the next longer wait. It does not outlast
// the deadline while callers wait.
func (m *Machine) wait(now time.Time, next phase) Action {
	m.phase = next
	d := m.backoff
	longest := m.config.MaxBackoff
	if next == phaseWatching {
		longest = m.config.SettleTimeout / watchParts
	}
	m.backoff = min(2*d, longest)
	if left := m.spec.Deadline.Sub(now); !m.told && left > 0 {
		d = min(d, left)
	}
	return ActWait{d}
}

// tellInTime tells the result when the deadline has passed, before the work
// that follows it.
func (m *Machine) tellInTime(now time.Time) []Action {
	if now.Before(m.spec.Deadline) {
		return nil
	}
	return m.tell(m.result)
}

func (m *Machine) end() []Action {
	m.phase = phaseEnded
	return []Action{ActEnd{}}
}

// finish ends the machine, or first watches for the late effect of a create.
func (m *Machine) finish(now time.Time) []Action {
	if !m.uncertain {
		return m.end()
	}
	m.settleEnd = now.Add(m.config.SettleTimeout)
	m.backoff = m.config.InitialBackoff
	return []Action{m.wait(now, phaseWatching)}
}
