// Standin runs one case of the review: it starts gateways as separate processes, with
// stand-ins of the store, the leafs and the requesters, and checks one rule.
//
//	standin CASE RECORD
//
// It is started in the root of the repository. It exits with 1 if the rule was broken, with
// 0 if it held and with 2 if the case could not run. With TROUBLE=0 in the environment the
// disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
)

// Exit codes.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// cases are the cases by name. Each returns the number of violations.
var cases = map[string]func(f *fleet, trouble bool) (int, error){
	"late-copy":   lateCopy,
	"leave-early": leaveEarly,
}

// main starts the gateways from the first thread: they are killed when that thread ends, so that
// none is left behind if this process is killed.
func main() {
	runtime.LockOSThread()
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return couldNot
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer out.Close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer os.RemoveAll(dir)
	f := &fleet{dir: dir, record: newRecord(out)}
	defer f.stop()
	stopOnSignal(f)
	if f.store, err = newStore(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	violations, err := cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	if err != nil {
		f.record.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	f.record.line("violations: %d", violations)
	fmt.Printf("%s: %d violations\n", os.Args[1], violations)
	if violations > 0 {
		return broken
	}
	return held
}

// stopOnSignal ends the gateways when the case is ended early.
func stopOnSignal(f *fleet) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		f.stop()
		_ = os.RemoveAll(f.dir)
		os.Exit(couldNot)
	}()
}
