package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
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

// fixedRunner replies to each shard with its items.
type fixedRunner [][]string

func (r fixedRunner) Run(_ context.Context, task relay.Task) relay.Result {
	result := relay.Result{Shard: task.Shard, QueryAttempt: task.QueryAttempt, Snapshot: task.Snapshot, OK: true, Sent: true}
	for _, text := range r[task.Shard] {
		result.Items = append(result.Items, json.RawMessage(text))
	}
	return result
}

func runQuery(service note.Service, cfg Config, replies fixedRunner) (query.Answer, error) {
	store := shardmap.NewStore(leaf.NewTable())
	holding := contract.Holding{Service: "s", Snapshot: query.Snapshot{Generation: 1, Version: 1}, ShardCount: len(replies)}
	for shard := range replies {
		holding.Shards = append(holding.Shards, shard)
	}
	store.SetManifest(platform.VM{ID: "l", Group: "g"}, contract.Manifest{Holdings: []contract.Holding{holding}}, time.Now())
	e := New(cfg, store, replies, nil, tracing.Off())
	service.Name, service.UpstreamGroup, service.LongestWaitMS = "s", "g", 60_000
	return e.Query(context.Background(), service, query.Request{Query: []byte("1")}, time.Now())
}

// TestBadItemFailsOnlyItsShard covers replies whose items lack the merge field.
func TestBadItemFailsOnlyItsShard(t *testing.T) {
	replies := fixedRunner{{`{"n":1}`}, {`{"m":1}`}, {`{"n":3}`}, {`7`}}
	for _, mode := range []note.MergeMode{note.MergeTopK, note.MergeSum} {
		a, err := runQuery(note.Service{Merge: mode, MergeField: "n", TopK: 9}, DefaultConfig(), replies)
		if err != nil {
			t.Fatal(err)
		}
		if a.Outcome != query.Partial || a.Coverage.Covered != 2 || len(a.Coverage.Missing) != 2 {
			t.Errorf("%s: outcome %s, coverage %+v", mode, a.Outcome, a.Coverage)
		}
		for _, m := range a.Coverage.Missing {
			if m.Reason != query.ReasonBadReply || m.Shard%2 != 1 {
				t.Errorf("%s: missing %+v", mode, m)
			}
		}
		if mode == note.MergeSum && *a.Value != 4 {
			t.Errorf("sum %v, want 4", *a.Value)
		}
	}
}

func TestAnswerSizeLimits(t *testing.T) {
	replies := fixedRunner{{`{"n":1}`, `{"n":2}`}, {`{"n":3}`}}
	tests := []struct {
		name       string
		items, max int
		wantStatus int
	}{
		{"within", 3, 21, 0},
		{"too many items", 2, 0, http.StatusBadGateway},
		{"too many bytes", 0, 20, http.StatusBadGateway},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			cfg := DefaultConfig()
			cfg.MaxItems, cfg.MaxAnswerBytes = test.items, test.max
			_, err := runQuery(note.Service{Merge: note.MergeConcat}, cfg, replies)
			status := 0
			if err != nil {
				status = fault.From(err).Status
			}
			if status != test.wantStatus {
				t.Errorf("status %d, want %d: %v", status, test.wantStatus, err)
			}
		})
	}
}
