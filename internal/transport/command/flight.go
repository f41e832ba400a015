package command

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorydock/hickorydock/internal/protocol/command"
)

const flightShardCount = 16

// flight is a command in progress at this node, with the callers that wait for it.
type flight struct {
	name, bodyHash string
	// deadline is when its machine responds at the latest.
	deadline time.Time
	// callersDisconnected is closed when no caller waits any longer, because each has
	// disconnected or has reached its deadline.
	callersDisconnected chan struct{}
	// done is closed when result is set.
	done    chan struct{}
	result  command.Result
	waiters int // guarded by its shard
}

// respondGrace is how long after the machine's deadline a caller waits for its
// response, unless the caller's deadline is earlier: the machine's result is more
// precise than a timeout.
const respondGrace = 250 * time.Millisecond

// waitUntil returns the time until which a caller with the given deadline waits.
func (fl *flight) waitUntil(deadline time.Time) time.Time {
	if deadline.Before(fl.deadline) {
		return deadline
	}
	return fl.deadline.Add(respondGrace)
}

// flights holds the commands in progress by name; each shard has its own lock.
type flights struct {
	shards [flightShardCount]flightShard
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
	return &f.shards[xxhash.Sum64String(name)%flightShardCount]
}

// join returns the flight of a name and counts the caller as waiting. If there
// is none, it creates one. A flight with another body is returned without joining.
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
		name:                name,
		bodyHash:            bodyHash,
		deadline:            deadline,
		callersDisconnected: make(chan struct{}),
		done:                make(chan struct{}),
		waiters:             1,
	}
	s.byName[name] = fl
	return fl, true
}

// leave removes a waiting caller that disconnected or reached its deadline. The last
// one closes callersDisconnected; a later caller of the same name starts a new flight.
func (f *flights) leave(fl *flight) {
	s := f.shard(fl.name)
	s.mu.Lock()
	defer s.mu.Unlock()
	fl.waiters--
	if fl.waiters > 0 {
		return
	}
	close(fl.callersDisconnected)
	if s.byName[fl.name] == fl {
		delete(s.byName, fl.name)
	}
}

// finish delivers the result to the waiting callers.
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
