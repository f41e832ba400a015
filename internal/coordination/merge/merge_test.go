package merge

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

func items(texts ...string) []query.Item {
	list := make([]query.Item, len(texts))
	for i, text := range texts {
		list[i] = json.RawMessage(text)
	}
	return list
}

func TestMerge(t *testing.T) {
	replies := [][]query.Item{
		items(`{"n":3,"id":"a"}`, `{"n":1,"id":"b"}`),
		nil,
		items(`{"id":"c","n":3}`, `{"n":2.5,"id":"d"}`),
	}
	tests := []struct {
		name    string
		service note.Service
		want    string
		value   float64
	}{
		{"concat", note.Service{Merge: note.MergeConcat}, `[{"n":3,"id":"a"} {"n":1,"id":"b"} {"id":"c","n":3} {"n":2.5,"id":"d"}]`, 0},
		{"top_k keeps the order of replies among equals", note.Service{Merge: note.MergeTopK, MergeField: "n", TopK: 3}, `[{"n":3,"id":"a"} {"id":"c","n":3} {"n":2.5,"id":"d"}]`, 0},
		{"top_k with fewer items than k", note.Service{Merge: note.MergeTopK, MergeField: "n", TopK: 9}, `[{"n":3,"id":"a"} {"id":"c","n":3} {"n":2.5,"id":"d"} {"n":1,"id":"b"}]`, 0},
		{"sum", note.Service{Merge: note.MergeSum, MergeField: "n"}, `[]`, 9.5},
		{"count", note.Service{Merge: note.MergeCount}, `[]`, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			merged, err := Merge(&test.service, replies)
			if err != nil {
				t.Fatal(err)
			}
			if got := fmt.Sprintf("%s", merged.Items); got != test.want {
				t.Errorf("items %s, want %s", got, test.want)
			}
			if test.value != 0 && (merged.Value == nil || *merged.Value != test.value) {
				t.Errorf("value %v, want %v", merged.Value, test.value)
			}
		})
	}
}

func TestInvalidFields(t *testing.T) {
	service := note.Service{Merge: note.MergeTopK, MergeField: "n", TopK: 1}
	for _, item := range []string{`{"m":1}`, `{"n":"1"}`, `{"n":null}`, `[1]`, `7`} {
		if _, err := Merge(&service, [][]query.Item{items(item)}); err == nil {
			t.Errorf("item %s was accepted", item)
		}
	}
}

// BenchmarkTopK merges 310 replies of 20 items.
func BenchmarkTopK(b *testing.B) {
	replies := make([][]query.Item, 310)
	for shard := range replies {
		for k := range 20 {
			replies[shard] = append(replies[shard], json.RawMessage(fmt.Sprintf(`{"id":"s-%d-%d","shard":%d,"score":0.%d}`, shard, k, shard, (shard*7919+k*104729)%99991)))
		}
	}
	service := note.Service{Merge: note.MergeTopK, MergeField: "score", TopK: 20}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Merge(&service, replies); err != nil {
			b.Fatal(err)
		}
	}
}
