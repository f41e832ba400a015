package command

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

func TestStopRecordsRunningCommands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.upstream.duration = time.Second
		one, two := f.node(t, "one"), f.node(t, "two")
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
		if got := send(t, two, key, request(`1`)); got.Outcome != query.Done || f.upstream.runCount() != 1 {
			t.Errorf("after the stop: %+v, %d runs", got, f.upstream.runCount())
		}
	})
}

// TestStopTimeout checks that a command aborted by a stop has the outcome
// unknown, not not_run.
func TestStopTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.upstream.duration = time.Hour
		one := f.node(t, "one")
		done := make(chan command.Result)
		go func() { done <- send(t, one, key, request(`1`)) }()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if err := one.Stop(ctx); err == nil {
			t.Error("a stop that timed out returned no error")
		}
		if got := <-done; got.Outcome != query.Unknown {
			t.Errorf("got %+v", got)
		}
	})
}

// TestStopDuringOutage checks that a stop succeeds while the platform is down if
// no command is aborted.
func TestStopDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		one := f.node(t, "one")
		f.platform.defaultBehaviour = unavailable
		if err := one.Stop(t.Context()); err != nil {
			t.Errorf("stop while the platform is down: %v", err)
		}
	})
}
