package forward

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/transport/leafwire"
)

// event is something that happens once. The zero value has not happened.
type event struct {
	happened atomic.Bool

	mu   sync.Mutex
	done chan struct{} // closed when the event happens
}

// fire lets the event happen. Further calls have no effect.
func (e *event) fire() {
	done := e.channel()
	if !e.happened.Swap(true) {
		close(done)
	}
}

func (e *event) hasHappened() bool { return e.happened.Load() }

// channel returns a channel that is closed when the event happens.
func (e *event) channel() chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.done == nil {
		e.done = make(chan struct{})
	}
	return e.done
}

// Stop makes the connections of callers close after their next response.
func (f *Forwarder) Stop() { f.stopping.Store(true) }

// StopSending ends the sending of attempts, also for other nodes: those that wait for a
// connection are withdrawn, and what then has not run is rejected, so that callers and nodes
// send it elsewhere. Attempts that were sent go on.
func (f *Forwarder) StopSending() { f.sendsEnded.fire() }

// EndRequests answers all requests in progress, also those of other nodes, with what has
// arrived by now.
func (f *Forwarder) EndRequests() { f.requestsEnded.fire() }

// withdrawWaiting withdraws all attempts that wait for a connection. Their shards fail unless
// another attempt is pending, since nothing is sent any more.
func (x *exchange) withdrawWaiting(now time.Time) {
	var withdrawn []*leafwire.Call
	for call := range x.pending {
		if x.withdrawCall(now, call) {
			withdrawn = append(withdrawn, call)
		}
	}
	for _, call := range withdrawn {
		x.handleResult(now, call.Shard, subrequest.Unsent)
	}
}

// isUnsent reports whether no attempt of a shard has left this node.
func (x *exchange) isUnsent(shard int) bool {
	return x.shards[shard].machine.Sent() == 0 && !x.hasPending(shard)
}
