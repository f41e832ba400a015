// Package server is the HTTP interface for callers: it decodes and limits
// requests, passes queries to entry.Entry and renders answers and problem documents.
package server

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"go.opentelemetry.io/otel/attribute"

	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/transport/credentials"
	"github.com/hickorydock/hickorydock/internal/transport/entry"
	"github.com/hickorydock/hickorydock/internal/transport/ingress"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
)

// Services finds services of the current catalogue.
type Services interface {
	Find(name string) (note.Service, bool)
}

// Queries answers queries; entry.Entry implements it.
type Queries interface {
	Query(ctx context.Context, service note.Service, request query.Request, arrived time.Time) (query.Answer, error)
}

// Observer is notified of the start and the end of every request.
type Observer interface {
	// Started counts a request as in progress until done is called.
	Started() (done func())
	// Finished records the result of a request; err is nil if it was answered.
	Finished(service string, outcome query.Outcome, coverage query.Coverage, elapsed time.Duration, err error)
}

// Config bounds requests.
type Config struct {
	// MaxBodyBytes bounds a caller's body where the service sets no bound.
	MaxBodyBytes int64
	// MaxDeadline bounds the deadline that a caller may ask for.
	MaxDeadline time.Duration
	// Ready returns nil when the node accepts work, or the reason why not. A nil
	// function means that it always does.
	Ready func() error
}

// Server handles requests of callers. It is safe for concurrent use.
type Server struct {
	cfg      Config
	services Services
	queries  Queries
	observer Observer
	tracer   *tracing.Tracer
	stopping atomic.Bool
	mu       sync.Mutex
	active   int
	idle     chan struct{} // closed when stopping and active is 0
	engine   *gin.Engine

	// ending ends when a stop cannot wait any longer for the queries in progress.
	ending     context.Context
	endQueries context.CancelFunc
}

// New returns a server; observer may be nil.
func New(cfg Config, services Services, queries Queries, observer Observer, tracer *tracing.Tracer) *Server {
	s := &Server{cfg: cfg, services: services, queries: queries, observer: observer, tracer: tracer, idle: make(chan struct{})}
	s.ending, s.endQueries = context.WithCancel(context.Background())
	gin.SetMode(gin.ReleaseMode)
	s.engine = gin.New()
	s.engine.HandleMethodNotAllowed = true
	s.engine.Use(gin.CustomRecoveryWithWriter(nil, handlePanic), s.rejectUnready)
	s.engine.NoRoute(func(c *gin.Context) { AbortWithProblem(c, notFound("no such path")) })
	s.engine.NoMethod(func(c *gin.Context) {
		AbortWithProblem(c, badRequest("", "method not allowed").WithStatus(http.StatusMethodNotAllowed, query.NotRun))
	})
	s.engine.POST("/v1/services/:service/query", s.query)
	s.engine.GET("/livez", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	s.engine.GET("/readyz", s.readyz)
	return s
}

// Engine is the router, for routes that other packages add before serving.
func (s *Server) Engine() *gin.Engine { return s.engine }

// ServeHTTP handles one request. While the server stops, each reply closes its
// connection, so that the caller sends its next request to another node.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.engine.ServeHTTP(&closingWriter{w, s.stopping.Load}, r)
}

// workPathPrefix is the path prefix of queries and commands.
const workPathPrefix = "/v1/"

// unreadyRetryAfter is the Retry-After time for callers of a node that is not ready yet.
const unreadyRetryAfter = time.Second

// rejectUnready rejects work while the node has no current catalogue: it cannot
// distinguish a service that does not exist from one that it has not received yet.
func (s *Server) rejectUnready(c *gin.Context) {
	if s.cfg.Ready == nil || !strings.HasPrefix(c.Request.URL.Path, workPathPrefix) {
		return
	}
	if err := s.cfg.Ready(); err != nil {
		AbortWithProblem(c, fault.Wrap(err, fault.StepAdmit, "", "node is not ready").
			WithStatus(http.StatusServiceUnavailable, query.NotRun).WithRetryAfter(unreadyRetryAfter))
		c.Abort()
	}
}

func handlePanic(c *gin.Context, _ any) {
	AbortWithProblem(c, fault.New(fault.StepInternal, "", "internal error"))
}

// answerFraction is the fraction of the time of a stop after which the queries in progress are
// answered with what has arrived. The rest is for writing the answers.
const answerFraction = 0.9

// Stop rejects new requests and waits until those in progress have ended or ctx
// ends; it returns the number of requests that are still in progress. Shortly before ctx
// ends, queries are answered with what has arrived.
func (s *Server) Stop(ctx context.Context) int {
	if deadline, ok := ctx.Deadline(); ok {
		timer := time.AfterFunc(time.Duration(answerFraction*float64(time.Until(deadline))), s.endQueries)
		defer timer.Stop()
	}
	s.mu.Lock()
	first := s.stopping.CompareAndSwap(false, true)
	if first && s.active == 0 {
		close(s.idle)
	}
	s.mu.Unlock()
	select {
	case <-s.idle:
		return 0
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

// Active is the number of requests in progress.
func (s *Server) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

// Begin counts a request as in progress, or returns false when the node is stopping.
func (s *Server) Begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping.Load() {
		return false
	}
	s.active++
	return true
}

// End counts the end of a request that Begin admitted.
func (s *Server) End() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	if s.active == 0 && s.stopping.Load() {
		close(s.idle)
	}
}

// Ready returns the reason why the node accepts no work, or nil.
func (s *Server) Ready() error {
	if s.stopping.Load() {
		return entry.ErrStopping
	}
	if s.cfg.Ready == nil {
		return nil
	}
	return s.cfg.Ready()
}

func (s *Server) readyz(c *gin.Context) {
	if err := s.Ready(); err != nil {
		c.String(http.StatusServiceUnavailable, "%v\n", err)
		return
	}
	c.String(http.StatusOK, "ready\n")
}

// stopRetryAfter is the Retry-After time for callers of a stopping node.
const stopRetryAfter = time.Second

func (s *Server) query(c *gin.Context) {
	arrived := time.Now()
	name := c.Param("service")
	if s.observer != nil {
		defer s.observer.Started()()
	}
	ctx := s.tracer.Extract(c.Request.Context(), c.Request.Header)
	ctx, span := s.tracer.Start(ctx, tracing.HopCaller, attribute.String("service", name))
	answer, err := s.answer(ctx, c, name, arrived)
	span.End(err)
	if s.observer != nil {
		s.observer.Finished(name, answer.Outcome, answer.Coverage, time.Since(arrived), err)
	}
	if err != nil {
		AbortWithProblem(c, err)
		return
	}
	c.JSON(statusOf(answer.Outcome), answer)
}

func (s *Server) answer(ctx context.Context, c *gin.Context, name string, arrived time.Time) (query.Answer, error) {
	if !s.Begin() {
		return query.Answer{}, fault.Wrap(entry.ErrStopping, fault.StepAdmit, "", "refused").
			WithStatus(http.StatusServiceUnavailable, query.NotRun).WithRetryAfter(stopRetryAfter)
	}
	defer s.End()
	service, ok := s.services.Find(name)
	if !ok {
		return query.Answer{}, notFound("service %q is not in force", name).WithField("service")
	}
	if err := Authorise(c, service); err != nil {
		return query.Answer{}, err
	}
	request, err := s.decode(c, service)
	if err != nil {
		return query.Answer{}, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(s.ending, func() { cancel(entry.ErrStopping) })()
	return s.queries.Query(ctx, service, request, arrived)
}

// Authorise rejects callers without a token of the service.
func Authorise(c *gin.Context, service note.Service) error {
	if credentials.Permitted(service.CallerTokens.List(), c.GetHeader("Authorization")) {
		return nil
	}
	c.Header("WWW-Authenticate", "Bearer")
	return fault.New(fault.StepAdmit, "", "service %q needs a bearer token", service.Name).
		WithStatus(http.StatusUnauthorized, query.NotRun).WithField("Authorization")
}

// statusOf maps the outcome of an answer to an HTTP status.
func statusOf(o query.Outcome) int {
	if o == query.Failed {
		return http.StatusGatewayTimeout
	}
	return http.StatusOK
}

func (s *Server) decode(c *gin.Context, service note.Service) (query.Request, error) {
	limit := s.cfg.MaxBodyBytes
	if service.MaxBodyBytes > 0 {
		limit = min(limit, service.MaxBodyBytes)
	}
	var request query.Request
	if err := DecodeBody(c, limit, &request); err != nil {
		return request, err
	}
	return request, s.validate(request)
}

// DecodeBody reads a JSON body of at most limit bytes into v. Unknown fields,
// wrong types and trailing data are errors that name their field.
func DecodeBody(c *gin.Context, limit int64, v any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(c.Writer, c.Request.Body, limit))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(v)
	if err == nil {
		err = endOfBody(decoder)
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return badRequest("body", "body exceeds %d bytes", limit).WithStatus(http.StatusRequestEntityTooLarge, query.NotRun)
	}
	if errors.Is(err, ingress.ErrNoMemory) {
		return fault.Wrap(err, fault.StepAdmit, "", "refused").
			WithStatus(http.StatusServiceUnavailable, query.NotRun).WithRetryAfter(ingress.RetryAfter)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return badRequest("body", "body arrived too slowly").WithStatus(http.StatusRequestTimeout, query.NotRun)
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return badRequest(cmp.Or(wrongType.Field, "body"), "%v", err)
	}
	if err != nil {
		return badRequest(unknownField(err), "%v", err)
	}
	return nil
}

var errTrailingData = errors.New("data after the JSON value")

// endOfBody reads to the end of a body whose value was decoded.
func endOfBody(decoder *json.Decoder) error {
	var tooLarge *http.MaxBytesError
	_, err := decoder.Token()
	switch {
	case err == io.EOF:
		return nil
	case errors.As(err, &tooLarge), errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, ingress.ErrNoMemory):
		return err
	default:
		return errTrailingData
	}
}

func (s *Server) validate(r query.Request) error {
	if len(r.Query) == 0 {
		return badRequest("query", "query is missing")
	}
	if r.DeadlineMS < 0 || r.DeadlineMS > s.cfg.MaxDeadline.Milliseconds() {
		return badRequest("deadline_ms", "deadline_ms must be in 0..%d", s.cfg.MaxDeadline.Milliseconds())
	}
	if r.MinCoverage < 0 || r.MinCoverage > 1 {
		return badRequest("min_coverage", "min_coverage must be in 0..1")
	}
	switch r.Priority {
	case "", query.PriorityHigh, query.PriorityNormal, query.PriorityLow:
		return nil
	}
	return badRequest("priority", "priority must be high, normal or low")
}

func badRequest(field, format string, args ...any) *fault.Error {
	return fault.New(fault.StepDecode, "", format, args...).
		WithStatus(http.StatusBadRequest, query.NotRun).WithField(field)
}

func notFound(format string, args ...any) *fault.Error {
	return fault.New(fault.StepDecode, "", format, args...).WithStatus(http.StatusNotFound, query.NotRun)
}

// retryAfterSeconds rounds up, since the header counts whole seconds.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int((d + time.Second - 1) / time.Second))
}
