package leafwire

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
)

const (
	// maxReplyBytes bounds the body of a reply.
	maxReplyBytes = 8 << 20
	// maxHeadBytes bounds the header of a reply, with the interim replies before it.
	maxHeadBytes = 64 << 10
	// maxFramingFactor bounds the bytes on the wire of a body relative to maxReplyBytes; the
	// rest is chunk headers and trailers.
	maxFramingFactor = 2
	// readStep is the number of bytes in which a body of unknown length is read.
	readStep = 64 << 10
	// maxUnfinishedBytes bounds the bodies that a client is reading, beyond the first
	// readStep of each.
	maxUnfinishedBytes = 32 << 20
)

// Errors of replies that are not read to their end.
var (
	errReplyTooLong       = errors.New("reply is too long")
	errTooManyLongReplies = errors.New("too many long replies at once")
)

// boundedReader reads from a connection until the bytes allowed for the current part of a
// reply are used up.
type boundedReader struct {
	r         io.Reader
	remaining int64
}

// allow sets the number of bytes that may be read from now on.
func (b *boundedReader) allow(n int64) { b.remaining = n }

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, errReplyTooLong
	}
	n, err := b.r.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	return n, err
}

// bodyBudget bounds the bytes of bodies that are being read at the same time.
type bodyBudget struct{ used atomic.Int64 }

func (b *bodyBudget) take(n int64) bool {
	if b.used.Add(n) > maxUnfinishedBytes {
		b.used.Add(-n)
		return false
	}
	return true
}

func (b *bodyBudget) giveBack(n int64) { b.used.Add(-n) }

// readBody reads a complete body. A body without a length ends with its connection. The
// memory taken grows with what arrives, whatever length the leaf has announced.
func (b *bodyBudget) readBody(response *http.Response) ([]byte, error) {
	if response.ContentLength > maxReplyBytes {
		return nil, errReplyTooLong
	}
	if n := response.ContentLength; n >= 0 && n <= readStep {
		body := make([]byte, n)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	var taken int64
	defer func() { b.giveBack(taken) }()
	var full [][]byte
	step := make([]byte, 0, readStep)
	for size := 0; ; {
		n, err := response.Body.Read(step[len(step):cap(step)])
		step = step[:len(step)+n]
		size += n
		switch {
		case err == io.EOF:
			return slices.Concat(append(full, step)...), nil
		case err != nil:
			return nil, err
		case size > maxReplyBytes:
			return nil, errReplyTooLong
		case len(step) < cap(step):
			continue
		}
		if !b.take(readStep) {
			return nil, errTooManyLongReplies
		}
		taken += readStep
		full = append(full, step)
		step = make([]byte, 0, readStep)
	}
}
