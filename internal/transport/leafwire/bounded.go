package leafwire

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"

	"github.com/hickorydock/hickorydock/internal/state/memory"
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
	// maxFreeBytes bounds the buffers that are kept for the next bodies.
	maxFreeBytes = 8 << 20
)

// Errors of replies that are not read to their end.
var (
	errReplyTooLong       = errors.New("reply is too long")
	errTooManyLongReplies = errors.New("too many long replies at once")
	errNoMemory           = errors.New("no memory for the reply")
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

// bodyBudget bounds the bytes of bodies that are being read at the same time, and keeps their
// buffers for the next bodies: replies without end would otherwise leave buffers behind faster
// than the garbage collector frees them.
type bodyBudget struct {
	mu   sync.Mutex
	used int64 // beyond the first readStep of each body
	// readers is the number of bodies that are being read in steps, free the buffers that
	// they have returned.
	readers int
	free    [][]byte
}

// begin starts the reading of a body in steps and returns its first buffer.
func (b *bodyBudget) begin() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readers++
	return b.buffer()
}

// next returns a further buffer, or nil if too many bytes are being read.
func (b *bodyBudget) next() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+readStep > maxUnfinishedBytes {
		return nil
	}
	b.used += readStep
	return b.buffer()
}

// buffer returns an empty buffer of readStep bytes. The caller must hold mu.
func (b *bodyBudget) buffer() []byte {
	last := len(b.free) - 1
	if last < 0 {
		return make([]byte, 0, readStep)
	}
	buffer := b.free[last]
	b.free = b.free[:last]
	return buffer[:0]
}

// end ends the reading of a body and takes its buffers back. None are kept while no body is
// being read.
func (b *bodyBudget) end(buffers [][]byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readers--
	b.used -= int64(len(buffers)-1) * readStep
	b.free = append(b.free, buffers[:min(len(buffers), maxFreeBytes/readStep-len(b.free))]...)
	if b.readers == 0 {
		b.free = nil
	}
}

// readBody reads a complete body, whose memory belongs to hold. A body without a length ends with
// its connection. The memory taken grows with what arrives, whatever length the leaf has announced.
func (b *bodyBudget) readBody(response *http.Response, hold *memory.Hold) ([]byte, error) {
	if response.ContentLength > maxReplyBytes {
		return nil, errReplyTooLong
	}
	if n := response.ContentLength; n >= 0 && n <= readStep {
		if !hold.Grow(n) {
			return nil, errNoMemory
		}
		body := make([]byte, n)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	return b.readInSteps(response.Body, hold)
}

// readInSteps reads a body into buffers that are used again, and copies it.
func (b *bodyBudget) readInSteps(r io.Reader, hold *memory.Hold) ([]byte, error) {
	if !hold.Grow(readStep) {
		return nil, errNoMemory
	}
	buffers := [][]byte{b.begin()}
	defer func() {
		hold.Shrink(int64(len(buffers)) * readStep)
		b.end(buffers)
	}()
	for size := 0; ; {
		last := &buffers[len(buffers)-1]
		n, err := r.Read((*last)[len(*last):cap(*last)])
		*last = (*last)[:len(*last)+n]
		size += n
		switch {
		case err == io.EOF && !hold.Grow(int64(size)):
			return nil, errNoMemory
		case err == io.EOF:
			return slices.Concat(buffers...), nil
		case err != nil:
			return nil, err
		case size > maxReplyBytes:
			return nil, errReplyTooLong
		case len(*last) < cap(*last):
			continue
		}
		if !hold.Grow(readStep) {
			return nil, errNoMemory
		}
		next := b.next()
		if next == nil {
			hold.Shrink(readStep)
			return nil, errTooManyLongReplies
		}
		buffers = append(buffers, next)
	}
}
