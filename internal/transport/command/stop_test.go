package command

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

func TestStopRecordsWhatRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		b.upstream.took = time.Second
		one, two := b.node(t, "one"), b.node(t, "two")
		defer stop(t, two)
		done := make(chan command.Result)
		go func() { done <- send(t, one, key, request(`1`)) }()
		synctest.Wait()
		stopped := make(chan error)
		go func() { stopped <- one.Stop(t.Context()) }()
		synctest.Wait()
		if got := send(t, one, "other", request(`1`)); got.Outcome != query.NotRun || got.Cause != command.CauseStopping {
			t.Errorf("a new command of a stopping node: %+v", got)
		}
		if got := <-done; got.Outcome != query.Done {
			t.Errorf("a command in flight: %+v", got)
		}
		if err := <-stopped; err != nil {
			t.Error(err)
		}
		if got := send(t, two, key, request(`1`)); got.Outcome != query.Done || b.upstream.count() != 1 {
			t.Errorf("after the stop: %+v, %d runs", got, b.upstream.count())
		}
	})
}

// TestStopLimit cuts a command off: its outcome is unknown, not not_run.
func TestStopLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		b.upstream.took = time.Hour
		one := b.node(t, "one")
		done := make(chan command.Result)
		go func() { done <- send(t, one, key, request(`1`)) }()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if err := one.Stop(ctx); err == nil {
			t.Error("a cut off stop reported no error")
		}
		if got := <-done; got.Outcome != query.Unknown {
			t.Errorf("told %+v", got)
		}
	})
}

// TestStopDuringOutage ends well, since no command is cut off.
func TestStopDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		one := b.node(t, "one")
		b.platform.all = down
		if err := one.Stop(t.Context()); err != nil {
			t.Errorf("stop while the platform is down: %v", err)
		}
	})
}
