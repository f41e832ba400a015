package gather

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/merge"
	"github.com/hickorydock/hickorydock/internal/coordination/replica"
	"github.com/hickorydock/hickorydock/internal/coordination/snapshot"
	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
)

const (
	benchShards = 310
	benchItems  = 20
)

func benchView(version uint64) *shardmap.SnapshotView {
	counts := make([]int, benchShards)
	for i := range counts {
		counts[i] = 2
	}
	return viewOf(1, version, counts...)
}

// BenchmarkPlan chooses among 3 snapshots, begins a query over 310 shards and
// chooses the first replica of each.
func BenchmarkPlan(b *testing.B) {
	view := &shardmap.View{Snapshots: []*shardmap.SnapshotView{benchView(3), benchView(2), benchView(1)}}
	cfg := Config{Deadline: start.Add(time.Second)}
	var random uint64
	sub := subrequest.Config{
		Deadline: cfg.Deadline,
		Choose:   replica.Choose,
		Random:   func() uint64 { random += 0x9e3779b97f4a7c15; return random },
	}
	b.ReportAllocs()
	for b.Loop() {
		q := New[[]query.Item](cfg, snapshot.Choose(view, nil))
		for _, replicas := range q.View().Replicas {
			sub.Replicas = replicas
			m := subrequest.New(sub, &noBudget{})
			if _, ok := m.Start(start); !ok {
				b.Fatal("no attempt")
			}
		}
	}
}

type noBudget struct{}

func (*noBudget) Spend() bool { return false }

func (*noBudget) SpendSpare() bool { return false }

// BenchmarkGather records 310 replies of 20 items and merges the best 20.
func BenchmarkGather(b *testing.B) {
	view := benchView(1)
	replies := make([][]query.Item, benchShards)
	for shard := range replies {
		for k := range benchItems {
			replies[shard] = append(replies[shard], json.RawMessage(fmt.Sprintf(`{"id":"s-%d-%d","shard":%d,"score":0.%d}`, shard, k, shard, (shard*7919+k*104729)%99991)))
		}
	}
	service := note.Service{Merge: note.MergeTopK, MergeField: "score", TopK: benchItems}
	b.ReportAllocs()
	for b.Loop() {
		q := New[[]query.Item](Config{Deadline: start.Add(time.Second)}, view)
		for shard, items := range replies {
			if _, err := q.Reply(start, 1, shard, view.Snapshot, items); err != nil {
				b.Fatal(err)
			}
		}
		if _, err := merge.Merge(&service, q.Replies()); err != nil {
			b.Fatal(err)
		}
	}
}
