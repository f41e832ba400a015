package once

import (
	"errors"
	"flag"
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

const (
	// histories is the number of random histories without -long.
	histories = 20_000
	// longFactor multiplies the histories with -long.
	longFactor = 20
	// mutationHistories bounds the histories in which an injected fault must be found.
	mutationHistories = 5_000
)

var long = flag.Bool("long", false, "run more random histories")

func TestMain(m *testing.M) {
	flag.Parse()
	checks := histories
	if *long {
		checks *= longFactor
	}
	setDefault("rapid.seed", "20261203")
	setDefault("rapid.checks", strconv.Itoa(checks))
	setDefault("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// setDefault sets a flag that is not given on the command line.
func setDefault(name, value string) {
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	if given {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// TestHistories runs random histories of nodes, platform, upstream and callers
// with the real state machine and checks that they reach every cause of a response.
func TestHistories(t *testing.T) {
	ran := 0
	causes := map[command.Cause]int{}
	rapid.Check(t, func(t *rapid.T) {
		ran++
		if violation := runHistory(t, noMutation, causes); violation != "" {
			t.Fatal(violation)
		}
	})
	want, err := strconv.Atoi(flag.Lookup("rapid.checks").Value.String())
	if err != nil {
		t.Fatal(err)
	}
	if testing.Short() {
		want /= 5 // rapid does so
	}
	if ran < want {
		t.Errorf("%d histories ran, want %d", ran, want)
	}
	for _, cause := range []command.Cause{
		command.CauseRan, command.CauseRecorded, command.CauseReplyLost, command.CauseRefused,
		command.CausePending, command.CausePlatform, command.CauseDeadline, command.CauseCallerLeft,
		command.CauseBudget, command.CauseStopping, command.CauseOtherBody,
	} {
		if causes[cause] < 100 {
			t.Errorf("only %d responses with cause %s", causes[cause], cause)
		}
	}
}

// TestInvariants checks that each invariant of the state machine can be violated.
func TestInvariants(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	spec := Spec{Record: command.Record{RequestID: "r"}, Deadline: now.Add(time.Second)}
	settled := command.Record{RequestID: "r", State: command.StateDone}
	claimed := command.Record{RequestID: "r", State: command.StateClaimed}
	dispatch, update, remove := ActDispatch{}, ActUpdate{Record: settled}, ActDelete{}
	cases := []struct {
		name     string
		machine  Machine
		action   Action
		violated bool
	}{
		{"dispatch", Machine{confirmed: true}, dispatch, false},
		{"dispatch without a claim", Machine{}, dispatch, true},
		{"dispatch twice", Machine{confirmed: true, mayHaveRun: true}, dispatch, true},
		{"dispatch after the response", Machine{confirmed: true, responded: true}, dispatch, true},
		{"dispatch without callers", Machine{confirmed: true, disconnected: true}, dispatch, true},
		{"settle", Machine{confirmed: true, mayHaveRun: true}, update, false},
		{"settle without a claim", Machine{mayHaveRun: true}, update, true},
		{"settle a command that did not run", Machine{confirmed: true}, update, true},
		{"settle without an outcome", Machine{confirmed: true, mayHaveRun: true}, ActUpdate{Record: claimed}, true},
		{"free", Machine{confirmed: true}, remove, false},
		{"free the key of a command that may have run", Machine{confirmed: true, mayHaveRun: true}, remove, true},
		{"response not run for a command that may have run", Machine{mayHaveRun: true}, ActRespond{command.Result{Outcome: query.NotRun}}, true},
		{"response done without an answer", Machine{mayHaveRun: true}, ActRespond{command.Result{Outcome: query.Done}}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := c.machine
			m.spec = spec
			var invariant *InvariantError
			err := m.checkInvariants(now, []Action{c.action})
			if errors.As(err, &invariant) != c.violated {
				t.Errorf("got %v", err)
			}
		})
	}
}

// TestUnexpectedEvents checks that events out of order end the machine.
func TestUnexpectedEvents(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	own := command.Record{RequestID: "r", State: command.StateDone}
	cases := []struct {
		name   string
		before []Event
		event  Event
	}{
		{"reply before the start", nil, Dispatched{}},
		{"start twice", []Event{Begin{}}, Begin{}},
		{"unexpected end of an update", []Event{Begin{}}, Updated{}},
		{"unexpected end of a delete", []Event{Begin{}}, Deleted{}},
		{"unexpected end of a wait", []Event{Begin{}}, WaitElapsed{}},
		{"unexpected end of a read", []Event{Begin{}}, ReadCompleted{}},
		{"own claim settled by another node", []Event{Begin{}, Created{Fault: FaultExists}}, ReadCompleted{Record: own}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			spec := Spec{Record: command.Record{RequestID: "r"}, Deadline: now.Add(time.Second), FirstSend: true}
			m := New(DefaultConfig(), spec)
			for _, event := range c.before {
				if _, err := m.Step(now, event); err != nil {
					t.Fatal(err)
				}
			}
			actions, err := m.Step(now, c.event)
			var invariant *InvariantError
			if !errors.As(err, &invariant) || len(actions) != 0 || !m.Ended() {
				t.Errorf("actions %v, error %v", actions, err)
			}
		})
	}
}

// TestHistoriesFindMutations checks that the random histories detect injected faults.
func TestHistoriesFindMutations(t *testing.T) {
	cases := []struct {
		name   string
		mutate mutation
	}{
		{"dispatch before the claim is confirmed", mutateDispatchEarly},
		{"takeover of another's claim", mutateTakeOver},
		{"key freed after a lost reply", mutateFreeAfterLoss},
		{"second attempt after a lost reply", mutateRetryLost},
		{"response not run without evidence", mutateReportNotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			generator := rapid.Custom(func(t *rapid.T) string { return runHistory(t, c.mutate, map[command.Cause]int{}) })
			for seed := 1; seed <= mutationHistories; seed++ {
				if violation := generator.Example(seed); violation != "" {
					t.Logf("history %d: %s", seed, violation)
					return
				}
			}
			t.Errorf("not found in %d histories", mutationHistories)
		})
	}
}
