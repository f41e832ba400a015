package logging

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
)

// blockedWriter takes nothing until it is opened.
type blockedWriter struct {
	open chan struct{}
	text bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.open
	return w.text.Write(p)
}

// TestSlowReaderDelaysNobody holds that lines are dropped and counted, not waited
// for, when nobody reads the log.
func TestSlowReaderDelaysNobody(t *testing.T) {
	w := &blockedWriter{open: make(chan struct{})}
	q := NewQueue(w)
	const extra = 50
	begun := time.Now()
	for range queueLines + extra {
		if _, err := q.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(begun); took > time.Second {
		t.Errorf("writing took %v", took)
	}
	close(w.open)
	q.Close(5 * time.Second)
	got := w.text.String()
	written := strings.Count(got, "line\n")
	if !strings.Contains(got, "log lines dropped") || written < queueLines || written > queueLines+extra {
		t.Errorf("%d lines written, dropped ones counted: %t", written, strings.Contains(got, "dropped"))
	}
}

func TestLimitOfRepeats(t *testing.T) {
	var out strings.Builder
	logger := NewLimited(&out, log.InfoLevel, RateLimit{Burst: 3, Interval: time.Hour})
	for range 10 {
		logger.Info("again")
	}
	if n := strings.Count(out.String(), "again"); n != 3 {
		t.Errorf("%d lines, want 3", n)
	}
}
