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
	// histories is the number of random histories of an ordinary run.
	histories = 20_000
	// longFactor multiplies the histories with -long.
	longFactor = 20
	// mutationHistories bounds the search for a deliberate fault.
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

// setDefault sets a flag that the command line leaves out.
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
// over the real decisions.
func TestHistories(t *testing.T) {
	ran := 0
	causes := map[command.Cause]int{}
	rapid.Check(t, func(t *rapid.T) {
		ran++
		if broken := history(t, mutateNothing, causes); broken != "" {
			t.Fatal(broken)
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
			t.Errorf("only %d ends by %s", causes[cause], cause)
		}
	}
}

// TestInvariants shows that each check inside the decisions can fail.
func TestInvariants(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	spec := Spec{Record: command.Record{RequestID: "r"}, Deadline: now.Add(time.Second)}
	settled := command.Record{RequestID: "r", State: command.StateDone}
	claimed := command.Record{RequestID: "r", State: command.StateClaimed}
	dispatch, update, remove := ActDispatch{}, ActUpdate{Record: settled}, ActDelete{}
	cases := []struct {
		name    string
		machine Machine
		action  Action
		broken  bool
	}{
		{"dispatch", Machine{confirmed: true}, dispatch, false},
		{"dispatch without a claim", Machine{}, dispatch, true},
		{"dispatch twice", Machine{confirmed: true, mayHaveRun: true}, dispatch, true},
		{"dispatch after telling", Machine{confirmed: true, told: true}, dispatch, true},
		{"dispatch for nobody", Machine{confirmed: true, left: true}, dispatch, true},
		{"settle", Machine{confirmed: true, mayHaveRun: true}, update, false},
		{"settle without a claim", Machine{mayHaveRun: true}, update, true},
		{"settle what did not run", Machine{confirmed: true}, update, true},
		{"settle without an outcome", Machine{confirmed: true, mayHaveRun: true}, ActUpdate{Record: claimed}, true},
		{"free", Machine{confirmed: true}, remove, false},
		{"free what may have run", Machine{confirmed: true, mayHaveRun: true}, remove, true},
		{"told not run of what may have run", Machine{mayHaveRun: true}, ActRespond{command.Result{Outcome: query.NotRun}}, true},
		{"told done without an answer", Machine{mayHaveRun: true}, ActRespond{command.Result{Outcome: query.Done}}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := c.machine
			m.spec = spec
			var invariant *InvariantError
			err := m.check(now, []Action{c.action})
			if errors.As(err, &invariant) != c.broken {
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
		{"update that was not asked for", []Event{Begin{}}, Updated{}},
		{"delete that was not asked for", []Event{Begin{}}, Deleted{}},
		{"wake that was not asked for", []Event{Begin{}}, WaitElapsed{}},
		{"read that was not asked for", []Event{Begin{}}, ReadCompleted{}},
		{"own claim settled by another", []Event{Begin{}, Created{Fault: FaultExists}}, ReadCompleted{Record: own}},
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

// TestHistoriesFindMutations shows that the histories find deliberate faults.
func TestHistoriesFindMutations(t *testing.T) {
	cases := []struct {
		name   string
		mutate mutation
	}{
		{"dispatch before the claim is confirmed", mutateDispatchEarly},
		{"takeover of another's claim", mutateTakeOver},
		{"key freed after a lost reply", mutateFreeAfterLoss},
		{"second attempt after a lost reply", mutateRetryLost},
		{"told not run without knowing", mutateClaimNotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			generator := rapid.Custom(func(t *rapid.T) string { return history(t, c.mutate, map[command.Cause]int{}) })
			for seed := 1; seed <= mutationHistories; seed++ {
				if broken := generator.Example(seed); broken != "" {
					t.Logf("history %d: %s", seed, broken)
					return
				}
			}
			t.Errorf("not found in %d histories", mutationHistories)
		})
	}
}
