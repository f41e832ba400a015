// Package topk selects the greatest records of several replies. A record has a
// fixed size; it is compared byte by byte and not interpreted otherwise.
package topk

import (
	"cmp"
	"encoding/binary"
	"slices"
)

// RecordSize is the length of a record, in bytes.
const RecordSize = 16

// uint128 is a record as an unsigned integer of 128 bits, which has the same order as
// the bytes of the record.
type uint128 struct{ high, low uint64 }

func parseRecord(b []byte) uint128 {
	return uint128{binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[RecordSize/2:])}
}

func (r uint128) compare(other uint128) int {
	return cmp.Or(cmp.Compare(r.high, other.high), cmp.Compare(r.low, other.low))
}

// Merge returns the greatest k records of the replies, greatest first. Duplicates
// are kept; an incomplete record at the end of a reply is ignored.
func Merge(replies [][]byte, k int) []byte {
	total := 0
	for _, reply := range replies {
		total += len(reply) / RecordSize
	}
	s := selection{records: make([]uint128, 0, min(max(k, 0), total))}
	for _, reply := range replies {
		for ; len(reply) >= RecordSize; reply = reply[RecordSize:] {
			s.offer(parseRecord(reply))
		}
	}
	slices.SortFunc(s.records, func(a, b uint128) int { return b.compare(a) })
	merged := make([]byte, 0, len(s.records)*RecordSize)
	for _, r := range s.records {
		merged = binary.BigEndian.AppendUint64(merged, r.high)
		merged = binary.BigEndian.AppendUint64(merged, r.low)
	}
	return merged
}

// selection holds the greatest of the offered records, up to the capacity of
// records. Once it is full it is a heap with the smallest record on top.
type selection struct{ records []uint128 }

func (s *selection) offer(r uint128) {
	if len(s.records) < cap(s.records) {
		s.records = append(s.records, r)
		if len(s.records) == cap(s.records) {
			s.heapify()
		}
		return
	}
	if len(s.records) > 0 && r.compare(s.records[0]) > 0 {
		s.records[0] = r
		s.siftDown(0)
	}
}

func (s *selection) heapify() {
	for i := len(s.records)/2 - 1; i >= 0; i-- {
		s.siftDown(i)
	}
}

// siftDown restores the heap below i by moving the record at i down.
func (s *selection) siftDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(s.records) {
			return
		}
		if other := child + 1; other < len(s.records) && s.records[other].compare(s.records[child]) < 0 {
			child = other
		}
		if s.records[i].compare(s.records[child]) <= 0 {
			return
		}
		s.records[i], s.records[child] = s.records[child], s.records[i]
		i = child
	}
}
