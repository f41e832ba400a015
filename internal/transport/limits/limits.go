// Package limits bounds what one caller connection can cost: time to read a
// header and a body, time to write an answer, sizes, depth of JSON and the
// number of connections. It keeps slow or hostile callers from holding up
// others; a caller within the bounds is not affected.
package limits

import (
	"net"
	"net/http"
	"time"

	"golang.org/x/net/netutil"

	"github.com/hickorydock/hickorydock/internal/protocol/settings"
)

// NewServer returns an HTTP/1.1 server for callers with bounded headers, idle
// time, body and answer. The time that a handler takes is not bounded here.
func NewServer(handler http.Handler, l settings.Limits) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Server{
		Handler:           Handler(handler, l),
		ReadHeaderTimeout: settings.Milliseconds(l.HeaderTimeoutMS),
		IdleTimeout:       settings.Milliseconds(l.IdleTimeoutMS),
		MaxHeaderBytes:    int(l.MaxHeaderBytes),
		Protocols:         protocols,
	}
}

// Listener accepts at most max connections at once; further ones wait in the
// operating system's queue.
func Listener(l net.Listener, max int64) net.Listener {
	return netutil.LimitListener(l, int(max))
}

// Handler bounds the reading of each body and the writing of each answer.
func Handler(next http.Handler, l settings.Limits) http.Handler {
	bodyTimeout := settings.Milliseconds(l.BodyTimeoutMS)
	writeTimeout := settings.Milliseconds(l.WriteTimeoutMS)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		if r.Body != nil && r.Body != http.NoBody {
			// A recorder in a test has no connection and therefore no deadlines.
			_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
			r.Body = &body{ReadCloser: r.Body, control: control, depth: depth{max: int(l.MaxJSONDepth)}}
		}
		next.ServeHTTP(&writer{ResponseWriter: w, control: control, timeout: writeTimeout}, r)
	})
}

// writer starts the time to write with the first byte of an answer, so that it
// does not count the time in which the answer is worked out.
type writer struct {
	http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	started bool
}

func (w *writer) start() {
	if !w.started {
		w.started = true
		_ = w.control.SetWriteDeadline(time.Now().Add(w.timeout))
	}
}

// WriteHeader starts the answer.
func (w *writer) WriteHeader(status int) {
	w.start()
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the answer.
func (w *writer) Write(p []byte) (int, error) {
	w.start()
	return w.ResponseWriter.Write(p)
}

// Flush sends what is buffered.
func (w *writer) Flush() {
	w.start()
	_ = w.control.Flush()
}

// Unwrap gives http.ResponseController the underlying writer.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }
