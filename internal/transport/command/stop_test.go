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
		cluster := newTestCluster()
		cluster.upstream.duration = time.Second
		one, two := cluster.node(t, "one"), cluster.node(t, "two")
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
		if got := send(t, two, key, request(`1`)); got.Outcome != query.Done || cluster.upstream.runCount() != 1 {
			t.Errorf("after the stop: %+v, %d runs", got, cluster.upstream.runCount())
		}
	})
}

// TestStopTimeout checks that a command aborted by a stop has the outcome
// unknown, not not_run.
func TestStopTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster()
		cluster.upstream.duration = time.Hour
		one := cluster.node(t, "one")
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
		cluster := newTestCluster()
		one := cluster.node(t, "one")
		cluster.platform.defaultBehaviour = unavailable
		if err := one.Stop(t.Context()); err != nil {
			t.Errorf("stop while the platform is down: %v", err)
		}
	})
}
