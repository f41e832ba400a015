// Package topk selects the greatest records of several replies. A record is a
// fixed number of bytes that is compared byte by byte and never opened.
package topk

import (
	"bytes"
	"slices"
)

// RecordSize is the length of a record, in bytes.
const RecordSize = 16

// Merge returns the greatest k records of the replies, greatest first. Equal
// records all count; what is left of a reply after its last whole record is
// ignored.
func Merge(replies [][]byte, k int) []byte {
	total := 0
	for _, reply := range replies {
		total += len(reply) / RecordSize
	}
	records := make([][]byte, 0, total)
	for _, reply := range replies {
		for ; len(reply) >= RecordSize; reply = reply[RecordSize:] {
			records = append(records, reply[:RecordSize])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	records = records[:min(max(k, 0), len(records))]
	merged := make([]byte, 0, len(records)*RecordSize)
	for _, record := range records {
		merged = append(merged, record...)
	}
	return merged
}
