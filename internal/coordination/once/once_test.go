package once

import (
	"flag"
	"os"
	"strconv"
	"testing"

	"pgregory.net/rapid"
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
	rapid.Check(t, func(t *rapid.T) {
		ran++
		if broken := history(t, mutateNothing); broken != "" {
			t.Fatal(broken)
		}
	})
	if want := flag.Lookup("rapid.checks").Value.String(); strconv.Itoa(ran) != want {
		t.Errorf("%d histories ran, want %s", ran, want)
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
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			generator := rapid.Custom(func(t *rapid.T) string { return history(t, c.mutate) })
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
