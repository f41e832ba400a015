// Command review2 plays one case of the second review: it starts gateways as separate processes
// beside small stand-ins of the store, the leafs and the requesters, and judges what these have
// seen. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	cannot = 2
)

// longest is the longest time that a case may take.
const longest = 110 * time.Second

// record writes what was sent, answered and run to record.txt.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// verdict writes a line to the record and to the terminal.
func (r *record) verdict(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// play is one case. trouble is false for the run without the disruption.
type play func(c *cluster, trouble bool) (broken bool, err error)

var plays = map[string]play{}

func main() {
	if len(os.Args) != 4 {
		fmt.Println("usage: review2 CASE REPOSITORY FOLDER")
		os.Exit(cannot)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, repo, folder string) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return cannot
	}
	defer file.Close()
	rec := &record{file: file, started: time.Now()}
	p, ok := plays[name]
	if !ok {
		rec.verdict("no case %s", name)
		return cannot
	}
	trouble := os.Getenv("TROUBLE") != "0"
	c, err := newCluster(repo, rec)
	if err != nil {
		rec.verdict("cannot run: %v", err)
		return cannot
	}
	defer c.close()
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-ends:
		case <-time.After(longest):
		}
		rec.verdict("cannot run: stopped after %v", time.Since(rec.started).Round(time.Second))
		c.close()
		os.Exit(cannot)
	}()
	rec.line("case %s, disruption: %t", name, trouble)
	violated, err := p(c, trouble)
	switch {
	case err != nil:
		rec.verdict("cannot run: %v", err)
		return cannot
	case violated:
		rec.verdict("the rule was broken")
		return broken
	}
	rec.verdict("the rule held")
	return held
}
