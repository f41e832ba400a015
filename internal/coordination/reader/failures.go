package reader

import (
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/backoff"
)

const (
	// maxPromptRetries is the number of reads in a row that a reader repeats itself after
	// failures that took no time.
	maxPromptRetries = 3
	// minPassedOver and maxPassedOver bound how long a node that the platform does not serve is
	// no reader, so that other nodes are chosen. In an outage of the platform this applies to
	// all nodes, and the outage may be over when this time ends.
	minPassedOver = 250 * time.Millisecond
	maxPassedOver = 1 * time.Second
)

// promptRetries are the delays of a reader before it repeats a read.
var promptRetries = backoff.Policy{
	Initial:    50 * time.Millisecond,
	Max:        400 * time.Millisecond,
	ResetAfter: 5 * time.Second,
}

// Failures decides what a reader does when reads of one kind fail. A watch that was cut off is
// continued at once, as the platform may serve the next read; a node whose reads go on failing
// leaves the platform to others. It is not safe for concurrent use.
type Failures struct {
	count  int // since a read was served
	last   time.Time
	delays *backoff.Backoff
}

// NewFailures returns the state of a reader without failures.
func NewFailures() *Failures { return &Failures{delays: backoff.New(promptRetries)} }

// Any reports whether the last read failed.
func (f *Failures) Any() bool { return f.count > 0 }

// Served records that the platform served a read.
func (f *Failures) Served() { f.count = 0 }

// Failed records a failure at now. If passOver is 0, the node repeats the read after retryIn;
// else it is no reader for passOver. prompt is true for a read that failed without a timeout;
// random is a random number in [0, 1).
func (f *Failures) Failed(now time.Time, prompt bool, random float64) (retryIn, passOver time.Duration) {
	sinceLast := now.Sub(f.last)
	f.last = now
	f.count++
	switch {
	case !prompt:
		return 0, maxPassedOver
	case f.count <= maxPromptRetries:
		return f.delays.Next(sinceLast, random), 0
	}
	passOver = minPassedOver
	for n := maxPromptRetries + 1; n < f.count && passOver < maxPassedOver; n++ {
		passOver *= 2
	}
	return 0, min(passOver, maxPassedOver)
}
