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
	// leafTolerance is how many times its baseline a leaf's median latency may
	// reach before its limit falls.
	leafTolerance = 2.5
	// spareRuns is the number of subrequests above a leaf's slots, which keep
	// its slots busy while replies travel.
	spareRuns = 1
	// unknownSlots is assumed where a service does not state a leaf's slots.
	unknownSlots = 64
	// idleQueueTTL is how long the queue of an unused leaf is kept.
	idleQueueTTL = 10 * time.Minute
)

// Shares says how many connections this node may hold to each leaf of an upstream
// group; it is met by connections.Shares.
type Shares interface {
	Allowed(group string) (count int, known bool)
}

// queues holds the queue of each leaf. It is safe for concurrent use.
type queues struct {
	maxQueue int
	leafs    sync.Map // leaf identifier -> *leafQueue
	mu       sync.Mutex
	swept    time.Time
	shares   Shares // nil means no bound
}

// leafQueue is the queue of one leaf. Its limit lies within the leaf's slots
// and this node's share of its connections.
type leafQueue struct {
	*throttle.Throttle
	mu   sync.Mutex
	used time.Time
}

func newQueues(maxQueue int) *queues { return &queues{maxQueue: maxQueue} }

// of returns the queue of a leaf, adapted to what the service states of it.
func (q *queues) of(leafID string, service *note.Service) *leafQueue {
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
	fresh := &leafQueue{Throttle: throttle.New(admission.New(admission.Config{Total: limiter, MaxQueue: q.maxQueue}))}
	queue, _ := q.leafs.LoadOrStore(leafID, fresh)
	return queue
}

// ceiling is the largest number of subrequests in flight to a leaf: its slots
// and spareRuns, and at most this node's share of its connections.
func (q *queues) ceiling(service *note.Service) int {
	ceiling := unknownSlots
	if service.LeafSlots > 0 {
		ceiling = service.LeafSlots + spareRuns
	}
	if q.shares == nil {
		return ceiling
	}
	if allowed, known := q.shares.Allowed(service.UpstreamGroup); known {
		ceiling = min(ceiling, allowed)
	}
	return max(ceiling, 1)
}

// sweep drops the queues of leafs that were not used for long.
func (q *queues) sweep(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.swept) < idleQueueTTL {
		return
	}
	q.swept = now
	q.leafs.Range(func(id, queue any) bool {
		if queue.(*leafQueue).idle(now) {
			q.leafs.Delete(id)
		}
		return true
	})
}

func (l *leafQueue) touch(now time.Time) {
	l.mu.Lock()
	l.used = now
	l.mu.Unlock()
}

func (l *leafQueue) idle(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.used) > idleQueueTTL
}

// SetShares bounds the subrequests in flight to each leaf by the node's share of
// its connections. It is called before the first subrequest.
func (r *Relay) SetShares(s Shares) { r.queues.shares = s }

// priorities of attempts at a leaf's queue: a retry has the least time left.
var attemptPriorities = map[subrequest.Kind]int{subrequest.First: 1, subrequest.Retry: 2, subrequest.Hedge: 0}

// enter waits for the quarantine and for the leaf's limit. It returns the end
// of the attempt when it must not be sent, else nil.
func (u *run) enter(queue *leafQueue, trial *quarantine.Attempt, attempt subrequest.Attempt, target shardmap.Replica) *ended {
	if refused := u.passGuard(trial, target); refused != nil {
		return refused
	}
	ticket := &admission.Ticket{
		Class:    u.task.Service.Name,
		Priority: attemptPriorities[attempt.Kind],
		Deadline: u.task.Deadline,
	}
	err := queue.Enter(u.ctx, ticket)
	if err == nil && ticket.Decision == admission.Admit {
		u.started.Store(true)
		// The context is looked at after the store: whoever saw its end before and
		// found nothing started may rely on nothing being sent.
		if err = u.ctx.Err(); err == nil {
			return nil
		}
		u.leave(queue, limit.Sample{Verdict: limit.Ignored})
	}
	u.relay.guard.Leave(*trial, quarantine.Inconclusive)
	if err != nil {
		return unsent(subrequest.Lost, fault.Wrap(err, fault.StepRelay, target.VM.ID, "wait for the leaf"))
	}
	return unsent(subrequest.NotRun, fault.New(fault.StepRelay, target.VM.ID, "queue of the leaf is full or too slow"))
}

func unsent(result subrequest.Result, err error) *ended {
	return &ended{reply: upstream.Reply{Result: result, Err: err}}
}

// leave ends an attempt at a leaf's queue.
func (u *run) leave(queue *leafQueue, sample limit.Sample) {
	if err := queue.Done(u.task.Service.Name, sample); err != nil && u.relay.observer != nil {
		u.relay.observer.InvariantBroken("leaf_queue")
	}
}

// sampleOf says what the end of an attempt tells about its leaf's load. Only
// runs count: a refusal takes no time, so it would look like an idle leaf.
func sampleOf(result subrequest.Result, elapsed time.Duration) limit.Sample {
	switch result {
	case subrequest.OK, subrequest.Failed:
		return limit.Sample{Elapsed: elapsed}
	case subrequest.NotRun:
		return limit.Sample{Verdict: limit.Shed}
	default:
		return limit.Sample{Verdict: limit.Ignored}
	}
}
