package logging

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
)

// blockedWriter blocks every write until open is closed.
type blockedWriter struct {
	open chan struct{}
	text bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.open
	return w.text.Write(p)
}

// TestSlowConsumerDoesNotBlock checks that lines are dropped and counted, and that
// Write does not block, while the log is not read.
func TestSlowConsumerDoesNotBlock(t *testing.T) {
	w := &blockedWriter{open: make(chan struct{})}
	q := NewQueue(w)
	const extra = 50
	start := time.Now()
	for range maxQueuedLines + extra {
		if _, err := q.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if elapsed := time.Since(start); elapsed > time.Second {
		t.Errorf("writing took %v", elapsed)
	}
	close(w.open)
	q.Close(5 * time.Second)
	got := w.text.String()
	written := strings.Count(got, "line\n")
	if !strings.Contains(got, "log lines dropped") || written < maxQueuedLines || written > maxQueuedLines+extra {
		t.Errorf("%d lines written, dropped ones counted: %t", written, strings.Contains(got, "dropped"))
	}
}

func TestNewLimitedSetsTheRepeatLimit(t *testing.T) {
	var out strings.Builder
	logger := NewLimited(&out, log.InfoLevel, RateLimit{Burst: 3, Interval: time.Hour})
	for range 10 {
		logger.Info("again")
	}
	if n := strings.Count(out.String(), "again"); n != 3 {
		t.Errorf("%d lines, want 3", n)
	}
}
