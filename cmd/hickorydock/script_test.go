package main

import (
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	standin "github.com/hickorydock/hickorydock/internal/standin/platform"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"hickorydock": main})
}

type standinKey struct{}

// TestScripts runs the cases in testdata/script, each against its own
// platform stand-in. Besides the usual commands there are
//
//	node NAME REVISION   stores the status of a live node
//	fault NAME           sets a fault of the platform: none, refuse, lost
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata/script",
		UpdateScripts: false,
		Setup: func(env *testscript.Env) error {
			p := standin.New(standin.Options{Seed: 1})
			server := httptest.NewServer(p)
			env.Defer(server.Close)
			env.Setenv(platformVariable, server.URL)
			env.Values[standinKey{}] = p
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"node":  storeNode,
			"fault": setFault,
		},
	})
}

func standinOf(ts *testscript.TestScript) *standin.Platform {
	return ts.Value(standinKey{}).(*standin.Platform)
}

func storeNode(ts *testscript.TestScript, _ bool, args []string) {
	revision, err := strconv.ParseUint(args[1], 10, 64)
	ts.Check(err)
	status := platform.NodeStatus{Node: args[0], AvailabilityZone: "zone-a", Revision: revision, At: time.Now(), FreshFor: 600}
	ts.Check(standinOf(ts).Set(platform.KindNode, args[0], status))
}

func setFault(ts *testscript.TestScript, _ bool, args []string) {
	faults, known := map[string]standin.Faults{
		"none":   {},
		"refuse": {Outage: standin.OutageRefuse},
		"lost":   {LostReplyShare: 1},
	}[args[0]]
	if !known {
		ts.Fatalf("unknown fault %q", args[0])
	}
	standinOf(ts).SetFaults(faults)
}
