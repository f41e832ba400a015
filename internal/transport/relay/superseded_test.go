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

// straggling answers the first attempt after a second and others after 20 ms.
type straggling struct{ begun, whole, cancelled atomic.Int64 }

func (s *straggling) Run(ctx context.Context, vm platform.VM, _ contract.Subrequest, _ time.Duration, _ []byte) upstream.Reply {
	took := 20 * time.Millisecond
	if s.begun.Add(1) == 1 {
		took = time.Second
	}
	select {
	case <-time.After(took):
		s.whole.Add(1)
		return upstream.Reply{Result: subrequest.OK, Sent: true}
	case <-ctx.Done():
		s.cancelled.Add(1)
		return upstream.Reply{Result: subrequest.ConnectionLost, Sent: true, Err: fault.Wrap(ctx.Err(), fault.StepSend, vm.ID, "send")}
	}
}

func TestLosers(t *testing.T) {
	tests := []struct {
		name             string
		losers           SupersededPolicy
		patience         time.Duration // of the caller
		deadline         time.Duration
		ok               bool
		whole, cancelled int64
	}{
		{"cancelled", CancelSuperseded, time.Minute, time.Minute, true, 1, 1},
		{"run out", FinishSuperseded, time.Minute, time.Minute, true, 2, 0},
		{"run out until the deadline", FinishSuperseded, time.Minute, 500 * time.Millisecond, true, 1, 1},
		{"caller leaves", FinishSuperseded, 15 * time.Millisecond, time.Minute, false, 0, 2},
		{"deadline before a reply", FinishSuperseded, time.Minute, 15 * time.Millisecond, false, 0, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sender := &straggling{}
				r := New(sender, shardmap.NewStore(leaf.NewTable()), nil, "a", replica.Choose, nil, tracing.Off())
				r.SetSupersededPolicy(test.losers)
				service := &note.Service{Name: "s", HedgeShare: 0.05, LeafSlots: 4, LeafConnections: 100}
				window := r.state(service).window
				for range 1000 {
					window.Observe(time.Now(), 10*time.Millisecond)
				}
				task := Task{Service: service, RequestID: "r", QueryAttempt: 1, Deadline: time.Now().Add(test.deadline)}
				for _, id := range []string{"x", "y"} {
					task.Replicas = append(task.Replicas, shardmap.Replica{VM: platform.VM{ID: id, AvailabilityZone: "a"}, Record: &leaf.Record{}})
				}
				ctx, leave := context.WithTimeout(t.Context(), test.patience)
				defer leave()
				begun := time.Now()
				result := r.Run(ctx, task)
				if result.OK != test.ok || time.Since(begun) > 50*time.Millisecond {
					t.Errorf("result %+v after %v", result, time.Since(begun))
				}
				time.Sleep(2 * time.Second)
				synctest.Wait()
				if sender.whole.Load() != test.whole || sender.cancelled.Load() != test.cancelled {
					t.Errorf("%d attempts ended whole, %d cancelled; want %d and %d",
						sender.whole.Load(), sender.cancelled.Load(), test.whole, test.cancelled)
				}
			})
		})
	}
}
