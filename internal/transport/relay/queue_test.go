package relay

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/quarantine"
	"github.com/hickorydock/hickorydock/internal/coordination/replica"
	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	contract "github.com/hickorydock/hickorydock/internal/protocol/upstream"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
	"github.com/hickorydock/hickorydock/internal/transport/upstream"
)

// slowSender takes a second for each attempt and records the maximum number of
// concurrent attempts.
type slowSender struct {
	mu                         sync.Mutex
	running, maxRunning, total int
}

func (s *slowSender) Run(ctx context.Context, _ platform.VM, _ contract.Subrequest, _ time.Duration, _ []byte) upstream.Reply {
	s.mu.Lock()
	s.running++
	s.total++
	s.maxRunning = max(s.maxRunning, s.running)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	select {
	case <-time.After(time.Second):
		return upstream.Reply{Result: subrequest.OK, Sent: true}
	case <-ctx.Done():
		return upstream.Reply{Result: subrequest.ConnectionLost, Sent: true, Err: ctx.Err()}
	}
}

// TestLeafLimit checks that subrequests above a leaf's limit wait, and that a subrequest
// that was still queued at its deadline is not reported as sent.
func TestLeafLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender := &slowSender{}
		r := New(sender, shardmap.NewStore(leaf.NewTable()), nil, "az-1", replica.Choose, nil, tracing.Off())
		service := &note.Service{Name: "s", LeafSlots: 2, LeafConnections: 25}
		replicas := []shardmap.Replica{{VM: platform.VM{ID: "a"}, Record: &leaf.Record{}}}
		limit := service.LeafSlots + extraInFlight
		var mu sync.Mutex
		sent, unsent := 0, 0
		var running sync.WaitGroup
		for i := range 3 * limit {
			running.Go(func() {
				result := r.Run(context.Background(), Task{
					Service: service, RequestID: "r", Shard: i, Replicas: replicas,
					Deadline: time.Now().Add(1500 * time.Millisecond), Fingerprint: quarantine.Fingerprint(i),
				})
				mu.Lock()
				defer mu.Unlock()
				if result.Sent {
					sent++
				} else {
					unsent++
				}
			})
		}
		running.Wait()
		synctest.Wait()
		sender.mu.Lock()
		defer sender.mu.Unlock()
		if sender.maxRunning != limit {
			t.Errorf("%d concurrent attempts, limit %d", sender.maxRunning, limit)
		}
		if sent != sender.total || unsent != 3*limit-sender.total || unsent == 0 {
			t.Errorf("%d reported as sent and %d as unsent, but %d were sent", sent, unsent, sender.total)
		}
	})
}

// fixedShares are constant shares of groups.
type fixedShares map[string]int

func (f fixedShares) Allowed(group string) (int, bool) {
	count, known := f[group]
	return count, known
}

func TestLimitWithinConnectionShare(t *testing.T) {
	q := newQueues(10)
	q.shares = fixedShares{"wide": 16, "narrow": 3, "none": 0}
	for group, want := range map[string]int{"wide": 8 + extraInFlight, "narrow": 3, "none": 1, "unknown": 8 + extraInFlight} {
		service := &note.Service{Name: "s", UpstreamGroup: group, LeafSlots: 8, LeafConnections: 25}
		if got := q.ceiling(service); got != want {
			t.Errorf("group %s: limit %d, want %d", group, got, want)
		}
	}
}

// TestQueuedAttemptLeavesDrainingLeaf guards against subrequests that wait in the queue of a leaf
// and reach it after it has begun to leave.
func TestQueuedAttemptLeavesDrainingLeaf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender := &slowSender{}
		r := New(sender, shardmap.NewStore(leaf.NewTable()), nil, "az-1", replica.Choose, nil, tracing.Off())
		service := &note.Service{Name: "s", LeafSlots: 1, LeafConnections: 25}
		leaving := shardmap.Replica{VM: platform.VM{ID: "a"}, Record: &leaf.Record{}}
		limit := service.LeafSlots + extraInFlight
		time.AfterFunc(500*time.Millisecond, func() {
			leaving.Record.UpdateDrain(func(d leaf.DrainState) leaf.DrainState { d.List = true; return d })
		})
		var running sync.WaitGroup
		for i := range 2 * limit {
			running.Go(func() {
				result := r.Run(context.Background(), Task{
					Service: service, RequestID: "r", Shard: i, Replicas: []shardmap.Replica{leaving},
					Deadline: time.Now().Add(10 * time.Second), Fingerprint: quarantine.Fingerprint(i),
				})
				if result.OK != result.Sent {
					t.Errorf("result %+v", result)
				}
			})
		}
		running.Wait()
		if sender.total != limit {
			t.Errorf("%d subrequests reached the leaf, want the %d that were sent before it began to leave", sender.total, limit)
		}
	})
}
