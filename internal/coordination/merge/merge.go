// Package merge combines the replies of all shards into one answer.
package merge

import (
	"container/heap"
	"fmt"
	"slices"

	"github.com/buger/jsonparser"

	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

// Merged is the result of a merge. Value is set by the modes sum and count.
type Merged struct {
	Items []query.Item
	Value *float64
}

// ItemError means that the field that the merge mode reads is missing in an item
// or is not a number. The reply with that item cannot be used.
type ItemError struct {
	// Reply is the position of the reply among those merged.
	Reply int
	cause error
}

// Error names the reply and the cause.
func (e *ItemError) Error() string { return fmt.Sprintf("reply %d: %v", e.Reply, e.cause) }

// Unwrap returns the cause.
func (e *ItemError) Unwrap() error { return e.cause }

// Merge combines replies, one list of items per shard, by the merge mode of the
// service. The error is an *ItemError when a reply is invalid.
func Merge(service *note.Service, replies [][]query.Item) (Merged, error) {
	switch service.Merge {
	case note.MergeConcat:
		return Merged{Items: slices.Concat(replies...)}, nil
	case note.MergeTopK:
		return topK(replies, service.MergeField, service.TopK)
	case note.MergeSum:
		return sum(replies, service.MergeField)
	case note.MergeCount:
		return count(replies), nil
	default:
		return Merged{}, fmt.Errorf("merge mode %q is unknown", service.Merge)
	}
}

// scoredItem is an item with the score by which items are ordered. position is its
// place among all items; it breaks ties, so that the same replies give the same
// answer.
type scoredItem struct {
	score    float64
	position int
	item     query.Item
}

// minHeap holds the best items so far, the worst of them on top.
type minHeap []scoredItem

func (h minHeap) Len() int      { return len(h) }
func (h minHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *minHeap) Push(x any)   { *h = append(*h, x.(scoredItem)) }

func (h minHeap) Less(i, j int) bool { return isBetter(h[j], h[i]) }

// Pop removes the last element; heap.Pop moves the worst item there.
func (h *minHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func isBetter(a, b scoredItem) bool {
	if a.score != b.score {
		return a.score > b.score
	}
	return a.position < b.position
}

func topK(replies [][]query.Item, field string, k int) (Merged, error) {
	best := make(minHeap, 0, k)
	position := 0
	for reply, items := range replies {
		for _, item := range items {
			score, err := numericField(item, field)
			if err != nil {
				return Merged{}, &ItemError{reply, err}
			}
			position++
			best.offer(scoredItem{score, position, item}, k)
		}
	}
	slices.SortFunc(best, func(a, b scoredItem) int {
		if isBetter(a, b) {
			return -1
		}
		return 1
	})
	items := make([]query.Item, len(best))
	for i := range best {
		items[i] = best[i].item
	}
	return Merged{Items: items}, nil
}

// offer keeps s when it is among the k best.
func (h *minHeap) offer(s scoredItem, k int) {
	switch {
	case len(*h) < k:
		heap.Push(h, s)
	case k > 0 && isBetter(s, (*h)[0]):
		(*h)[0] = s
		heap.Fix(h, 0)
	}
}

func sum(replies [][]query.Item, field string) (Merged, error) {
	total := 0.0
	for reply, items := range replies {
		for _, item := range items {
			v, err := numericField(item, field)
			if err != nil {
				return Merged{}, &ItemError{reply, err}
			}
			total += v
		}
	}
	return Merged{Value: &total}, nil
}

func count(replies [][]query.Item) Merged {
	total := 0.0
	for _, items := range replies {
		total += float64(len(items))
	}
	return Merged{Value: &total}
}

// numericField reads a numeric field of an item. Items are valid JSON, since the
// decoder of the reply checked them.
func numericField(item query.Item, field string) (float64, error) {
	v, err := jsonparser.GetFloat(item, field)
	if err != nil {
		return 0, fmt.Errorf("item field %q is not a number: %w", field, err)
	}
	return v, nil
}
