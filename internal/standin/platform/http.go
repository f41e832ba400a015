package platform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// errBadRequest is returned for a request that violates the protocol.
var errBadRequest = errors.New("bad request")

// errorStatuses maps the errors of the object API to HTTP statuses.
var errorStatuses = []struct {
	err    error
	status int
}{
	{platform.ErrNotFound, http.StatusNotFound},
	{platform.ErrExists, http.StatusConflict},
	{platform.ErrConflict, http.StatusPreconditionFailed},
	{platform.ErrTooOld, http.StatusGone},
	{platform.ErrTooLarge, http.StatusRequestEntityTooLarge},
	{platform.ErrThrottled, http.StatusTooManyRequests},
	{platform.ErrUnavailable, http.StatusServiceUnavailable},
	{errBadRequest, http.StatusBadRequest},
}

// problem is the body of an error reply (RFC 9457).
type problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
}

func (p *Platform) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}", p.serveListOrWatch)
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", p.serveGet)
	mux.HandleFunc("POST /v1/objects/{kind}/{name}", p.serveCreate)
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", p.serveUpdate)
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", p.serveDelete)
	mux.HandleFunc("PUT /v1/status/{kind}/{name}", p.servePutStatus)
	return mux
}

// ServeHTTP implements the protocol of docs/PLATFORM.md.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mux.ServeHTTP(w, r)
}

// pathObject returns the kind and the name in the path of a request.
func pathObject(r *http.Request) (platform.Kind, string) {
	return platform.Kind(r.PathValue("kind")), r.PathValue("name")
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	kind, name := pathObject(r)
	object, err := run(r.Context(), p, Call{MethodGet, kind}, func() (platform.Object, error) {
		return p.store.get(kind, name)
	})
	reply(w, http.StatusOK, object, err)
}

func (p *Platform) serveCreate(w http.ResponseWriter, r *http.Request) {
	kind, name := pathObject(r)
	value, err := readValue(r)
	if err != nil {
		reply(w, 0, nil, err)
		return
	}
	object, err := run(r.Context(), p, Call{MethodCreate, kind}, func() (platform.Object, error) {
		return p.store.create(kind, name, value)
	})
	reply(w, http.StatusCreated, object, err)
}

func (p *Platform) serveUpdate(w http.ResponseWriter, r *http.Request) {
	kind, name := pathObject(r)
	value, err := readValue(r)
	if err != nil {
		reply(w, 0, nil, err)
		return
	}
	version, err := ifMatch(r)
	if err != nil {
		reply(w, 0, nil, err)
		return
	}
	object, err := run(r.Context(), p, Call{MethodUpdate, kind}, func() (platform.Object, error) {
		return p.store.update(platform.Object{Kind: kind, Name: name, Version: version, Value: value})
	})
	reply(w, http.StatusOK, object, err)
}

func (p *Platform) serveDelete(w http.ResponseWriter, r *http.Request) {
	kind, name := pathObject(r)
	version, err := ifMatch(r)
	if err != nil {
		reply(w, 0, nil, err)
		return
	}
	_, err = run(r.Context(), p, Call{MethodDelete, kind}, func() (struct{}, error) {
		return struct{}{}, p.store.remove(kind, name, version)
	})
	reply(w, http.StatusOK, struct{}{}, err)
}

func (p *Platform) servePutStatus(w http.ResponseWriter, r *http.Request) {
	kind, name := pathObject(r)
	value, err := readValue(r)
	if err != nil {
		reply(w, 0, nil, err)
		return
	}
	object, err := run(r.Context(), p, Call{MethodPutStatus, kind}, func() (platform.Object, error) {
		return p.store.set(kind, name, value)
	})
	reply(w, http.StatusOK, object, err)
}

func (p *Platform) serveListOrWatch(w http.ResponseWriter, r *http.Request) {
	kind, _ := pathObject(r)
	if r.URL.Query().Get("watch") == "true" {
		p.serveWatch(w, r, kind)
		return
	}
	listing, err := run(r.Context(), p, Call{MethodList, kind}, func() (platform.Listing, error) {
		return p.store.list(kind), nil
	})
	reply(w, http.StatusOK, listing, err)
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request, kind platform.Kind) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		reply(w, 0, nil, errBadRequest)
		return
	}
	stream := watchStream{w: w, control: http.NewResponseController(w)}
	err = p.watch(r.Context(), kind, from, stream.event, stream.heartbeat)
	if !stream.started {
		reply(w, 0, nil, err)
	}
}

// watchStream writes events as JSON lines; an empty line is a heartbeat.
type watchStream struct {
	w       http.ResponseWriter
	control *http.ResponseController
	started bool
}

func (s *watchStream) event(event platform.Event) error {
	line, err := json.Marshal(event)
	if err != nil {
		return err
	}
	return s.write(append(line, '\n'))
}

func (s *watchStream) heartbeat() error {
	return s.write([]byte{'\n'})
}

func (s *watchStream) write(line []byte) error {
	if !s.started {
		s.w.Header().Set("Content-Type", "application/x-ndjson")
		s.started = true
	}
	if _, err := s.w.Write(line); err != nil {
		return err
	}
	return s.control.Flush()
}

func readValue(r *http.Request) (json.RawMessage, error) {
	value, err := io.ReadAll(io.LimitReader(r.Body, platform.MaxValueBytes+1))
	if err != nil {
		return nil, errBadRequest
	}
	if len(value) > platform.MaxValueBytes {
		return nil, platform.ErrTooLarge
	}
	if !json.Valid(value) {
		return nil, errBadRequest
	}
	return value, nil
}

// ifMatch returns the version in the If-Match header of a request.
func ifMatch(r *http.Request) (uint64, error) {
	version, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		return 0, errBadRequest
	}
	return version, nil
}

// reply writes a value or an error. For a lost reply or a cancelled request, it
// closes the connection instead.
func reply(w http.ResponseWriter, status int, value any, err error) {
	if errors.Is(err, platform.ErrReplyLost) || errors.Is(err, context.Canceled) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		status = http.StatusInternalServerError
		for _, s := range errorStatuses {
			if errors.Is(err, s.err) {
				status = s.status
			}
		}
		w.Header().Set("Content-Type", "application/problem+json")
		value = problem{Title: err.Error(), Status: status}
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
