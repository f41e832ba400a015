package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxQueuedLines bounds the lines that wait to be written.
const maxQueuedLines = 1000

// Queue writes lines in the background, so that a slow log consumer does not
// block the goroutines that log. While the queue is full, lines are dropped; a
// later warning gives their number. It is safe for concurrent use.
type Queue struct {
	lines     chan []byte
	dropped   atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
}

// NewQueue returns a queue that writes to w.
func NewQueue(w io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go q.write(w)
	return q
}

// Write queues a line or drops it. It never fails.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// write copies lines to w until it reads the nil line of Close. Errors of w are
// ignored, since there is no other place to report them.
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

// Close writes the queued lines and returns after at most timeout.
func (q *Queue) Close(timeout time.Duration) {
	q.closeOnce.Do(func() {
		timer := time.NewTimer(timeout)
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
