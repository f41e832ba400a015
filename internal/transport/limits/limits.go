// Package limits bounds the requests of callers: the time to read a header and a body, the time
// to write a response, the sizes and the depth of JSON. It keeps slow or hostile callers from
// delaying others; a caller within the bounds is not affected. What a process holds for all of
// them together is bounded by package ingress.
package limits

import (
	"net/http"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/settings"
)

// NewServer returns an HTTP/1.1 server for callers with bounded headers, idle
// time, body and response. It does not bound the time that a handler takes.
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

// Handler bounds the time to read each body and to write each response, and the
// depth of JSON.
func Handler(next http.Handler, l settings.Limits) http.Handler {
	bodyTimeout := settings.Milliseconds(l.BodyTimeoutMS)
	writeTimeout := settings.Milliseconds(l.WriteTimeoutMS)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		if r.Body != nil && r.Body != http.NoBody {
			// httptest.ResponseRecorder has no connection and therefore no deadlines.
			_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
			r.Body = &requestBody{ReadCloser: r.Body, control: control, depth: jsonDepth{max: int(l.MaxJSONDepth)}}
		}
		next.ServeHTTP(&responseWriter{ResponseWriter: w, control: control, timeout: writeTimeout}, r)
	})
}

// responseWriter starts the write timeout with the first byte of a response, so
// that it excludes the time that the handler takes to compute the response.
type responseWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	started bool
}

func (w *responseWriter) startTimeout() {
	if !w.started {
		w.started = true
		_ = w.control.SetWriteDeadline(time.Now().Add(w.timeout))
	}
}

// WriteHeader starts the write timeout and sends the header.
func (w *responseWriter) WriteHeader(status int) {
	w.startTimeout()
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the response.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.startTimeout()
	return w.ResponseWriter.Write(p)
}

// Flush sends the buffered part of the response.
func (w *responseWriter) Flush() {
	w.startTimeout()
	_ = w.control.Flush()
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
