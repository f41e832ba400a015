package limits

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// ErrTooDeep is returned by a body whose JSON nests deeper than allowed.
var ErrTooDeep = errors.New("JSON is nested too deeply")

// body counts the nesting of a JSON body while it is read and lifts the read
// deadline at its end: afterwards the server reads on only to notice that the
// caller left, which a deadline would feign.
type body struct {
	io.ReadCloser
	control *http.ResponseController
	depth   depth
}

// Read reads the next part of the body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	if !b.depth.admit(p[:n]) {
		return 0, ErrTooDeep
	}
	return n, err
}

// depth tracks the nesting of a JSON text that arrives in parts. Text that is
// not JSON is left to the decoder.
type depth struct {
	max      int
	current  int
	inString bool
	escaped  bool
}

// admit takes the next part and reports false when it nests too deeply.
func (d *depth) admit(part []byte) bool {
	for _, c := range part {
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
