// Package once ensures that a command runs at most once. A Machine is the state
// machine of one command at one node: it takes events with their time and
// returns actions. It does no I/O and reads no clock.
//
// A claim is an object in the platform that only its claimer changes. The
// command is dispatched after the claim is confirmed, and no other node takes
// over a claim. When the command ran, or may have run, its outcome is recorded
// in the claim; when it certainly did not run, the claim is deleted, which frees
// the key.
//
// A command sent with a ticket has no claim: the ticket's issuer keeps the state
// of the redemption in memory instead.
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
	// MaxReadFailures is the number of consecutive failed reads after which the
	// lookup of the key's claim is abandoned.
	MaxReadFailures int
	// RecordTimeout bounds how long callers wait until their outcome is recorded.
	RecordTimeout time.Duration
	// SettleTimeout bounds how long recording the outcome, freeing the key and
	// clean-up are retried, also after the callers got their result.
	SettleTimeout time.Duration
	// MaxAnswerBytes bounds the size of the items stored in a record.
	MaxAnswerBytes int
}

// DefaultConfig returns the production settings.
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

// minCleanupWaits is the minimum number of waits, each followed by a read, while
// a late effect of an uncertain create can still appear.
const minCleanupWaits = 4

// Spec is one command at one node.
type Spec struct {
	// Record is the claim to be stored, in StateClaimed.
	Record command.Record
	// Deadline is when the callers must have their result.
	Deadline time.Time
	// FirstSend is the caller's statement that it never sent this key before
	// (command.Request.FirstSend).
	FirstSend bool
	// Unclaimed is set when the command needs no claim, since the issuer of its
	// ticket runs it.
	Unclaimed bool
	// Refusal is why the command must not run: the machine then looks up the key
	// without claiming it. Empty lets the command run.
	Refusal command.Cause
}

// InvariantError reports a violated invariant of the state machine. The command
// must end; its outcome is unknown.
type InvariantError struct {
	Check     string
	RequestID string
}

// Error describes the violated invariant.
func (e *InvariantError) Error() string {
	return fmt.Sprintf("invariant broken for %s: %s", e.RequestID, e.Check)
}

// phase is the event that the machine waits for.
type phase uint8

const (
	phaseNew phase = iota
	phaseCreating
	phaseLookup          // reading the claim of the key
	phaseLookupBackoff   // between two lookups
	phaseDispatching     // an attempt has been sent to a leaf
	phaseDispatchBackoff // between two attempts
	phaseUpdating
	phaseUpdateBackoff
	phaseUpdateReading
	phaseDeleting
	phaseDeleteBackoff
	phaseDeleteReading
	phaseCleanupBackoff // after an uncertain create: a claim stored late is deleted
	phaseCleanupReading
	phaseCleanupDeleting
	phaseEnded
)

// mutation is a deliberate fault, injected by tests to show that their checks detect it.
type mutation uint8

const (
	noMutation mutation = iota
	mutateDispatchEarly
	mutateTakeOver
	mutateFreeAfterLoss
	mutateRetryLost
	mutateReportNotRun
)

// Machine is one command at one node.
type Machine struct {
	config Config
	spec   Spec
	mutate mutation

	phase           phase
	disconnected    bool
	responded       bool
	confirmed       bool   // the claim is stored, or none is needed
	version         uint64 // of the stored claim, when confirmed
	createUncertain bool   // a create may still take effect
	seenFree        bool   // a read since the command arrived found no claim, and none was seen after it
	contested       bool   // another claim of the key was seen
	mayHaveRun      bool
	lastLeaf        string // of the last attempt
	attempts        int
	readFailures    int // consecutive
	backoff         time.Duration
	settleDeadline  time.Time
	finalRecord     command.Record // the record to be stored, from phaseUpdating on
	result          command.Result // for the callers once recording or freeing ends
}

// New returns a machine that waits for Begin.
func New(config Config, spec Spec) *Machine {
	return &Machine{config: config, spec: spec, backoff: config.InitialBackoff}
}

// Ended reports whether the machine has ended.
func (m *Machine) Ended() bool { return m.phase == phaseEnded }

// IsCleaningUp reports whether the machine only waits for a late effect of an
// uncertain create, in order to delete the claim.
func (m *Machine) IsCleaningUp() bool {
	return m.phase == phaseCleanupBackoff || m.phase == phaseCleanupReading || m.phase == phaseCleanupDeleting
}

// Version is the version of the stored claim; 0 when there is none.
func (m *Machine) Version() uint64 { return m.version }

// Settled returns the final record, if the command ran or may have run.
func (m *Machine) Settled() (command.Record, bool) {
	return m.finalRecord, m.mayHaveRun && m.finalRecord.Settled()
}

// Step handles an event that occurred at now. An error is an *InvariantError,
// after which the machine has ended.
func (m *Machine) Step(now time.Time, event Event) ([]Action, error) {
	if _, ok := event.(CallersDisconnected); ok {
		m.disconnected = true
		return nil, nil
	}
	actions, err := m.handle(now, event)
	if err == nil {
		err = m.checkInvariants(now, actions)
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
		return m.readCompleted(now, e)
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
		return m.waitElapsed(now)
	case Abort:
		return m.abort(), nil
	}
	return nil, m.invariantError(fmt.Sprintf("event %T in phase %d", event, m.phase))
}

func (m *Machine) waitElapsed(now time.Time) ([]Action, error) {
	switch m.phase {
	case phaseLookupBackoff:
		return m.read(phaseLookup), nil
	case phaseDispatchBackoff:
		return m.dispatchOrFree(now), nil
	case phaseUpdateBackoff:
		return m.read(phaseUpdateReading), nil
	case phaseDeleteBackoff:
		return m.read(phaseDeleteReading), nil
	case phaseCleanupBackoff:
		return m.read(phaseCleanupReading), nil
	default:
		return nil, m.invariantError(fmt.Sprintf("wait elapsed in phase %d", m.phase))
	}
}

func (m *Machine) begin(now time.Time) []Action {
	switch {
	case m.spec.Unclaimed:
		m.confirmed = true
		return m.dispatchOrFree(now)
	case m.spec.Refusal != "":
		return m.read(phaseLookup)
	case m.mutate == mutateDispatchEarly:
		return m.dispatch()
	case m.spec.FirstSend:
		return m.create(now)
	default:
		// The key may be claimed already: a read is cheaper than a failed write.
		return m.read(phaseLookup)
	}
}

// abort responds with what is certain and ends.
func (m *Machine) abort() []Action {
	result := m.undispatchedResult(command.CauseStopping)
	if m.mayHaveRun || m.result.Outcome != "" {
		result = m.result
	} else if m.confirmed {
		result = command.Result{Outcome: query.NotRun, Cause: command.CauseStopping, Final: true}
	}
	return append(m.respond(result), m.end()...)
}

// isAbandoned reports whether dispatching has been abandoned: the callers have
// disconnected or the deadline has passed.
func (m *Machine) isAbandoned(now time.Time) bool {
	return m.disconnected || !now.Before(m.spec.Deadline)
}

// abandonCause is the cause of the result when isAbandoned is true.
func (m *Machine) abandonCause() command.Cause {
	if m.disconnected {
		return command.CauseCallerLeft
	}
	return command.CauseDeadline
}

func (m *Machine) invariantError(check string) error {
	return &InvariantError{Check: check, RequestID: m.spec.Record.RequestID}
}

// checkInvariants checks the actions that a step returns.
func (m *Machine) checkInvariants(now time.Time, actions []Action) error {
	if m.mutate != noMutation {
		return nil
	}
	for _, action := range actions {
		if check := m.violatedInvariant(now, action); check != "" {
			return m.invariantError(check)
		}
	}
	return nil
}

// violatedInvariant describes the invariant that an action violates; empty when
// there is none.
func (m *Machine) violatedInvariant(now time.Time, action Action) string {
	switch a := action.(type) {
	case ActDispatch:
		switch {
		case !m.confirmed:
			return "dispatch before the claim is confirmed"
		case m.mayHaveRun:
			return "dispatch after an attempt that may have run"
		case m.responded || m.isAbandoned(now):
			return "dispatch after the command was abandoned"
		}
	case ActUpdate:
		if !m.confirmed || !m.mayHaveRun || !a.Record.Settled() {
			return "update does not settle an own claim"
		}
	case ActDelete:
		if m.mayHaveRun {
			return "delete of a claim whose command may have run"
		}
	case ActRespond:
		if a.Result.Outcome == query.NotRun && m.mayHaveRun {
			return "response not run after an attempt that may have run"
		}
		if a.Result.Outcome == query.Done && a.Result.Answer == nil {
			return "response done without an answer"
		}
	}
	return ""
}

// respond returns the action that sends the callers their result, unless they
// have it already.
func (m *Machine) respond(result command.Result) []Action {
	if m.responded {
		return nil
	}
	m.responded = true
	return []Action{ActRespond{result}}
}

// wait enters a backoff phase and doubles the next wait. While callers wait, it
// ends at the deadline at the latest.
func (m *Machine) wait(now time.Time, next phase) Action {
	m.phase = next
	d := m.backoff
	maxWait := m.config.MaxBackoff
	if next == phaseCleanupBackoff {
		maxWait = m.config.SettleTimeout / minCleanupWaits
	}
	m.backoff = min(2*d, maxWait)
	if remaining := m.spec.Deadline.Sub(now); !m.responded && remaining > 0 {
		d = min(d, remaining)
	}
	return ActWait{d}
}

// respondAfterDeadline responds at once if the deadline has passed, before the
// platform calls that follow; otherwise the result is sent after them.
func (m *Machine) respondAfterDeadline(now time.Time) []Action {
	if now.Before(m.spec.Deadline) {
		return nil
	}
	return m.respond(m.result)
}

func (m *Machine) end() []Action {
	m.phase = phaseEnded
	return []Action{ActEnd{}}
}

// finish ends the machine, after a clean-up if a create may still take effect.
func (m *Machine) finish(now time.Time) []Action {
	if !m.createUncertain {
		return m.end()
	}
	m.settleDeadline = now.Add(m.config.SettleTimeout)
	m.backoff = m.config.InitialBackoff
	return []Action{m.wait(now, phaseCleanupBackoff)}
}
