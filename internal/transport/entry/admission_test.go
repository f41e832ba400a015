package entry

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/quarantine"
	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	contract "github.com/hickorydock/hickorydock/internal/protocol/upstream"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
	"github.com/hickorydock/hickorydock/internal/transport/relay"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
)

// slowRunner replies to each subrequest after a second and counts the subrequests.
type slowRunner struct {
	mu   sync.Mutex
	runs int
}

func (r *slowRunner) Run(ctx context.Context, task relay.Task) relay.Result {
	r.mu.Lock()
	r.runs++
	r.mu.Unlock()
	time.Sleep(time.Second)
	return relay.Result{Shard: task.Shard, QueryAttempt: task.QueryAttempt, Snapshot: task.Snapshot, OK: true, Sent: true, ServiceTime: time.Second}
}

func newAdmissionEntry(runner Runner, queries, queue int) *Entry {
	store := shardmap.NewStore(leaf.NewTable())
	store.SetManifest(platform.VM{ID: "l", Group: "g"}, contract.Manifest{Holdings: []contract.Holding{{
		Service: "s", Snapshot: query.Snapshot{Generation: 1, Version: 1}, ShardCount: 1, Shards: []int{0},
	}}}, time.Now())
	cfg := DefaultConfig()
	cfg.MaxQueries = queries
	cfg.MaxQueue = queue
	return New(cfg, store, runner, nil, tracing.Off())
}

var admissionService = note.Service{Name: "s", UpstreamGroup: "g", Merge: note.MergeConcat, LongestWaitMS: 60_000}

// TestOverloadRejectsImmediately checks that queries beyond limit and queue are
// rejected without delay as not run, with a retry time, and that they do not run.
func TestOverloadRejectsImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runner := &slowRunner{}
		e := newAdmissionEntry(runner, 2, 3)
		var mu sync.Mutex
		answered, rejected := 0, 0
		var running sync.WaitGroup
		for range 10 {
			running.Go(func() {
				start := time.Now()
				_, err := e.Query(context.Background(), admissionService, query.Request{Query: []byte("1")}, start)
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					answered++
					return
				}
				rejected++
				f := fault.From(err)
				if f.Outcome != query.NotRun || f.Status != http.StatusServiceUnavailable || f.RetryAfter < time.Second {
					t.Errorf("rejected as %s %d, retry after %v", f.Outcome, f.Status, f.RetryAfter)
				}
				if waited := time.Since(start); waited != 0 {
					t.Errorf("rejected after %v", waited)
				}
			})
		}
		running.Wait()
		if answered != 5 || rejected != 5 || runner.runs != 5 {
			t.Errorf("%d answered, %d rejected, %d runs; want 5 each", answered, rejected, runner.runs)
		}
	})
}

// TestQuarantinedQueryIsRejected checks that a resend of a quarantined query is
// rejected with a retry time and reaches no leaf.
func TestQuarantinedQueryIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runner := &slowRunner{}
		e := newAdmissionEntry(runner, 2, 3)
		f := quarantine.FingerprintOf("s", []byte(`{"query":1}`))
		e.guard.Receive(quarantine.Report{Kind: quarantine.CrashAttributed, Fingerprint: f, Leaf: "a"})
		e.guard.Receive(quarantine.Report{Kind: quarantine.CrashAttributed, Fingerprint: f, Leaf: "b"})
		_, err := e.Query(context.Background(), admissionService, query.Request{Query: []byte("1")}, time.Now())
		rejection := fault.From(err)
		if err == nil || rejection.Status != http.StatusUnprocessableEntity || rejection.Outcome != query.NotRun || rejection.RetryAfter <= 0 {
			t.Errorf("error %v with status %d", err, rejection.Status)
		}
		if _, err := e.Query(context.Background(), admissionService, query.Request{Query: []byte("2")}, time.Now()); err != nil {
			t.Errorf("another query: %v", err)
		}
		if runner.runs != 1 {
			t.Errorf("%d runs, want 1", runner.runs)
		}
	})
}
