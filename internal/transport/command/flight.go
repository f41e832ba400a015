package command

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorydock/hickorydock/internal/protocol/command"
)

const flightShards = 16

// flight is a command in progress at this node, with the callers that wait for it.
type flight struct {
	name, bodyHash string
	// deadline is when its machine tells at the latest.
	deadline time.Time
	// left is closed when no caller waits any more.
	left chan struct{}
	// done is closed when result is set.
	done    chan struct{}
	result  command.Result
	waiters int // guarded by its shard
}

// tellGrace is how long a caller whose deadline is that of the machine waits
// for it to tell: what the machine says is more precise.
const tellGrace = 250 * time.Millisecond

// patience is until when a caller with a deadline waits.
func (fl *flight) patience(deadline time.Time) time.Time {
	if deadline.Before(fl.deadline) {
		return deadline
	}
	return fl.deadline.Add(tellGrace)
}

// flights holds the commands in progress by name; each shard has its own lock.
type flights struct {
	shards [flightShards]flightShard
}

type flightShard struct {
	mu     sync.Mutex
	byName map[string]*flight
}

func newFlights() *flights {
	f := &flights{}
	for i := range f.shards {
		f.shards[i].byName = make(map[string]*flight)
	}
	return f
}

func (f *flights) shard(name string) *flightShard {
	return &f.shards[xxhash.Sum64String(name)%flightShards]
}

// join returns the flight of a name and counts the caller as waiting. It is new
// when there was none. A flight with another body is returned without joining.
func (f *flights) join(name, bodyHash string, deadline time.Time) (fl *flight, isNew bool) {
	s := f.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if fl, ok := s.byName[name]; ok {
		if fl.bodyHash == bodyHash {
			fl.waiters++
		}
		return fl, false
	}
	fl = &flight{
		name:     name,
		bodyHash: bodyHash,
		deadline: deadline,
		left:     make(chan struct{}),
		done:     make(chan struct{}),
		waiters:  1,
	}
	s.byName[name] = fl
	return fl, true
}

// leave counts a caller as gone. The last one closes left; a later caller of
// the same name starts anew.
func (f *flights) leave(fl *flight) {
	s := f.shard(fl.name)
	s.mu.Lock()
	defer s.mu.Unlock()
	fl.waiters--
	if fl.waiters > 0 {
		return
	}
	close(fl.left)
	if s.byName[fl.name] == fl {
		delete(s.byName, fl.name)
	}
}

// finish tells the waiting callers.
func (f *flights) finish(fl *flight, result command.Result) {
	s := f.shard(fl.name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byName[fl.name] == fl {
		delete(s.byName, fl.name)
	}
	fl.result = result
	close(fl.done)
}
