package relay

import (
	"sync"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/admission"
	"github.com/hickorydock/hickorydock/internal/coordination/limit"
	"github.com/hickorydock/hickorydock/internal/coordination/quarantine"
	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
	"github.com/hickorydock/hickorydock/internal/transport/throttle"
	"github.com/hickorydock/hickorydock/internal/transport/upstream"
)

const (
	// defaultLeafQueue bounds the subrequests that wait for one leaf.
	defaultLeafQueue = 64
	// leafTolerance is the multiple of its baseline that a leaf's median latency may
	// reach before the leaf's limit is lowered.
	leafTolerance = 2.5
	// extraInFlight is the number of subrequests in flight above a leaf's slots, which
	// keeps its slots busy while replies are in transit.
	extraInFlight = 1
	// defaultLeafSlots is assumed if a service does not state a leaf's slots.
	defaultLeafSlots = 64
	// idleQueueTTL is how long an unused leaf's queue is kept.
	idleQueueTTL = 10 * time.Minute
)

// Shares returns how many connections this node may hold to each leaf of an upstream
// group; connections.Shares implements it.
type Shares interface {
	Allowed(group string) (count int, known bool)
}

// queues holds the queue of each leaf. It is safe for concurrent use.
type queues struct {
	maxQueue  int
	leafs     sync.Map // leaf identifier -> *leafQueue
	mu        sync.Mutex
	lastSweep time.Time
	shares    Shares // nil means no bound
}

// leafQueue is the queue of one leaf. Its limit lies within the leaf's slots
// and this node's share of its connections.
type leafQueue struct {
	*throttle.Throttle
	mu       sync.Mutex
	lastUsed time.Time
}

func newQueues(maxQueue int) *queues { return &queues{maxQueue: maxQueue} }

// forLeaf returns the queue of a leaf, with the ceiling that follows from the service.
func (q *queues) forLeaf(leafID string, service *note.Service) *leafQueue {
	ceiling := q.ceiling(service)
	found, ok := q.leafs.Load(leafID)
	if !ok {
		found = q.add(leafID, ceiling)
	}
	queue := found.(*leafQueue)
	queue.touch(time.Now())
	queue.SetCeiling(ceiling)
	return queue
}

func (q *queues) add(leafID string, ceiling int) any {
	q.sweep(time.Now())
	limiter := limit.New(limit.Config{Floor: 1, Ceiling: ceiling, Initial: ceiling, Tolerance: leafTolerance})
	created := &leafQueue{Throttle: throttle.New(admission.New(admission.Config{Total: limiter, MaxQueue: q.maxQueue}))}
	queue, _ := q.leafs.LoadOrStore(leafID, created)
	return queue
}

// ceiling is the maximum number of subrequests in flight to a leaf: its slots and
// extraInFlight, and at most this node's share of its connections.
func (q *queues) ceiling(service *note.Service) int {
	ceiling := defaultLeafSlots
	if service.LeafSlots > 0 {
		ceiling = service.LeafSlots + extraInFlight
	}
	if q.shares == nil {
		return ceiling
	}
	if allowed, known := q.shares.Allowed(service.UpstreamGroup); known {
		ceiling = min(ceiling, allowed)
	}
	return max(ceiling, 1)
}

// sweep removes the queues of leafs that were not used for idleQueueTTL.
func (q *queues) sweep(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.lastSweep) < idleQueueTTL {
		return
	}
	q.lastSweep = now
	q.leafs.Range(func(id, queue any) bool {
		if queue.(*leafQueue).isIdle(now) {
			q.leafs.Delete(id)
		}
		return true
	})
}

func (l *leafQueue) touch(now time.Time) {
	l.mu.Lock()
	l.lastUsed = now
	l.mu.Unlock()
}

func (l *leafQueue) isIdle(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.lastUsed) > idleQueueTTL
}

// SetShares bounds the subrequests in flight to each leaf by the node's share of
// its connections. It is called before the first subrequest.
func (r *Relay) SetShares(s Shares) { r.queues.shares = s }

// attemptPriorities are the priorities of attempts in a leaf's queue; a retry comes
// first since it has the least time left.
var attemptPriorities = map[subrequest.Kind]int{subrequest.First: 1, subrequest.Retry: 2, subrequest.Hedge: 0}

// enter waits until the quarantine and the leaf's limit admit the attempt. It returns the
// end of an attempt that must not be sent, else nil.
func (u *run) enter(queue *leafQueue, tracked *quarantine.Attempt, attempt subrequest.Attempt, target shardmap.Replica) *attemptEnd {
	if refused := u.enterGuard(tracked, target); refused != nil {
		return refused
	}
	ticket := &admission.Ticket{
		Class:    u.task.Service.Name,
		Priority: attemptPriorities[attempt.Kind],
		Deadline: u.task.Deadline,
	}
	err := queue.Enter(u.ctx, ticket)
	admitted := err == nil && ticket.Decision == admission.Admit
	if admitted && !isWithdrawn(target) {
		u.started.Store(true)
		// The context is checked after the store: a goroutine that saw the context
		// end and then found started false may rely on nothing being sent.
		if err = u.ctx.Err(); err == nil {
			return nil
		}
	}
	if admitted {
		u.leave(queue, limit.Sample{Outcome: limit.Ignored})
	}
	u.relay.guard.Leave(*tracked, quarantine.Inconclusive)
	switch {
	case err != nil:
		return unsent(subrequest.ConnectionLost, fault.Wrap(err, fault.StepRelay, target.VM.ID, "wait for the leaf"))
	case admitted:
		return unsent(subrequest.Unsent, fault.New(fault.StepRelay, target.VM.ID, "leaf began to leave while the subrequest waited"))
	default:
		return unsent(subrequest.NotRun, fault.New(fault.StepRelay, target.VM.ID, "queue of the leaf is full or too slow"))
	}
}

// isWithdrawn reports whether a leaf gets no new work. It may have become so while an attempt
// waited for it.
func isWithdrawn(target shardmap.Replica) bool {
	stats := target.Record.Stats()
	return stats.IsWithdrawn()
}

func unsent(result subrequest.Result, err error) *attemptEnd {
	return &attemptEnd{reply: upstream.Reply{Result: result, Err: err}}
}

// leave removes an attempt from a leaf's queue.
func (u *run) leave(queue *leafQueue, sample limit.Sample) {
	if err := queue.Done(u.task.Service.Name, sample); err != nil && u.relay.observer != nil {
		u.relay.observer.InvariantViolated("leaf_queue")
	}
}

// sampleOf returns the sample of the leaf's load from the end of an attempt. Only runs
// count: a refusal takes no time, so it would look like an idle leaf.
func sampleOf(result subrequest.Result, elapsed time.Duration) limit.Sample {
	switch result {
	case subrequest.OK, subrequest.UpstreamError:
		return limit.Sample{Elapsed: elapsed}
	case subrequest.NotRun:
		return limit.Sample{Outcome: limit.Shed}
	default:
		return limit.Sample{Outcome: limit.Ignored}
	}
}
