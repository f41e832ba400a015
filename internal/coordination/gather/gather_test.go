package gather

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/protocol/rapidtest"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
)

var start = time.Unix(1000, 0)

func viewOf(generation, version uint64, replicasOfShard ...int) *shardmap.SnapshotView {
	v := &shardmap.SnapshotView{Snapshot: query.Snapshot{Generation: generation, Version: version}}
	for _, n := range replicasOfShard {
		replicas := make([]shardmap.Replica, n)
		for i := range replicas {
			replicas[i].Record = &leaf.Record{}
		}
		v.Replicas = append(v.Replicas, replicas)
		if n > 0 {
			v.Covered++
		}
	}
	return v
}

func itemOf(s query.Snapshot, attempt, shard int) query.Item {
	return json.RawMessage(fmt.Sprintf("%q", fmt.Sprintf("%s %d %d", s, attempt, shard)))
}

func TestOutcomes(t *testing.T) {
	type fail struct {
		shard  int
		reason query.Reason
	}
	tests := []struct {
		name    string
		min     float64
		replies []int
		fails   []fail
		sent    int
		want    query.Outcome
	}{
		{"every shard answered", 1, []int{0, 1}, nil, 2, query.Done},
		{"one late, minimum met", 0.5, []int{0}, nil, 2, query.Partial},
		{"one late, below minimum", 0.9, []int{0}, nil, 2, query.Failed},
		{"no shard answered, one may have run", 0, nil, []fail{{0, query.ReasonShed}, {1, query.ReasonConnectionLost}}, 1, query.Failed},
		{"no shard answered, no subrequest sent", 0, nil, []fail{{0, query.ReasonShed}, {1, query.ReasonShed}}, 0, query.NotRun},
		{"one still pending at the deadline", 0, nil, []fail{{0, query.ReasonShed}}, 0, query.Failed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := New[[]query.Item](Config{MinCoverage: test.min, Deadline: start.Add(time.Second)}, viewOf(1, 1, 2, 2))
			for _, shard := range test.replies {
				if _, err := q.Reply(start, 1, shard, q.View().Snapshot, nil); err != nil {
					t.Fatal(err)
				}
			}
			for _, f := range test.fails {
				if _, err := q.Fail(start, 1, f.shard, f.reason); err != nil {
					t.Fatal(err)
				}
			}
			for range test.sent {
				q.CountSent()
			}
			if got := q.Outcome(q.Coverage()); got != test.want {
				t.Errorf("outcome %s, want %s", got, test.want)
			}
		})
	}
}

func TestPendingSubrequestsMayHaveRunAfterRestart(t *testing.T) {
	q := New[[]query.Item](Config{Deadline: start.Add(time.Second)}, viewOf(1, 1, 1, 1))
	if progress, _ := q.Fail(start, 1, 0, query.ReasonSnapshotGone); progress != SnapshotUnavailable {
		t.Fatalf("progress %v, want SnapshotUnavailable", progress)
	}
	if !q.Restart(viewOf(1, 2, 1, 1)) {
		t.Fatal("restart declined")
	}
	for shard := range 2 {
		if _, err := q.Fail(start, 2, shard, query.ReasonShed); err != nil {
			t.Fatal(err)
		}
	}
	if got := q.Outcome(q.Coverage()); got != query.Failed {
		t.Errorf("outcome %s, want failed: shard 1 of attempt 1 may have run", got)
	}
}

// TestRandomOrders checks over random event orders that an answer holds only
// replies of its own snapshot and that coverage equals the replies it holds.
func TestRandomOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		version := uint64(1)
		shards := rapid.IntRange(1, 6).Draw(t, "shards")
		q := New[[]query.Item](Config{Deadline: start.Add(time.Second)}, randomView(t, version, shards))
		steps := rapid.IntRange(1, 40).Draw(t, "steps")
		for range steps {
			attempt := rapid.IntRange(1, q.Attempt()).Draw(t, "attempt")
			shard := rapid.IntRange(0, len(q.View().Replicas)-1).Draw(t, "shard")
			if attempt == q.Attempt() && (q.state[shard].answered || q.state[shard].failed) {
				continue
			}
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				snapshot := q.View().Snapshot
				_, err := q.Reply(start, attempt, shard, snapshot, []query.Item{itemOf(snapshot, attempt, shard)})
				if err != nil {
					t.Fatal(err)
				}
			case 1:
				if _, err := q.Fail(start, attempt, shard, query.ReasonConnectionLost); err != nil {
					t.Fatal(err)
				}
			case 2:
				progress, err := q.Fail(start, attempt, shard, query.ReasonSnapshotGone)
				if err != nil {
					t.Fatal(err)
				}
				if progress == SnapshotUnavailable {
					version++
					q.Restart(randomView(t, version, rapid.IntRange(1, 6).Draw(t, "shards")))
				}
			}
			checkAnswer(t, q)
		}
	})
}

func randomView(t *rapid.T, version uint64, shards int) *shardmap.SnapshotView {
	counts := make([]int, shards)
	for i := range counts {
		counts[i] = rapid.IntRange(0, 2).Draw(t, "replicas")
	}
	return viewOf(1, version, counts...)
}

func checkAnswer(t *rapid.T, q *Query[[]query.Item]) {
	coverage := q.Coverage()
	replies := q.Replies()
	if len(replies) != coverage.Covered || coverage.Covered+len(coverage.Missing) != coverage.Total {
		t.Fatalf("coverage %+v with %d replies", coverage, len(replies))
	}
	if coverage.Total != q.View().ShardCount() {
		t.Fatalf("coverage counts %d shards, snapshot has %d", coverage.Total, q.View().ShardCount())
	}
	for shard := range q.state {
		if !q.state[shard].answered {
			continue
		}
		want := itemOf(q.View().Snapshot, q.Attempt(), shard)
		if string(q.state[shard].reply[0]) != string(want) {
			t.Fatalf("shard %d holds %s, want %s", shard, q.state[shard].reply[0], want)
		}
	}
}

func TestRespondAt(t *testing.T) {
	deadline := start.Add(time.Second)
	ms := time.Millisecond
	tests := []struct {
		name   string
		policy note.Policy
		min    float64
		took   []time.Duration // of the replies, of 10 shards
		want   time.Duration   // after the start
	}{
		{"coverage waits", note.PolicyCoverage, 0, []time.Duration{ms, ms, ms, ms, ms, ms, ms, ms, ms}, time.Second},
		{"tail below the quorum", note.PolicyTail, 0, []time.Duration{ms, ms, ms, ms, ms, ms, ms}, time.Second},
		{"tail at the quorum", note.PolicyTail, 0, []time.Duration{ms, ms, ms, ms, ms, ms, ms, 10 * ms}, 50 * ms},
		{"tail waits at least the minimum", note.PolicyTail, 0, []time.Duration{ms, ms, ms, ms, ms, ms, ms, ms}, 21 * ms},
		{"the minimum coverage raises the quorum", note.PolicyTail, 1, []time.Duration{ms, ms, ms, ms, ms, ms, ms, ms, ms}, time.Second},
		{"never after the deadline", note.PolicyTail, 0, []time.Duration{ms, ms, ms, ms, ms, ms, ms, 900 * ms}, time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			cfg := Config{Policy: test.policy, MinCoverage: test.min, ArrivedAt: start, Deadline: deadline}
			q := New[[]query.Item](cfg, viewOf(1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1))
			for shard, took := range test.took {
				if _, err := q.Reply(start.Add(took), 1, shard, q.View().Snapshot, nil); err != nil {
					t.Fatal(err)
				}
			}
			if got := q.RespondAt().Sub(start); got != test.want {
				t.Errorf("responds after %v, want %v", got, test.want)
			}
		})
	}
}

func TestInvalidReplies(t *testing.T) {
	q := New[[]query.Item](Config{Deadline: start.Add(time.Second)}, viewOf(1, 1, 1, 1))
	if _, err := q.Reply(start, 1, 0, query.Snapshot{Generation: 1, Version: 2}, nil); err == nil {
		t.Error("reply of another snapshot was accepted")
	}
	if _, err := q.Reply(start, 1, 7, q.View().Snapshot, nil); err == nil {
		t.Error("reply of a shard outside the map was accepted")
	}
	if _, err := q.Reply(start, 1, 0, q.View().Snapshot, nil); err != nil {
		t.Fatal(err)
	}
	if _, err := q.Fail(start, 1, 0, query.ReasonConnectionLost); err == nil {
		t.Error("second reply of a shard was accepted")
	}
}

// TestMain fixes the seed of the random histories; -rapid.seed overrides it.
func TestMain(m *testing.M) { rapidtest.Run(m, 1) }

// TestReplace checks the coverage when a reply replaces an earlier result, as the
// replies of a relay that answers for several shards together do.
func TestReplace(t *testing.T) {
	const softDeadline = 50 * time.Millisecond
	v := viewOf(1, 1, 1, 1, 1)
	tests := []struct {
		name   string
		before func(q *Query[string]) error
		want   Progress
	}{
		{"pending", func(*Query[string]) error { return nil }, Collecting},
		{"answered", func(q *Query[string]) error {
			_, err := q.Reply(start, q.Attempt(), 0, v.Snapshot, "old")
			return err
		}, Collecting},
		{"failed", func(q *Query[string]) error {
			_, err := q.Fail(start, q.Attempt(), 0, query.ReasonConnectionLost)
			return err
		}, Collecting},
		{"the others are settled", func(q *Query[string]) error {
			_, err := q.Fail(start, q.Attempt(), 1, query.ReasonConnectionLost)
			if err == nil {
				_, err = q.Reply(start, q.Attempt(), 2, v.Snapshot, "other")
			}
			return err
		}, Complete},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := New[string](Config{MinCoverage: 0.3, ArrivedAt: start, Deadline: start.Add(time.Second), SoftDeadline: start.Add(softDeadline)}, v)
			if err := test.before(q); err != nil {
				t.Fatal(err)
			}
			if err := q.Replace(start, 0, "new"); err != nil {
				t.Fatal(err)
			}
			if err := q.CheckInvariants(); err != nil {
				t.Error(err)
			}
			if q.Replies()[0] != "new" || !q.HasReply(0) || q.Progress() != test.want {
				t.Errorf("replies %v, progress %d, want %d", q.Replies(), q.Progress(), test.want)
			}
			if !q.RespondAt().Equal(start.Add(softDeadline)) {
				t.Errorf("responds at %v, want the soft deadline", q.RespondAt())
			}
		})
	}
	if err := New[string](Config{}, v).Replace(start, 3, "new"); err == nil {
		t.Error("a shard outside the view got a reply")
	}
}
