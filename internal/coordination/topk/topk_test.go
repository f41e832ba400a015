package topk

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func record(c byte) string { return strings.Repeat(string(c), RecordSize) }

func TestMerge(t *testing.T) {
	tests := []struct {
		name    string
		replies []string
		k       int
		want    string
	}{
		{"none", nil, 3, ""},
		{"fewer than k", []string{record('a')}, 3, record('a')},
		{"duplicates are kept", []string{record('b') + record('a'), record('b')}, 2, record('b') + record('b')},
		{"incomplete records are ignored", []string{record('a') + "zzz", "zzzz"}, 2, record('a')},
		{"k is zero", []string{record('a')}, 0, ""},
		{"bytes above 127 are greater", []string{record('a'), strings.Repeat("\xff", RecordSize)}, 1, strings.Repeat("\xff", RecordSize)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var replies [][]byte
			for _, r := range test.replies {
				replies = append(replies, []byte(r))
			}
			if got := string(Merge(replies, test.k)); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// TestMergeMatchesSorting compares Merge with sorting all records.
func TestMergeMatchesSorting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replies := rapid.SliceOf(rapid.SliceOfN(rapid.Byte(), 0, 5*RecordSize)).Draw(t, "replies")
		k := rapid.IntRange(0, 20).Draw(t, "k")
		var all [][]byte
		for _, r := range replies {
			all = append(all, slices.Collect(slices.Chunk(r[:len(r)/RecordSize*RecordSize], RecordSize))...)
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		if want := bytes.Join(all[:min(k, len(all))], nil); !bytes.Equal(Merge(replies, k), want) {
			t.Fatalf("got %x, want %x", Merge(replies, k), want)
		}
	})
}

// BenchmarkMerge merges the replies of the leafs of 12 shards, as a relay does.
func BenchmarkMerge(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 2))
	replies := make([][]byte, 12)
	for i := range replies {
		replies[i] = make([]byte, 62*RecordSize)
		for j := range replies[i] {
			replies[i][j] = byte(random.Uint32())
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		Merge(replies, 50)
	}
}
