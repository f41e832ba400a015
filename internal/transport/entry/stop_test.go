package entry

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

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

// oneShardRunner answers shard 0 at once and no other before the context ends.
type oneShardRunner struct{ sent bool }

func (r oneShardRunner) Run(ctx context.Context, task relay.Task) relay.Result {
	result := relay.Result{Shard: task.Shard, QueryAttempt: task.QueryAttempt, Snapshot: task.Snapshot, OK: true, Sent: true}
	if task.Shard == 0 && r.sent {
		return result
	}
	<-ctx.Done()
	result.OK = false
	result.Sent = r.sent
	result.Reason = query.ReasonDeadline
	return result
}

func newStopEntry(runner Runner, queries int) *Entry {
	store := shardmap.NewStore(leaf.NewTable())
	store.SetManifest(platform.VM{ID: "l", Group: "g"}, contract.Manifest{Holdings: []contract.Holding{{
		Service: "s", Snapshot: query.Snapshot{Generation: 1, Version: 1}, ShardCount: 2, Shards: []int{0, 1},
	}}}, time.Now())
	cfg := DefaultConfig()
	cfg.MaxQueries = queries
	return New(cfg, store, runner, nil, tracing.Off())
}

// TestQueriesOfNodeThatStops guards against queries that wait for admission or for leafs when a
// node ends, and get no response: what has not run is rejected, and what has arrived is answered.
func TestQueriesOfNodeThatStops(t *testing.T) {
	service := note.Service{Name: "s", UpstreamGroup: "g", Policy: note.PolicyCoverage, MinCoverage: 0.5, Merge: note.MergeConcat, LongestWaitMS: 60_000}
	tests := []struct {
		name    string
		sent    bool
		queries int
		// covered is the coverage of the answer; 0 means that the query is rejected.
		covered int
	}{
		{"waits for leafs", false, 10, 0},
		{"has one shard", true, 10, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newStopEntry(oneShardRunner{test.sent}, test.queries)
				ctx, cancel := context.WithCancelCause(t.Context())
				time.AfterFunc(time.Second, func() { cancel(ErrStopping) })
				start := time.Now()
				answer, err := e.Query(ctx, service, query.Request{Query: []byte("1")}, start)
				if took := time.Since(start); took != time.Second {
					t.Errorf("ended after %v", took)
				}
				if test.covered > 0 {
					if err != nil || answer.Coverage.Covered != test.covered {
						t.Errorf("answer %+v, error %v", answer, err)
					}
					return
				}
				if f := fault.From(err); f.Outcome != query.NotRun || f.Status != http.StatusServiceUnavailable || f.RetryAfter == 0 {
					t.Errorf("error %v, status %d, outcome %s", err, f.Status, f.Outcome)
				}
			})
		})
	}
}

// TestQueuedQueryOfNodeThatStops guards against a query in the admission queue that is taken for
// one whose caller has left.
func TestQueuedQueryOfNodeThatStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newStopEntry(oneShardRunner{}, 1)
		first, cancelFirst := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _ = e.Query(first, admissionService, query.Request{Query: []byte("1")}, time.Now())
		}()
		synctest.Wait()
		ctx, cancel := context.WithCancelCause(t.Context())
		time.AfterFunc(time.Second, func() { cancel(ErrStopping) })
		_, err := e.Query(ctx, admissionService, query.Request{Query: []byte("2")}, time.Now())
		if f := fault.From(err); f.Outcome != query.NotRun || f.Status != http.StatusServiceUnavailable || f.RetryAfter == 0 {
			t.Errorf("error %v, status %d, outcome %s", err, f.Status, f.Outcome)
		}
		cancelFirst()
		<-done
	})
}
