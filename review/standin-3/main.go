// Command standin runs the scripts of the third review: gateways as separate processes, and in
// this process a store, leafs and requesters that behave as the pages of the platform say.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration ends a script that does not end by itself.
const maxDuration = 115 * time.Second

// scenario is one script. It returns the violations of its rule.
type scenario func(*world) error

var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO REPOSITORY RECORD")
		os.Exit(exitNotRun)
	}
	run, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown scenario", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(play(run, os.Args[2], os.Args[3]))
}

// play runs a scenario and returns the exit code.
func play(run scenario, repository, recordFile string) int {
	record, err := newRecord(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	w := &world{
		record:  record,
		binary:  filepath.Join(repository, "target", "hickorydock"),
		dir:     dir,
		trouble: os.Getenv("TROUBLE") != "0",
		started: time.Now(),
	}
	ended := make(chan error, 1)
	go func() { ended <- run(w) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err = <-ended:
	case s := <-signals:
		err = fmt.Errorf("ended by %v", s)
	case <-time.After(maxDuration):
		err = fmt.Errorf("the script took longer than %v", maxDuration)
	}
	if err == nil {
		err = w.check()
	}
	w.close()
	_ = os.RemoveAll(dir)
	code := exitHeld
	switch {
	case err != nil:
		record.printf("not run: %v", err)
		code = exitNotRun
	case record.violations() > 0:
		code = exitBroken
	}
	record.printf("trouble=%t violations=%d exit=%d", w.trouble, record.violations(), code)
	record.close()
	return code
}
