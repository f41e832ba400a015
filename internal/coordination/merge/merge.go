// Package merge makes one answer of the replies of all shards.
package merge

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

// Merged is the result of a merge. Value is set by the modes sum and count.
type Merged struct {
	Items []query.Item
	Value *float64
}

// Merge combines replies, one list of items a shard, as the service states.
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

type scored struct {
	score float64
	item  query.Item
}

func topK(replies [][]query.Item, field string, k int) (Merged, error) {
	var all []scored
	for _, items := range replies {
		for _, item := range items {
			score, err := number(item, field)
			if err != nil {
				return Merged{}, err
			}
			all = append(all, scored{score, item})
		}
	}
	slices.SortStableFunc(all, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	all = all[:min(k, len(all))]
	items := make([]query.Item, len(all))
	for i := range all {
		items[i] = all[i].item
	}
	return Merged{Items: items}, nil
}

func sum(replies [][]query.Item, field string) (Merged, error) {
	total := 0.0
	for _, items := range replies {
		for _, item := range items {
			v, err := number(item, field)
			if err != nil {
				return Merged{}, err
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

// number reads a numeric field of an item.
func number(item query.Item, field string) (float64, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(item, &fields); err != nil {
		return 0, fmt.Errorf("item is not an object: %w", err)
	}
	var v float64
	if err := json.Unmarshal(fields[field], &v); err != nil {
		return 0, fmt.Errorf("item field %q is not a number: %w", field, err)
	}
	return v, nil
}
