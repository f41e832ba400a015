// Package topk selects the greatest records of several replies. A record is a
// fixed number of bytes that is compared byte by byte and never opened.
package topk

import (
	"cmp"
	"encoding/binary"
	"slices"
)

// RecordSize is the length of a record, in bytes.
const RecordSize = 16

// number is a record as an unsigned integer of 128 bits, which orders as its bytes do.
type number struct{ high, low uint64 }

func parse(b []byte) number {
	return number{binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[RecordSize/2:])}
}

func (r number) compare(other number) int {
	return cmp.Or(cmp.Compare(r.high, other.high), cmp.Compare(r.low, other.low))
}

// Merge returns the greatest k records of the replies, greatest first. Equal
// records all count; what is left of a reply after its last whole record is
// ignored.
func Merge(replies [][]byte, k int) []byte {
	total := 0
	for _, reply := range replies {
		total += len(reply) / RecordSize
	}
	s := selection{records: make([]number, 0, min(max(k, 0), total))}
	for _, reply := range replies {
		for ; len(reply) >= RecordSize; reply = reply[RecordSize:] {
			s.offer(parse(reply))
		}
	}
	slices.SortFunc(s.records, func(a, b number) int { return b.compare(a) })
	merged := make([]byte, 0, len(s.records)*RecordSize)
	for _, r := range s.records {
		merged = binary.BigEndian.AppendUint64(merged, r.high)
		merged = binary.BigEndian.AppendUint64(merged, r.low)
	}
	return merged
}

// selection holds the greatest records offered, as many as its capacity. Once it
// is full it is a heap with the smallest record first.
type selection struct{ records []number }

func (s *selection) offer(r number) {
	if len(s.records) < cap(s.records) {
		s.records = append(s.records, r)
		if len(s.records) == cap(s.records) {
			s.order()
		}
		return
	}
	if len(s.records) > 0 && r.compare(s.records[0]) > 0 {
		s.records[0] = r
		s.sink(0)
	}
}

func (s *selection) order() {
	for i := len(s.records)/2 - 1; i >= 0; i-- {
		s.sink(i)
	}
}

// sink moves the record at i down to its place.
func (s *selection) sink(i int) {
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
