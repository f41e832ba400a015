package ingress

import "bytes"

const (
	// requestBytes is what a request costs besides its head: the stacks of its goroutines and the
	// state of its attempts.
	requestBytes = 24 << 10
	// lineBytes is what a header line costs parsed, besides its bytes: the entries of a map and
	// of a list, and two strings.
	lineBytes = 160
	// headFactor is the ratio of what the bytes of a head cost to their number: as received, as
	// parsed and as sent to leafs.
	headFactor = 3
)

// headScan finds the end of a head in a buffer that grows.
type headScan struct {
	// line is where the line begins that is not complete, searched the bytes that were looked at.
	line, searched int
	lines          int64
}

// scan looks at what is new in b. It returns the end of the head once it is complete. An empty
// line at the start counts as a head, so that net/http decides on it.
func (s *headScan) scan(b []byte) (end int, complete bool) {
	for {
		n := bytes.IndexByte(b[s.searched:], '\n')
		if n < 0 {
			s.searched = len(b)
			return 0, false
		}
		line := b[s.line : s.searched+n]
		s.searched += n + 1
		s.line = s.searched
		if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			return s.line, true
		}
		s.lines++
	}
}

// cost returns what a request with a head of n bytes costs.
func (s *headScan) cost(n int) int64 {
	return requestBytes + headFactor*int64(n) + lineBytes*s.lines
}
