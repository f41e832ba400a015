package limits

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// ErrTooDeep is returned when reading a body whose JSON nests deeper than allowed.
var ErrTooDeep = errors.New("JSON is nested too deeply")

// requestBody tracks the nesting of a JSON body while it is read, and clears the
// read deadline at its end: from then on the server reads only to detect that the
// caller disconnected, and an expired deadline would look like a disconnect.
type requestBody struct {
	io.ReadCloser
	control *http.ResponseController
	depth   jsonDepth
}

// Read reads the next part of the body.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	if !b.depth.scan(p[:n]) {
		return 0, ErrTooDeep
	}
	return n, err
}

// jsonDepth tracks the nesting of a JSON text that arrives in chunks. Invalid JSON
// is left to the decoder to reject.
type jsonDepth struct {
	max      int
	current  int
	inString bool
	escaped  bool
}

// scan processes the next chunk and reports whether the nesting is still within
// the limit.
func (d *jsonDepth) scan(chunk []byte) bool {
	for _, c := range chunk {
		switch {
		case d.escaped:
			d.escaped = false
		case d.inString && c == '\\':
			d.escaped = true
		case c == '"':
			d.inString = !d.inString
		case d.inString:
		case c == '{' || c == '[':
			d.current++
		case c == '}' || c == ']':
			d.current--
		}
		if d.current > d.max {
			return false
		}
	}
	return true
}
