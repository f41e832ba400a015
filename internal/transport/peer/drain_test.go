package peer

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
)

func TestDrainFinishesBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, s := connected(t, config(), func(ctx context.Context, b *contract.Batch, reply func(Result)) {
			time.Sleep(time.Second)
			echo(ctx, b, reply)
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		done := make(chan error, 1)
		var got collected
		go func() { done <- c.Do(ctx, batchOf("r", 1, 2), got.add) }()
		synctest.Wait()
		started := time.Now()
		if err := s.Drain(ctx); err != nil || time.Since(started) != time.Second {
			t.Fatal(err, time.Since(started))
		}
		if err := <-done; err != nil || len(got.all) != 2 {
			t.Fatal(err, got.all)
		}
		if err := c.Do(ctx, batchOf("r", 1), func(Result) {}); !errors.Is(err, ErrDraining) {
			t.Fatalf("got %v after the drain", err)
		}
	})
}

// TestStopDeliversResults guards against a planned stop that cuts off the last results,
// since the sender sees the end of the connection before it has read them.
func TestStopDeliversResults(t *testing.T) {
	for range 200 {
		synctest.Test(t, func(t *testing.T) {
			c, s := connected(t, config(), func(ctx context.Context, b *contract.Batch, reply func(Result)) {
				time.Sleep(time.Second)
				echo(ctx, b, reply)
			})
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			done := make(chan error, 1)
			var got collected
			go func() { done <- c.Do(ctx, batchOf("r", 1, 2), got.add) }()
			synctest.Wait()
			if err := s.Drain(ctx); err != nil {
				t.Fatal(err)
			}
			s.Close()
			if err := <-done; err != nil || len(got.all) != 2 {
				t.Fatal(err, got.all)
			}
		})
	}
}
