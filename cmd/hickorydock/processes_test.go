package main

import (
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// addressVariables are set to free loopback addresses in each script.
var addressVariables = []string{"PLATFORM", "LEAF_A", "LEAF_B", "CALLERS", "ADMIN", "PEERS"}

// TestProcesses runs the cases in testdata/processes, in which every part of
// the system is a process. Besides the usual commands there is
//
//	eventually PROGRAM ARGS...  runs a program until it succeeds
func TestProcesses(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/processes",
		Setup: func(env *testscript.Env) error {
			for _, name := range addressVariables {
				address, err := freeAddress()
				if err != nil {
					return err
				}
				env.Setenv(name, address)
			}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"eventually": eventually},
	})
}

const (
	eventuallyTries = 200
	eventuallyPause = 100 * time.Millisecond
)

func eventually(ts *testscript.TestScript, _ bool, args []string) {
	var err error
	for range eventuallyTries {
		if err = ts.Exec(args[0], args[1:]...); err == nil {
			return
		}
		time.Sleep(eventuallyPause)
	}
	ts.Fatalf("%v never succeeded: %v", args, err)
}
