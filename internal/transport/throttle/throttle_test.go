package throttle

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/admission"
	"github.com/hickorydock/hickorydock/internal/coordination/limit"
)

func newSingleSlot() *Throttle {
	limiter := limit.New(limit.Config{Floor: 1, Ceiling: 1, Initial: 1})
	return New(admission.New(admission.Config{Total: limiter, MaxQueue: 2}))
}

func ticket() *admission.Ticket {
	return &admission.Ticket{Class: "s", Deadline: time.Now().Add(time.Minute)}
}

func TestWaitEndsWithAdmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		th := newSingleSlot()
		if err := th.Enter(t.Context(), ticket()); err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(time.Second, func() {
			if err := th.Done("s", limit.Sample{}); err != nil {
				t.Error(err)
			}
		})
		start := time.Now()
		second := ticket()
		if err := th.Enter(t.Context(), second); err != nil || second.Decision != admission.Admit {
			t.Errorf("decision %v, error %v", second.Decision, err)
		}
		if waited := time.Since(start); waited != time.Second {
			t.Errorf("waited %v", waited)
		}
	})
}

func TestEndedContextLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		th := newSingleSlot()
		if err := th.Enter(t.Context(), ticket()); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := th.Enter(ctx, ticket()); err != context.DeadlineExceeded {
			t.Errorf("error %v", err)
		}
		if _, queued, _ := th.Load("s"); queued != 0 || len(th.waiting) != 0 {
			t.Errorf("%d queued, %d waiting after the context ended", queued, len(th.waiting))
		}
	})
}

// TestEvictedWaiterReturnsAtOnce checks that Enter returns at once for a caller
// whose place in the queue goes to a request of higher priority.
func TestEvictedWaiterReturnsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		th := newSingleSlot()
		if err := th.Enter(t.Context(), ticket()); err != nil {
			t.Fatal(err)
		}
		low := ticket()
		done := make(chan time.Duration, 1)
		start := time.Now()
		go func() {
			_ = th.Enter(t.Context(), ticket())
		}()
		synctest.Wait()
		go func() {
			_ = th.Enter(t.Context(), low)
			done <- time.Since(start)
		}()
		synctest.Wait()
		high := ticket()
		high.Priority = 1
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_ = th.Enter(ctx, high)
		if waited := <-done; waited != 0 || low.Decision != admission.RefuseFull {
			t.Errorf("decision %v after %v", low.Decision, waited)
		}
		_ = th.Done("s", limit.Sample{})
	})
}
