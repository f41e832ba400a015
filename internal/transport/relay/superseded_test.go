package relay

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/replica"
	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	contract "github.com/hickorydock/hickorydock/internal/protocol/upstream"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
	"github.com/hickorydock/hickorydock/internal/transport/upstream"
)

// slowFirstSender answers the first attempt after a second and others after 20 ms.
type slowFirstSender struct{ started, completed, cancelled atomic.Int64 }

func (s *slowFirstSender) Run(ctx context.Context, vm platform.VM, _ contract.Subrequest, _ time.Duration, _ []byte) upstream.Reply {
	duration := 20 * time.Millisecond
	if s.started.Add(1) == 1 {
		duration = time.Second
	}
	select {
	case <-time.After(duration):
		s.completed.Add(1)
		return upstream.Reply{Result: subrequest.OK, Sent: true}
	case <-ctx.Done():
		s.cancelled.Add(1)
		return upstream.Reply{Result: subrequest.ConnectionLost, Sent: true, Err: fault.Wrap(ctx.Err(), fault.StepSend, vm.ID, "send")}
	}
}

func TestSupersededPolicy(t *testing.T) {
	tests := []struct {
		name                 string
		policy               SupersededPolicy
		callerTimeout        time.Duration
		deadline             time.Duration
		ok                   bool
		completed, cancelled int64
	}{
		{"cancelled", CancelSuperseded, time.Minute, time.Minute, true, 1, 1},
		{"left to finish", FinishSuperseded, time.Minute, time.Minute, true, 2, 0},
		{"left to finish until the deadline", FinishSuperseded, time.Minute, 500 * time.Millisecond, true, 1, 1},
		{"caller disconnects", FinishSuperseded, 15 * time.Millisecond, time.Minute, false, 0, 2},
		{"deadline before a reply", FinishSuperseded, time.Minute, 15 * time.Millisecond, false, 0, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sender := &slowFirstSender{}
				r := New(sender, shardmap.NewStore(leaf.NewTable()), nil, "a", replica.Choose, nil, tracing.Off())
				r.SetSupersededPolicy(test.policy)
				service := &note.Service{Name: "s", HedgeShare: 0.05, LeafSlots: 4, LeafConnections: 100}
				window := r.state(service).window
				for range 1000 {
					window.Observe(time.Now(), 10*time.Millisecond)
				}
				task := Task{Service: service, RequestID: "r", QueryAttempt: 1, Deadline: time.Now().Add(test.deadline)}
				for _, id := range []string{"x", "y"} {
					task.Replicas = append(task.Replicas, shardmap.Replica{VM: platform.VM{ID: id, AvailabilityZone: "a"}, Record: &leaf.Record{}})
				}
				ctx, cancel := context.WithTimeout(t.Context(), test.callerTimeout)
				defer cancel()
				started := time.Now()
				result := r.Run(ctx, task)
				if result.OK != test.ok || time.Since(started) > 50*time.Millisecond {
					t.Errorf("result %+v after %v", result, time.Since(started))
				}
				time.Sleep(2 * time.Second)
				synctest.Wait()
				if sender.completed.Load() != test.completed || sender.cancelled.Load() != test.cancelled {
					t.Errorf("%d attempts completed, %d cancelled; want %d and %d",
						sender.completed.Load(), sender.cancelled.Load(), test.completed, test.cancelled)
				}
			})
		})
	}
}
