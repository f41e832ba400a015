package command

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/gin-gonic/gin"
	"go.opentelemetry.io/otel/attribute"

	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/transport/server"
	"github.com/hickorydock/hickorydock/internal/transport/tracing"
)

// retryAfter is the minimum Retry-After of replies to requests that the caller may
// send again.
const retryAfter = time.Second

// maxTicketRequestBytes bounds the body of a request for a ticket.
const maxTicketRequestBytes = 4 << 10

// Handler is the callers' HTTP interface to a Runner.
type Handler struct {
	runner *Runner
	tracer *tracing.Tracer
}

// NewHandler returns the handler of a runner.
func NewHandler(runner *Runner, tracer *tracing.Tracer) *Handler {
	return &Handler{runner: runner, tracer: tracer}
}

// Mount adds the routes of commands and tickets to a router.
func (h *Handler) Mount(router gin.IRoutes) {
	router.POST("/v1/services/:service/command", h.Command)
	router.POST("/v1/tickets", h.Ticket)
}

// Command serves POST /v1/services/:service/command.
func (h *Handler) Command(c *gin.Context) {
	name := c.Param("service")
	ctx := h.tracer.Extract(c.Request.Context(), c.Request.Header)
	ctx, span := h.tracer.Start(ctx, tracing.HopCaller, attribute.String("service", name))
	answer, err := h.run(ctx, c, name)
	span.End(err)
	if err != nil {
		h.log(name, err)
		server.AbortWithProblem(c, err)
		return
	}
	c.JSON(http.StatusOK, answer)
}

// log logs a command that ended without the outcome done.
func (h *Handler) log(service string, err error) {
	e := fault.From(err)
	h.runner.logger.WithFields(log.Fields{
		"service": service, "step": string(e.Step), "peer": e.Peer, "outcome": string(e.Outcome), "error": e.Detail(),
	}).Warn("command ended without the outcome done")
}

func (h *Handler) run(ctx context.Context, c *gin.Context, name string) (*command.Answer, error) {
	service, err := h.service(name)
	if err != nil {
		return nil, err
	}
	if err := server.Authorise(c, service); err != nil {
		return nil, err
	}
	key := c.GetHeader(command.HeaderKey)
	if !command.IsTicket(key) {
		if err := command.ValidateKey(key); err != nil {
			return nil, badRequest(command.HeaderKey, err)
		}
	}
	request, err := h.decode(c, service)
	if err != nil {
		return nil, err
	}
	result, err := h.dispatch(ctx, service, key, request)
	if errors.Is(err, command.ErrInvalidTicket) {
		return nil, badRequest(command.HeaderKey, err)
	}
	if err != nil {
		return nil, err
	}
	if result.Outcome == query.Done {
		return result.Answer, nil
	}
	return nil, problemOf(result, h.runner.budget.RetryAfter(h.runner.now()))
}

func (h *Handler) dispatch(ctx context.Context, service note.Service, key string, request command.Request) (command.Result, error) {
	if command.IsTicket(key) {
		return h.runner.Redeem(ctx, service, key, request)
	}
	return h.runner.Command(ctx, service, key, request)
}

func (h *Handler) service(name string) (note.Service, error) {
	service, ok := h.runner.services.Find(name)
	if !ok {
		return service, notFound("service %q is not in force", name)
	}
	if !service.Commands {
		return service, notFound("service %q takes no commands", name)
	}
	return service, nil
}

func (h *Handler) decode(c *gin.Context, service note.Service) (command.Request, error) {
	limit := h.runner.settings.MaxBodyBytes
	if service.MaxBodyBytes > 0 {
		limit = min(limit, service.MaxBodyBytes)
	}
	var request command.Request
	if err := server.DecodeBody(c, limit, &request); err != nil {
		return request, err
	}
	return request, h.validate(request)
}

func (h *Handler) validate(r command.Request) error {
	maxDeadline := h.runner.settings.MaxCallerDeadline.Milliseconds()
	switch {
	case len(r.Query) == 0:
		return badRequest("query", errors.New("query is missing"))
	case r.ShardKey == "" || len(r.ShardKey) > command.MaxShardKeyBytes:
		return badRequest("shard_key", errors.New("shard_key must have 1 to 256 bytes"))
	case r.DeadlineMS < 0 || r.DeadlineMS > maxDeadline:
		return badRequest("deadline_ms", errors.New("deadline_ms is out of range"))
	}
	switch r.Priority {
	case "", query.PriorityHigh, query.PriorityNormal, query.PriorityLow:
		return nil
	}
	return badRequest("priority", errors.New("priority must be high, normal or low"))
}

// Ticket serves POST /v1/tickets.
func (h *Handler) Ticket(c *gin.Context) {
	var request command.TicketRequest
	if err := server.DecodeBody(c, maxTicketRequestBytes, &request); err != nil {
		server.AbortWithProblem(c, err)
		return
	}
	service, err := h.service(request.Service)
	if err != nil {
		server.AbortWithProblem(c, err)
		return
	}
	if err := server.Authorise(c, service); err != nil {
		server.AbortWithProblem(c, err)
		return
	}
	reply, err := h.runner.IssueTicket(service)
	if err != nil {
		server.AbortWithProblem(c, fault.Wrap(err, fault.StepAdmit, "", "no ticket").
			WithStatus(http.StatusServiceUnavailable, query.NotRun).WithRetryAfter(retryAfter))
		return
	}
	c.JSON(http.StatusOK, reply)
}

func badRequest(field string, err error) *fault.Error {
	return fault.Wrap(err, fault.StepDecode, "", "bad request").
		WithStatus(http.StatusBadRequest, query.NotRun).WithField(field)
}

func notFound(format string, args ...any) *fault.Error {
	return fault.New(fault.StepDecode, "", format, args...).
		WithStatus(http.StatusNotFound, query.NotRun).WithField("service")
}

// problemTemplate describes a cause in the problem document of a reply.
type problemTemplate struct {
	step   fault.Step
	status int // 0 means 503
	detail string
}

var problemTemplates = map[command.Cause]problemTemplate{
	command.CauseRecorded:       {fault.StepReply, 0, "an earlier send of this key may have run; its result was lost"},
	command.CauseReplyLost:      {fault.StepReply, 0, "the upstream's reply was lost; the command may have run"},
	command.CauseRefused:        {fault.StepRelay, 0, "every upstream tried declared that it did not run the command"},
	command.CausePending:        {fault.StepClaim, 0, "another send of this key has claimed it and has no outcome yet"},
	command.CausePlatform:       {fault.StepPlatform, 0, "the platform cannot be asked; nothing of this send ran"},
	command.CauseDeadline:       {fault.StepClaim, 0, "the deadline passed before anything was sent"},
	command.CauseCallerLeft:     {fault.StepClaim, 0, "the caller left before anything was sent"},
	command.CauseNoTarget:       {fault.StepPlan, 0, "no shard map of the service is known"},
	command.CauseBudget:         {fault.StepAdmit, http.StatusTooManyRequests, "the budget of platform writes is used up"},
	command.CauseStopping:       {fault.StepAdmit, 0, "the node is stopping"},
	command.CauseOtherBody:      {fault.StepClaim, http.StatusUnprocessableEntity, "the key was used with another body; this body ran nowhere"},
	command.CauseTicketVoid:     {fault.StepClaim, http.StatusGone, "the node of the ticket has ended; the ticket ran nowhere and is void"},
	command.CauseTicketExpired:  {fault.StepClaim, http.StatusGone, "the ticket has expired"},
	command.CauseTicketNodeGone: {fault.StepPeer, 0, "the node of the ticket cannot be asked; the command may have run"},
	command.CauseTicketsFull:    {fault.StepAdmit, 0, "the node remembers as many tickets as it may"},
	command.CauseInvariant:      {fault.StepInternal, http.StatusInternalServerError, "an internal check failed; the command may have run"},
}

// problemOf returns the problem of a result other than done. budgetRetryAfter is
// the time until the write budget is likely to admit a command.
func problemOf(r command.Result, budgetRetryAfter time.Duration) *fault.Error {
	template := problemTemplates[r.Cause]
	status := template.status
	if status == 0 {
		status = http.StatusServiceUnavailable
	}
	if r.Outcome == query.Unknown && r.Cause != command.CauseInvariant {
		status = http.StatusGatewayTimeout
	}
	e := fault.New(template.step, r.Peer, "%s (cause %s, request %q)", template.detail, r.Cause, r.RequestID).WithStatus(status, r.Outcome)
	if r.Cause == command.CauseOtherBody {
		return e.WithField(command.HeaderKey)
	}
	retryable := !r.Final || status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	if retryable {
		return e.WithRetryAfter(max(retryAfter, budgetRetryAfter))
	}
	return e
}
