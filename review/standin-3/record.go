package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
	broken  int
}

func newRecord(name string) (*record, error) {
	file, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), started: time.Now()}, nil
}

// printf writes one line with the time since the start in seconds.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.print(format, args...)
}

func (r *record) print(format string, args ...any) {
	fmt.Fprintf(r.out, "%9.4f ", time.Since(r.started).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

// violation writes a line about a broken rule, also to standard output.
func (r *record) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken++
	r.print("BROKEN "+format, args...)
	const shown = 20
	if r.broken <= shown {
		fmt.Printf("BROKEN "+format+"\n", args...)
	}
}

func (r *record) violations() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
