package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// queueLines is the number of lines that wait for the reader of the log.
const queueLines = 1000

// Queue writes lines in the background, so that a slow reader of the log delays
// nobody. Lines that find the queue full are dropped and counted in a line of
// their own. It is safe for concurrent use.
type Queue struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	closing sync.Once
}

// NewQueue returns a queue in front of w.
func NewQueue(w io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go q.write(w)
	return q
}

// Write queues a line. It never fails.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// write hands lines to w until Close. A line that w refuses is lost, since there
// is no other place to say so.
func (q *Queue) write(w io.Writer) {
	defer close(q.done)
	for line := range q.lines {
		if line == nil {
			return
		}
		if n := q.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w, "time=%s level=warn msg=\"log lines dropped\" lines=%d\n", time.Now().UTC().Format(timeLayout), n)
		}
		_, _ = w.Write(line)
	}
}

// Close writes what waits, for limit at most.
func (q *Queue) Close(limit time.Duration) {
	q.closing.Do(func() {
		timer := time.NewTimer(limit)
		defer timer.Stop()
		select {
		case q.lines <- nil:
		case <-timer.C:
			return
		}
		select {
		case <-q.done:
		case <-timer.C:
		}
	})
}
