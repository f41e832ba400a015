package forward

import (
	"errors"
	"io"
	"net/http"
	"os"

	"github.com/apex/log"

	"github.com/hickorydock/hickorydock/internal/transport/ingress"
)

// readBody reads a body of at most maxBytes, if that is positive. On a failure it writes
// the response and returns false.
func (f *Forwarder) readBody(w http.ResponseWriter, req *request, maxBytes int64) bool {
	r := req.httpRequest
	if r.Body == nil || r.Body == http.NoBody {
		return true
	}
	if maxBytes > 0 {
		r.Body = http.MaxBytesReader(w, r.Body, maxBytes)
	}
	ingress.SetBodyDeadline(r, req.deadline)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		f.rejectBody(w, req, err)
		return false
	}
	req.body = body
	return true
}

// rejectBody answers a request whose body cannot be read.
func (f *Forwarder) rejectBody(w http.ResponseWriter, req *request, err error) {
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		f.reject(w, req.id, http.StatusRequestEntityTooLarge, 0)
	case errors.Is(err, ingress.ErrNoMemory):
		f.rejectForMemory(w, req)
	case errors.Is(err, os.ErrDeadlineExceeded):
		f.logBody(req, err)
		w.Header().Set("Connection", "close")
		f.reject(w, req.id, http.StatusRequestTimeout, 0)
	default:
		f.logBody(req, err)
		f.reject(w, req.id, http.StatusBadRequest, 0)
	}
}

func (f *Forwarder) logBody(req *request, err error) {
	f.log.WithFields(log.Fields{"request": req.id, "route": req.route.Name}).WithError(err).Info("cannot read request body")
}
